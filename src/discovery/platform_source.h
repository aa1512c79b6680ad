// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_PLATFORM_SOURCE_H_
#define IVYPOST_DISCOVERY_PLATFORM_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/call_error.h"
#include "discovery/source.h"

namespace ivypost::discovery {

class PlatformConnection;

/// The platform's discovery as a source: its list and the watch of it, one call at a time, each right after
/// the response to the last, over one connection.
///
/// Invariant: whatever goes wrong is logged and asked for again; the last list stays. A list is notified only
/// if its generation is not below the last one's, or if a complete list says so again: a replica of discovery
/// that lags behind brings no removed endpoint back. Clock: this process's monotonic one; the age counts from
/// the last response, less what the call that is under way may wait. A source that receives nothing reports
/// that age, and is not confirmed once a call has failed.
class PlatformSource final : public Source {
 public:
  /// How long calls may take.
  struct Timeouts {
    std::chrono::milliseconds watchWait;   ///< a watch waits so long for a change
    std::chrono::milliseconds watchGrace;  ///< it is silent when its response is this much later
    std::chrono::milliseconds plainCall;   ///< a call that need not wait has failed after this
  };
  /// Of a polled discovery. What a silent watch misses counts as notified 2 s after its wait is over, and the
  /// new watch has to be answered by then. A plain call waits in turn with other sidecars' for up to 2 s, but
  /// after SIGHUP the list counts as notified within 4 s.
  static constexpr Timeouts kPolledTimeouts{std::chrono::milliseconds(20'000),
                                            std::chrono::milliseconds(1000), std::chrono::milliseconds(2500)};
  /// Of an agent on this machine: it responds at no cost, so it is asked often and a silent one is soon
  /// found.
  static constexpr Timeouts kPushedTimeouts{std::chrono::milliseconds(1000), std::chrono::milliseconds(1000),
                                            std::chrono::milliseconds(500)};

  /// What is known at the start.
  struct Settings {
    /// Of discovery, or of its agent on this machine.
    Endpoint address;
    /// Of the list that is known already; none: there is none.
    std::optional<std::int64_t> generation;
    /// The address is an agent's, to which lists are pushed: its watch never ends, and a failure is retried
    /// here. Otherwise discovery is polled, and whoever asked tries again after Callbacks::onFailure().
    bool isPushed = false;
    /// Of its calls.
    Timeouts timeouts = kPolledTimeouts;
  };

  /// `log` gets a line for each fault and its end. `io` must outlive this object, and so must what the
  /// callbacks refer to.
  PlatformSource(boost::asio::io_context& io, const Settings& settings, Callbacks callbacks, Log log);
  PlatformSource(const PlatformSource&) = delete;
  PlatformSource& operator=(const PlatformSource&) = delete;
  PlatformSource(PlatformSource&&) = delete;
  PlatformSource& operator=(PlatformSource&&) = delete;
  ~PlatformSource() override;

  void watch() override;
  void fetch() override;
  [[nodiscard]] Freshness freshness() const override;

  /// Watches at this address from now on, if it is another one. Its generations are its own: the complete
  /// list is asked for, again and again until it comes.
  void setPlatformAddress(const Endpoint& address) override;

 private:
  void call();
  void callAfter(std::chrono::milliseconds pause);
  void closeConnection();
  [[nodiscard]] bool needsCompleteList() const { return isFetching_ || !generation_ || isDoubtful_; }
  [[nodiscard]] EndpointList parse(const std::string& body) const;
  [[nodiscard]] bool contradictsGeneration(std::int64_t generation) const;
  void onResponse(const std::string& body);
  void confirm(EndpointList list);
  [[nodiscard]] std::optional<TimePoint> currentUntil(std::optional<TimePoint> previousResponse) const;
  void onError(const CallError& error);
  void onFailure(std::string_view reason);
  void onSilentWatch();

  boost::asio::io_context& io_;
  Endpoint address_;
  Callbacks callbacks_;
  Log log_;
  boost::asio::steady_timer pauseTimer_;
  // Shared with its own operations; see there.
  std::shared_ptr<PlatformConnection> connection_;
  // None: the next call asks for the complete list.
  std::optional<std::int64_t> generation_;
  const bool isPushed_;
  const Timeouts timeouts_;
  std::optional<TimePoint> respondedAt_;
  TimePoint calledAt_;
  // How long the call that is under way, or was last, may wait for a change.
  std::chrono::milliseconds mayWait_{0};
  bool isWatching_ = false;
  bool isFetching_ = false;
  // No call has succeeded since one failed or fell silent.
  bool isLost_ = false;
  // The call that is under way, or was last, is a watch that waits.
  bool isWaitingCall_ = false;
  // The last response's generation was older than the one before.
  bool isDoubtful_ = false;
  // A timer's handler may be on its way already when this object ends; it holds a weak pointer to this.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>();
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_PLATFORM_SOURCE_H_
