// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "settings/line.h"

#include <charconv>
#include <cmath>
#include <cstddef>
#include <limits>
#include <memory>
#include <string>

#include "settings/format_error.h"

namespace ivypost::settings {
namespace {

// Pairs reserved per line: enough for an event's line on the simulator's wire, of which there are millions.
constexpr std::size_t kTypicalFieldCount = 12;
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kBitsPerDigit = 4;

std::int64_t toInteger(std::string_view key, std::string_view value, std::int64_t low, std::int64_t high) {
  std::int64_t result = 0;
  const auto [end, error] = std::from_chars(value.data(), std::to_address(value.end()), result);
  if (error != std::errc() || end != std::to_address(value.end()))
    throwFormatError(std::string(key) + " is no integer:", value);
  if (result < low || result > high) throwFormatError(std::string(key) + " is out of range:", value);
  return result;
}

bool toFlag(std::string_view key, std::string_view value) {
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  throwFormatError(std::string(key) + " is no bool:", value);
}

}  // namespace

double toNumber(std::string_view key, std::string_view value) {
  double result = 0;
  const auto [end, error] = std::from_chars(value.data(), std::to_address(value.end()), result);
  if (error != std::errc() || end != std::to_address(value.end()) || !std::isfinite(result)) {
    throwFormatError(std::string(key) + " is no number:", value);
  }
  return result;
}

std::vector<std::string_view> split(std::string_view list, char separator) {
  std::vector<std::string_view> parts;
  while (!list.empty()) {
    const std::size_t at = list.find(separator);
    parts.push_back(list.substr(0, at));
    if (at == std::string_view::npos) break;
    list.remove_prefix(at + 1);
  }
  return parts;
}

Line::Line(std::string_view text) {
  const std::size_t head = text.find(' ');
  name_ = text.substr(0, head);
  if (name_.empty() || name_.find('=') != std::string_view::npos)
    throwFormatError("line without a name:", text);
  if (head == std::string_view::npos) return;
  fields_.reserve(kTypicalFieldCount);
  for (std::string_view rest = text.substr(head + 1);;) {
    const std::size_t end = rest.find(' ');
    const std::string_view part = rest.substr(0, end);
    const std::size_t equals = part.find('=');
    if (equals == 0 || equals == std::string_view::npos) throwFormatError("not a name=value pair:", part);
    fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
}

std::optional<std::string_view> Line::find(std::string_view key) const {
  for (const auto& [name, value] : fields_) {
    if (name == key) return value;
  }
  return std::nullopt;
}

std::string_view Line::text(std::string_view key) const {
  const auto value = find(key);
  if (!value || value->empty()) throwFormatError("missing value:", key);
  return *value;
}

std::int64_t Line::integer(std::string_view key, std::int64_t low, std::int64_t high) const {
  return toInteger(key, text(key), low, high);
}

std::int64_t Line::integer(std::string_view key, std::int64_t low, std::int64_t high,
                           std::int64_t absent) const {
  const auto value = find(key);
  return value ? toInteger(key, *value, low, high) : absent;
}

double Line::number(std::string_view key, double absent) const {
  const auto value = find(key);
  return value ? toNumber(key, *value) : absent;
}

bool Line::flag(std::string_view key) const {
  const auto value = find(key);
  return value && toFlag(key, *value);
}

balancer::RequestId Line::request(std::string_view key) const {
  const std::string_view value = text(key);
  balancer::RequestId id = 0;
  for (const char c : value) {
    const std::size_t digit = kHexDigits.find(c);
    if (digit == std::string_view::npos) throwFormatError("request id is not lower-case hex:", value);
    id = id << kBitsPerDigit | digit;
  }
  if (value.size() != std::numeric_limits<balancer::RequestId>::digits / kBitsPerDigit)
    throwFormatError("request id has not 16 digits:", value);
  return id;
}

}  // namespace ivypost::settings
