// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What the log says of requests that are turned away unsent: one line when it begins, one when it is over.
#ifndef IVYPOST_LOAD_SHEDDING_LOG_H_
#define IVYPOST_LOAD_SHEDDING_LOG_H_

#include <cstdint>

namespace ivypost {

class LoadSheddingLog {
 public:
  // It is over when nothing was turned away unsent for so long, in microseconds.
  static constexpr std::int64_t kQuietTime = 5'000'000;

  // Both give a line for the log, or null.
  const char* onRejected(std::int64_t now) {
    const bool wasShedding = isShedding_;
    isShedding_ = true;
    lastRejection_ = now;
    return wasShedding ? nullptr : "shedding load: nobody is ready in time for all requests";
  }
  const char* poll(std::int64_t now) {
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
