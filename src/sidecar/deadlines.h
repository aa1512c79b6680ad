// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Multiplexes the deadlines of many connections onto one timer of the event loop.
#ifndef IVYPOST_DEADLINES_H_
#define IVYPOST_DEADLINES_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "clock.h"

namespace ivypost {

/// The deadlines of all connections to clients, or of all connections to upstreams. Most deadlines are moved
/// or cancelled before they expire and are later than the earliest one, so the kernel's timer is rarely set;
/// one timer per connection would cost two system calls per request. Each Deadline keeps its Deadlines alive.
/// Not thread-safe: all calls are made on the event loop.
class Deadlines : public std::enable_shared_from_this<Deadlines> {
 public:
  /// Creates an empty set of deadlines. `io` must outlive it.
  explicit Deadlines(boost::asio::io_context& io) : timer_(io) {}
  Deadlines(const Deadlines&) = delete;
  Deadlines& operator=(const Deadlines&) = delete;

  /// Stops all callbacks permanently; to be called before their owners are destroyed.
  void stop() noexcept { isStopped_ = true; }

  /// One deadline. Cancelled when it is destroyed.
  class Deadline {
   public:
    /// Creates a deadline that is not set. `all`: the set that it belongs to.
    explicit Deadline(std::shared_ptr<Deadlines> all) : deadlines_(std::move(all)) {}
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;
    ~Deadline() { cancel(); }

    /// Calls `onExpired` once from the event loop, at this time or soon after. Replaces what was set before.
    /// The callback may set the deadline again, and may destroy it.
    void set(Clock::time_point at, std::function<void()> onExpired) {
      onExpired_ = std::move(onExpired);
      if (unusedNode_.empty() && !isSet_) {
        position_ = deadlines_->pending_.emplace(at, this);
      } else {
        // Reuses the tree node, so that nothing is allocated.
        if (isSet_) unusedNode_ = deadlines_->pending_.extract(position_);
        unusedNode_.key() = at;
        position_ = deadlines_->pending_.insert(std::move(unusedNode_));
      }
      isSet_ = true;
      deadlines_->arm();
    }
    /// Cancels the deadline; the callback is not made. Does nothing if it is not set.
    void cancel() {
      if (std::exchange(isSet_, false)) unusedNode_ = deadlines_->pending_.extract(position_);
    }

   private:
    friend class Deadlines;
    const std::shared_ptr<Deadlines> deadlines_;
    std::function<void()> onExpired_;
    std::multimap<Clock::time_point, Deadline*>::iterator position_;
    std::multimap<Clock::time_point, Deadline*>::node_type
        unusedNode_;  // the tree node while the deadline is not set
    bool isSet_ = false;
  };

 private:
  void arm() {
    if (isStopped_ || pending_.empty() || pending_.begin()->first >= armedFor_) return;
    armedFor_ = pending_.begin()->first;
    timer_.expires_at(armedFor_);
    timer_.async_wait([self = weak_from_this()](const boost::system::error_code& cancelled) {
      if (cancelled) return;
      if (const auto all = self.lock(); all && !all->isStopped_) all->runExpired();
    });
  }

  void runExpired() {
    armedFor_ = Clock::time_point::max();
    // Runs only the deadlines that are due at `now`; one that a callback sets later than that waits for a
    // further turn of the event loop.
    const auto now = Clock::now();
    while (!isStopped_ && !pending_.empty() && pending_.begin()->first <= now) {
      Deadline& first = *pending_.begin()->second;
      first.cancel();
      const auto onExpired = std::exchange(first.onExpired_, nullptr);
      onExpired();
    }
    arm();
  }

  boost::asio::steady_timer timer_;
  std::multimap<Clock::time_point, Deadline*> pending_;
  Clock::time_point armedFor_ = Clock::time_point::max();
  bool isStopped_ = false;
};

}  // namespace ivypost

#endif  // IVYPOST_DEADLINES_H_
