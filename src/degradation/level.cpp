// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/level.h"

#include <cstdlib>

namespace ivypost::degradation {

std::string_view nameOf(Level level) {
  switch (level) {
    case Level::Normal:
      return "normal";
    case Level::Thrifty:
      return "thrifty";
    case Level::Protect:
      return "protect";
    case Level::Shed:
      return "shed";
    case Level::Cutoff:
      return "cutoff";
  }
  std::abort();  // Not an enumerator.
}

Level nextStricter(Level level) {
  return kLevels.at(indexOf(level) + 1);
}

Level nextMilder(Level level) {
  return kLevels.at(indexOf(level) - 1);
}

}  // namespace ivypost::degradation
