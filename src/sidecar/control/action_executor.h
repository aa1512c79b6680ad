// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Does what the decision module has decided.
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

/// Executes the module's actions on the pool, the server, the membership and its own timer, and answers
/// requests. Nothing in it decides. An action may lead to calls of the pool's `written` callback from within;
/// to no other. Not thread-safe: all calls are made on the loop.
class ActionExecutor {
 public:
  /// What it acts on; all must outlive it.
  struct Targets {
    const Config& config;                  ///< its classes
    OpenRequests& requests;                ///< attempts are added, and requests finished and forgotten
    EndpointTable& endpoints;              ///< what is in use
    ConnectionPool& pool;                  ///< attempts and probes
    discovery::SourceManager& membership;  ///< calls to discovery
    Server& server;                        ///< answers
  };

  /// Called on the event loop. They outlive the executor.
  struct Callbacks {
    /// The time that the module asked for has come.
    std::function<void()> timerDue;
    /// Takes one line for the log.
    std::function<void(const std::string&)> log;
  };

  /// Has no timer running yet.
  ActionExecutor(boost::asio::io_context& io, const Targets& targets, Callbacks callbacks)
      : targets_(targets), callbacks_(std::move(callbacks)), timer_(io) {}

  /// Executes one action. Requests and endpoints that it names must be known.
  void execute(const balancer::Action& action);
  /// All actions of an event have been executed.
  /// \param now by the monotonic clock, in microseconds.
  void onEventHandled(Micros now);

  /// Gives a request its answer. Its attempts that have not been written are withdrawn. It must be known.
  void finish(balancer::RequestId id, Answer answer);
  /// Forgets the request if it is finished and nothing of it is out; ignored otherwise.
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
  void noteUnsent(balancer::RequestId id);

  const Targets targets_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  Clock::time_point armedFor_ = Clock::time_point::max();  // the timer; the maximum: it does not run
  LoadSheddingLog shedding_;
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_ACTION_EXECUTOR_H_
