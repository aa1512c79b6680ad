// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Upstreams that operators have taken out by hand: the set, what it makes of a list's entry, and its text. It
// is laid over every list before the decision module sees it, so that the module hears of a drain and decides
// as ever. No I/O and no clock.
//
// An upstream is out by its id alone: whatever lists say of it, and whether they name it at all, until its
// include. From then on it is cold, since operators restart it meanwhile, and lists may not say so yet.
#ifndef IVYPOST_ROTATION_ROTATION_H_
#define IVYPOST_ROTATION_ROTATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ivypost::rotation {

class Rotation {
 public:
  // Ids that are out, and ids that have come back and are remembered for being cold; each.
  static constexpr std::size_t kMost = 1024;
  static constexpr std::size_t kMaxId = 256;

  enum class Change : std::uint8_t {
    Done,
    None,  // it was so already
    Full,  // kMost are out, or the id is too long
  };
  Change exclude(const std::string& id);
  // `nowMs`: Unix time, like lists' startedAtMs.
  Change include(const std::string& id, std::int64_t nowMs);

  bool isOut(const std::string& id) const { return out_.count(id) > 0; }
  bool empty() const { return out_.empty() && back_.empty(); }
  std::size_t count() const { return out_.size(); }
  // When the upstream counts as started, where the list says `listedMs`.
  std::int64_t startedAtMs(const std::string& id, std::int64_t listedMs) const;
  // Ids whose entry reads differently under `other`.
  std::vector<std::string> differences(const Rotation& other) const;

  bool operator==(const Rotation&) const = default;

  std::string text() const;
  // Throws std::runtime_error, one line, for a text that is cut short, garbled, too large or of another
  // version.
  static Rotation parse(std::string_view text);

 private:
  std::set<std::string> out_;
  std::map<std::string, std::int64_t> back_;  // when each came back, Unix time in milliseconds
};

}  // namespace ivypost::rotation

#endif  // IVYPOST_ROTATION_ROTATION_H_
