// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_WATCH_STREAM_H_
#define IVYPOST_DISCOVERY_ETCD_WATCH_STREAM_H_

#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>

#include "discovery/etcd/outstanding_calls.h"
#include "discovery/etcd/watcher_events.h"
#include "etcd.grpc.pb.h"

namespace ivypost::discovery::etcd {

/// A watch's stream over gRPC. Its reactions (On...) run on gRPC's threads, all else, also its owner's
/// callbacks, on the event loop's. gRPC refers to it until OnDone(), so it holds itself until then.
class WatchStream final
    : public grpc::ClientBidiReactor<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse> {
 public:
  /// Whom a stream notifies. The calls come from the event loop; one may come after cancel().
  class Owner {
   public:
    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    Owner(Owner&&) = delete;
    Owner& operator=(Owner&&) = delete;
    virtual ~Owner() = default;
    /// A response has come. The next one is read after readNext().
    virtual void onStreamResponse(WatchResult result) = 0;
    /// The stream has ended by itself, at this endpoint.
    virtual void onStreamEnd(std::uint64_t stream, std::size_t endpoint, const grpc::Status& status) = 0;
  };

  /// `owner` is held weakly: nobody is notified once it has gone. `io` must outlive this object.
  WatchStream(std::weak_ptr<Owner> owner, boost::asio::io_context& io, const WatchCall& call,
              std::shared_ptr<OutstandingCalls> outstanding);

  /// The call's context, for metadata ahead of start().
  [[nodiscard]] grpc::ClientContext& context() { return context_; }
  /// Opens it. `self` is this object.
  void start(std::shared_ptr<WatchStream> self, etcdserverpb::Watch::Stub& stub, const WatchCall& call);
  /// Sends a request, behind those that are not written yet. Beyond kMaxQueue of them it is dropped: a stream
  /// that takes nothing more is silent, and soon given up by the watcher.
  void write(etcdserverpb::WatchRequest request);
  /// Reads the next response.
  void readNext();
  /// Ends it.
  void cancel();
  /// The id of the WatchCall.
  [[nodiscard]] std::uint64_t id() const { return id_; }

  /// gRPC: a request was written.
  void OnWriteDone(bool ok) override;
  /// gRPC: a response was read, or none will come.
  void OnReadDone(bool ok) override;
  /// gRPC: it refers to nothing of this object any more.
  void OnDone(const grpc::Status& status) override;

  /// Requests that are not written yet.
  static constexpr std::size_t kMaxQueue = 16;

 private:
  // Whether gRPC is still held; not any more afterwards. The lock has to be held, and RemoveHold() called
  // without it.
  [[nodiscard]] bool takeHold();

  std::weak_ptr<Owner> owner_;
  boost::asio::io_context& io_;
  const std::uint64_t id_;
  const std::size_t endpoint_;
  std::shared_ptr<OutstandingCalls> outstanding_;
  std::shared_ptr<WatchStream> self_;  // while gRPC refers to it
  grpc::ClientContext context_;
  std::mutex mutex_;                              // protects all below but response_
  std::deque<etcdserverpb::WatchRequest> queue_;  // the first is being written
  bool isOver_ = false;                           // nothing more can be read or written
  bool isReading_ = true;
  bool isHeld_ = true;                    // gRPC knows that more may be started from here
  etcdserverpb::WatchResponse response_;  // gRPC's while it reads, the loop's until readNext()
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_WATCH_STREAM_H_
