// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd/api_client.h"

#include <grpc/support/time.h>
#include <grpcpp/grpcpp.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "etcd.grpc.pb.h"
#include "etcd/api_conversion.h"
#include "settings/settings.h"

namespace ivypost::etcd {
namespace {

namespace pb = etcdserverpb;

// A response may hold a page of the list, or the largest transaction that etcd takes by default (1.5 MiB)
// once for each watch.
constexpr int kMaxMessage = 16 * 1024 * 1024;
// A connection is asked for a sign of life so often while a stream is open on it; etcd's servers take pings
// every 5 s or more seldom.
constexpr int kPingEveryMs = 10'000, kPingTimeoutMs = 2'000;
// gRPC's own waits between two connects of one channel. The watcher decides when something is tried, so
// these only bound what it can't see.
constexpr int kReconnectMs = 100, kMaxReconnectMs = 1'000;
// Files of the options are looked at for changes at most so often, when calls fail.
constexpr std::chrono::seconds kFilesEvery{1};

std::string readFile(const std::string& path, const char* what) {
  if (path.empty()) return "";
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file || text.empty()) settings::bad(std::string(what) + " can't be read or is empty:", path);
  return text;
}

struct Files {
  std::string ca, certificate, key, password;
  bool operator==(const Files&) const = default;
};

Files readFiles(const Options& options) {
  Files files{readFile(options.ca, "ca"), readFile(options.certificate, "certificate"),
              readFile(options.key, "key"), readFile(options.passwordFile, "password_file")};
  while (!files.password.empty() && (files.password.back() == '\n' || files.password.back() == '\r'))
    files.password.pop_back();
  return files;
}

Code codeOf(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::OK:
      return Code::Ok;
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::CANCELLED:
      return Code::Unavailable;
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return Code::Timeout;
    case grpc::StatusCode::OUT_OF_RANGE:
      return status.error_message().find("compacted") != std::string::npos ? Code::Compacted
                                                                           : Code::FutureRevision;
    case grpc::StatusCode::UNAUTHENTICATED:
      return Code::Unauthenticated;
    case grpc::StatusCode::PERMISSION_DENIED:
      return Code::Denied;
    default:
      return Code::Other;
  }
}

// What is out at gRPC. Whoever ends the client waits until there is none.
class Outstanding {
 public:
  void begin() {
    const std::lock_guard lock(mutex_);
    ++count_;
  }
  void end() {
    const std::lock_guard lock(mutex_);
    if (--count_ == 0) none_.notify_all();
  }
  void wait() {
    std::unique_lock lock(mutex_);
    none_.wait(lock, [this] { return count_ == 0; });
  }

 private:
  std::mutex mutex_;  // of count_
  std::condition_variable none_;
  std::size_t count_ = 0;
};

// One unary call.
template <class Request, class Response>
struct Unary {
  grpc::ClientContext context;
  Request request;
  Response response;
};

}  // namespace

class ApiClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, const Options& options, Callbacks callbacks)
      : io_(io), options_(options), callbacks_(std::move(callbacks)), files_(readFiles(options)) {
    endpoints_.resize(options_.endpoints.size());
  }

  void range(const PrefixWatcher::RangeCall& call, bool again = false);
  void watch(const PrefixWatcher::WatchCall& watch);
  void askProgress(std::uint64_t stream);
  void close(std::uint64_t stream);
  void shutDown();

 private:
  class Stream;
  struct Endpoint {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<pb::KV::Stub> kv;
    std::unique_ptr<pb::Watch::Stub> watch;
    std::unique_ptr<pb::Auth::Stub> auth;
  };
  using Then = std::function<void(const grpc::Status&)>;

  Endpoint& endpoint(std::size_t number);
  void prepare(grpc::ClientContext& context) const;
  // Runs `then` with a token at hand, or with why there is none.
  void withToken(std::size_t endpoint, Micros timeout, Then then);
  void authenticated(const grpc::Status& status, const std::string& token, std::size_t endpoint);
  void failed(const grpc::Status& status, std::size_t endpoint);
  template <class Request, class Response, class Invoke, class Done>
  void unary(std::shared_ptr<Unary<Request, Response>> call, Micros timeout, Invoke invoke, Done done);

  boost::asio::io_context& io_;
  const Options options_;
  Callbacks callbacks_;
  Files files_;
  std::chrono::steady_clock::time_point filesAt_{};
  std::vector<Endpoint> endpoints_;
  std::string token_;
  bool authenticating_ = false;
  std::vector<Then> waiting_;  // for the token: a call of the list, an audit, a stream at the most
  std::uint64_t wanted_ = 0;   // the stream that is open or waits for its token; 0: none
  std::shared_ptr<Stream> stream_;
  std::unordered_map<const grpc::ClientContext*, std::weak_ptr<grpc::ClientContext>> contexts_;
  std::shared_ptr<Outstanding> outstanding_ = std::make_shared<Outstanding>();
};

// The watch's stream. Its reactions run on gRPC's threads, all else on the loop's.
class ApiClient::Impl::Stream final : public grpc::ClientBidiReactor<pb::WatchRequest, pb::WatchResponse> {
 public:
  Stream(std::weak_ptr<Impl> owner, boost::asio::io_context& io, const PrefixWatcher::WatchCall& watch,
         std::shared_ptr<Outstanding> outstanding)
      : owner_(std::move(owner)),
        io_(io),
        number_(watch.stream),
        endpoint_(watch.endpoint),
        outstanding_(std::move(outstanding)) {}

  void start(std::shared_ptr<Stream> self, pb::Watch::Stub& stub, const PrefixWatcher::WatchCall& watch) {
    self_ = std::move(self);
    outstanding_->begin();
    stub.async()->Watch(&context, this);
    AddHold();
    write(toRequest(watch));
    StartRead(&response_);
    StartCall();
  }

  void write(pb::WatchRequest request) {
    const std::lock_guard lock(mutex_);
    // A stream that takes nothing more is silent, and soon given up.
    if (over_ || queue_.size() >= kMaxQueue) return;
    queue_.push_back(std::move(request));
    if (queue_.size() == 1) StartWrite(&queue_.front());
  }

  // The next message may come.
  void readOn() {
    bool ends = false;
    {
      const std::lock_guard lock(mutex_);
      ends = over_ && std::exchange(held_, false);
      if (!over_) StartRead(&response_);
      reading_ = !over_;
    }
    if (ends) RemoveHold();
  }

  void cancel() {
    bool ends = false;
    {
      const std::lock_guard lock(mutex_);
      over_ = true;
      // Guards against a stream that never ends: without a read under way nothing tells that it has.
      ends = !reading_ && std::exchange(held_, false);
    }
    context.TryCancel();
    if (ends) RemoveHold();
  }
  std::uint64_t number() const { return number_; }

  void OnWriteDone(bool ok) override {
    const std::lock_guard lock(mutex_);
    queue_.pop_front();
    if (ok && !over_ && !queue_.empty()) StartWrite(&queue_.front());
  }

  void OnReadDone(bool ok) override {
    bool ends = false;
    {
      const std::lock_guard lock(mutex_);
      reading_ = false;
      over_ = over_ || !ok;
      ends = over_ && std::exchange(held_, false);
    }
    // Its last line where that is the end: nothing refers to this any more then.
    if (ends) return RemoveHold();
    boost::asio::post(io_, [owner = owner_, number = number_, watched = toWatchResult(response_)]() mutable {
      const auto impl = owner.lock();
      if (!impl || !impl->stream_ || impl->stream_->number() != number) return;
      const std::shared_ptr<Stream> stream = impl->stream_;
      watched.stream = number;
      // A token that has run out: the next stream asks for a new one.
      if (watched.canceled) impl->token_.clear();
      impl->callbacks_.watched(std::move(watched));
      if (impl->stream_ == stream) stream->readOn();
    });
  }

  void OnDone(const grpc::Status& status) override {
    boost::asio::post(io_, [owner = owner_, number = number_, endpoint = endpoint_, status] {
      const auto impl = owner.lock();
      if (!impl || !impl->stream_ || impl->stream_->number() != number) return;
      impl->stream_.reset();
      impl->wanted_ = 0;
      impl->failed(status, endpoint);
      impl->callbacks_.ended({number, codeOf(status), status.error_message()});
    });
    const auto outstanding = outstanding_;
    self_.reset();  // nothing of it is used from here on
    outstanding->end();
  }

  grpc::ClientContext context;

 private:
  static constexpr std::size_t kMaxQueue = 16;  // requests not written yet

  std::weak_ptr<Impl> owner_;
  boost::asio::io_context& io_;
  const std::uint64_t number_;
  const std::size_t endpoint_;
  std::shared_ptr<Outstanding> outstanding_;
  std::shared_ptr<Stream> self_;        // while gRPC refers to it
  std::mutex mutex_;                    // of queue_ and over_
  std::deque<pb::WatchRequest> queue_;  // the first is being written
  bool over_ = false;                   // nothing more can be read or written
  bool reading_ = true;
  bool held_ = true;  // gRPC is told that more may be started from here
  pb::WatchResponse response_;
};

ApiClient::Impl::Endpoint& ApiClient::Impl::endpoint(std::size_t number) {
  Endpoint& endpoint = endpoints_.at(number);
  if (endpoint.channel) return endpoint;
  const Target target = *parseTarget(options_.endpoints[number]);
  const bool v6 = !target.isName && target.host.find(':') != std::string::npos;
  const std::string host = (v6 ? "[" + target.host + "]" : target.host) + ":" + std::to_string(target.port);
  const std::string uri = (target.isName ? "dns:///" : v6 ? "ipv6:" : "ipv4:") + host;
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessage);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kPingEveryMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kPingTimeoutMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  std::shared_ptr<grpc::ChannelCredentials> credentials = grpc::InsecureChannelCredentials();
  if (target.tls) {
    credentials = grpc::SslCredentials({files_.ca, files_.key, files_.certificate});
    if (!options_.serverName.empty()) arguments.SetSslTargetNameOverride(options_.serverName);
  }
  endpoint.channel = grpc::CreateCustomChannel(uri, credentials, arguments);
  endpoint.kv = pb::KV::NewStub(endpoint.channel);
  endpoint.watch = pb::Watch::NewStub(endpoint.channel);
  endpoint.auth = pb::Auth::NewStub(endpoint.channel);
  return endpoint;
}

// A member that has lost its leader ends the call instead of keeping it open and silent.
void ApiClient::Impl::prepare(grpc::ClientContext& context) const {
  context.AddMetadata("hasleader", "true");
  if (!token_.empty()) context.AddMetadata("token", token_);
}

template <class Request, class Response, class Invoke, class Done>
void ApiClient::Impl::unary(std::shared_ptr<Unary<Request, Response>> call, Micros timeout, Invoke invoke,
                            Done done) {
  // By the monotonic clock: the wall clock may step between here and the call.
  call->context.set_deadline(
      gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_micros(timeout, GPR_TIMESPAN)));
  const std::shared_ptr<grpc::ClientContext> context(call, &call->context);
  contexts_.emplace(context.get(), context);
  outstanding_->begin();
  invoke(*call, [call, weak = weak_from_this(), &io = io_, outstanding = outstanding_,
                 done = std::move(done)](const grpc::Status& status) mutable {
    boost::asio::post(io, [call, weak, status, done = std::move(done)]() mutable {
      const auto self = weak.lock();
      if (!self) return;
      self->contexts_.erase(&call->context);
      done(*self, status, *call);
    });
    outstanding->end();
  });
}

void ApiClient::Impl::withToken(std::size_t number, Micros timeout, Then then) {
  if (options_.user.empty() || !token_.empty()) return then(grpc::Status::OK);
  waiting_.push_back(std::move(then));
  if (std::exchange(authenticating_, true)) return;
  auto call = std::make_shared<Unary<pb::AuthenticateRequest, pb::AuthenticateResponse>>();
  call->request.set_name(options_.user);
  call->request.set_password(files_.password);
  prepare(call->context);
  auto& stub = *endpoint(number).auth;
  unary(
      call, timeout,
      [&stub](auto& one, auto callback) {
        stub.async()->Authenticate(&one.context, &one.request, &one.response, std::move(callback));
      },
      [number](Impl& self, const grpc::Status& status, auto& one) {
        self.authenticated(status, one.response.token(), number);
      });
}

void ApiClient::Impl::authenticated(const grpc::Status& status, const std::string& token,
                                    std::size_t endpoint) {
  authenticating_ = false;
  if (status.ok()) token_ = token;
  grpc::Status result = status;
  if (status.ok() && token.empty()) result = {grpc::StatusCode::UNAUTHENTICATED, "the token is empty"};
  if (!status.ok()) failed(status, endpoint);
  for (const Then& then : std::exchange(waiting_, {})) then(result);
}

void ApiClient::Impl::range(const PrefixWatcher::RangeCall& order, bool again) {
  withToken(order.endpoint, order.timeout, [this, order, again](const grpc::Status& ready) {
    if (!ready.ok()) return callbacks_.ranged({order.call, codeOf(ready), ready.error_message()});
    auto call = std::make_shared<Unary<pb::RangeRequest, pb::RangeResponse>>();
    call->request = toRequest(order);
    prepare(call->context);
    auto& stub = *endpoint(order.endpoint).kv;
    unary(
        call, order.timeout,
        [&stub](auto& one, auto callback) {
          stub.async()->Range(&one.context, &one.request, &one.response, std::move(callback));
        },
        [order, again](Impl& self, const grpc::Status& status, auto& one) {
          if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED && !self.options_.user.empty() &&
              !again) {
            self.token_.clear();
            return self.range(order, true);
          }
          if (!status.ok()) {
            self.failed(status, order.endpoint);
            return self.callbacks_.ranged({order.call, codeOf(status), status.error_message()});
          }
          PrefixWatcher::RangeResult ranged = toRangeResult(one.response);
          ranged.call = order.call;
          self.callbacks_.ranged(std::move(ranged));
        });
  });
}

void ApiClient::Impl::watch(const PrefixWatcher::WatchCall& order) {
  wanted_ = order.stream;
  withToken(order.endpoint, options_.callTimeout, [this, order](const grpc::Status& ready) {
    if (wanted_ != order.stream) return;  // closed meanwhile
    if (!ready.ok()) {
      wanted_ = 0;
      return callbacks_.ended({order.stream, codeOf(ready), ready.error_message()});
    }
    stream_ = std::make_shared<Stream>(weak_from_this(), io_, order, outstanding_);
    prepare(stream_->context);
    stream_->start(stream_, *endpoint(order.endpoint).watch, order);
  });
}

void ApiClient::Impl::askProgress(std::uint64_t stream) {
  if (!stream_ || stream_->number() != stream) return;
  pb::WatchRequest request;
  request.mutable_progress_request();
  stream_->write(std::move(request));
}

void ApiClient::Impl::close(std::uint64_t stream) {
  if (wanted_ != stream) return;
  wanted_ = 0;
  if (stream_) std::exchange(stream_, nullptr)->cancel();
}

// Guards against certificates and passwords that were replaced while we held on to the old ones, and against
// a connection that is open and silent: gRPC would keep it until a ping is not answered.
void ApiClient::Impl::failed(const grpc::Status& status, std::size_t endpoint) {
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) endpoints_.at(endpoint).channel.reset();
  if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED) token_.clear();
  const auto now = std::chrono::steady_clock::now();
  if (now - filesAt_ < kFilesEvery) return;
  filesAt_ = now;
  try {
    Files files = readFiles(options_);
    if (files == files_) return;
    files_ = std::move(files);
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

ApiClient::ApiClient(boost::asio::io_context& io, const Options& options, Callbacks callbacks)
    : impl_(std::make_shared<Impl>(io, options, std::move(callbacks))) {}

ApiClient::~ApiClient() {
  impl_->shutDown();
}

void ApiClient::range(const PrefixWatcher::RangeCall& call) {
  impl_->range(call);
}
void ApiClient::watch(const PrefixWatcher::WatchCall& watch) {
  impl_->watch(watch);
}
void ApiClient::askProgress(std::uint64_t stream) {
  impl_->askProgress(stream);
}
void ApiClient::close(std::uint64_t stream) {
  impl_->close(stream);
}

}  // namespace ivypost::etcd
