// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ivypost::admission {

Shares::Shares(std::vector<double> shares) {
  for (double& share : shares) share = std::isfinite(share) ? std::max(0.0, share) : 0;
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  any_ = sum > 0;
  for (const double share : shares) schools_.push_back({any_ ? share / sum : 0, 0, 0});
}

void Shares::decay(Micros now) {
  if (now <= at_) return;
  const double kept = std::exp(-static_cast<double>(now - at_) / kConstant);
  at_ = now;
  total_ *= kept;
  beyond_ *= kept;
  for (School& school : schools_) school.sum *= kept;
}

bool Shares::arrived(std::optional<std::uint32_t> school, Micros now) {
  decay(now);
  total_ += 1;
  if (!any_ || !school || *school >= schools_.size()) return false;
  School& own = schools_[*school];
  own.sum += 1;
  const double allowed = own.share * total_ * kMargin;
  if (total_ < kLeast || own.sum <= allowed) {
    own.credit = 0;
    return false;
  }
  own.credit += allowed / own.sum;
  if (own.credit >= 1) {
    own.credit -= 1;
    return false;
  }
  beyond_ += 1;
  return true;
}

double Shares::beyond(Micros now) {
  decay(now);
  return total_ < kLeast ? 0 : std::min(1.0, beyond_ / total_);
}

}  // namespace ivypost::admission
