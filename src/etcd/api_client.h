// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Carries a watcher's calls out over gRPC. gRPC's threads only fill messages; what came is handed over to
// the event loop, whose thread alone calls this class and is called by it.
#ifndef IVYPOST_ETCD_API_CLIENT_H_
#define IVYPOST_ETCD_API_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "etcd/options.h"
#include "etcd/prefix_watcher.h"

namespace ivypost::etcd {

class ApiClient {
 public:
  struct Callbacks {
    std::function<void(PrefixWatcher::RangeResult)> ranged;
    std::function<void(PrefixWatcher::WatchResult)>
        watched;  // one at a time: the next is read when it has returned
    std::function<void(PrefixWatcher::WatchEnd)> ended;
    std::function<void(const std::string&)> log;  // one line
  };

  // Throws settings::FormatError, one line, for a file of the options that can't be read or is empty. `io`
  // has to outlive it.
  ApiClient(boost::asio::io_context& io, const Options& options, Callbacks callbacks);
  // Ends all calls, and waits for the few milliseconds until gRPC has let go of them. Nobody is called back
  // any more.
  ~ApiClient();
  ApiClient(const ApiClient&) = delete;
  ApiClient& operator=(const ApiClient&) = delete;

  // Each call is answered once, within its time-out and a little more. Where a user is set, the token is
  // asked for first, and once more when the server does not take it any longer.
  void range(const PrefixWatcher::RangeCall& call);
  // The stream's end is told once, unless it was closed here.
  void watch(const PrefixWatcher::WatchCall& watch);
  void askProgress(std::uint64_t stream);
  void close(std::uint64_t stream);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_API_CLIENT_H_
