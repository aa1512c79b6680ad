// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Decides whether a request's body is buffered until it is complete or streamed. A buffered body can be
// resent, and a client that writes it slowly does not occupy an upstream. Performs no I/O.
#ifndef IVYPOST_STREAMING_BODY_BUFFERING_H_
#define IVYPOST_STREAMING_BODY_BUFFERING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "streaming/byte_budget.h"
#include "streaming/stall_timer.h"

namespace ivypost::streaming {

/// The buffering of the request bodies of one connection, one at a time.
class BodyBuffering {
 public:
  /// The most bytes that are buffered of a body, or read ahead of an answer, if the budget suffices.
  static constexpr std::size_t kMaxBuffered = 2048UL * 1024;
  /// Bytes are taken from the budget in multiples of this step.
  static constexpr std::size_t kBudgetStep = 128UL * 1024;
  /// A request is abandoned if the rest of its body takes longer than kUploadSlack times the time that is
  /// expected from the rate so far ...
  static constexpr int kUploadSlack = 2;
  /// ... plus this allowance.
  static constexpr StallTimer::Duration kUploadAllowance = std::chrono::seconds(3);

  /// `freeBytes`: the most bytes of a body that are buffered without taking them from the budget.
  BodyBuffering(const ByteBudget& budget, std::size_t freeBytes) : freeBytes_(freeBytes), share_(budget) {}

  /// The capacity in bytes that a body's buffer needs, called as its bytes are received; none: the body must
  /// be streamed. `received`: bytes so far; `statedLength`: the length from the head, none if the body is
  /// chunked.
  [[nodiscard]] std::optional<std::size_t> capacityFor(std::size_t received,
                                                       std::optional<std::uint64_t> statedLength);

  /// Returns all bytes to the budget.
  void release() { share_.release(); }

  /// The time that is allowed for the rest of a streamed body, derived from the rate so far. `remaining`: the
  /// remaining bytes according to the stated length; none: unknown, estimated as kMaxBuffered.
  [[nodiscard]] static StallTimer::Duration uploadTime(const StallTimer& rate,
                                                       std::optional<std::uint64_t> remaining);

 private:
  std::size_t freeBytes_;
  ByteBudget::Share share_;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_BODY_BUFFERING_H_
