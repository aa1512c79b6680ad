// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Lines of name=value pairs, in which the settings come to both hosts of the decision module: from the
// simulator's wire as they are, from the sidecar's configuration as it flattens its JSON.
#ifndef IVYPOST_SETTINGS_LINE_H_
#define IVYPOST_SETTINGS_LINE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "ivypost/balancer.h"

namespace ivypost::settings {

/// The largest time in a line, in microseconds: what JSON's numbers hold exactly. Sums of a few don't
/// overflow.
constexpr std::int64_t kMaxTime = std::int64_t{1} << 53U;
/// The largest count in a line.
constexpr std::int64_t kMaxCount = 1'000'000'000;

/// A finite number. Throws FormatError, which names the key, for a value that is none.
[[nodiscard]] double toNumber(std::string_view key, std::string_view value);

/// The parts of a list between its separators, as views into it. An empty list has none, and a separator at
/// the end begins none.
[[nodiscard]] std::vector<std::string_view> split(std::string_view list, char separator);

/// One line: a name and its name=value pairs. Holds views into the text, which has to outlive it. All readers
/// throw FormatError for a value of another kind; of two pairs with one name the first counts.
class Line {
 public:
  /// Throws FormatError for a text without a name, or with a part that is no pair.
  explicit Line(std::string_view text);

  /// What stands in front of the pairs.
  [[nodiscard]] std::string_view name() const { return name_; }
  /// The pairs, in the line's order.
  [[nodiscard]] const std::vector<std::pair<std::string_view, std::string_view>>& fields() const {
    return fields_;
  }
  /// The value of a key, which may be empty; none if it is missing.
  [[nodiscard]] std::optional<std::string_view> find(std::string_view key) const;
  /// The value of a key; throws if it is missing or empty.
  [[nodiscard]] std::string_view text(std::string_view key) const;
  /// An integer from `low` to `high`; throws if it is missing.
  [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high) const;
  /// An integer from `low` to `high`; `absent`, which need not be in the bounds, if it is missing.
  [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high,
                                     std::int64_t absent) const;
  /// A finite number of any size; `absent` if it is missing.
  [[nodiscard]] double number(std::string_view key, double absent) const;
  /// 1 or true, 0 or false; false if it is missing.
  [[nodiscard]] bool flag(std::string_view key) const;
  /// A request's id: 16 digits, hexadecimal, lower case. Throws if it is missing.
  [[nodiscard]] balancer::RequestId request(std::string_view key) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

}  // namespace ivypost::settings

#endif  // IVYPOST_SETTINGS_LINE_H_
