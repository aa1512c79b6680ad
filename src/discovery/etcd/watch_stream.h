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

/// A bidirectional gRPC stream that carries one watch. The reactor functions (On...) run on gRPC's threads;
/// all other functions, and the owner's callbacks, run on the event loop's thread. gRPC refers to this
/// object until OnDone(), so the object holds a shared pointer to itself until then.
class WatchStream final
    : public grpc::ClientBidiReactor<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse> {
 public:
  /// Receiver of a stream's results. Its functions are called on the event loop's thread; a call may still
  /// arrive after cancel().
  class Owner {
   public:
    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    Owner(Owner&&) = delete;
    Owner& operator=(Owner&&) = delete;
    virtual ~Owner() = default;
    /// A response has been received. The next response is read after readNext().
    virtual void onStreamResponse(WatchResult result) = 0;
    /// The stream to this endpoint has ended, by itself or after cancel().
    virtual void onStreamEnd(std::uint64_t stream, std::size_t endpoint, const grpc::Status& status) = 0;
  };

  /// `owner` is held weakly: after its destruction no results are delivered. `io` must outlive this object.
  WatchStream(std::weak_ptr<Owner> owner, boost::asio::io_context& io, const WatchCall& call,
              std::shared_ptr<OutstandingCalls> outstanding);

  /// The call's context, to which metadata can be added before start().
  [[nodiscard]] grpc::ClientContext& context() { return context_; }
  /// Opens the stream and sends the watch's create request. `self` must point to this object.
  void start(std::shared_ptr<WatchStream> self, etcdserverpb::Watch::Stub& stub, const WatchCall& call);
  /// Queues a request for sending. If kMaxQueue requests are queued, the request is dropped: a stream that
  /// accepts no writes is also silent, and the watcher soon closes it.
  void write(etcdserverpb::WatchRequest request);
  /// Starts to read the next response.
  void readNext();
  /// Cancels the stream.
  void cancel();
  /// The stream's id, from its WatchCall.
  [[nodiscard]] std::uint64_t id() const { return id_; }

  /// Called by gRPC when a request was written or its write has failed.
  void OnWriteDone(bool ok) override;
  /// Called by gRPC when a response was read, or with `ok` false when there are no further responses.
  void OnReadDone(bool ok) override;
  /// Called by gRPC when the stream has ended and gRPC no longer refers to this object.
  void OnDone(const grpc::Status& status) override;

  /// Maximum number of queued requests, including the one that is being written.
  static constexpr std::size_t kMaxQueue = 16;

 private:
  // Clears isHeld_ and returns its previous value. The caller must hold the lock; if the result is true,
  // the caller must call RemoveHold() after releasing the lock.
  [[nodiscard]] bool clearHold();

  std::weak_ptr<Owner> owner_;
  boost::asio::io_context& io_;
  const std::uint64_t id_;
  const std::size_t endpoint_;
  std::shared_ptr<OutstandingCalls> outstanding_;
  std::shared_ptr<WatchStream> self_;  // set while gRPC refers to this object
  grpc::ClientContext context_;
  std::mutex mutex_;                              // protects all below but response_
  std::deque<etcdserverpb::WatchRequest> queue_;  // the first request is being written
  bool hasEnded_ = false;                         // the stream can no longer be read or written
  bool isReading_ = true;
  bool isHeld_ = true;  // whether the hold of AddHold() is in force: operations may be started outside of
                        // reactor functions
  etcdserverpb::WatchResponse
      response_;  // used by gRPC during a read, by the event loop's thread until readNext()
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_WATCH_STREAM_H_
