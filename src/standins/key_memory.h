// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What the nodes of one group remember of idempotency keys: a repeat within the window after a key's first
// run has no second effect. Shared by the nodes of a group; no clock of its own.
#ifndef IVYPOST_STANDINS_KEY_MEMORY_H_
#define IVYPOST_STANDINS_KEY_MEMORY_H_

#include <cstdint>
#include <string>
#include <unordered_map>

namespace ivypost::standins {

class KeyMemory {
 public:
  // `window`: microseconds.
  explicit KeyMemory(std::int64_t window) : window_(window) {}

  // The request with this key runs now. True if that has an effect, false if it is a repeat that is dropped.
  bool run(const std::string& key, std::int64_t now) {
    Seen& seen = seen_[key];
    if (seen.effects > 0 && now <= seen.firstAt + window_) return false;
    seen.firstAt = now;
    ++seen.effects;
    return true;
  }

  std::uint32_t effects(const std::string& key) const {
    const auto found = seen_.find(key);
    return found == seen_.end() ? 0 : found->second.effects;
  }

 private:
  struct Seen {
    std::int64_t firstAt = 0;
    std::uint32_t effects = 0;
  };
  const std::int64_t window_;
  std::unordered_map<std::string, Seen> seen_;
};

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_KEY_MEMORY_H_
