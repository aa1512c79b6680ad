// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The operator's own file: what the platform does not set, in TOML. Without a file everything is as if this
// folder were not there. Its keys: operator_keys.h.
#ifndef IVYPOST_CONFIGURATION_OPERATOR_FILE_H_
#define IVYPOST_CONFIGURATION_OPERATOR_FILE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/connection_limiter.h"
#include "degradation/settings.h"
#include "discovery/etcd/options.h"
#include "gossip/options.h"

namespace ivypost::configuration {

/// What the file says, by section. As constructed it is what an empty file gives: all off, and each value at
/// its default. Not synchronised; the process has one that counts, and SIGHUP gives another.
struct OperatorFile {
  /// [levels]: degraded service.
  struct Degradation {
    bool on = false;  ///< Whether the level may be any but the normal one.
    /// Valid by degradation::validate().
    degradation::Settings settings = degradation::defaultSettings();
  } degradation;  ///< [levels]

  /// [admission]: requests that wait for the core.
  struct Admission {
    bool queue = false;  ///< Whether requests wait in a queue at all.
    admission::AdmissionQueueSettings
        queueSettings;  ///< Their bounds; the interval is no less than the target.
    /// Names of classes, those first that are favoured under overload, each once. Those not named follow by
    /// the weight that the platform gives them.
    std::vector<std::string> order;
    /// Requests handed on before the loop sees to all else that is ready; 1 to 1024.
    std::int64_t perTurn = 8;
  } admission;  ///< [admission]

  /// [door]: client connections, as fractions of those allowed.
  struct ConnectionLimit {
    /// An answer ends its connection when more than this fraction is open ...
    double keepAny = admission::ConnectionLimiterSettings{}.keepAnyFraction;
    /// ... and up to this one, not less, not if its client has used it again.
    double keepUsed = admission::ConnectionLimiterSettings{}.keepReusedFraction;
    /// With more than this fraction at work, new requests are rejected; 0.05 to 1.
    double work = admission::ConnectionLimiterSettings{}.activeFraction;
  } connectionLimit;  ///< [door]

  /// [status]: pages on the listening address, where clients may read them too.
  struct Status {
    bool level = false;  ///< GET /status/level
    bool peers = false;  ///< GET /status/peers
  } status;              ///< [status]

  /// [peers]: how sidecars find each other; without a flaw by gossip::flawOf() where they are on.
  gossip::Options peers;

  /// [membership]: where the list of upstreams comes from.
  struct Membership {
    /// The kinds of sources.
    enum class Source : std::uint8_t {
      Platform,  ///< The platform's discovery.
      Etcd,      ///< A cluster of etcd; needs the program that is built with it.
    };
    Source source = Source::Platform;  ///< The source that is to count.
    /// Without a flaw by discovery::etcd::flawOf() where it is the source; else as it stands in the file.
    discovery::etcd::Options etcd;
    /// Equal where the lists come from the same source in the same way.
    bool operator==(const Membership&) const = default;
  } membership;  ///< [membership]
};

/// Reads the file at `path`. Throws Error, whose line names the file, the line, the key and what is allowed,
/// for a file that can't be read, is no TOML, has an unknown key or a value that is not allowed.
OperatorFile readOperatorFile(const std::string& path);

/// The same for a text. `name` is what errors call it.
OperatorFile parseOperatorFile(std::string_view text, const std::string& name);

/// The file with all keys at their defaults, each under a comment that says what it does; reads as an empty
/// one. Printed by ivypost --operator-example.
[[nodiscard]] std::string operatorFileExample();

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_OPERATOR_FILE_H_
