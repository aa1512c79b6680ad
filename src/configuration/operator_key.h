// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A key of the operator's file, and factories for the types of keys.
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

/// A key of the operator's file: its path, description, reader and formatter.
struct Key {
  /// Dotted, as in levels.protect.cpu_share. Keys are a public interface and must not be renamed.
  std::string path;
  /// The key's comment in the example file: any number of lines, each under 100 characters.
  std::string description;
  /// Reads the leaf from the table of its section into the file; leaves the file unchanged if the key is
  /// missing. Throws Error.
  std::function<void(OperatorFile&, Table&, std::string_view)> read;
  /// Formats the file's value as TOML; empty: the value can't be written, and the example leaves the key out.
  std::function<std::string(const OperatorFile&)> format;

  /// The path before its last dot: the key's table.
  [[nodiscard]] std::string_view section() const;
  /// The path after its last dot: the key's name in its table.
  [[nodiscard]] std::string_view leaf() const;
};

/// Returns a reference to the field of the file that a key sets.
template <class Value>
using Field = Value& (*)(OperatorFile&);

/// The longest time that a key may be set to.
constexpr std::chrono::microseconds kMaxTime = std::chrono::hours(1);

/// A key that is true or false.
[[nodiscard]] Key flagKey(std::string path, std::string description, Field<bool> field);
/// A fraction from `low` to 1.
[[nodiscard]] Key fractionKey(std::string path, std::string description, double low, Field<double> field);
/// An integer from `low` to `high`.
[[nodiscard]] Key integerKey(std::string path, std::string description, std::int64_t low, std::int64_t high,
                             Field<std::int64_t> field);
/// An integer from `low` to `high`, for a field of type std::size_t.
[[nodiscard]] Key integerKey(std::string path, std::string description, std::int64_t low, std::int64_t high,
                             Field<std::size_t> field);
/// A time from `low` to kMaxTime.
[[nodiscard]] Key timeKey(std::string path, std::string description, std::chrono::microseconds low,
                          Field<std::chrono::microseconds> field);
/// A time from `low` to kMaxTime, for a field that holds microseconds as an integer.
[[nodiscard]] Key timeKey(std::string path, std::string description, std::chrono::microseconds low,
                          Field<std::int64_t> field);
/// A string of up to 4096 bytes.
[[nodiscard]] Key textKey(std::string path, std::string description, Field<std::string> field);
/// A list of up to `maxCount` strings.
[[nodiscard]] Key textListKey(std::string path, std::string description, std::size_t maxCount,
                              Field<std::vector<std::string>> field);

/// Reads a time from `low` to kMaxTime from the table's key `leaf`. Throws Error, also if the key is missing.
[[nodiscard]] std::chrono::microseconds readTime(Table& table, std::string_view leaf,
                                                 std::chrono::microseconds low);
/// Formats a time as a TOML string, as in "250ms".
[[nodiscard]] std::string formatTime(std::chrono::microseconds time);
/// Formats a number as a TOML float with six significant digits; 1 becomes 1.0, since TOML separates floats
/// from integers.
[[nodiscard]] std::string formatNumber(double number);
/// A string in double quotes; it must contain no character that TOML escapes.
[[nodiscard]] std::string quoted(std::string_view text);

}  // namespace ivypost::configuration

#endif  // IVYPOST_CONFIGURATION_OPERATOR_KEY_H_
