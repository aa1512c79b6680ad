// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admin/call.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace ivypost::admin {
namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;

struct Path {
  std::string_view text;  // ends with a slash if an upstream id follows
  std::string_view method;
  Call::Kind kind;

  [[nodiscard]] bool takesId() const { return text.back() == '/'; }
  [[nodiscard]] bool matches(std::string_view path) const {
    return takesId() ? path.substr(0, text.size()) == text : path == text;
  }
};

constexpr std::array<Path, 5> kPaths = {{{"/api/ready", "GET", Call::Kind::Ready},
                                         {"/api/exclude/", "POST", Call::Kind::Exclude},
                                         {"/api/include/", "POST", Call::Kind::Include},
                                         {"/api/evacuate", "POST", Call::Kind::Evacuate},
                                         {"/api/rejoin", "POST", Call::Kind::Rejoin}}};

// The byte that two hexadecimal digits encode; none: not exactly two digits, or not hexadecimal.
std::optional<char> toByte(std::string_view digits) {
  constexpr int kHexadecimal = 16;
  unsigned char byte = 0;
  if (digits.size() != 2) return std::nullopt;
  const char* const end = std::to_address(digits.end());
  const auto [parsed, error] = std::from_chars(digits.data(), end, byte, kHexadecimal);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return static_cast<char>(byte);
}

// Percent-decodes a text; none: the encoding is invalid.
std::optional<std::string> decode(std::string_view text) {
  std::string decoded;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      decoded += text[n];
      continue;
    }
    const auto byte = toByte(text.substr(n + 1, 2));
    if (!byte) return std::nullopt;
    decoded += *byte;
    n += 2;
  }
  return decoded;
}

// Decodes an upstream id from the last part of the path; none: empty, contains a slash, or wrongly encoded.
std::optional<std::string> toId(std::string_view part) {
  if (part.find('/') != std::string_view::npos) return std::nullopt;
  auto id = decode(part);
  if (!id || id->empty()) return std::nullopt;
  return id;
}

}  // namespace

std::variant<Call, Reply> route(std::string_view method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Path& known : kPaths) {
    if (!known.matches(path)) continue;
    if (method != known.method) return Reply{kMethodNotAllowed, std::string(known.method) + " only"};
    if (!known.takesId()) return Call{known.kind, {}};
    auto id = toId(path.substr(known.text.size()));
    if (!id) return Reply{kNotFound, "no upstream's id"};
    return Call{known.kind, std::move(*id)};
  }
  return Reply{kNotFound, "unknown path"};
}

}  // namespace ivypost::admin
