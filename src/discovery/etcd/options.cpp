// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/options.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <memory>

namespace ivypost::discovery::etcd {
namespace {

using Flaw = std::optional<std::string>;

constexpr std::size_t kMaxName = 253;  // bytes of a host name, RFC 1035 section 2.3.4
// The largest call_timeout, as a multiple of the audit interval: with a longer timeout an audit could be in
// progress nearly all the time.
constexpr int kMaxTimeoutsPerAudit = 10;

bool isHostNameByte(char one) {
  return (one >= 'a' && one <= 'z') || (one >= 'A' && one <= 'Z') || (one >= '0' && one <= '9') ||
         one == '-' || one == '.';
}

bool isHostName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxName && std::all_of(name.begin(), name.end(), isHostNameByte) &&
         name.front() != '-' && name.front() != '.';
}

// Removes "http://" or "https://" from the start. Returns whether the scheme was https.
bool consumeScheme(std::string_view& rest) {
  constexpr std::string_view kPlain = "http://";
  constexpr std::string_view kTls = "https://";
  const auto takes = [&rest](std::string_view scheme) {
    if (rest.substr(0, scheme.size()) != scheme) return false;
    rest.remove_prefix(scheme.size());
    return true;
  };
  if (takes(kPlain)) return false;
  return takes(kTls);
}

// Returns 0 if `digits` is not a valid port.
std::uint16_t parsePort(std::string_view digits) {
  std::uint16_t port = 0;
  const char* const last = std::to_address(digits.end());
  const auto [end, failure] = std::from_chars(std::to_address(digits.begin()), last, port);
  return failure == std::errc() && end == last ? port : std::uint16_t{0};
}

Flaw flawOfEndpoints(const Options& options) {
  if (options.endpoints.empty()) return "endpoints has to name one at least";
  if (options.endpoints.size() > kMaxEndpoints)
    return "endpoints may name " + std::to_string(kMaxEndpoints) + " at the most";
  for (const std::string& endpoint : options.endpoints) {
    const auto target = parseTarget(endpoint);
    if (!target) return "endpoints: '" + endpoint + "' is not like http://10.0.0.4:2379";
    if (target->isName && !options.names)
      return "endpoints: '" + endpoint +
             "' is a name, and names = false: this platform has no DNS; give an address";
  }
  return std::nullopt;
}

Flaw flawOfKeys(const Options& options) {
  if (options.prefix.empty() || options.prefix.front() != '/' || options.prefix.back() == '/')
    return "prefix has to begin with '/' and not to end with one";
  if (options.service.empty() || options.service.find('/') != std::string::npos)
    return "service has to be a name without '/'";
  return std::nullopt;
}

Flaw flawOfCredentials(const Options& options) {
  if (options.user.empty() != options.passwordFile.empty()) return "user and password_file go together";
  if (options.certificate.empty() != options.key.empty()) return "certificate and key go together";
  const bool needsTls = !options.ca.empty() || !options.certificate.empty() || !options.serverName.empty();
  const bool hasTls = std::any_of(options.endpoints.begin(), options.endpoints.end(),
                                  [](const std::string& endpoint) { return parseTarget(endpoint)->tls; });
  if (needsTls && !hasTls) return "ca, certificate, key and server_name need an endpoint with https://";
  return std::nullopt;
}

Flaw flawOfTimes(const Options& options) {
  if (options.maxBackoff < options.backoff) return "max_backoff has to be no less than backoff";
  if (options.callTimeout > kMaxTimeoutsPerAudit * options.audit)
    return "call_timeout may be ten times audit at the most";
  return std::nullopt;
}

}  // namespace

std::optional<Target> parseTarget(std::string_view endpoint) {
  Target target;
  target.tls = consumeScheme(endpoint);
  const auto colon = endpoint.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  target.port = parsePort(endpoint.substr(colon + 1));
  if (target.port == 0) return std::nullopt;
  std::string_view host = endpoint.substr(0, colon);
  const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isBracketed) host = host.substr(1, host.size() - 2);
  target.host = host;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(target.host, error);
  if (!error) return address.is_v6() == isBracketed ? std::optional(target) : std::nullopt;
  target.isName = true;
  return !isBracketed && isHostName(host) ? std::optional(target) : std::nullopt;
}

std::optional<std::string> flawOf(const Options& options) {
  // The order matters: each check relies on the checks before it.
  for (const auto& check : {flawOfEndpoints, flawOfKeys, flawOfCredentials, flawOfTimes}) {
    if (auto flaw = check(options)) return flaw;
  }
  return std::nullopt;
}

}  // namespace ivypost::discovery::etcd
