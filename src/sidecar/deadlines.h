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
/// one timer per connection would cost two system calls per request. Shared by its deadlines. Not
/// thread-safe: all calls are made on the event loop.
class Deadlines : public std::enable_shared_from_this<Deadlines> {
 public:
  /// Creates an empty set of deadlines. `io` must outlive it.
  explicit Deadlines(boost::asio::io_context& io) : timer_(io) {}
  Deadlines(const Deadlines&) = delete;
  Deadlines& operator=(const Deadlines&) = delete;

  /// Makes no more callbacks, since their owners are about to be destroyed. Final.
  void stop() noexcept { stopped_ = true; }

  /// One deadline. Cancelled when it is destroyed.
  class Deadline {
   public:
    /// Not set yet.
    explicit Deadline(std::shared_ptr<Deadlines> all) : all_(std::move(all)) {}
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;
    ~Deadline() { cancel(); }

    /// Calls `passed` once from the event loop, at this time or soon after. Replaces what was set before. The
    /// callback may set the deadline again, and may destroy it.
    void set(Clock::time_point at, std::function<void()> passed) {
      passed_ = std::move(passed);
      if (node_.empty() && !set_) {
        position_ = all_->set_.emplace(at, this);
      } else {
        // Reuses the tree node, so that nothing is allocated.
        if (set_) node_ = all_->set_.extract(position_);
        node_.key() = at;
        position_ = all_->set_.insert(std::move(node_));
      }
      set_ = true;
      all_->arm();
    }
    /// Cancels the deadline; the callback is not made. Does nothing if it is not set.
    void cancel() {
      if (std::exchange(set_, false)) node_ = all_->set_.extract(position_);
    }

   private:
    friend class Deadlines;
    const std::shared_ptr<Deadlines> all_;
    std::function<void()> passed_;
    std::multimap<Clock::time_point, Deadline*>::iterator position_;
    std::multimap<Clock::time_point, Deadline*>::node_type node_;  // the spare tree node while it is not set
    bool set_ = false;
  };

 private:
  void arm() {
    if (stopped_ || set_.empty() || set_.begin()->first >= armedFor_) return;
    armedFor_ = set_.begin()->first;
    timer_.expires_at(armedFor_);
    timer_.async_wait([self = weak_from_this()](const boost::system::error_code& cancelled) {
      if (cancelled) return;
      if (const auto all = self.lock(); all && !all->stopped_) all->pass();
    });
  }

  void pass() {
    armedFor_ = Clock::time_point::max();
    // Runs only the deadlines that are due at `now`; one that a callback sets later than that waits for a
    // further turn of the event loop.
    const auto now = Clock::now();
    while (!stopped_ && !set_.empty() && set_.begin()->first <= now) {
      Deadline& first = *set_.begin()->second;
      first.cancel();
      const auto passed = std::exchange(first.passed_, nullptr);
      passed();
    }
    arm();
  }

  boost::asio::steady_timer timer_;
  std::multimap<Clock::time_point, Deadline*> set_;
  Clock::time_point armedFor_ = Clock::time_point::max();
  bool stopped_ = false;
};

}  // namespace ivypost

#endif  // IVYPOST_DEADLINES_H_
