// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd/options.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string_view>

namespace ivypost::etcd {
namespace {

constexpr std::size_t kMaxName = 253;  // of a host, RFC 1035 section 2.3.4

bool isHostName(std::string_view name) {
  if (name.empty() || name.size() > kMaxName) return false;
  for (const char c : name) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    if (!letter && c != '-' && c != '.') return false;
  }
  return name.front() != '-' && name.front() != '.';
}

}  // namespace

std::optional<Target> parseTarget(const std::string& endpoint) {
  std::string_view rest = endpoint;
  Target target;
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (rest.substr(0, scheme.size()) != scheme) continue;
    target.tls = scheme.size() > 7;
    rest.remove_prefix(scheme.size());
    break;
  }
  const auto colon = rest.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view digits = rest.substr(colon + 1);
  const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), target.port);
  if (failure != std::errc() || end != digits.data() + digits.size() || target.port == 0) return std::nullopt;
  std::string_view host = rest.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  target.host = host;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(target.host, error);
  if (!error) return address.is_v6() == bracketed ? std::optional(target) : std::nullopt;
  target.isName = true;
  return !bracketed && isHostName(host) ? std::optional(target) : std::nullopt;
}

std::optional<std::string> flawOf(const Options& options) {
  if (options.endpoints.empty()) return "endpoints has to name one at least";
  if (options.endpoints.size() > kMaxEndpoints)
    return "endpoints may name " + std::to_string(kMaxEndpoints) + " at the most";
  bool tls = false;
  for (const std::string& endpoint : options.endpoints) {
    const auto target = parseTarget(endpoint);
    if (!target) return "endpoints: '" + endpoint + "' is not like http://10.0.0.4:2379";
    if (target->isName && !options.names)
      return "endpoints: '" + endpoint +
             "' is a name, and names = false: this platform has no DNS; give an address";
    tls = tls || target->tls;
  }
  if (options.prefix.empty() || options.prefix.front() != '/' || options.prefix.back() == '/')
    return "prefix has to begin with '/' and not to end with one";
  if (options.service.empty() || options.service.find('/') != std::string::npos)
    return "service has to be a name without '/'";
  if (options.user.empty() != options.passwordFile.empty()) return "user and password_file go together";
  if (options.certificate.empty() != options.key.empty()) return "certificate and key go together";
  const bool files = !options.ca.empty() || !options.certificate.empty() || !options.serverName.empty();
  if (files && !tls) return "ca, certificate, key and server_name need an endpoint with https://";
  if (options.maxBackoff < options.backoff) return "max_backoff has to be no less than backoff";
  if (options.callTimeout > 10 * options.audit) return "call_timeout may be ten times audit at the most";
  return std::nullopt;
}

}  // namespace ivypost::etcd
