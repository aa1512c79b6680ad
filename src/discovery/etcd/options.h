// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_OPTIONS_H_
#define IVYPOST_DISCOVERY_ETCD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivypost::discovery::etcd {

/// Operators' settings for discovery by etcd. Does not depend on gRPC.
struct Options {
  /// A time span in microseconds.
  using Micros = std::int64_t;

  /// Short enough, together with the audit interval, to notice within the two seconds of docs/design/etcd.md
  /// that a stalled member withholds a removal.
  static constexpr Micros kDefaultCallTimeout = 400'000;
  /// Short enough, together with kDefaultCallTimeout, for the same limit of two seconds.
  static constexpr Micros kDefaultAudit = 600'000;
  /// Short, since the first retry goes to another endpoint.
  static constexpr Micros kDefaultBackoff = 100'000;
  /// Bounds the delay until the list is fetched when etcd recovers from a long outage.
  static constexpr Micros kDefaultMaxBackoff = 5'000'000;
  /// Entries have 166 bytes each (docs/CAPACITY.md), so a response with a full page has 166 KB.
  static constexpr std::int64_t kDefaultPage = 1000;
  /// Twice the number of nodes that the design was tested with.
  static constexpr std::int64_t kDefaultMaxKeys = 20'000;

  /// URLs of the form "http://10.0.0.4:2379" or "https://...", with an IP address; a host name is accepted
  /// only if `names` is set. One to kMaxEndpoints.
  std::vector<std::string> endpoints;
  /// Whether the platform can resolve host names.
  bool names = false;
  /// The keys are `prefix`/`service`/instanceId. Begins with '/' and does not end with '/'.
  std::string prefix = "/ivypost";
  /// Not empty, without '/'.
  std::string service = "nodes";
  /// User name; empty: no authentication.
  std::string user;
  /// Path of a file with the user's password, whose trailing line ends are ignored; set if and only if
  /// `user` is.
  std::string passwordFile;
  /// Path of a PEM file with the certificate authorities by which the servers' certificates are verified;
  /// empty: the system's authorities.
  std::string ca;
  /// Path of a PEM file with the sidecar's client certificate; empty: none.
  std::string certificate;
  /// Path of a PEM file with the private key of `certificate`; set if and only if `certificate` is.
  std::string key;
  /// Name expected in the servers' certificates; empty: the endpoint's host.
  std::string serverName;

  /// Timeout of a call and of opening a watch stream.
  Micros callTimeout = kDefaultCallTimeout;
  /// Interval between two audits, which check whether the watch has withheld events.
  Micros audit = kDefaultAudit;
  /// Maximum of the random wait before the first retry after a failure; further retries use decorrelated
  /// jitter up to maxBackoff.
  Micros backoff = kDefaultBackoff;
  /// Maximum of the random wait before further retries; must not be less than `backoff`.
  Micros maxBackoff = kDefaultMaxBackoff;
  /// Whether the servers answer watch progress requests (etcd 3.4 and later).
  bool progress = true;
  /// Maximum number of keys in one response to a Range call for the list.
  std::int64_t page = kDefaultPage;
  /// Maximum number of keys in a list; a longer list is rejected.
  std::int64_t maxKeys = kDefaultMaxKeys;

  /// The prefix of all keys of the service, with a trailing '/'.
  [[nodiscard]] std::string keyPrefix() const { return prefix + "/" + service + "/"; }
  /// Equal if all members are equal.
  bool operator==(const Options&) const = default;
};

/// Maximum number of entries in Options::endpoints.
constexpr std::size_t kMaxEndpoints = 16;

/// The parts of an endpoint's URL.
struct Target {
  bool tls = false;        ///< "https://"
  std::string host;        ///< an IP address without brackets, or a host name
  std::uint16_t port = 0;  ///< not 0
  bool isName = false;     ///< `host` is a name
};
/// Parses an entry of Options::endpoints; "http://" is optional. None: the text does not have that form.
[[nodiscard]] std::optional<Target> parseTarget(std::string_view endpoint);

/// Validates the options. Returns a one-line message for operators that begins with the name of the invalid
/// setting; none if the options are valid.
[[nodiscard]] std::optional<std::string> flawOf(const Options& options);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_OPTIONS_H_
