// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What operators set for membership by etcd. Plain figures: reading them needs no part of gRPC.
#ifndef IVYPOST_ETCD_OPTIONS_H_
#define IVYPOST_ETCD_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivypost::etcd {

struct Options {
  using Micros = std::int64_t;

  // "http://10.0.0.4:2379" or "https://...": addresses, and names only where `names` says so.
  std::vector<std::string> endpoints;
  bool names = false;               // the platform can look names up
  std::string prefix = "/ivypost";  // the keys are <prefix>/<service>/<instanceId>
  std::string service = "nodes";
  std::string user, passwordFile;  // empty: no authentication
  // Paths of PEM files; empty: the system's authorities, no certificate of one's own.
  std::string ca, certificate, key;
  std::string serverName;  // that the servers' certificates carry; empty: the endpoint's own

  Micros callTimeout = 400'000;   // of one call, also of the stream's opening
  Micros audit = 600'000;         // between two looks whether the watch has withheld something
  Micros backoff = 100'000;       // before the first try after a failure, at the most; then decorrelated ...
  Micros maxBackoff = 5'000'000;  // ... up to this
  bool progress = true;           // the servers answer progress requests (3.4 and later)
  std::int64_t page = 1000;       // keys of one call for the list
  std::int64_t maxKeys = 20'000;  // a list of more is not taken

  std::string keyPrefix() const { return prefix + "/" + service + "/"; }
  bool operator==(const Options&) const = default;
};

constexpr std::size_t kMaxEndpoints = 16;

// An endpoint's parts. `host` is an address without brackets, or a name.
struct Target {
  bool tls = false;
  std::string host;
  std::uint16_t port = 0;
  bool isName = false;
};
// None: it has not that form; "http://" may be left out.
std::optional<Target> parseTarget(const std::string& endpoint);

// What can't be meant, in one line with the key's name; none: it can be used.
std::optional<std::string> flawOf(const Options& options);

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_OPTIONS_H_
