// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "configuration/operator_key.h"

#include <array>
#include <charconv>
#include <utility>

#include "configuration/units.h"

namespace ivypost::configuration {
namespace {

constexpr std::size_t kMaxTextBytes = 4096;

// A Field needs a mutable file, so that a const file is copied before its field is read.
template <class Value>
Value valueOf(Field<Value> field, const OperatorFile& file) {
  OperatorFile copy = file;
  return field(copy);
}

template <class Number>
Key integerKeyOf(std::string path, std::string description, std::int64_t low, std::int64_t high,
                 Field<Number> field) {
  return {std::move(path), std::move(description),
          [field, low, high](OperatorFile& file, Table& table, std::string_view leaf) {
            const auto fallback = static_cast<std::int64_t>(field(file));
            field(file) = static_cast<Number>(table.integer(leaf, low, high, fallback));
          },
          [field](const OperatorFile& file) { return std::to_string(valueOf(field, file)); }};
}

std::string formatList(const std::vector<std::string>& texts) {
  std::string list(1, '[');
  for (const auto& text : texts) list.append(list.size() == 1 ? "" : ", ").append(quoted(text));
  return list.append(1, ']');
}

}  // namespace

std::string_view Key::section() const {
  return std::string_view(path).substr(0, path.rfind('.'));
}

std::string_view Key::leaf() const {
  return std::string_view(path).substr(path.rfind('.') + 1);
}

Key flagKey(std::string path, std::string description, Field<bool> field) {
  return {std::move(path), std::move(description),
          [field](OperatorFile& file, Table& table, std::string_view leaf) {
            field(file) = table.flag(leaf, field(file));
          },
          [field](const OperatorFile& file) { return valueOf(field, file) ? "true" : "false"; }};
}

Key fractionKey(std::string path, std::string description, double low, Field<double> field) {
  return {std::move(path), std::move(description),
          [field, low](OperatorFile& file, Table& table, std::string_view leaf) {
            field(file) = table.number(leaf, low, 1, field(file));
          },
          [field](const OperatorFile& file) { return formatNumber(valueOf(field, file)); }};
}

Key integerKey(std::string path, std::string description, std::int64_t low, std::int64_t high,
               Field<std::int64_t> field) {
  return integerKeyOf(std::move(path), std::move(description), low, high, field);
}

Key integerKey(std::string path, std::string description, std::int64_t low, std::int64_t high,
               Field<std::size_t> field) {
  return integerKeyOf(std::move(path), std::move(description), low, high, field);
}

Key timeKey(std::string path, std::string description, std::chrono::microseconds low,
            Field<std::chrono::microseconds> field) {
  return {std::move(path), std::move(description),
          [field, low](OperatorFile& file, Table& table, std::string_view leaf) {
            if (table.has(leaf)) field(file) = readTime(table, leaf, low);
          },
          [field](const OperatorFile& file) { return formatTime(valueOf(field, file)); }};
}

Key timeKey(std::string path, std::string description, std::chrono::microseconds low,
            Field<std::int64_t> field) {
  return {std::move(path), std::move(description),
          [field, low](OperatorFile& file, Table& table, std::string_view leaf) {
            if (table.has(leaf)) field(file) = readTime(table, leaf, low).count();
          },
          [field](const OperatorFile& file) {
            return formatTime(std::chrono::microseconds(valueOf(field, file)));
          }};
}

Key textKey(std::string path, std::string description, Field<std::string> field) {
  return {std::move(path), std::move(description),
          [field](OperatorFile& file, Table& table, std::string_view leaf) {
            std::string value = table.text(leaf, field(file));
            if (value.size() > kMaxTextBytes) table.fail(leaf, "over 4096 bytes");
            field(file) = std::move(value);
          },
          [field](const OperatorFile& file) { return quoted(valueOf(field, file)); }};
}

Key textListKey(std::string path, std::string description, std::size_t maxCount,
                Field<std::vector<std::string>> field) {
  return {std::move(path), std::move(description),
          [field, maxCount](OperatorFile& file, Table& table, std::string_view leaf) {
            field(file) = table.texts(leaf, maxCount);
          },
          [field](const OperatorFile& file) { return formatList(valueOf(field, file)); }};
}

std::chrono::microseconds readTime(Table& table, std::string_view leaf, std::chrono::microseconds low) {
  const auto time = table.duration(leaf);
  if (time < low || time > kMaxTime)
    table.fail(leaf, "out of range", "allowed is " + formatDuration(low) + " to " + formatDuration(kMaxTime));
  return time;
}

std::string formatTime(std::chrono::microseconds time) {
  return quoted(formatDuration(time));
}

std::string formatNumber(double number) {
  constexpr std::size_t kMaxDigits = 32;  // above the 13 characters of "-1.23457e-308"
  constexpr int kPrecision = 6;
  std::array<char, kMaxDigits> text{};
  const auto written =
      std::to_chars(text.begin(), text.end(), number, std::chars_format::general, kPrecision);
  std::string digits(text.begin(), written.ptr);
  return digits.find_first_of(".e") == std::string::npos ? digits + ".0" : digits;
}

std::string quoted(std::string_view text) {
  return std::string(1, '"').append(text).append(1, '"');
}

}  // namespace ivypost::configuration
