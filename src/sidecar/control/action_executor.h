// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Executes the actions that the decision module returns.
#ifndef IVYPOST_CONTROL_ACTION_EXECUTOR_H_
#define IVYPOST_CONTROL_ACTION_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <utility>

#include "clock.h"
#include "config.h"
#include "control/endpoint_table.h"
#include "control/open_request.h"
#include "discovery/source_manager.h"
#include "ivypost/balancer.h"
#include "load_shedding_log.h"
#include "response_writer.h"
#include "server.h"
#include "upstream/connection_pool.h"

namespace ivypost {

/// Executes the decision module's actions on the connection pool, the server, the endpoint source and a
/// timer, and answers requests. It takes no decisions. execute() may call the pool's `written` callback
/// before it returns, but no other callback of the pool. Not thread-safe: all calls are made on the event
/// loop.
class ActionExecutor {
 public:
  /// The objects that actions operate on; all must outlive the executor.
  struct Targets {
    const Config& config;                  ///< request classes
    OpenRequests& requests;                ///< receives new attempts; finished requests are erased
    EndpointTable& endpoints;              ///< counts the uses of each endpoint
    ConnectionPool& pool;                  ///< sends attempts and probes
    discovery::SourceManager& membership;  ///< subscribes to discovery and fetches lists
    Server& server;                        ///< sends answers to clients
  };

  /// Called on the event loop. What they refer to must outlive the executor.
  struct Callbacks {
    /// The timer that the module set by balancer::SetTimer has expired.
    std::function<void()> timerDue;
    /// Takes one line for the log.
    std::function<void(const std::string&)> log;
  };

  /// Starts with no timer armed.
  ActionExecutor(boost::asio::io_context& io, const Targets& targets, Callbacks callbacks)
      : targets_(targets), callbacks_(std::move(callbacks)), timer_(io) {}

  /// Executes one action. The request and the endpoint that it names must be in `requests` and `endpoints`.
  void execute(const balancer::Action& action);
  /// Called after all actions of an event have been executed; logs the end of load shedding when it is due.
  /// \param now monotonic time in microseconds.
  void onEventHandled(Micros now);

  /// Sends the answer to the client and withdraws the attempts whose last byte has not been written. The
  /// request must be in `requests`.
  void finish(balancer::RequestId id, Answer answer);
  /// Erases the request if it is finished and none of its attempts is in flight; otherwise does nothing.
  void forget(balancer::RequestId id);

 private:
  void perform(const balancer::Send& send);
  void perform(const balancer::Cancel& cancel);
  void perform(const balancer::Reject& rejection);
  void perform(const balancer::Fail& failure);
  void perform(const balancer::SetTimer& timer);
  void perform(const balancer::Probe& probe);
  void perform(const balancer::CloseIdle& close);
  void perform(const balancer::Subscribe& subscribe);
  void perform(const balancer::Fetch& fetch);
  void perform(const balancer::Log& line) const;
  void logLoadShedding(balancer::RequestId id);

  const Targets targets_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  Clock::time_point armedFor_ = Clock::time_point::max();  // expiry of timer_; max(): not armed
  LoadSheddingLog shedding_;
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_ACTION_EXECUTOR_H_
