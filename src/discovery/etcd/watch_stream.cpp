// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/watch_stream.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "discovery/etcd/api_conversion.h"

namespace ivypost::discovery::etcd {

namespace pb = etcdserverpb;

WatchStream::WatchStream(std::weak_ptr<Owner> owner, boost::asio::io_context& io, const WatchCall& call,
                         std::shared_ptr<OutstandingCalls> outstanding)
    : owner_(std::move(owner)),
      io_(io),
      id_(call.stream),
      endpoint_(call.endpoint),
      outstanding_(std::move(outstanding)) {}

void WatchStream::start(std::shared_ptr<WatchStream> self, pb::Watch::Stub& stub, const WatchCall& call) {
  self_ = std::move(self);
  outstanding_->begin();
  stub.async()->Watch(&context_, this);
  AddHold();
  write(toRequest(call));
  StartRead(&response_);
  StartCall();
}

void WatchStream::write(pb::WatchRequest request) {
  const std::lock_guard lock(mutex_);
  if (hasEnded_ || queue_.size() >= kMaxQueue) return;
  queue_.push_back(std::move(request));
  if (queue_.size() == 1) StartWrite(&queue_.front());
}

bool WatchStream::clearHold() {
  return std::exchange(isHeld_, false);
}

void WatchStream::readNext() {
  bool shouldRemoveHold = false;
  {
    const std::lock_guard lock(mutex_);
    shouldRemoveHold = hasEnded_ && clearHold();
    if (!hasEnded_) StartRead(&response_);
    isReading_ = !hasEnded_;
  }
  if (shouldRemoveHold) RemoveHold();
}

void WatchStream::cancel() {
  bool shouldRemoveHold = false;
  {
    const std::lock_guard lock(mutex_);
    hasEnded_ = true;
    // Removes the hold here if no read is in progress: no read callback would remove it, and the stream
    // would never end.
    shouldRemoveHold = !isReading_ && clearHold();
  }
  context_.TryCancel();
  if (shouldRemoveHold) RemoveHold();
}

void WatchStream::OnWriteDone(bool ok) {
  const std::lock_guard lock(mutex_);
  queue_.pop_front();
  if (ok && !hasEnded_ && !queue_.empty()) StartWrite(&queue_.front());
}

void WatchStream::OnReadDone(bool ok) {
  bool shouldRemoveHold = false;
  {
    const std::lock_guard lock(mutex_);
    isReading_ = false;
    hasEnded_ = hasEnded_ || !ok;
    shouldRemoveHold = hasEnded_ && clearHold();
  }
  // RemoveHold() may end the stream and destroy this object, so nothing may follow it.
  if (shouldRemoveHold) return RemoveHold();
  WatchResult result = toWatchResult(response_);
  result.stream = id_;
  boost::asio::post(io_, [weak = owner_, result = std::move(result)]() mutable {
    if (const auto owner = weak.lock()) owner->onStreamResponse(std::move(result));
  });
}

// The stream holds its channel, and a channel must not be destroyed on a thread of gRPC's, which would wait
// for itself: the event loop gets the last reference.
void WatchStream::OnDone(const grpc::Status& status) {
  const auto outstanding = outstanding_;
  // No member is used after this: the event loop may destroy this object at once.
  boost::asio::post(io_, [self = std::move(self_), status] {
    if (const auto owner = self->owner_.lock()) owner->onStreamEnd(self->id_, self->endpoint_, status);
  });
  outstanding->end();
}

}  // namespace ivypost::discovery::etcd
