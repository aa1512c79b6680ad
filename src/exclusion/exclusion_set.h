// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Upstreams that operators have taken out by hand: the set, what it makes of a list's entry, and its text. It
// is overlaid over every list before the decision module sees it, so that the module hears of a drain and
// decides as ever. No I/O and no clock.
//
// An upstream is out by its id alone: whatever lists say of it, and whether they name it at all, until its
// include. From then on it is cold, since operators restart it meanwhile, and lists may not say so yet.
#ifndef IVYPOST_EXCLUSION_EXCLUSION_SET_H_
#define IVYPOST_EXCLUSION_EXCLUSION_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ivypost::exclusion {

class ExclusionSet {
 public:
  // Ids that are out, and ids that have come back and are remembered for being cold; each.
  static constexpr std::size_t kMaxEntries = 1024;
  static constexpr std::size_t kMaxIdLength = 256;

  enum class Change : std::uint8_t {
    Done,
    None,  // it was so already
    Full,  // kMaxEntries are out, or the id is too long
  };
  Change exclude(const std::string& id);
  // `nowMs`: Unix time, like lists' startedAtMs.
  Change include(const std::string& id, std::int64_t nowMs);

  bool isExcluded(const std::string& id) const { return excluded_.count(id) > 0; }
  bool empty() const { return excluded_.empty() && included_.empty(); }
  std::size_t count() const { return excluded_.size(); }
  // When the upstream counts as started, where the list says `listedMs`.
  std::int64_t startedAtMs(const std::string& id, std::int64_t listedMs) const;
  // Ids whose entry reads differently under `other`.
  std::vector<std::string> differences(const ExclusionSet& other) const;

  bool operator==(const ExclusionSet&) const = default;

  std::string serialize() const;
  // Throws std::runtime_error, one line, for a text that is cut short, garbled, too large or of another
  // version.
  static ExclusionSet parse(std::string_view text);

 private:
  std::set<std::string> excluded_;
  std::map<std::string, std::int64_t> included_;  // when each came back, Unix time in milliseconds
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_EXCLUSION_SET_H_
