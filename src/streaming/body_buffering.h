// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Whether a request's body is buffered until it is complete, so that it can be sent again and a client that
// writes slowly holds up no upstream, or is streamed. Decisions only.
#ifndef IVYPOST_STREAMING_BODY_BUFFERING_H_
#define IVYPOST_STREAMING_BODY_BUFFERING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "streaming/byte_budget.h"
#include "streaming/stall_timer.h"

namespace ivypost::streaming {

/// The buffering of one connection's request bodies, one after the other.
class BodyBuffering {
 public:
  /// Bytes of a body, or read ahead of an answer, that are buffered at the most, as far as the budget goes.
  static constexpr std::size_t kMaxBuffered = 2048UL * 1024;
  /// The budget is taken in steps of so many bytes.
  static constexpr std::size_t kBudgetStep = 128UL * 1024;
  /// How much longer than its rate so far lets expect the rest of a body may take, before its request is
  /// abandoned: so many times as long ...
  static constexpr int kUploadSlack = 2;
  /// ... and so much more.
  static constexpr StallTimer::Duration kUploadAllowance = std::chrono::seconds(3);

  /// `freeBytes`: a body of up to so many bytes is buffered without the budget.
  BodyBuffering(const ByteBudget& budget, std::size_t freeBytes) : freeBytes_(freeBytes), share_(budget) {}

  /// Asked as bytes of a body come: the capacity that its buffer needs, in bytes; none: it has to be
  /// streamed. `received`: bytes so far; `statedLength`: by its head; none: it comes in chunks.
  [[nodiscard]] std::optional<std::size_t> capacityFor(std::size_t received,
                                                       std::optional<std::uint64_t> statedLength);

  /// Gives back what was taken from the budget.
  void release() { share_.release(); }

  /// The time that the rest of a streamed body is allowed, by the rate so far. `remaining`: bytes by its
  /// stated length; none: unknown, and taken for kMaxBuffered.
  [[nodiscard]] static StallTimer::Duration uploadTime(const StallTimer& rate,
                                                       std::optional<std::uint64_t> remaining);

 private:
  std::size_t freeBytes_;
  ByteBudget::Share share_;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_BODY_BUFFERING_H_
