// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_ERROR_H_
#define IVYPOST_EXCLUSION_ERROR_H_

#include <system_error>
#include <type_traits>

namespace ivypost::exclusion {

/// What can be wrong beside errors of the operating system, which are in std::generic_category(). Each has a
/// message of a few words without a line end, made to follow the name of the file.
enum class Error {
  NoFolder = 1,    ///< There is no folder to keep the file in.
  Locked,          ///< Another process holds the file's lock. Nothing was tried; try again later.
  Empty,           ///< The file has no content.
  TooLarge,        ///< The file is larger than any set.
  NotJson,         ///< The text is no JSON object; one that is cut short is none.
  UnknownVersion,  ///< The text is of another version than this program writes.
  NoLists,         ///< The text lacks the excluded or the included ids.
  TooManyEntries,  ///< A list is longer than ExclusionSet::kMaxEntries.
  IdNotText,       ///< An id is no string.
  InvalidId,       ///< An id is empty or longer than ExclusionSet::kMaxIdLength.
  InvalidTime,     ///< A time is no integer.
};

/// Of a category named "ivypost.exclusion".
[[nodiscard]] std::error_code make_error_code(Error error);

}  // namespace ivypost::exclusion

template <>
struct std::is_error_code_enum<ivypost::exclusion::Error> : std::true_type {};

#endif  // IVYPOST_EXCLUSION_ERROR_H_
