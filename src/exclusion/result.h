// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_RESULT_H_
#define IVYPOST_EXCLUSION_RESULT_H_

#include <system_error>
#include <type_traits>
#include <utility>
#include <variant>

namespace ivypost::exclusion {

/// A value or an error code; to be replaced by std::expected<Value, std::error_code> with C++23.
template <typename Value>
class [[nodiscard]] Result {
 public:
  // The constructors are implicit, so that a function may return a value or an error.
  /// A result that holds a value.
  Result(Value value) : content_(std::move(value)) {}
  /// A result that holds an error. `error` must not be the code of success.
  Result(std::error_code error) : content_(error) {}
  /// A result that holds an error of an enum that is registered by std::is_error_code_enum, such as Error.
  template <typename Enum>
  requires std::is_error_code_enum_v<Enum> Result(Enum error) : content_(std::error_code(error)) {}

  /// Whether there is a value; otherwise error() returns the reason.
  [[nodiscard]] bool hasValue() const { return std::holds_alternative<Value>(content_); }
  /// As hasValue(), for use in conditions.
  explicit operator bool() const { return hasValue(); }

  /// The value. Throws std::bad_variant_access if there is none.
  [[nodiscard]] const Value& value() const& { return std::get<Value>(content_); }
  /// As above; moves the value out of a temporary or moved result.
  [[nodiscard]] Value&& value() && { return std::get<Value>(std::move(content_)); }

  /// The error; the code of success if there is a value.
  [[nodiscard]] std::error_code error() const {
    return hasValue() ? std::error_code() : std::get<std::error_code>(content_);
  }

 private:
  std::variant<Value, std::error_code> content_;
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_RESULT_H_
