// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Decides whether an answer that arrives on a reused connection can belong to the request that was sent
/// last. Performs no I/O and reads no clock.
#ifndef IVYPOST_UPSTREAM_RESPONSE_TIMES_H_
#define IVYPOST_UPSTREAM_RESPONSE_TIMES_H_

#include <cstdint>
#include <optional>

#include "clock.h"

namespace ivypost {

/// The response times of one upstream, over all its connections. A response time is the time from the last
/// byte of a request to the first byte of its answer.
///
/// An HTTP/1.1 answer does not name its request. If an upstream sends an answer a second time, the copy may
/// arrive after the next request has been written on that connection, and would be read as its answer. Such a
/// copy was sent before the upstream had read the next request, so it arrives sooner than an answer can: the
/// shortest response time contains the transit of the request, the work, and the transit of the answer. The
/// first answer on a connection has no predecessor, so that it is always genuine and sets the first minimum.
class ResponseTimes {
 public:
  /// An answer is too early if it comes within this fraction of the shortest response time so far. Below 1,
  /// since the shortest time that is possible may not have been observed yet.
  static constexpr double kEarlyFraction = 0.8;
  /// A repeated answer counts as a copy after this many answers that differed from their predecessors, if
  /// none was equal: many services give the same answer to each request.
  static constexpr std::uint32_t kMinDistinctAnswers = 8;
  /// An early answer is held for this multiple of the longest response time so far.
  static constexpr int kHoldFactor = 2;

  /// Whether an answer with this response time came too early to be genuine.
  [[nodiscard]] bool isEarly(Clock::duration responseTime) const;
  /// Whether an answer that equals its predecessor on the connection is likely to be a copy of it.
  [[nodiscard]] bool areAnswersDistinct() const {
    return repeatedAnswers_ == 0 && distinctAnswers_ >= kMinDistinctAnswers;
  }
  /// How long after its request an early answer is held, within which a second answer would arrive.
  [[nodiscard]] Clock::duration holdTime() const { return kHoldFactor * longest_; }

  /// Records the response time of an answer that was accepted as genuine. Ignored unless positive: an
  /// upstream may answer before it has received the complete request.
  void record(Clock::duration responseTime);
  /// Records whether a genuine answer equals its predecessor on the connection.
  void recordRepetition(bool isRepeated);

 private:
  std::optional<Clock::duration> shortest_;
  Clock::duration longest_{};
  std::uint32_t distinctAnswers_ = 0;  // saturates at kMinDistinctAnswers
  std::uint32_t repeatedAnswers_ = 0;  // saturates at 1
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_RESPONSE_TIMES_H_
