// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The sliding window against replays of RFC 4303 (3.4.3), 64 wide, of one sender's incarnation: each sequence
// number is taken once, and none that is more than the window behind the highest one taken.
#ifndef IVYPOST_GOSSIP_REPLAY_WINDOW_H_
#define IVYPOST_GOSSIP_REPLAY_WINDOW_H_

#include <cstdint>

namespace ivypost::gossip {

class ReplayWindow {
 public:
  static constexpr std::uint64_t kWidth = 64;

  bool take(std::uint64_t sequence) {
    if (sequence > highest_) {
      const std::uint64_t by = sequence - highest_;
      seen_ = by >= kWidth ? 0 : seen_ << by;
      highest_ = sequence;
      seen_ |= 1;
      return true;
    }
    const std::uint64_t behind = highest_ - sequence;
    if (behind >= kWidth) return false;
    const std::uint64_t bit = std::uint64_t{1} << behind;
    if ((seen_ & bit) != 0) return false;
    seen_ |= bit;
    return true;
  }

 private:
  std::uint64_t highest_ = 0, seen_ = 1;  // sequence 0 is never sent
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_REPLAY_WINDOW_H_
