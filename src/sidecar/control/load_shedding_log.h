// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Log lines about requests that are rejected or fail without an attempt: one line when load shedding begins
/// and one when it ends. No I/O and no clock.
#ifndef IVYPOST_CONTROL_LOAD_SHEDDING_LOG_H_
#define IVYPOST_CONTROL_LOAD_SHEDDING_LOG_H_

#include <cstdint>

namespace ivypost {

/// Limits the log to one line per begin and end of load shedding. Times are monotonic microseconds.
class LoadSheddingLog {
 public:
  /// Load shedding has ended when no request was rejected without an attempt for this time, in microseconds.
  static constexpr std::int64_t kQuietTime = 5'000'000;

  /// To be called when a request has been rejected or has failed without an attempt.
  /// \return a line for the log, or null.
  [[nodiscard]] const char* onRejected(std::int64_t now) {
    const bool before = isShedding_;
    isShedding_ = true;
    rejectedAt_ = now;
    return before ? nullptr : "shedding load: nobody is ready in time for all requests";
  }
  /// To be called after each event, since load shedding ends by time alone.
  /// \return a line for the log, or null.
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
