// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// One key of the operator's file, and the kinds of keys that there are.
#ifndef IVYPOST_CONFIGURATION_OPERATOR_KEY_H_
#define IVYPOST_CONFIGURATION_OPERATOR_KEY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/operator_file.h"
#include "configuration/toml_table.h"

namespace ivypost::configuration {

/// A key of the operator's file: where it stands, what it does, how it is read and written.
struct Key {
  /// Dotted, as levels.protect.cpu_share. Keys are spoken: they stay letter for letter.
  std::string path;
  /// What it does, for the example: any number of lines, each under 100 characters.
  std::string description;
  /// Reads the leaf from the table of its section, if it stands there, into the file; otherwise the file
  /// stays as it is. Throws Error.
  std::function<void(OperatorFile&, Table&, std::string_view)> read;
  /// The file's value as TOML; empty: there is none that could stand there.
  std::function<std::string(const OperatorFile&)> format;

  /// The path ahead of its last dot: the key's table.
  [[nodiscard]] std::string_view section() const;
  /// The path behind its last dot.
  [[nodiscard]] std::string_view leaf() const;
};

/// The field of a file that a key sets.
template <class Value>
using Field = Value& (*)(OperatorFile&);

/// The longest time that any key takes.
constexpr std::chrono::microseconds kMaxTime = std::chrono::hours(1);

/// A key that is true or false.
[[nodiscard]] Key flagKey(std::string path, std::string description, Field<bool> field);
/// A fraction of something, from `low` to 1.
[[nodiscard]] Key fractionKey(std::string path, std::string description, double low, Field<double> field);
/// An integer from `low` to `high`.
[[nodiscard]] Key integerKey(std::string path, std::string description, std::int64_t low, std::int64_t high,
                             Field<std::int64_t> field);
/// The same for a field that counts.
[[nodiscard]] Key integerKey(std::string path, std::string description, std::int64_t low, std::int64_t high,
                             Field<std::size_t> field);
/// A time from `low` to kMaxTime.
[[nodiscard]] Key timeKey(std::string path, std::string description, std::chrono::microseconds low,
                          Field<std::chrono::microseconds> field);
/// The same for a field of microseconds.
[[nodiscard]] Key timeKey(std::string path, std::string description, std::chrono::microseconds low,
                          Field<std::int64_t> field);
/// A string of up to 4096 bytes.
[[nodiscard]] Key textKey(std::string path, std::string description, Field<std::string> field);
/// A list of up to `maxCount` strings.
[[nodiscard]] Key textListKey(std::string path, std::string description, std::size_t maxCount,
                              Field<std::vector<std::string>> field);

/// A time from `low` to kMaxTime, of the table's `leaf`, which must be there. Throws Error.
[[nodiscard]] std::chrono::microseconds readTime(Table& table, std::string_view leaf,
                                                 std::chrono::microseconds low);
/// A time as it stands in a TOML file.
[[nodiscard]] std::string formatTime(std::chrono::microseconds time);
/// A number as it stands in a TOML file, which tells 1.0 from the integer 1; six digits of it.
[[nodiscard]] std::string formatNumber(double number);
/// A string in quotes; it must have nothing to escape.
[[nodiscard]] std::string quoted(std::string_view text);

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_OPERATOR_KEY_H_
