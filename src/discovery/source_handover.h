// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_
#define IVYPOST_DISCOVERY_SOURCE_HANDOVER_H_

#include <cstdint>
#include <optional>

namespace ivypost::discovery {

/// Identifies a source of a SourceHandover. Each started source gets the next number, from 1 up; 0 means no
/// source.
enum class SourceId : std::uint32_t {};

/// Decides which of two sources is in use while one replaces the other. Has no I/O and no clock.
///
/// Invariant: exactly one source is active once a source has been added. A source added later is pending
/// until its first complete list, and replaces the active source only then. So there is no gap in which no
/// source reports drains, and no time in which the lists of two contradicting sources are both applied. While
/// no list arrives from the pending source, the active source stays in use.
class SourceHandover {
 public:
  /// The source whose lists are applied; SourceId{} before the first add().
  [[nodiscard]] SourceId active() const { return active_; }
  /// The source that replaces the active one at its first complete list, if any.
  [[nodiscard]] std::optional<SourceId> pending() const { return pending_; }

  /// Adds a source: the first becomes active immediately, a later one becomes pending and replaces an
  /// earlier pending source, whose lists are ignored from then on.
  [[nodiscard]] SourceId add() {
    last_ = SourceId{static_cast<std::uint32_t>(last_) + 1};
    if (active_ == SourceId{}) {
      active_ = last_;
    } else {
      pending_ = last_;
    }
    return last_;
  }
  /// Drops the pending source: its lists are ignored. The active source stays.
  void cancel() { pending_.reset(); }

  /// What the caller has to do with a list.
  enum class Decision : std::uint8_t {
    Apply,   ///< apply the list: it is from the active source
    Switch,  ///< apply the list: its source has become active, and the caller destroys the previous one
    Ignore,  ///< ignore the list: its source is not active, or is pending and the list is not complete
  };
  /// Records a list from this source and returns what to do with it.
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
