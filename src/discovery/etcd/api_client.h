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

/// Executes a PrefixWatcher's calls over gRPC. gRPC's threads only fill messages; results are posted to the
/// event loop, whose thread alone calls this class and is the only one to receive its callbacks.
class ApiClient {
 public:
  /// Receivers of results.
  struct Callbacks {
    std::function<void(RangeResult)> onRange;        ///< once for each range()
    std::function<void(WatchResult)> onWatchResult;  ///< the next response is read after it returns
    std::function<void(WatchEnd)> onWatchEnd;  ///< once for each watch(), unless close() ended the stream
    discovery::Log log;  ///< reports credential files that were read again or could not be read
  };

  /// Throws settings::FormatError, with a one-line message, if a file named by the options can't be read or
  /// is empty. `io` must outlive this object.
  ApiClient(boost::asio::io_context& io, const Options& options, Callbacks callbacks);
  ApiClient(const ApiClient&) = delete;
  ApiClient& operator=(const ApiClient&) = delete;
  ApiClient(ApiClient&&) = delete;
  ApiClient& operator=(ApiClient&&) = delete;
  /// Cancels all calls, and blocks for the few milliseconds until gRPC refers to none of them. No callback
  /// is called afterwards.
  ~ApiClient();

  /// Sends a Range call. Its result arrives within the call's timeout, plus the time for a token: if a user
  /// is set, a token is requested first, and once again if the server rejects it.
  void range(const RangeCall& call);
  /// Opens a stream; the previous stream must have ended.
  void watch(const WatchCall& call);
  /// Requests a progress notification on this stream. No effect if it is not the open stream.
  void requestProgress(std::uint64_t stream);
  /// Closes this stream. No effect if it is not the open stream.
  void close(std::uint64_t stream);

 private:
  class Impl;
  // Calls in progress refer to it by weak pointers.
  std::shared_ptr<Impl> impl_;
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_API_CLIENT_H_
