// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Answers the operators' calls, and keeps the endpoints that they have excluded.
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

/// The operators' side of the sidecar. Without a console's address in the configuration it does nothing and
/// excludes nothing.
///
/// One change of the exclusions is made in a turn of the loop, since each waits for the disk; at most
/// AdminServer::kMaxConnections wait, and one more is answered as failed. The set that counts is this
/// process's; what the other process of a replacement changes is read within 100 ms. Not thread-safe: all
/// calls are made on the loop.
class AdminHandler {
 public:
  /// Called on the event loop. They outlive the handler.
  struct Callbacks {
    /// An operator asks for a drain or for its end.
    std::function<void(lifecycle::Event)> lifecycleEvent;
    /// exclusions() has changed for the endpoints of these ids.
    std::function<void(const std::vector<std::string>&)> exclusionsChanged;
    /// Takes one line for the log.
    std::function<void(const std::string&)> log;
  };

  /// Finds out whether the folder can be written to, and does nothing else. All that is referred to must
  /// outlive this object.
  AdminHandler(boost::asio::io_context& io, const Config& config, const EndpointTable& endpoints,
               const lifecycle::Lifecycle& lifecycle, Callbacks callbacks);

  /// Reads the exclusions that were made before, without a callback, and from now on those of the other
  /// process.
  void loadExclusions();
  /// Listens; where that fails, again each second.
  void listen();

  /// The endpoints that are excluded now.
  [[nodiscard]] const exclusion::ExclusionSet& exclusions() const { return exclusions_; }
  /// Where it listens; none: nowhere, or not yet.
  [[nodiscard]] std::optional<std::uint16_t> port() const;

 private:
  // A call that changes the exclusions, until it is answered.
  struct PendingChange {
    admin::Call call;
    admin::AdminServer::Answer answer;
    Clock::time_point until;  // the lock is tried for
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
  std::deque<PendingChange> pendingChanges_;  // the oldest first, AdminServer::kMaxConnections at most
  boost::asio::steady_timer pollTimer_;       // of the file
  boost::asio::steady_timer changeTimer_;     // of the oldest pending change
  boost::asio::steady_timer listenTimer_;     // until it is tried again
  bool hasListenFailed_ = false;
  std::unique_ptr<admin::AdminServer> console_;  // none: it does not listen
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_ADMIN_HANDLER_H_
