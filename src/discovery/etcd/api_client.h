// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_API_CLIENT_H_
#define IVYPOST_DISCOVERY_ETCD_API_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "discovery/etcd/options.h"
#include "discovery/etcd/watcher_events.h"
#include "discovery/source.h"

namespace ivypost::discovery::etcd {

/// Carries a watcher's calls out over gRPC. gRPC's threads only fill messages; what came is posted to the
/// event loop, whose thread alone calls this class and is called by it.
class ApiClient {
 public:
  /// Whom the client notifies.
  struct Callbacks {
    std::function<void(RangeResult)> onRange;        ///< once for each range()
    std::function<void(WatchResult)> onWatchResult;  ///< the next is read when it has returned
    std::function<void(WatchEnd)> onWatchEnd;        ///< once for each watch() that close() does not end
    discovery::Log log;                              ///< files that were read anew, or can't be
  };

  /// Throws settings::FormatError, one line, for a file of the options that can't be read or is empty. `io`
  /// has to outlive this object.
  ApiClient(boost::asio::io_context& io, const Options& options, Callbacks callbacks);
  ApiClient(const ApiClient&) = delete;
  ApiClient& operator=(const ApiClient&) = delete;
  ApiClient(ApiClient&&) = delete;
  ApiClient& operator=(ApiClient&&) = delete;
  /// Ends all calls, and blocks for the few milliseconds until gRPC has let go of them. Nobody is notified
  /// any more.
  ~ApiClient();

  /// Answered within its timeout and a little more. Where a user is set, the token is asked for first, and
  /// once more when the server does not take it any longer.
  void range(const RangeCall& call);
  /// Opens a stream; the one before has to have ended.
  void watch(const WatchCall& call);
  /// Asks for progress on this stream. Nothing if it is not the open one.
  void requestProgress(std::uint64_t stream);
  /// Ends this stream. Nothing if it is not the open one.
  void close(std::uint64_t stream);

 private:
  class Impl;
  // Shared with calls that are under way, which hold it weakly.
  std::shared_ptr<Impl> impl_;
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_API_CLIENT_H_
