// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ENDPOINT_ADDRESS_H_
#define IVYPOST_DISCOVERY_ENDPOINT_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace ivypost {

/// An IP address and a TCP port of an endpoint or of one of the sidecar's own servers.
using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses "10.0.0.4:8080" or "[::1]:8080". Host names are not accepted: the platform has no DNS.
///
/// Throws settings::FormatError, with a one-line message for the log, for any other text.
[[nodiscard]] Endpoint parseEndpoint(std::string_view text);

}  // namespace ivypost

#endif  // IVYPOST_DISCOVERY_ENDPOINT_ADDRESS_H_
