// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/endpoint_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <memory>
#include <string>

#include "settings/format_error.h"

namespace ivypost {
namespace {

bool isInBrackets(std::string_view host) {
  return host.size() > 2 && host.front() == '[' && host.back() == ']';
}

}  // namespace

Endpoint parseEndpoint(std::string_view text) {
  constexpr std::string_view kExpected = "not an address and port:";
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) settings::throwFormatError(kExpected, text);
  std::string_view host = text.substr(0, colon);
  if (isInBrackets(host)) host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char* const last = std::to_address(digits.end());
  const auto [end, failure] = std::from_chars(std::to_address(digits.begin()), last, port);
  if (error || failure != std::errc() || end != last) settings::throwFormatError(kExpected, text);
  return {address, port};
}

}  // namespace ivypost
