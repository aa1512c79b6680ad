// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/shared_trace_ids.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <bit>
#include <cerrno>
#include <string_view>

#include "util/fnv1a.h"

namespace ivypost::admission {
namespace {

using Slot = std::atomic_ref<std::uint64_t>;
static_assert(Slot::is_always_lock_free, "a lock would be private to one process");

// A slot holds the upper bits of an id's hash and, below them, the millisecond of its expiry modulo 2^24. Two
// ids of a bucket have the same upper bits once in 2^40 pairs. An id that comes again 4.66 h after its expiry
// may be taken for in use, for kMaxOpen.
constexpr unsigned kExpiryBits = 24;
constexpr std::uint64_t kExpiryMask = (std::uint64_t{1} << kExpiryBits) - 1;
constexpr Micros kMicrosPerMilli = 1000;
constexpr std::uint64_t kMaxLifeMs = SharedTraceIds::kMaxOpen / kMicrosPerMilli;

// Clients choose their ids, and consecutive ones must not share buckets.
std::uint64_t hashOf(std::uint64_t id) {
  const auto bytes = std::bit_cast<std::array<char, sizeof id>>(id);
  return util::fnv1a({bytes.data(), bytes.size()});
}

std::uint64_t encode(std::uint64_t hash, Micros expiry) {
  return (hash & ~kExpiryMask) | (static_cast<std::uint64_t>(expiry / kMicrosPerMilli) & kExpiryMask);
}

// Milliseconds until a slot's id expires; 0: it has expired, or the slot was never used.
std::uint64_t lifeOf(std::uint64_t slot, Micros now) {
  const std::uint64_t life = (slot - static_cast<std::uint64_t>(now / kMicrosPerMilli)) & kExpiryMask;
  return life <= kMaxLifeMs ? life : 0;
}

bool holds(std::uint64_t slot, std::uint64_t hash, Micros now) {
  return (slot & ~kExpiryMask) == (hash & ~kExpiryMask) && lifeOf(slot, now) > 0;
}

}  // namespace

std::unique_ptr<SharedTraceIds> SharedTraceIds::map(const std::string& path) {
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, S_IRUSR | S_IWUSR);
  if (file < 0) return nullptr;
  void* memory = MAP_FAILED;
  // Without its blocks, a full disk would end the process at its first access to a page.
  errno = ::posix_fallocate(file, 0, kBytes);
  if (errno == 0) memory = ::mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  const int error = errno;
  ::close(file);
  errno = error;
  if (memory == MAP_FAILED) return nullptr;
  const std::span slots(static_cast<std::uint64_t*>(memory), kBytes / sizeof(std::uint64_t));
  return std::unique_ptr<SharedTraceIds>(new SharedTraceIds(slots));
}

SharedTraceIds::~SharedTraceIds() {
  ::munmap(slots_.data(), kBytes);
}

SharedTraceIds::Bucket SharedTraceIds::bucketOf(std::uint64_t hash) const {
  return slots_.subspan(hash % kBuckets * kSlotsPerBucket).first<kSlotsPerBucket>();
}

bool SharedTraceIds::claim(std::uint64_t id, Micros now) {
  const std::uint64_t hash = hashOf(id);
  const Bucket bucket = bucketOf(hash);
  for (;;) {
    std::uint64_t* oldest = &bucket.front();
    std::uint64_t oldestValue = Slot(*oldest).load();
    for (std::uint64_t& slot : bucket) {
      const std::uint64_t value = Slot(slot).load();
      if (holds(value, hash, now)) return false;
      if (lifeOf(value, now) >= lifeOf(oldestValue, now)) continue;
      oldest = &slot;
      oldestValue = value;
    }
    // Fails if another process has taken the slot in the meantime.
    if (Slot(*oldest).compare_exchange_strong(oldestValue, encode(hash, now + kMaxOpen))) return true;
  }
}

void SharedTraceIds::release(std::uint64_t id, Micros now) {
  const std::uint64_t hash = hashOf(id);
  for (std::uint64_t& slot : bucketOf(hash)) {
    std::uint64_t value = Slot(slot).load();
    if (!holds(value, hash, now)) continue;
    Slot(slot).compare_exchange_strong(value, encode(hash, now + TraceIds::kRetention));
    return;
  }
}

}  // namespace ivypost::admission
