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
  static constexpr std::int64_t kOver = 5'000'000;

  // Both give a line for the log, or null.
  const char* turnedAway(std::int64_t now) {
    const bool before = sheds_;
    sheds_ = true;
    at_ = now;
    return before ? nullptr : "shedding load: nobody is ready in time for all requests";
  }
  const char* look(std::int64_t now) {
    if (!sheds_ || now - at_ <= kOver) return nullptr;
    sheds_ = false;
    return "shedding is over";
  }

 private:
  bool sheds_ = false;
  std::int64_t at_ = 0;
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_SHEDDING_NOTE_H_
