// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Which of two sources counts while one takes over from the other: the old one until the new one has its
// first whole list. Guards against a gap in which nobody tells of a drain, and against two sources that
// contradict each other. No I/O and no clock.
#ifndef IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_
#define IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_

#include <cstdint>
#include <optional>

namespace ivypost::discovery {

class SourceHandover {
 public:
  using Number = std::uint32_t;  // of a source, new with each start of one

  Number current() const { return current_; }
  std::optional<Number> next() const { return next_; }

  // The first source, or one that is to take over. The one that was to take over before has lost its turn.
  Number begin() {
    const Number number = ++last_;
    if (current_ == 0) {
      current_ = number;
    } else {
      next_ = number;
    }
    return number;
  }
  // The old one stays.
  void abandon() { next_.reset(); }

  enum class Verdict : std::uint8_t {
    Take,      // it is the one that counts
    TakeOver,  // it counts from now on, the other one goes
    Leave,     // not, or not yet
  };
  Verdict told(Number from, bool whole) {
    if (from == current_) return Verdict::Take;
    if (from != next_ || !whole) return Verdict::Leave;
    current_ = from;
    next_.reset();
    return Verdict::TakeOver;
  }

 private:
  Number last_ = 0, current_ = 0;
  std::optional<Number> next_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_
