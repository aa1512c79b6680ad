// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admin/call.h"

#include <array>
#include <charconv>
#include <optional>

namespace ivypost::admin {
namespace {

struct Path {
  std::string_view text;  // ends with a slash if an upstream's id follows
  std::string_view method;
  Call::Kind kind;
};

constexpr std::array<Path, 5> kPaths = {{{"/api/ready", "GET", Call::Kind::Ready},
                                         {"/api/exclude/", "POST", Call::Kind::Exclude},
                                         {"/api/include/", "POST", Call::Kind::Include},
                                         {"/api/evacuate", "POST", Call::Kind::Evacuate},
                                         {"/api/rejoin", "POST", Call::Kind::Rejoin}}};

std::optional<std::string> decoded(std::string_view text) {
  std::string plain;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      plain += text[n];
      continue;
    }
    unsigned char byte = 0;
    const char* const from = text.data() + n + 1;
    if (n + 2 >= text.size()) return std::nullopt;
    const auto [end, error] = std::from_chars(from, from + 2, byte, 16);
    if (error != std::errc() || end != from + 2) return std::nullopt;
    plain += static_cast<char>(byte);
    n += 2;
  }
  return plain;
}

}  // namespace

std::variant<Call, Reply> route(std::string_view method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Path& known : kPaths) {
    const bool withId = known.text.back() == '/';
    if (withId ? path.substr(0, known.text.size()) != known.text : path != known.text) continue;
    if (method != known.method) return Reply{405, std::string(known.method) + " only"};
    Call call{known.kind, {}};
    if (!withId) return call;
    const std::string_view id = path.substr(known.text.size());
    auto upstream = id.find('/') == std::string_view::npos ? decoded(id) : std::nullopt;
    if (!upstream || upstream->empty()) return Reply{404, "no upstream's id"};
    call.upstream = std::move(*upstream);
    return call;
  }
  return Reply{404, "unknown path"};
}

}  // namespace ivypost::admin
