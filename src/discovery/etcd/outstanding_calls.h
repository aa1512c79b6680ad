// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_OUTSTANDING_CALLS_H_
#define IVYPOST_DISCOVERY_ETCD_OUTSTANDING_CALLS_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace ivypost::discovery::etcd {

/// Counts the calls and streams that gRPC still refers to, so that the client's destructor can wait until
/// there are none. Thread-safe.
class OutstandingCalls {
 public:
  /// Records the start of a call or stream.
  void begin() {
    const std::lock_guard lock(mutex_);
    ++count_;
  }
  /// Records the end of a call or stream: gRPC no longer refers to its objects.
  void end() {
    const std::lock_guard lock(mutex_);
    if (--count_ == 0) none_.notify_all();
  }
  /// Blocks until all calls and streams have ended.
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
