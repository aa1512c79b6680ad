// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/pipe.h"

namespace ivypost::streaming {

Pipe::Pipe(const ByteBudget& budget) : share_(budget) {
  if (share_.grow(kPreferredCapacity)) capacity_ = kPreferredCapacity;
}

std::size_t Pipe::freeCapacity() const {
  if (ended_ || failed_ || abandoned_) return 0;
  const std::size_t held = front().size();
  return held >= capacity_ ? 0 : capacity_ - held;
}

void Pipe::push(std::string_view bytes) {
  if (bytes.empty() || abandoned_ || failed_) return;
  // Forwarded bytes are erased once they are at least half of the buffer, so that each byte is moved about
  // once.
  if (begin_ > 0 && begin_ * 2 >= bytes_.size()) {
    bytes_.erase(0, begin_);
    begin_ = 0;
  }
  bytes_.append(bytes);
  notify(onData);
}

void Pipe::end() {
  ended_ = true;
  notify(onData);
}

void Pipe::fail() {
  if (ended_ || failed_) return;
  failed_ = true;
  notify(onData);
}

void Pipe::pop(std::size_t size) {
  begin_ += size;
  forwardedBytes_ += size;
  if (begin_ == bytes_.size()) {
    bytes_.clear();
    begin_ = 0;
  }
  notify(onCapacity);
}

void Pipe::abandon() {
  if (abandoned_) return;
  abandoned_ = true;
  notify(onCapacity);
}

}  // namespace ivypost::streaming
