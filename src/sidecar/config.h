// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What a sidecar is told at its start: environment and JSON file to a typed configuration.
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

struct Config {
  std::string name;
  Endpoint listen, discovery;
  std::optional<Endpoint> console;  // the operators' address; none: off
  // Where this sidecar hears the others, and where each of them is reached, by number; none: the platform
  // gives none.
  std::optional<gossip::Address> peerListen;
  std::vector<gossip::Address> peers;
  // The platform's listening socket for clients; none: this process makes its own.
  std::optional<int> listener;
  std::string tempFolder;  // that outlives the process while it is replaced; empty: none
  std::uint64_t seed = 0;
  double cores = 1;                              // of processor that the process may use
  double memoryMb = 192;                         // that the process may use
  std::size_t sockets = 1024;                    // file descriptors that the process may hold
  std::optional<discovery::EndpointList> known;  // none: there was none, or it could not be read
  settings::Site site;
  std::vector<std::string> classNames;  // by number

  // Descriptors that connections of clients and to upstreams may hold. The rest is the process's own, and the
  // console's.
  double poolSockets() const;
  // Bytes that bodies in transit may hold together.
  std::size_t relayBytes() const;
};

// All of these throw settings::FormatError with a message for one line of the log.
Config readConfig();  // from the environment and the file that it names
Config parseConfig(const std::string& text);

}  // namespace ivypost

#endif  // IVYPOST_CONFIG_H_
