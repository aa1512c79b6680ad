// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The operator's own file: what the platform does not set, in TOML. One table of keys (keys.cpp) is the
// schema, the reader and the commented example at once. Without a file everything is as if this room were not
// there.
#ifndef IVYPOST_OPERATOR_FILE_H_
#define IVYPOST_OPERATOR_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/connection_limiter.h"
#include "degradation/settings.h"
#include "etcd/options.h"
#include "peers/options.h"

namespace ivypost::op {

// As an empty file gives it: all off, and each figure at its default.
struct File {
  struct Degradation {
    bool on = false;
    degradation::Settings settings = degradation::defaultSettings();
  } degradation;
  struct Admission {
    bool queue = false;
    admission::AdmissionQueueSettings figures;
    std::vector<std::string> order;  // classes, the worthiest first; those not named follow by their worth
    std::int64_t perTurn = 8;        // requests handed on before the loop sees to all else that is ready
  } admission;
  struct Door {
    double keepAny = admission::ConnectionLimiterSettings{}.keepAnyFraction;
    double keepUsed = admission::ConnectionLimiterSettings{}.keepReusedFraction;
    double work = admission::ConnectionLimiterSettings{}.activeFraction;
  } door;
  struct Status {
    bool level = false;  // GET /status/level on the listening address
    bool peers = false;  // GET /status/peers likewise
  } status;
  peers::Options peers;  // without a flaw where they are on
  struct Membership {
    enum class Source : std::uint8_t { Platform, Etcd };
    Source source = Source::Platform;
    etcd::Options etcd;  // without a flaw where it is the source; else as it stands in the file
    bool operator==(const Membership&) const = default;
  } membership;
};

// Both throw configfile::Error, one line that names the file, the line, the key and what is allowed.
File read(const std::string& path);
File parse(std::string_view text, const std::string& name);

// The file with all keys at their defaults, each under a comment that says what it does; parses as an empty
// one.
std::string example();

}  // namespace ivypost::op

#endif  // IVYPOST_OPERATOR_FILE_H_
