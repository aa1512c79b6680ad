// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_ERROR_H_
#define IVYPOST_EXCLUSION_ERROR_H_

#include <system_error>
#include <type_traits>

namespace ivypost::exclusion {

/// Errors of this module; those of the operating system are in std::generic_category(). Each message is a few
/// words without a line end, to be appended to the name of the file.
enum class Error {
  NoFolder = 1,    ///< No folder is configured for the file.
  Locked,          ///< Another process holds the file's lock. Nothing was changed; try again later.
  Empty,           ///< The file is empty.
  TooLarge,        ///< The file is larger than the largest valid set.
  NotJson,         ///< The text is not a JSON object; it may be truncated.
  UnknownVersion,  ///< The text's format version differs from the one that this program writes.
  NoLists,         ///< The list of excluded or of included ids is missing.
  TooManyEntries,  ///< A list has more than ExclusionSet::kMaxEntries entries.
  IdNotText,       ///< An id is not a string.
  InvalidId,       ///< An id is empty or longer than ExclusionSet::kMaxIdLength.
  InvalidTime,     ///< A time is not an integer.
};

/// The error code for `error`, in a category named "ivypost.exclusion".
[[nodiscard]] std::error_code make_error_code(Error error);

}  // namespace ivypost::exclusion

template <>
struct std::is_error_code_enum<ivypost::exclusion::Error> : std::true_type {};

#endif  // IVYPOST_EXCLUSION_ERROR_H_
