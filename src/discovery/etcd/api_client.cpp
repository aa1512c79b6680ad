// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/api_client.h"

#include <grpc/support/time.h>
#include <grpcpp/client_context.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "discovery/etcd/api_conversion.h"
#include "discovery/etcd/channel.h"
#include "discovery/etcd/credentials.h"
#include "discovery/etcd/grpc_status.h"
#include "discovery/etcd/outstanding_calls.h"
#include "discovery/etcd/watch_stream.h"
#include "etcd.grpc.pb.h"
#include "settings/format_error.h"

namespace ivypost::discovery::etcd {
namespace {

namespace pb = etcdserverpb;

// Minimum interval between two checks of the credential files for changes; the checks are made when calls
// fail.
constexpr std::chrono::seconds kFileCheckInterval{1};

// A unary call. gRPC refers to its members until the callback.
template <class Request, class Response>
struct Unary {
  grpc::ClientContext context;
  Request request;
  Response response;
};
using RangeUnary = Unary<pb::RangeRequest, pb::RangeResponse>;
using AuthenticateUnary = Unary<pb::AuthenticateRequest, pb::AuthenticateResponse>;

}  // namespace

class ApiClient::Impl : public WatchStream::Owner, public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, const Options& options, Callbacks callbacks)
      : io_(io),
        options_(options),
        callbacks_(std::move(callbacks)),
        credentials_(readCredentials(options)),
        endpoints_(options.endpoints.size()) {}

  void range(const RangeCall& call, bool isRepeated = false);
  void watch(const WatchCall& call);
  void requestProgress(std::uint64_t stream);
  void close(std::uint64_t stream);
  void shutDown();

  void onStreamResponse(WatchResult result) override;
  void onStreamEnd(std::uint64_t stream, std::size_t endpoint, const grpc::Status& status) override;

 private:
  struct Endpoint {
    std::shared_ptr<grpc::Channel> channel;  // null until the first use, which creates it and the stubs
    std::unique_ptr<pb::KV::Stub> kv;
    std::unique_ptr<pb::Watch::Stub> watch;
    std::unique_ptr<pb::Auth::Stub> auth;
  };
  using TokenCallback = std::function<void(const grpc::Status&)>;

  Endpoint& connectedEndpoint(std::size_t endpoint);
  void prepare(grpc::ClientContext& context) const;
  void withToken(std::size_t endpoint, Micros timeout, TokenCallback then);
  void authenticate(std::size_t endpoint, Micros timeout);
  void onToken(const grpc::Status& status, const std::string& token, std::size_t endpoint);
  void sendRange(const RangeCall& order, bool isRepeated);
  void onRange(const RangeCall& call, bool isRepeated, const grpc::Status& status,
               const pb::RangeResponse& response);
  void onFailure(const grpc::Status& status, std::size_t endpoint);
  void reloadCredentials();
  template <class Call, class Invoke, class Done>
  void unary(std::shared_ptr<Call> call, Micros timeout, Invoke invoke, Done done);

  boost::asio::io_context& io_;
  const Options options_;
  Callbacks callbacks_;
  Credentials credentials_;
  std::chrono::steady_clock::time_point credentialsCheckedAt_{};
  std::vector<Endpoint> endpoints_;
  std::string token_;
  bool isAuthenticating_ = false;
  // Operations that wait for the token: at most one Range call for the list, one for an audit, and one
  // stream.
  std::vector<TokenCallback> waiting_;
  // Id of the stream that is open or waits for its token; 0: none.
  std::uint64_t requestedStream_ = 0;
  // Shared with gRPC, which may refer to the stream after close().
  std::shared_ptr<WatchStream> stream_;
  // Contexts of the unary calls in progress, for their cancellation. Each is owned by its call.
  std::unordered_map<const grpc::ClientContext*, std::weak_ptr<grpc::ClientContext>> contexts_;
  // Shared with calls and streams, which may outlive this object for a short time.
  std::shared_ptr<OutstandingCalls> outstanding_ = std::make_shared<OutstandingCalls>();
};

// ---- Calls ------------------------------------------------------------------------------------------------

ApiClient::Impl::Endpoint& ApiClient::Impl::connectedEndpoint(std::size_t endpoint) {
  Endpoint& one = endpoints_.at(endpoint);
  if (one.channel) return one;
  one.channel = makeChannel(options_, options_.endpoints[endpoint], credentials_);
  one.kv = pb::KV::NewStub(one.channel);
  one.watch = pb::Watch::NewStub(one.channel);
  one.auth = pb::Auth::NewStub(one.channel);
  return one;
}

// With "hasleader", a member without a leader ends the call instead of keeping it open without a response.
void ApiClient::Impl::prepare(grpc::ClientContext& context) const {
  context.AddMetadata("hasleader", "true");
  if (!token_.empty()) context.AddMetadata("token", token_);
}

template <class Call, class Invoke, class Done>
void ApiClient::Impl::unary(std::shared_ptr<Call> call, Micros timeout, Invoke invoke, Done done) {
  // Uses the monotonic clock: the wall clock may step between here and the call.
  call->context.set_deadline(
      gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_micros(timeout, GPR_TIMESPAN)));
  const std::shared_ptr<grpc::ClientContext> context(call, &call->context);
  contexts_.emplace(context.get(), context);
  outstanding_->begin();
  // The call holds its channel, and a channel must not be destroyed on a thread of gRPC's, which would wait
  // for itself: the event loop gets the last reference.
  Call& started = *call;
  invoke(started, [call = std::move(call), weak = weak_from_this(), &io = io_, outstanding = outstanding_,
                   done = std::move(done)](const grpc::Status& status) mutable {
    boost::asio::post(io, [call = std::move(call), weak, status, done = std::move(done)]() mutable {
      const auto self = weak.lock();
      if (!self) return;
      self->contexts_.erase(&call->context);
      done(*self, status, *call);
    });
    outstanding->end();
  });
}

void ApiClient::Impl::range(const RangeCall& call, bool isRepeated) {
  withToken(call.endpoint, call.timeout, [this, call, isRepeated](const grpc::Status& ready) {
    if (!ready.ok()) return callbacks_.onRange({call.call, toStatusCode(ready), ready.error_message()});
    sendRange(call, isRepeated);
  });
}

void ApiClient::Impl::sendRange(const RangeCall& order, bool isRepeated) {
  auto call = std::make_shared<RangeUnary>();
  call->request = toRequest(order);
  prepare(call->context);
  auto& stub = *connectedEndpoint(order.endpoint).kv;
  unary(
      call, order.timeout,
      [&stub](RangeUnary& one, auto callback) {
        stub.async()->Range(&one.context, &one.request, &one.response, std::move(callback));
      },
      [order, isRepeated](Impl& self, const grpc::Status& status, const RangeUnary& one) {
        self.onRange(order, isRepeated, status, one.response);
      });
}

void ApiClient::Impl::onRange(const RangeCall& call, bool isRepeated, const grpc::Status& status,
                              const pb::RangeResponse& response) {
  const bool isTokenRejected = status.error_code() == grpc::StatusCode::UNAUTHENTICATED;
  if (isTokenRejected && !options_.user.empty() && !isRepeated) {
    token_.clear();
    return range(call, true);
  }
  if (!status.ok()) {
    onFailure(status, call.endpoint);
    return callbacks_.onRange({call.call, toStatusCode(status), status.error_message()});
  }
  RangeResult result = toRangeResult(response);
  result.call = call.call;
  callbacks_.onRange(std::move(result));
}

// ---- The token --------------------------------------------------------------------------------------------

// Calls `then` when a token is available or not needed, or with the status of the failed authentication.
void ApiClient::Impl::withToken(std::size_t endpoint, Micros timeout, TokenCallback then) {
  if (options_.user.empty() || !token_.empty()) return then(grpc::Status::OK);
  waiting_.push_back(std::move(then));
  if (!std::exchange(isAuthenticating_, true)) authenticate(endpoint, timeout);
}

void ApiClient::Impl::authenticate(std::size_t endpoint, Micros timeout) {
  auto call = std::make_shared<AuthenticateUnary>();
  call->request.set_name(options_.user);
  call->request.set_password(credentials_.password);
  prepare(call->context);
  auto& stub = *connectedEndpoint(endpoint).auth;
  unary(
      call, timeout,
      [&stub](AuthenticateUnary& one, auto callback) {
        stub.async()->Authenticate(&one.context, &one.request, &one.response, std::move(callback));
      },
      [endpoint](Impl& self, const grpc::Status& status, const AuthenticateUnary& one) {
        self.onToken(status, one.response.token(), endpoint);
      });
}

void ApiClient::Impl::onToken(const grpc::Status& status, const std::string& token, std::size_t endpoint) {
  isAuthenticating_ = false;
  if (status.ok()) token_ = token;
  grpc::Status result = status;
  if (status.ok() && token.empty()) result = {grpc::StatusCode::UNAUTHENTICATED, "the token is empty"};
  if (!status.ok()) onFailure(status, endpoint);
  for (const TokenCallback& then : std::exchange(waiting_, {})) then(result);
}

// ---- The stream -------------------------------------------------------------------------------------------

void ApiClient::Impl::watch(const WatchCall& call) {
  requestedStream_ = call.stream;
  withToken(call.endpoint, options_.callTimeout, [this, call](const grpc::Status& ready) {
    if (requestedStream_ != call.stream) return;  // closed while it waited for the token
    if (!ready.ok()) {
      requestedStream_ = 0;
      return callbacks_.onWatchEnd({call.stream, toStatusCode(ready), ready.error_message()});
    }
    stream_ = std::make_shared<WatchStream>(weak_from_this(), io_, call, outstanding_);
    prepare(stream_->context());
    stream_->start(stream_, *connectedEndpoint(call.endpoint).watch, call);
  });
}

void ApiClient::Impl::requestProgress(std::uint64_t stream) {
  if (!stream_ || stream_->id() != stream) return;
  pb::WatchRequest request;
  request.mutable_progress_request();
  stream_->write(std::move(request));
}

void ApiClient::Impl::close(std::uint64_t stream) {
  if (requestedStream_ != stream) return;
  requestedStream_ = 0;
  if (stream_) std::exchange(stream_, nullptr)->cancel();
}

void ApiClient::Impl::onStreamResponse(WatchResult result) {
  if (!stream_ || stream_->id() != result.stream) return;
  const std::shared_ptr<WatchStream> stream = stream_;
  // The cancellation may be due to an expired token: the next stream requests a new one.
  if (result.isCanceled) token_.clear();
  callbacks_.onWatchResult(std::move(result));
  if (stream_ == stream) stream->readNext();
}

void ApiClient::Impl::onStreamEnd(std::uint64_t stream, std::size_t endpoint, const grpc::Status& status) {
  if (!stream_ || stream_->id() != stream) return;
  stream_.reset();
  requestedStream_ = 0;
  onFailure(status, endpoint);
  callbacks_.onWatchEnd({stream, toStatusCode(status), status.error_message()});
}

// ---- Failures and the end ---------------------------------------------------------------------------------

// Discards the channel after a timeout: gRPC would keep an open connection that no longer responds until a
// keepalive ping fails.
void ApiClient::Impl::onFailure(const grpc::Status& status, std::size_t endpoint) {
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) endpoints_.at(endpoint).channel.reset();
  if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED) token_.clear();
  const auto now = std::chrono::steady_clock::now();
  if (now - credentialsCheckedAt_ < kFileCheckInterval) return;
  credentialsCheckedAt_ = now;
  reloadCredentials();
}

// Reads certificates and passwords again, which may have been replaced on disk since they were read.
void ApiClient::Impl::reloadCredentials() {
  try {
    Credentials credentials = readCredentials(options_);
    if (credentials == credentials_) return;
    credentials_ = std::move(credentials);
  } catch (const settings::FormatError& error) {
    return callbacks_.log(std::string("etcd: ") + error.what() + "; the old one stays");
  }
  callbacks_.log("etcd: certificates or password have changed and are taken");
  for (Endpoint& one : endpoints_) one.channel.reset();
}

void ApiClient::Impl::shutDown() {
  if (stream_) std::exchange(stream_, nullptr)->cancel();
  for (const auto& [address, weak] : contexts_) {
    if (const auto context = weak.lock()) context->TryCancel();
  }
  outstanding_->wait();
}

// ---- The class itself -------------------------------------------------------------------------------------

ApiClient::ApiClient(boost::asio::io_context& io, const Options& options, Callbacks callbacks)
    : impl_(std::make_shared<Impl>(io, options, std::move(callbacks))) {}

ApiClient::~ApiClient() {
  impl_->shutDown();
}

void ApiClient::range(const RangeCall& call) {
  impl_->range(call);
}
void ApiClient::watch(const WatchCall& call) {
  impl_->watch(call);
}
void ApiClient::requestProgress(std::uint64_t stream) {
  impl_->requestProgress(stream);
}
void ApiClient::close(std::uint64_t stream) {
  impl_->close(stream);
}

}  // namespace ivypost::discovery::etcd
