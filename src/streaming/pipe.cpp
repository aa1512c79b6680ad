// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "streaming/pipe.h"

#include <bit>
#include <utility>

namespace ivypost::streaming {

Pipe::Pipe(const ByteBudget& budget) : share_(budget), extension_(budget) {
  if (share_.grow(kPreferredCost)) capacity_ = kPreferredCapacity;
  limit_ = capacity_;
}

std::size_t Pipe::freeCapacity() const {
  if (ended_ || abandoned_ || failed_) return 0;
  const std::size_t held = front().size();
  return held >= limit_ ? 0 : limit_ - held;
}

void Pipe::push(std::string_view bytes) {
  if (bytes.empty() || abandoned_ || failed_) return;
  ensureStorage(bytes.size());
  bytes_.append(bytes);
  notify(onData);
}

// Removes forwarded bytes if the storage would exceed its limit, of which a quarter is beyond the capacity,
// so that each byte is moved a few times at most. Grows the storage to no more than that limit.
void Pipe::ensureStorage(std::size_t bytes) {
  if (bytes_.size() + bytes > storageLimit()) {
    bytes_.erase(0, begin_);
    begin_ = 0;
  }
  const std::size_t needed = bytes_.size() + bytes;
  if (needed <= bytes_.capacity()) return;
  // A new string, since reserve() may double the capacity instead.
  std::string grown;
  grown.reserve(std::max(needed, std::min(std::bit_ceil(needed), storageLimit())));
  grown.append(front());
  begin_ = 0;
  bytes_ = std::move(grown);
}

void Pipe::pushBuffer(std::string bytes, ByteBudget::Share& budget) {
  extension_.takeFrom(budget);
  limit_ = std::max(capacity_, bytes.size());
  bytes_ = std::move(bytes);
  begin_ = 0;
  if (bytes_.size() <= capacity_) endExtension();
  notify(onData);
}

bool Pipe::extend(std::size_t bytes) {
  const std::size_t limit = std::bit_ceil(front().size() + bytes);
  if (limit > kMaxExtendedCapacity || !extension_.growTo(limit + limit / 4)) return false;
  limit_ = std::max(limit_, limit);
  return true;
}

// Returns to the pipe's own capacity, and frees the storage beyond it.
void Pipe::endExtension() {
  limit_ = capacity_;
  std::string kept(front());
  begin_ = 0;
  bytes_ = std::move(kept);
  extension_.release();
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
  if ((extension_.bytes() > 0 || limit_ > capacity_) && front().size() <= capacity_) endExtension();
  notify(onCapacity);
}

void Pipe::abandon() {
  if (abandoned_) return;
  abandoned_ = true;
  notify(onCapacity);
}

}  // namespace ivypost::streaming
