// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_RESULT_H_
#define IVYPOST_EXCLUSION_RESULT_H_

#include <system_error>
#include <type_traits>
#include <utility>
#include <variant>

namespace ivypost::exclusion {

/// A value, or why there is none. What std::expected<Value, std::error_code> will be with C++23.
template <typename Value>
class [[nodiscard]] Result {
 public:
  // The constructors are implicit, so that a function may return a value or an error.
  /// A result that holds `value`, which is moved in.
  Result(Value value) : content_(std::move(value)) {}
  /// `error` must be one: not the code of success.
  Result(std::error_code error) : content_(error) {}
  /// For enums that are registered as error codes (std::is_error_code_enum), such as Error.
  template <typename Enum>
  requires std::is_error_code_enum_v<Enum> Result(Enum error) : content_(std::error_code(error)) {}

  /// Whether value() may be called; otherwise error() says why there is none.
  [[nodiscard]] bool hasValue() const { return std::holds_alternative<Value>(content_); }
  /// As hasValue(), for use in conditions.
  explicit operator bool() const { return hasValue(); }

  /// Throws std::bad_variant_access if there is no value.
  [[nodiscard]] const Value& value() const& { return std::get<Value>(content_); }
  /// The same, to move the value out of a result that is used up by it.
  [[nodiscard]] Value&& value() && { return std::get<Value>(std::move(content_)); }

  /// The code of success if there is a value.
  [[nodiscard]] std::error_code error() const {
    return hasValue() ? std::error_code() : std::get<std::error_code>(content_);
  }

 private:
  std::variant<Value, std::error_code> content_;
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_RESULT_H_
