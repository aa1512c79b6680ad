// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The operator's file, in TOML: the settings that the platform does not provide. Without a file, all of them
// have their defaults. Its keys: operator_keys.h.
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

/// The contents of the file, by section. A default-constructed object equals an empty file: every feature is
/// off and every value has its default. Not thread-safe; the process has one in effect, and SIGHUP replaces
/// it.
struct OperatorFile {
  /// [levels]: degradation of service under overload.
  struct Degradation {
    bool on = false;  ///< Whether the degradation level may leave normal.
    /// Valid by degradation::validate().
    degradation::Settings settings = degradation::defaultSettings();
  } degradation;  ///< [levels]

  /// [admission]: the queue of requests that wait to be forwarded.
  struct Admission {
    bool queue = false;  ///< Whether requests are queued before they are forwarded.
    admission::AdmissionQueueSettings queueSettings;  ///< The queue's limits; queueSettings.interval is not
                                                      ///< less than queueSettings.targetDelay.
    /// Class names in descending priority under overload, each once. Classes that are not listed follow, in
    /// the order of the weights that the platform assigns.
    std::vector<std::string> order;
    /// The largest number of requests forwarded in one turn of the event loop; 1 to 1024.
    std::int64_t maxForwardsPerTurn = 8;
  } admission;  ///< [admission]

  /// [door]: limits on client connections, as fractions of the connections allowed.
  struct ConnectionLimit {
    /// While no more than this fraction is open, every connection is kept alive after a response.
    double keepAnyFraction = admission::ConnectionLimiterSettings{}.keepAnyFraction;
    /// While no more than this fraction is open, a connection is kept alive if its client has reused it. Must
    /// not be less than keepAnyFraction.
    double keepReusedFraction = admission::ConnectionLimiterSettings{}.keepReusedFraction;
    /// While more than this fraction is active, new requests are rejected; 0.05 to 1.
    double activeFraction = admission::ConnectionLimiterSettings{}.activeFraction;
  } connectionLimit;  ///< [door]

  /// [status]: status pages on the listening address, so that clients can read them, too.
  struct Status {
    bool level = false;  ///< GET /status/level
    bool peers = false;  ///< GET /status/peers
  } status;              ///< [status]

  /// [peers]: how sidecars find each other; valid by gossip::flawOf() if gossip is on.
  gossip::Options peers;

  /// [membership]: the source of the endpoint list.
  struct Membership {
    /// The source of the endpoint list.
    enum class Source : std::uint8_t {
      Platform,  ///< The platform's discovery.
      Etcd,      ///< An etcd cluster; needs a program built with etcd support.
    };
    Source source = Source::Platform;  ///< The source in use.
    /// Valid by discovery::etcd::flawOf() if `source` is Etcd; otherwise unchecked, as read from the file.
    discovery::etcd::Options etcd;
    /// Equal if the source and its options are equal.
    bool operator==(const Membership&) const = default;
  } membership;  ///< [membership]
};

/// Reads the file at `path`. Throws Error, which names the file, the line, the key and the allowed values, if
/// the file can't be read, is not valid TOML, or has an unknown key or a value that is not allowed.
OperatorFile readOperatorFile(const std::string& path);

/// Parses a text like readOperatorFile(). `name` is the file name shown in errors.
OperatorFile parseOperatorFile(std::string_view text, const std::string& name);

/// An example file with all keys at their defaults, each preceded by a comment that describes it; it parses
/// to the same values as an empty file. Printed by ivypost --operator-example.
[[nodiscard]] std::string operatorFileExample();

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_OPERATOR_FILE_H_
