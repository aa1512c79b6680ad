// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Lines of name=value pairs, the format in which both hosts of the decision module read the settings: the
// simulator's wire sends them so, and the sidecar flattens its JSON configuration into them.
#ifndef IVYPOST_SETTINGS_LINE_H_
#define IVYPOST_SETTINGS_LINE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "ivypost/balancer.h"

namespace ivypost::settings {

/// The largest time in a line, in microseconds: the largest integer that JSON numbers represent exactly. Sums
/// of a few such times don't overflow.
constexpr std::int64_t kMaxTime = std::int64_t{1} << 53U;
/// The largest count in a line.
constexpr std::int64_t kMaxCount = 1'000'000'000;

/// Parses a finite number. Throws FormatError, which names the key, if the value is not one.
[[nodiscard]] double toNumber(std::string_view key, std::string_view value);

/// Splits a list at its separators into views of it. An empty list has no parts, and a separator at the end
/// is not followed by an empty part.
[[nodiscard]] std::vector<std::string_view> split(std::string_view list, char separator);

/// A line: a name and its name=value pairs. Holds views into the text, which must outlive the object. All
/// readers throw FormatError for a value of another type; the first of several pairs with the same name is
/// used.
class Line {
 public:
  /// Throws FormatError for a text without a name, or with a part that is not a name=value pair.
  explicit Line(std::string_view text);

  /// The line's first word, before the pairs.
  [[nodiscard]] std::string_view name() const { return name_; }
  /// The pairs, in the line's order.
  [[nodiscard]] const std::vector<std::pair<std::string_view, std::string_view>>& fields() const {
    return fields_;
  }
  /// The value of a key, which may be empty; none if the key is missing.
  [[nodiscard]] std::optional<std::string_view> find(std::string_view key) const;
  /// The value of a key; throws FormatError if the key is missing or its value is empty.
  [[nodiscard]] std::string_view text(std::string_view key) const;
  /// An integer from `low` to `high`; throws FormatError if the key is missing.
  [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high) const;
  /// An integer from `low` to `high`; `absent`, which need not be in that range, if the key is missing.
  [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high,
                                     std::int64_t absent) const;
  /// A finite number of any size; `absent` if the key is missing.
  [[nodiscard]] double number(std::string_view key, double absent) const;
  /// A boolean, written as 1 or true, 0 or false; false if the key is missing.
  [[nodiscard]] bool flag(std::string_view key) const;
  /// A request's id: 16 lower-case hexadecimal digits. Throws FormatError if the key is missing.
  [[nodiscard]] balancer::RequestId request(std::string_view key) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_LINE_H_
