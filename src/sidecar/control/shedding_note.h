// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What the log says of requests that are turned away unsent: one line when it begins, one when it is over.
#ifndef IVYPOST_CONTROL_SHEDDING_NOTE_H_
#define IVYPOST_CONTROL_SHEDDING_NOTE_H_

#include <cstdint>

namespace ivypost {

class SheddingNote {
 public:
  // It is over when nothing was turned away unsent for so long, in microseconds.
  static constexpr std::int64_t kQuietTime = 5'000'000;

  // Both give a line for the log, or null.
  const char* onRejected(std::int64_t now) {
    const bool before = isShedding_;
    isShedding_ = true;
    rejectedAt_ = now;
    return before ? nullptr : "shedding load: nobody is ready in time for all requests";
  }
  const char* onEventHandled(std::int64_t now) {
    if (!isShedding_ || now - rejectedAt_ <= kQuietTime) return nullptr;
    isShedding_ = false;
    return "shedding is over";
  }

 private:
  bool isShedding_ = false;
  std::int64_t rejectedAt_ = 0;
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_SHEDDING_NOTE_H_
