// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_OUTSTANDING_CALLS_H_
#define IVYPOST_DISCOVERY_ETCD_OUTSTANDING_CALLS_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace ivypost::discovery::etcd {

/// Counts what is under way at gRPC, so that whoever ends the client can wait until there is none. Any thread
/// may call it.
class OutstandingCalls {
 public:
  /// A call or stream begins.
  void begin() {
    const std::lock_guard lock(mutex_);
    ++count_;
  }
  /// One that began has ended: gRPC refers to nothing of it.
  void end() {
    const std::lock_guard lock(mutex_);
    if (--count_ == 0) none_.notify_all();
  }
  /// Blocks until all have ended.
  void wait() {
    std::unique_lock lock(mutex_);
    none_.wait(lock, [this] { return count_ == 0; });
  }

 private:
  std::mutex mutex_;  // protects count_
  std::condition_variable none_;
  std::size_t count_ = 0;
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_OUTSTANDING_CALLS_H_
