// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// What the platform gives a sidecar at its start: environment and JSON file to a typed configuration.
#ifndef IVYPOST_CONFIG_H_
#define IVYPOST_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list.h"
#include "gossip/message.h"
#include "settings/format_error.h"
#include "settings/site.h"

namespace ivypost {

using balancer::EndpointId;
using balancer::Micros;

/// The platform's configuration of one sidecar; it stays as it is but for discovery's address, which a reload
/// changes. Read by readConfig() and parseConfig(), which check it.
struct Config {
  std::string name;                 ///< the sidecar's
  Endpoint listen;                  ///< where clients connect
  Endpoint discovery;               ///< the platform's
  std::optional<Endpoint> console;  ///< the operators' address; none: off
  /// Where this sidecar hears the others; none: the platform gives none.
  std::optional<gossip::Address> peerListen;
  std::vector<gossip::Address> peers;  ///< where each of them is reached, by number
  /// The descriptor of the platform's listening socket for clients; none: this process makes its own.
  std::optional<int> listener;
  std::string tempFolder;      ///< that outlives the process while it is replaced; empty: none
  std::uint64_t seed = 0;      ///< of all random numbers
  double cores = 1;            ///< of processor that the process may use; over 0
  double memoryMb = 192;       ///< that the process may use, in 10^6 bytes; over 0
  std::size_t sockets = 1024;  ///< file descriptors that the process may hold
  std::optional<discovery::EndpointList>
      known;            ///< the platform's last list; none: there was none, or it is not readable
  settings::Site site;  ///< the settings, and what is remarked of the configuration
  std::vector<std::string> classNames;  ///< by number

  /// Descriptors that connections of clients and to upstreams may hold. The rest is the process's own, and
  /// the console's. Where this process replaces another one, which has its descriptors until it ends, half of
  /// it.
  [[nodiscard]] double poolSockets() const;
  /// Bytes that bodies in transit may hold together; halved likewise.
  [[nodiscard]] std::size_t relayBytes() const;
};

/// Reads the environment and the file that GW_CONFIG names. Throws settings::FormatError with a message for
/// one line of the log.
[[nodiscard]] Config readConfig();
/// Reads the text of that file, and the rest from the environment. Throws as readConfig().
[[nodiscard]] Config parseConfig(const std::string& text);

}  // namespace ivypost

#endif  // IVYPOST_CONFIG_H_
