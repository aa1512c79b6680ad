// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "request_parser.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

#include "framing.h"

namespace ivypost {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

// End-to-end headers that the platform's protocol or HTTP itself needs. A request whose Connection header
// names one of them is rejected, since that header would be removed before forwarding.
constexpr std::array<const char*, 10> kEndToEnd = {
    "Host",         "Content-Length",  "X-Trace-Id",   "X-Qos",      "X-Customer", "Idempotency-Key",
    "Content-Type", "X-Expires-In-Ms", "X-Second-Try", "X-Size-Hint"};

// Headers that apply to the client's connection and not to its request; and Expect, which the sidecar
// answers.
constexpr std::array<http::field, 8> kHopByHop = {
    http::field::connection, http::field::keep_alive, http::field::proxy_connection,
    http::field::te,         http::field::trailer,    http::field::transfer_encoding,
    http::field::upgrade,    http::field::expect};

bool isAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool isHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

// Whether the text holds only characters of RFC 3986, 2 (unreserved, sub-delims, complete percent-encodings)
// and those in `extraCharacters`.
bool isUriText(std::string_view text, std::string_view extraCharacters) {
  constexpr std::string_view kOthers = "-._~!$&'()*+,;=";
  for (std::size_t n = 0; n < text.size(); ++n) {
    const char c = text[n];
    if (c == '%') {
      if (n + 2 >= text.size() || !isHexDigit(text[n + 1]) || !isHexDigit(text[n + 2])) return false;
      n += 2;
    } else if (!isAlphanumeric(c) && kOthers.find(c) == std::string_view::npos &&
               extraCharacters.find(c) == std::string_view::npos) {
      return false;
    }
  }
  return true;
}

// RFC 9110, 7.2, and RFC 3986, 3.2: uri-host [ ":" port ], without user information. An empty text is valid.
bool isAuthority(std::string_view text) {
  std::string_view port;
  std::string_view host = text;
  if (!text.empty() && text.front() == '[') {
    const std::size_t end = text.find(']');
    if (end == std::string_view::npos) return false;
    host = text.substr(1, end - 1);
    port = text.substr(end + 1);
    if (host.empty() || !isUriText(host, ":")) return false;
  } else {
    const std::size_t colon = text.find(':');
    host = text.substr(0, colon);
    if (colon != std::string_view::npos) port = text.substr(colon);
    if (!isUriText(host, "")) return false;
  }
  if (port.empty()) return true;
  return port.front() == ':' && port.size() <= 6 &&
         std::all_of(port.begin() + 1, port.end(), [](char c) { return c >= '0' && c <= '9'; });
}

struct AbsoluteTarget {
  std::string_view authority, rest;  // the rest begins with '/' or '?', or is empty
};

std::optional<AbsoluteTarget> parseAbsoluteForm(std::string_view target) {
  constexpr std::string_view kScheme = "http://";
  if (target.size() < kScheme.size() ||
      !beast::iequals({target.data(), kScheme.size()}, {kScheme.data(), kScheme.size()}))
    return std::nullopt;
  target.remove_prefix(kScheme.size());
  const std::size_t end = std::min(target.find_first_of("/?"), target.size());
  return AbsoluteTarget{target.substr(0, end), target.substr(end)};
}

std::optional<SyntaxError> findTargetError(const RequestHead& head) {
  std::string_view target = view(head.target());
  if (head.method() == http::verb::connect) return SyntaxError{501, "CONNECT is not served"};
  if (target == "*")
    return head.method() == http::verb::options ? SyntaxError{501, "OPTIONS is not served"}
                                                : SyntaxError{400, "the target * is for OPTIONS only"};
  if (const auto absolute = parseAbsoluteForm(target)) {
    if (absolute->authority.empty() || !isAuthority(absolute->authority))
      return SyntaxError{400, "the target names no valid host"};
    target = absolute->rest;
  } else if (target.empty() || target.front() != '/') {
    return SyntaxError{400, "the target is neither a path nor an http address"};
  }
  if (!isUriText(target, ":@/?"))
    return SyntaxError{400, "the target has a character that has to be encoded"};
  return std::nullopt;
}

std::optional<SyntaxError> findFramingError(const RequestHead& head) {
  const auto codings = head.count(http::field::transfer_encoding);
  if (codings > 0) {
    if (head.version() < 11) return SyntaxError{400, "a transfer coding in HTTP/1.0"};
    if (codings == 1 && head.count(http::field::content_length) == 0) {
      // A list of codings that ends with chunked delimits the body; it is valid but unsupported (RFC 9112,
      // 6.1).
      const std::string_view coding = view(head[http::field::transfer_encoding]);
      const std::size_t comma = coding.rfind(',');
      if (comma != std::string_view::npos && coding.find("chunked") > comma) {
        std::string_view last = coding.substr(comma + 1);
        last.remove_prefix(std::min(last.find_first_not_of(" \t"), last.size()));
        if (beast::iequals({last.data(), last.size()}, "chunked"))
          return SyntaxError{501, "a transfer coding but chunked"};
      }
    }
  }
  if (!hasUnambiguousFraming(head)) return SyntaxError{400, "framing that can be read in two ways"};
  if (head.count(http::field::content_length) > 0) {
    const std::string_view length = view(head[http::field::content_length]);
    if (length.empty() ||
        !std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; }))
      return SyntaxError{400, "Content-Length is no number"};
  }
  return std::nullopt;
}

}  // namespace

std::optional<SyntaxError> findSyntaxError(const RequestHead& head) {
  if (const auto error = findFramingError(head)) return error;
  const auto hosts = head.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && head.version() >= 11))
    return SyntaxError{400, "Host has to stand there once"};
  if (hosts == 1 && !isAuthority(view(head[http::field::host])))
    return SyntaxError{400, "Host names no valid host"};
  if (const auto error = findTargetError(head)) return error;
  for (const auto& field : head) {
    // RFC 9110, 5.5. The parser has unfolded lines already (RFC 9112, 5.2).
    const std::string_view value = view(field.value());
    if (std::any_of(value.begin(), value.end(),
                    [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; }))
      return SyntaxError{400, "a control character in a header"};
  }
  if (head.count(http::field::expect) > 0 && !expectsContinue(head) && head.version() >= 11)
    return SyntaxError{417, "Expect names what is not kept"};
  for (const auto& option : http::token_list(head[http::field::connection])) {
    for (const char* const name : kEndToEnd) {
      if (beast::iequals(option, name))
        return SyntaxError{400, "Connection names a header that belongs to the request"};
    }
  }
  return std::nullopt;
}

void toOriginForm(RequestHead& head) {
  const std::string target(head.target());
  const auto absolute = parseAbsoluteForm(target);
  if (!absolute) return;
  head.set(http::field::host, beast::string_view(absolute->authority.data(), absolute->authority.size()));
  const bool hasNoPath = absolute->rest.empty() || absolute->rest.front() == '?';
  head.target((hasNoPath ? "/" : "") + std::string(absolute->rest));
}

bool expectsContinue(const RequestHead& head) {
  return head.version() >= 11 && head.count(http::field::expect) == 1 &&
         beast::iequals(head[http::field::expect], "100-continue");
}

void removeHopByHopHeaders(RequestHead& head) {
  if (head.count(http::field::connection) > 0) {
    std::vector<std::string> named;
    for (const auto& option : http::token_list(head[http::field::connection])) named.emplace_back(option);
    for (const std::string& name : named) head.erase(name);
  }
  for (const http::field field : kHopByHop) head.erase(field);
}

unsigned statusOfMalformedStartLine(std::string_view text) {
  const std::string_view line = text.substr(0, text.find("\r\n"));
  const std::size_t space = line.rfind(' ');
  if (space == std::string_view::npos || line.find(' ') == space) return 400;
  const std::string_view version = line.substr(space + 1);
  const auto digit = [&](std::size_t n) { return version[n] >= '0' && version[n] <= '9'; };
  const bool isWellFormed =
      version.size() == 8 && version.substr(0, 5) == "HTTP/" && digit(5) && version[6] == '.' && digit(7);
  return isWellFormed && version[5] != '1' ? 505 : 400;
}

}  // namespace ivypost
