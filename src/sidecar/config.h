// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Reads the platform's configuration of a sidecar, from the environment and a JSON file, into a typed
/// structure.
#ifndef IVYPOST_CONFIG_H_
#define IVYPOST_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list.h"
#include "gossip/message.h"
#include "memory_plan.h"
#include "settings/format_error.h"
#include "settings/site.h"

namespace ivypost {

using balancer::EndpointId;
using balancer::Micros;

/// The platform's configuration of one sidecar. Only the address of discovery changes on a reload. Created by
/// readConfig() and parseConfig(), which validate it.
struct Config {
  std::string name;                 ///< the name of the sidecar
  Endpoint listen;                  ///< the address on which clients connect
  Endpoint discovery;               ///< the address of the platform's discovery service
  std::optional<Endpoint> console;  ///< the address of the operators' console; none: off
  /// The address on which this sidecar receives gossip; none: the platform configures none.
  std::optional<gossip::Address> peerListen;
  std::vector<gossip::Address> peers;  ///< the gossip addresses of the other sidecars, by index
  /// The descriptor of an inherited listening socket for clients; none: this process opens its own.
  std::optional<int> listener;
  std::string tempFolder;      ///< a folder that outlives the process when it is replaced; empty: none
  std::uint64_t seed = 0;      ///< the seed of all random numbers
  double cores = 1;            ///< processor cores that the process may use; over 0
  double memoryMb = 192;       ///< memory that the process may use, in 10^6 bytes; over 0
  std::size_t sockets = 1024;  ///< file descriptors that the process may hold
  /// The platform's last endpoint list; none: the file has none, or it can't be read.
  std::optional<discovery::EndpointList> known;
  settings::Site site;                  ///< the settings, and remarks on the configuration for the log
  std::vector<std::string> classNames;  ///< by class index

  /// File descriptors that client and upstream connections may hold together. The rest is reserved for the
  /// process itself and the console. Half as many if this process replaces another one, which keeps its
  /// descriptors until it exits.
  [[nodiscard]] double poolSockets() const;
  /// The bounds of connections and buffered bytes; of half of the limits if this process replaces another
  /// one.
  [[nodiscard]] MemoryPlan memoryPlan() const;
};

/// Reads the environment and the file that GW_CONFIG names. Throws settings::FormatError with a message of
/// one line.
[[nodiscard]] Config readConfig();
/// Parses the text of that file, and reads the rest from the environment. Throws as readConfig().
[[nodiscard]] Config parseConfig(const std::string& text);

}  // namespace ivypost

#endif  // IVYPOST_CONFIG_H_
