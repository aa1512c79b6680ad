// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Answers the operators' calls on the admin console and holds the set of endpoints that they have excluded.
#ifndef IVYPOST_CONTROL_ADMIN_HANDLER_H_
#define IVYPOST_CONTROL_ADMIN_HANDLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "clock.h"
#include "config.h"
#include "control/endpoint_table.h"
#include "exclusion/exclusion_file.h"
#include "exclusion/exclusion_set.h"
#include "lifecycle/lifecycle.h"

namespace ivypost {

/// Handles the operators' calls: readiness, drain and its end, exclusion and inclusion of endpoints. If the
/// configuration has no console address, it does not listen and excludes no endpoint.
///
/// At most one change of the exclusions is made per turn of the event loop, since each change blocks on the
/// disk. Up to AdminServer::kMaxConnections changes are queued; a further one is answered as failed. This
/// process applies its own copy of the set; while one process replaces another, changes made by the other
/// process are read from the file within 100 ms. Not thread-safe: all calls are made on the event loop.
class AdminHandler {
 public:
  /// Called on the event loop. What they refer to must outlive the handler.
  struct Callbacks {
    /// An operator has requested a drain or cancelled one.
    std::function<void(lifecycle::Event)> lifecycleEvent;
    /// exclusions() has changed for the endpoints with these ids.
    std::function<void(const std::vector<std::string>&)> exclusionsChanged;
    /// Takes one line for the log.
    std::function<void(const std::string&)> log;
  };

  /// Checks whether the folder of the exclusions' file is writable and logs if it is not; has no other
  /// effect. `io`, `config`, `endpoints` and `lifecycle` must outlive this object.
  AdminHandler(boost::asio::io_context& io, const Config& config, const EndpointTable& endpoints,
               const lifecycle::Lifecycle& lifecycle, Callbacks callbacks);

  /// Reads the stored exclusions without calling exclusionsChanged, then polls the file for changes by the
  /// other process.
  void loadExclusions();
  /// Listens on the console address; if that fails, tries again every second.
  void listen();

  /// The endpoints that are excluded now, and the start times of those included again.
  [[nodiscard]] const exclusion::ExclusionSet& exclusions() const { return exclusions_; }
  /// The port that the console listens on; empty while it does not listen.
  [[nodiscard]] std::optional<std::uint16_t> port() const;

 private:
  // A call that changes the exclusions and has not been answered.
  struct PendingChange {
    admin::Call call;
    admin::AdminServer::Answer answer;
    Clock::time_point lockDeadline;  // after it, a locked file makes the change fail
  };

  void onCall(const admin::Call& call, const admin::AdminServer::Answer& answer);
  void changeLifecycle(lifecycle::Event event, const admin::AdminServer::Answer& answer);
  void queueChange(PendingChange change);
  void tryNextChange();
  void scheduleNextChange(Clock::duration after);
  std::optional<admin::Reply> changeExclusions(const admin::Call& call);
  void applyExclusions(exclusion::ExclusionSet next);
  void pollFile();

  boost::asio::io_context& io_;
  const Config& config_;
  const EndpointTable& endpoints_;
  const lifecycle::Lifecycle& lifecycle_;
  Callbacks callbacks_;
  exclusion::ExclusionSet exclusions_;
  exclusion::ExclusionFile file_;
  std::deque<PendingChange> pendingChanges_;  // oldest first; at most AdminServer::kMaxConnections
  boost::asio::steady_timer pollTimer_;       // next poll of the file
  boost::asio::steady_timer changeTimer_;     // next try of the oldest pending change
  boost::asio::steady_timer listenTimer_;     // next try to listen
  bool hasListenFailed_ = false;
  std::unique_ptr<admin::AdminServer> console_;  // null: not listening
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_ADMIN_HANDLER_H_
