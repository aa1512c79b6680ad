// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "relay/pipe.h"

namespace ivypost::relay {

Pipe::Pipe(Budget& budget) : share_(budget) {
  if (share_.grow(kWanted)) most_ = kWanted;
}

std::size_t Pipe::room() const {
  const std::size_t held = front().size();
  return ended_ || failed_ || abandoned_ || held >= most_ ? 0 : most_ - held;
}

void Pipe::push(std::string_view bytes) {
  if (bytes.empty() || abandoned_ || failed_) return;
  // What has gone on is dropped when it is most of what is kept, so that each byte is moved once or so.
  if (from_ > 0 && from_ * 2 >= bytes_.size()) {
    bytes_.erase(0, from_);
    from_ = 0;
  }
  bytes_.append(bytes);
  tell(onData);
}

void Pipe::end() {
  ended_ = true;
  tell(onData);
}

void Pipe::fail() {
  if (ended_ || failed_) return;
  failed_ = true;
  tell(onData);
}

void Pipe::pop(std::size_t size) {
  from_ += size;
  gone_ += size;
  if (from_ == bytes_.size()) {
    bytes_.clear();
    from_ = 0;
  }
  tell(onRoom);
}

void Pipe::abandon() {
  if (abandoned_) return;
  abandoned_ = true;
  tell(onRoom);
}

}  // namespace ivypost::relay
