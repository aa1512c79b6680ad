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

/// The platform's discovery as a source: fetches and watches its list by one call at a time over one
/// connection, each call right after the response to the previous one.
///
/// Invariant: every failure is logged and retried, and the last list stays in use. A list is passed on only
/// if its generation is not below the last list's, or if a complete list repeats the lower generation: a
/// replica of discovery that lags behind cannot bring removed endpoints back. Clock: the process's monotonic
/// clock. The age of the list is the time since the last response, less the time for which discovery may hold
/// the call in progress open. While no response arrives, this age grows; after a failed call the source
/// reports itself as not confirmed.
class PlatformSource final : public Source {
 public:
  /// Timeouts of the calls.
  struct Timeouts {
    std::chrono::milliseconds watchWait;   ///< how long discovery may hold a watch open until a change
    std::chrono::milliseconds watchGrace;  ///< a watch without a response times out this long after its wait
    std::chrono::milliseconds plainCall;   ///< timeout of a call that does not wait for a change
  };
  /// Timeouts for a polled discovery. If a watch gets no response, the platform expects the sidecar to know
  /// the changes that it missed within 2 s after the end of the watch's wait, so the new watch has to be
  /// answered by then. A plain call may be queued behind the calls of other sidecars for up to 2 s, so its
  /// timeout must be longer, but only slightly: within 4 s after SIGHUP, the platform expects the sidecar to
  /// know the list.
  static constexpr Timeouts kPolledTimeouts{std::chrono::milliseconds(20'000),
                                            std::chrono::milliseconds(1000), std::chrono::milliseconds(2500)};
  /// Timeouts for an agent on this machine: calls to it are cheap, so it is called often, and a silent agent
  /// is detected soon.
  static constexpr Timeouts kPushedTimeouts{std::chrono::milliseconds(1000), std::chrono::milliseconds(1000),
                                            std::chrono::milliseconds(500)};

  /// Initial state and configuration.
  struct Settings {
    /// Address of discovery, or of its agent on this machine.
    Endpoint address;
    /// Generation of the list that is known already; none if no list is known.
    std::optional<std::int64_t> generation;
    /// Whether the address is an agent's, which pushes lists: its watch never ends, and this class retries
    /// after a failure. Otherwise discovery is polled, and the caller retries after Callbacks::onFailure().
    bool isPushed = false;
    /// Timeouts of the calls.
    Timeouts timeouts = kPolledTimeouts;
  };

  /// `log` is called with one line for each failure and each recovery. `io` and the objects that the
  /// callbacks refer to must outlive this object.
  PlatformSource(boost::asio::io_context& io, const Settings& settings, Callbacks callbacks, Log log);
  PlatformSource(const PlatformSource&) = delete;
  PlatformSource& operator=(const PlatformSource&) = delete;
  PlatformSource(PlatformSource&&) = delete;
  PlatformSource& operator=(PlatformSource&&) = delete;
  ~PlatformSource() override;

  void watch() override;
  void fetch() override;
  [[nodiscard]] Freshness freshness() const override;

  /// Watches discovery at this address from now on, if the address has changed. The generations of another
  /// discovery are not comparable, so the complete list is requested until it arrives.
  void setPlatformAddress(const Endpoint& address) override;

 private:
  void call();
  void callAfter(std::chrono::milliseconds pause);
  void closeConnection();
  [[nodiscard]] bool needsCompleteList() const {
    return isFetching_ || !generation_ || hasGenerationRegressed_;
  }
  [[nodiscard]] EndpointList parse(const std::string& body) const;
  [[nodiscard]] bool isOlderThanCurrent(std::int64_t generation) const;
  void onResponse(const std::string& body);
  void confirm(EndpointList list);
  [[nodiscard]] std::optional<TimePoint> currentUntil(std::optional<TimePoint> previousResponse) const;
  void onError(const CallError& error);
  void onFailure(std::string_view reason);
  void onWatchTimeout();

  boost::asio::io_context& io_;
  Endpoint address_;
  Callbacks callbacks_;
  Log log_;
  boost::asio::steady_timer pauseTimer_;
  // Shared with its asynchronous operations, see PlatformConnection.
  std::shared_ptr<PlatformConnection> connection_;
  // Generation of the last list; none: the next call requests the complete list.
  std::optional<std::int64_t> generation_;
  const bool isPushed_;
  const Timeouts timeouts_;
  std::optional<TimePoint> respondedAt_;
  TimePoint calledAt_;
  // How long discovery may hold the call in progress, or the last call, open until a change.
  std::chrono::milliseconds callWait_{0};
  bool isWatching_ = false;
  bool isFetching_ = false;
  // A call has failed or timed out, and no later call has succeeded.
  bool isUnreachable_ = false;
  // The call in progress, or the last call, is a watch that waits for a change.
  bool isWaitingCall_ = false;
  // The last response had a lower generation than the response before it.
  bool hasGenerationRegressed_ = false;
  // A timer's handler may already be queued when this object is destroyed; it holds a weak pointer to this.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>();
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_PLATFORM_SOURCE_H_
