// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Executes the actions that the decision module returns.
#ifndef IVYPOST_CONTROL_ACTION_EXECUTOR_H_
#define IVYPOST_CONTROL_ACTION_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"
#include "config.h"
#include "control/decision_timer.h"
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
      : targets_(targets), callbacks_(std::move(callbacks)), timer_(io, [this] { callbacks_.timerDue(); }) {}

  /// Executes the actions of one event. The requests and endpoints that they name must be in `requests` and
  /// `endpoints`.
  /// \param actions what the module returned for it.
  /// \param now the event's time as the module was given it: monotonic, in microseconds.
  void execute(const std::vector<balancer::Action>& actions, Micros now);
  /// Called after all actions of an event have been executed; logs the end of load shedding when it is due.
  /// \param now monotonic time in microseconds.
  void onEventHandled(Micros now);

  /// Calls `timerDue` at once if the module's timer has expired and the event loop has not called it yet.
  void runOverdueTimer() { timer_.runIfDue(); }

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
  void perform(const balancer::SetTimer& /*timer*/) {}  // execute() has set it
  void perform(const balancer::Probe& probe);
  void perform(const balancer::CloseIdle& close);
  void perform(const balancer::Subscribe& subscribe);
  void perform(const balancer::Fetch& fetch);
  void perform(const balancer::Log& line) const;
  void logLoadShedding(balancer::RequestId id);

  const Targets targets_;
  Callbacks callbacks_;
  DecisionTimer timer_;
  LoadSheddingLog shedding_;
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_ACTION_EXECUTOR_H_
