// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The one timer of the decision module.
#ifndef IVYPOST_CONTROL_DECISION_TIMER_H_
#define IVYPOST_CONTROL_DECISION_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "clock.h"

namespace ivypost {

/// Calls back once when the time that was set last has come. Not thread-safe: all calls are made on the event
/// loop.
class DecisionTimer {
 public:
  /// Starts unset. `onDue` may set the timer anew; what it refers to must outlive the timer.
  DecisionTimer(boost::asio::io_context& io, std::function<void()> onDue)
      : timer_(io), onDue_(std::move(onDue)) {}

  /// Replaces the time that was set before, whether it is earlier or later.
  void set(Clock::time_point due) {
    due_ = due;
    arm();
  }

  /// Calls back at once if the time has come and the event loop has not called back yet.
  void runIfDue() {
    if (due_ > Clock::now()) return;
    due_ = Clock::time_point::max();
    onDue_();
  }

 private:
  // The event loop's timer is set only for an earlier time: what it is set for too early is found at its
  // expiry.
  void arm() {
    if (due_ >= armedFor_) return;
    armedFor_ = due_;
    timer_.expires_at(due_);
    timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (cancelled) return;
      armedFor_ = Clock::time_point::max();
      runIfDue();
      arm();
    });
  }

  boost::asio::steady_timer timer_;
  std::function<void()> onDue_;
  Clock::time_point due_ = Clock::time_point::max();       // max(): unset
  Clock::time_point armedFor_ = Clock::time_point::max();  // expiry of timer_; max(): not armed
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_DECISION_TIMER_H_
