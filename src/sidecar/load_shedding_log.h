// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_LOAD_SHEDDING_LOG_H_
#define IVYPOST_LOAD_SHEDDING_LOG_H_

#include <cstdint>

namespace ivypost {

/// What the log says of requests that are rejected since no endpoint can serve them in time: one line when
/// that begins, one when it ends. No I/O and no clock.
class LoadSheddingLog {
 public:
  /// Load shedding has ended when nothing was rejected for so long, in microseconds.
  static constexpr std::int64_t kQuietTime = 5'000'000;

  /// A request was rejected at `now`, in microseconds of a monotonic clock. A line for the log, or null.
  [[nodiscard]] const char* onRejected(std::int64_t now) {
    const bool wasShedding = isShedding_;
    isShedding_ = true;
    lastRejection_ = now;
    return wasShedding ? nullptr : "shedding load: nobody is ready in time for all requests";
  }
  /// Time has passed; called now and then. A line for the log, or null.
  [[nodiscard]] const char* poll(std::int64_t now) {
    if (!isShedding_ || now - lastRejection_ <= kQuietTime) return nullptr;
    isShedding_ = false;
    return "shedding is over";
  }

 private:
  bool isShedding_ = false;
  std::int64_t lastRejection_ = 0;
};

}  // namespace ivypost

#endif  // IVYPOST_LOAD_SHEDDING_LOG_H_
