// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// How long something took lately. No I/O and no clock.
#ifndef IVYPOST_ADMISSION_ESTIMATE_H_
#define IVYPOST_ADMISSION_ESTIMATE_H_

#include <cstdint>
#include <optional>

namespace ivypost::admission {

using Micros = std::int64_t;

// Guards against an estimate that keeps itself alive: when everything is refused because of it, nothing is
// measured any more, and it would never change. So one that is older than kStale says nothing, and what is
// then let through measures anew.
class Estimate {
 public:
  void add(Micros took, Micros now) {
    value_ = fresh(now) ? value_ + (took - value_) / kSmoothed : took;
    at_ = now;
  }
  // 0: nothing is known.
  Micros value(Micros now) const { return fresh(now) ? value_ : 0; }

  static constexpr Micros kSmoothed = 16;
  static constexpr Micros kStale = 500'000;

 private:
  bool fresh(Micros now) const { return at_ && now - *at_ <= kStale; }

  Micros value_ = 0;
  std::optional<Micros> at_;  // of the last measure
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_ESTIMATE_H_
