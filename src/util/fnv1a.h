// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_UTIL_FNV1A_H_
#define IVYPOST_UTIL_FNV1A_H_

#include <cstdint>
#include <string_view>

namespace ivypost::util {

/// The FNV-1a hash of an empty text.
constexpr std::uint64_t kFnv1aOffsetBasis = 0xcbf29ce484222325;

/// The 64-bit FNV-1a hash (RFC 9923), for ids that must be the same in every build, unlike std::hash. The
/// probability that any two of 2,000 names collide is 1 in 10^13. Does not resist names chosen to collide.
/// \param text the text, or its next part.
/// \param hash the hash of the preceding parts.
[[nodiscard]] constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t hash = kFnv1aOffsetBasis) {
  constexpr std::uint64_t kPrime = 0x100000001b3;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  return hash;
}

}  // namespace ivypost::util

#endif  // IVYPOST_UTIL_FNV1A_H_
