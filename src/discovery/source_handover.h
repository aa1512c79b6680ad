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
  using SourceId = std::uint32_t;  // of a source, new with each start of one

  SourceId active() const { return active_; }
  std::optional<SourceId> pending() const { return pending_; }

  // The first source, or one that is to take over. The one that was to take over before has lost its turn.
  SourceId add() {
    const SourceId number = ++last_;
    if (active_ == 0) {
      active_ = number;
    } else {
      pending_ = number;
    }
    return number;
  }
  // The old one stays.
  void cancel() { pending_.reset(); }

  enum class Decision : std::uint8_t {
    Apply,   // it is the one that counts
    Switch,  // it counts from now on, the other one goes
    Ignore,  // not, or not yet
  };
  Decision onList(SourceId from, bool isComplete) {
    if (from == active_) return Decision::Apply;
    if (from != pending_ || !isComplete) return Decision::Ignore;
    active_ = from;
    pending_.reset();
    return Decision::Switch;
  }

 private:
  SourceId last_ = 0, active_ = 0;
  std::optional<SourceId> pending_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_
