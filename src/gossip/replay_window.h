// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_REPLAY_WINDOW_H_
#define IVYPOST_GOSSIP_REPLAY_WINDOW_H_

#include <cstdint>

namespace ivypost::gossip {

/// The anti-replay sliding window of RFC 4303 (section 3.4.3) for one incarnation of a sender: each sequence
/// number is accepted once, and none that is kWidth or more below the highest one accepted.
class ReplayWindow {
 public:
  /// The number of sequence numbers in the window.
  static constexpr std::uint64_t kWidth = 64;

  /// Accepts the sequence number and returns true, unless it was accepted before or is below the window.
  [[nodiscard]] bool take(std::uint64_t sequence) {
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
  std::uint64_t highest_ = 0;
  std::uint64_t seen_ = 1;  // sequence 0 is never sent
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_REPLAY_WINDOW_H_
