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

/// What operators set for discovery by etcd. Reading it needs no part of gRPC.
struct Options {
  /// A span in microseconds.
  using Micros = std::int64_t;

  /// With the audit's interval, so that a removal that a stalled member hides is noticed within the two
  /// seconds of docs/design/etcd.md.
  static constexpr Micros kDefaultCallTimeout = 400'000;
  /// Likewise.
  static constexpr Micros kDefaultAudit = 600'000;
  /// A first try elsewhere is due soon.
  static constexpr Micros kDefaultBackoff = 100'000;
  /// How late a list may come when etcd is back after a long time.
  static constexpr Micros kDefaultMaxBackoff = 5'000'000;
  /// Of 166 bytes each (docs/CAPACITY.md), 166 KB a response.
  static constexpr std::int64_t kDefaultPage = 1000;
  /// Twice the nodes that the design was tried with.
  static constexpr std::int64_t kDefaultMaxKeys = 20'000;

  /// "http://10.0.0.4:2379" or "https://...": addresses, and names only where `names` says so. One to
  /// kMaxEndpoints.
  std::vector<std::string> endpoints;
  /// The platform can look names up.
  bool names = false;
  /// The keys are `prefix`/`service`/instanceId. Begins with '/', and does not end with one.
  std::string prefix = "/ivypost";
  /// Without '/'.
  std::string service = "nodes";
  /// Empty: no authentication.
  std::string user;
  /// Path of a file with the user's password, line ends behind it aside; set if and only if `user` is.
  std::string passwordFile;
  /// Path of a PEM file with the authorities that servers' certificates are checked by; empty: the system's.
  std::string ca;
  /// Path of a PEM file with a certificate of the sidecar's own; empty: none.
  std::string certificate;
  /// Path of a PEM file with its key; set if and only if `certificate` is.
  std::string key;
  /// That the servers' certificates carry; empty: the endpoint's own.
  std::string serverName;

  /// Of one call, also of the stream's opening.
  Micros callTimeout = kDefaultCallTimeout;
  /// Between two audits of whether the watch has withheld something.
  Micros audit = kDefaultAudit;
  /// Before the first try after a failure, at the most; then decorrelated ...
  Micros backoff = kDefaultBackoff;
  /// ... up to this, no less than `backoff`.
  Micros maxBackoff = kDefaultMaxBackoff;
  /// The servers answer progress requests (3.4 and later).
  bool progress = true;
  /// Keys of one call for the list.
  std::int64_t page = kDefaultPage;
  /// A list of more is not taken.
  std::int64_t maxKeys = kDefaultMaxKeys;

  /// What all keys of the service begin with.
  [[nodiscard]] std::string keyPrefix() const { return prefix + "/" + service + "/"; }
  /// Whether all members are the same.
  bool operator==(const Options&) const = default;
};

/// Of Options::endpoints.
constexpr std::size_t kMaxEndpoints = 16;

/// An endpoint's parts.
struct Target {
  bool tls = false;        ///< "https://"
  std::string host;        ///< an address without brackets, or a name
  std::uint16_t port = 0;  ///< not 0
  bool isName = false;     ///< `host` is a name
};
/// Reads one of Options::endpoints; "http://" may be left out. None: it has not that form.
[[nodiscard]] std::optional<Target> parseTarget(std::string_view endpoint);

/// What can't be meant, in one line that begins with the key's name, for operators. None: it can be used.
[[nodiscard]] std::optional<std::string> flawOf(const Options& options);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_OPTIONS_H_
