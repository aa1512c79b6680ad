// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ENDPOINT_ADDRESS_H_
#define IVYPOST_DISCOVERY_ENDPOINT_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace ivypost {

/// An IP address and a TCP port: where an endpoint, or a server of the sidecar's own, is reached.
using Endpoint = boost::asio::ip::tcp::endpoint;

/// Reads "10.0.0.4:8080" or "[::1]:8080". A name of a host is none: the platform has no DNS.
///
/// Throws settings::FormatError, with a message for one line of the log, for any other text.
[[nodiscard]] Endpoint parseEndpoint(std::string_view text);

}  // namespace ivypost

#endif  // IVYPOST_DISCOVERY_ENDPOINT_ADDRESS_H_
