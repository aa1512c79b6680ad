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
  /// The most bytes of a body of any length that are buffered before it is streamed.
  static constexpr std::size_t kStreamingThreshold = 64UL * 1024;
  /// The bytes of a body that are buffered without taking them from the budget.
  static constexpr std::size_t kFreeBytes = 2UL * 1024;
  /// The capacity for a stated length is at most this multiple of the bytes that have been received.
  static constexpr std::size_t kMaxUnusedFactor = 16;
  /// A request is abandoned if the rest of its body takes longer than kUploadSlack times the time that is
  /// expected from the rate so far ...
  static constexpr int kUploadSlack = 2;
  /// ... plus this allowance.
  static constexpr StallTimer::Duration kUploadAllowance = std::chrono::seconds(3);

  /// Creates a buffering that has taken nothing from `budget`.
  explicit BodyBuffering(const ByteBudget& budget) : share_(budget) {}

  /// Whether a body must be streamed, since it is too large to be buffered. `received`: bytes so far;
  /// `statedLength`: the length from the head, none if the body is chunked.
  [[nodiscard]] static bool mustStream(std::size_t received, std::optional<std::uint64_t> statedLength);
  /// The capacity in bytes that the body's buffer needs for the next read, called before each; none: the
  /// budget is used up. Requires that the body need not be streamed. A stated length is taken as soon as
  /// kMaxUnusedFactor times the bytes received reach it, so that bodies that have budget don't wait for more,
  /// and stating a length takes little.
  [[nodiscard]] std::optional<std::size_t> capacityFor(std::size_t received,
                                                       std::optional<std::uint64_t> statedLength);
  /// Returns what a buffer of `bytes` doesn't need to the budget.
  void keep(std::size_t bytes) { share_.shrinkTo(bytes); }

  /// The bytes that are taken from the budget for the current body. Who takes the body over takes them too.
  [[nodiscard]] ByteBudget::Share& share() { return share_; }
  /// Read-only access to the same.
  [[nodiscard]] const ByteBudget::Share& share() const { return share_; }
  /// Returns all bytes to the budget.
  void release() { share_.release(); }

  /// The time that is allowed for the rest of a streamed body, derived from the rate so far. `remaining`: the
  /// remaining bytes according to the stated length; none: unknown, estimated as kMaxBuffered.
  [[nodiscard]] static StallTimer::Duration uploadTime(const StallTimer& rate,
                                                       std::optional<std::uint64_t> remaining);

 private:
  ByteBudget::Share share_;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_BODY_BUFFERING_H_
