// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The list of upstreams and its watch: one call at a time, each right after the answer to the last, over one
// connection. Whatever goes wrong is logged and asked again; the last list stays.
#ifndef IVYPOST_DISCOVERY_H_
#define IVYPOST_DISCOVERY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config.h"

namespace ivypost {

class Discovery {
 public:
  struct Callbacks {
    std::function<void(InstanceList)> told;
    std::function<void()> failed;  // a call that was asked for by watch() or fetch() came to nothing
  };

  Discovery(boost::asio::io_context& io, const Config& config, Callbacks callbacks);
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;
  ~Discovery();

  void watch();  // begins the watch
  void fetch();  // asks for the whole list once

  // How long the list may have been out of date by now: since the last answer, less what the call that is out
  // may wait for news. 0 until the first answer.
  std::chrono::microseconds listAge() const;

  // Watches from now on at another address. Its generations are its own: the whole list is asked for, again
  // and again until it comes.
  void moveTo(const Endpoint& address);

 private:
  class Connection;

  void call();
  void answered(const std::string& text);
  void failed(const std::string& trouble);
  void callAfter(std::chrono::milliseconds pause);

  boost::asio::io_context& io_;
  Endpoint address_;
  Callbacks callbacks_;
  boost::asio::steady_timer pause_;
  std::shared_ptr<Connection> connection_;
  std::optional<std::int64_t> generation_;  // none: the next call asks for the whole list
  const bool pushed_;                       // the address is an agent's, whose watch never ends
  std::optional<std::chrono::steady_clock::time_point> answeredAt_;
  std::chrono::milliseconds mayWait_{0};  // of the call that is out, or was last
  bool watching_ = false;
  bool fetching_ = false;
  bool lost_ = false;
  bool doubted_ = false;  // the last answer's generation was older than the one before
};

}  // namespace ivypost

#endif  // IVYPOST_DISCOVERY_H_
