// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// What the log says of requests that are rejected or fail unsent: one line when that begins, one when it is
/// over. No I/O and no clock.
#ifndef IVYPOST_CONTROL_LOAD_SHEDDING_LOG_H_
#define IVYPOST_CONTROL_LOAD_SHEDDING_LOG_H_

#include <cstdint>

namespace ivypost {

/// Keeps the log short while load is shed. Times are monotonic microseconds.
class LoadSheddingLog {
 public:
  /// It is over when nothing was rejected unsent for so long, in microseconds.
  static constexpr std::int64_t kQuietTime = 5'000'000;

  /// A request has been rejected, or has failed, without an attempt.
  /// \return a line for the log; null: none.
  [[nodiscard]] const char* onRejected(std::int64_t now) {
    const bool before = isShedding_;
    isShedding_ = true;
    rejectedAt_ = now;
    return before ? nullptr : "shedding load: nobody is ready in time for all requests";
  }
  /// Some event has been handled; it may be over by now.
  /// \return as onRejected().
  [[nodiscard]] const char* onEventHandled(std::int64_t now) {
    if (!isShedding_ || now - rejectedAt_ <= kQuietTime) return nullptr;
    isShedding_ = false;
    return "shedding is over";
  }

 private:
  bool isShedding_ = false;
  std::int64_t rejectedAt_ = 0;
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_LOAD_SHEDDING_LOG_H_
