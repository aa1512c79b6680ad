// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/transition.h"

#include <iomanip>
#include <sstream>

namespace ivypost::degradation {
namespace {

// Enough digits to compare a value with its threshold.
constexpr int kSignificantDigits = 4;

}  // namespace

std::string describe(const Transition& transition) {
  std::ostringstream line;
  line << std::setprecision(kSignificantDigits);
  line << "level " << nameOf(transition.to) << ", was " << nameOf(transition.from) << ": ";
  if (!transition.cause) {
    line << "calm";
    return line.str();
  }
  const Transition::Cause& cause = *transition.cause;
  line << nameOf(cause.signal) << ' ' << cause.value << " over " << cause.threshold;
  return line.str();
}

}  // namespace ivypost::degradation
