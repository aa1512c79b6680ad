// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/error.h"

#include <string>

namespace ivypost::exclusion {
namespace {

class Category : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override { return "ivypost.exclusion"; }
  [[nodiscard]] std::string message(int value) const override {
    switch (static_cast<Error>(value)) {
      case Error::NoFolder:
        return "there is no folder for it";
      case Error::Locked:
        return "the other process holds the file";
      case Error::Empty:
        return "empty";
      case Error::TooLarge:
        return "too large";
      case Error::NotJson:
        return "not JSON, or cut short";
      case Error::UnknownVersion:
        return "of another version";
      case Error::NoLists:
        return "lacks its lists";
      case Error::TooManyEntries:
        return "names too many upstreams";
      case Error::IdNotText:
        return "names an id that is no text";
      case Error::InvalidId:
        return "names an id that can't be one";
      case Error::InvalidTime:
        return "has a time that is none";
    }
    return "unknown error";
  }
};

}  // namespace

std::error_code make_error_code(Error error) {
  static const Category category;
  return {static_cast<int>(error), category};
}

}  // namespace ivypost::exclusion
