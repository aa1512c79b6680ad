// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_
#define IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_

#include <cstdint>
#include <optional>

namespace ivypost::discovery {

/// A source of a SourceHandover; a new one with each start of a source, from 1 up. 0 is none.
enum class SourceId : std::uint32_t {};

/// Decides which of two sources is applied while one takes over from the other. No I/O and no clock.
///
/// Invariant: once a source was added exactly one is active. A source added later is pending until its first
/// complete list, and only then replaces the active one, so that there is no gap in which nobody notifies of
/// a drain, and no time in which two sources that contradict each other are both applied. A pending source
/// that is never heard of changes nothing.
class SourceHandover {
 public:
  /// The source whose lists are applied; SourceId{} before the first add().
  [[nodiscard]] SourceId active() const { return active_; }
  /// The source that is to take over, if any.
  [[nodiscard]] std::optional<SourceId> pending() const { return pending_; }

  /// Adds the first source, which is active at once, or one that is to take over. One that was pending before
  /// is never applied any more.
  [[nodiscard]] SourceId add() {
    last_ = SourceId{static_cast<std::uint32_t>(last_) + 1};
    if (active_ == SourceId{}) {
      active_ = last_;
    } else {
      pending_ = last_;
    }
    return last_;
  }
  /// The active source stays, and the pending one is never applied.
  void cancel() { pending_.reset(); }

  /// What to do with a list.
  enum class Decision : std::uint8_t {
    Apply,   ///< its source is the active one
    Switch,  ///< apply it: its source is active from now on, and the one before has to go
    Ignore,  ///< its source is not active, or not yet
  };
  /// A list has come from this source.
  [[nodiscard]] Decision onList(SourceId source, bool isComplete) {
    if (source == active_) return Decision::Apply;
    if (source != pending_ || !isComplete) return Decision::Ignore;
    active_ = source;
    pending_.reset();
    return Decision::Switch;
  }

 private:
  SourceId last_{};
  SourceId active_{};
  std::optional<SourceId> pending_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_
