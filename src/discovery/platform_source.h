// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The platform's discovery: the list of upstreams and its watch, one call at a time, each right after the
// answer to the last, over one connection. Whatever goes wrong is logged and asked again; the last list
// stays.
#ifndef IVYPOST_DISCOVERY_PLATFORM_SOURCE_H_
#define IVYPOST_DISCOVERY_PLATFORM_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "discovery/source.h"

namespace ivypost::discovery {

class PlatformSource final : public Source {
 public:
  // How long calls may take.
  struct Timeouts {
    std::chrono::milliseconds watchWait;   // a watch waits so long for news
    std::chrono::milliseconds watchGrace;  // it has fallen silent when its answer is this much late
    std::chrono::milliseconds plainCall;   // so has a call that need not wait, after this
  };
  // What a silent watch misses counts as told 2 s after its wait is over, and at an asked discovery the new
  // one has to be answered by then. A plain call there waits in turn with others' for up to 2 s, but after
  // SIGHUP the list counts as told within 4 s.
  static constexpr Timeouts kPolledTimeouts{std::chrono::milliseconds(20'000),
                                            std::chrono::milliseconds(1000), std::chrono::milliseconds(2500)};
  // An agent on this machine answers at no cost, so it is asked often and a silent one is soon noticed.
  static constexpr Timeouts kPushedTimeouts{std::chrono::milliseconds(1000), std::chrono::milliseconds(1000),
                                            std::chrono::milliseconds(500)};

  struct Settings {
    Endpoint address;
    std::optional<std::int64_t> generation;  // of the list that is known at the start; none: there is none
    bool isPushed = false;                   // the address is an agent's, whose watch never ends
    Timeouts timeouts = kPolledTimeouts;
  };

  PlatformSource(boost::asio::io_context& io, const Settings& settings, Callbacks callbacks);
  ~PlatformSource() override;

  void watch() override;
  void fetch() override;
  // The age counts from the last answer, less what the call that is out may wait for news.
  Freshness freshness() const override;

  // Watches from now on at another address. Its generations are its own: the whole list is asked for, again
  // and again until it comes.
  void setPlatformAddress(const Endpoint& address) override;

 private:
  class Connection;

  void call();
  void answered(const std::string& text);
  void failed(const std::string& trouble);
  void silent();
  void callAfter(std::chrono::milliseconds pause);

  boost::asio::io_context& io_;
  Endpoint address_;
  Callbacks callbacks_;
  boost::asio::steady_timer pauseTimer_;
  std::shared_ptr<Connection> connection_;
  std::optional<std::int64_t> generation_;  // none: the next call asks for the whole list
  const bool isPushed_;
  const Timeouts timeouts_;
  std::optional<std::chrono::steady_clock::time_point> respondedAt_;
  std::chrono::steady_clock::time_point calledAt_;
  std::chrono::milliseconds mayWait_{0};  // of the call that is out, or was last
  bool isWatching_ = false;
  bool isFetching_ = false;
  bool isLost_ = false;
  bool isWaitingCall_ = false;  // the call that is out, or was last, is a watch
  // A timer's handler may be on its way already when this ends.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>();
  bool isDoubtful_ = false;  // the last answer's generation was older than the one before
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_PLATFORM_SOURCE_H_
