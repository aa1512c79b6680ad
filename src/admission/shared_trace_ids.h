// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_SHARED_TRACE_IDS_H_
#define IVYPOST_ADMISSION_SHARED_TRACE_IDS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "admission/time.h"
#include "admission/trace_ids.h"

namespace ivypost::admission {

/// The trace ids in use at either process while one replaces the other: a table in a file that both map into
/// their memory. TraceIds has the same for one process, and is exact; this table is bounded in space and
/// time.
///
/// - Invariant: an id that is claimed here is claimed by no other process until it expires. Two processes
///   that claim one id within the same nanoseconds may both succeed if an older id expires in between.
/// - Clock: the machine's monotonic clock, which both processes read. The caller passes it.
/// - A process that is killed releases nothing: its open ids expire after kMaxOpen.
///
/// Bounds: kBytes, of which unused pages take no memory. A bucket of kSlotsPerBucket ids that is full forgets
/// the id that expires first. Thread-safe, without locks: a process that is stopped holds up no other.
class SharedTraceIds {
 public:
  /// Microseconds for which an id that is not released is in use.
  static constexpr Micros kMaxOpen = 60'000'000;
  /// Ids that share a bucket.
  static constexpr std::size_t kSlotsPerBucket = 8;
  /// Buckets of the table; a power of two.
  static constexpr std::size_t kBuckets = 1024;
  /// Size of the file.
  static constexpr std::size_t kBytes = kBuckets * kSlotsPerBucket * sizeof(std::uint64_t);

  /// Maps the table in this file, which is created if there is none. Null, with errno set, if that fails.
  [[nodiscard]] static std::unique_ptr<SharedTraceIds> map(const std::string& path);

  SharedTraceIds(const SharedTraceIds&) = delete;
  SharedTraceIds& operator=(const SharedTraceIds&) = delete;
  SharedTraceIds(SharedTraceIds&&) = delete;
  SharedTraceIds& operator=(SharedTraceIds&&) = delete;
  ~SharedTraceIds();

  /// Marks the id as in use. Returns false, and changes nothing, if it is in use at any process.
  [[nodiscard]] bool claim(std::uint64_t id, Micros now);
  /// The request with this id, which this process has claimed, is closed: the id stays in use for
  /// TraceIds::kRetention.
  void release(std::uint64_t id, Micros now);

 private:
  using Bucket = std::span<std::uint64_t, kSlotsPerBucket>;

  explicit SharedTraceIds(std::span<std::uint64_t> slots) : slots_(slots) {}
  [[nodiscard]] Bucket bucketOf(std::uint64_t hash) const;

  std::span<std::uint64_t> slots_;  // mapped memory; each slot is accessed atomically
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_SHARED_TRACE_IDS_H_
