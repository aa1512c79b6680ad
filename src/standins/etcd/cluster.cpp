// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/etcd/cluster.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <future>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include "etcd.grpc.pb.h"
#include "standins/etcd/leases.h"
#include "standins/etcd/store.h"
#include "standins/etcd/watches.h"

namespace ivypost::standins::etcd {
namespace {

namespace asio = boost::asio;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// How exactly leases end.
constexpr milliseconds kLeaseTick{20};
// Streams that are still open get so long when the cluster ends.
constexpr milliseconds kShutDown{500};

Leases::Micros now() {
  return std::chrono::duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

grpc::Status statusOf(Failure failure) {
  switch (failure) {
    case Failure::None:
      return grpc::Status::OK;
    case Failure::Compacted:
      return {grpc::StatusCode::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"};
    case Failure::FutureRevision:
      return {grpc::StatusCode::OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision"};
    case Failure::KeyEmpty:
      return {grpc::StatusCode::INVALID_ARGUMENT, "etcdserver: key is not provided"};
    case Failure::DuplicateKey:
      return {grpc::StatusCode::INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request"};
    case Failure::LeaseNotFound:
      return {grpc::StatusCode::NOT_FOUND, "etcdserver: requested lease not found"};
    case Failure::Invalid:
      break;
  }
  return {grpc::StatusCode::INVALID_ARGUMENT, "etcdserver: the request can't be carried out"};
}

std::string tokenOf(const grpc::CallbackServerContext& context) {
  const auto found = context.client_metadata().find("token");
  return found == context.client_metadata().end() ? ""
                                                  : std::string(found->second.data(), found->second.size());
}

// A stream both ways. Its requests and its end come on the loop; what is sent goes in order, each at its
// time.
template <class Request, class Response>
class Stream : public grpc::ServerBidiReactor<Request, Response>,
               public std::enable_shared_from_this<Stream<Request, Response>> {
 public:
  explicit Stream(asio::io_context& io) : io_(io), timer_(io) {}

  // On gRPC's thread, once.
  void begin(std::shared_ptr<Stream> self) {
    self_ = std::move(self);
    this->StartRead(&request_);
  }

  // All of these on the loop.
  virtual void onRequest(const Request& request) = 0;
  virtual void onEnd() = 0;
  void send(Response response, microseconds delay = microseconds(0)) {
    queue_.push_back({std::move(response), steady_clock::now() + delay});
    pump();
  }
  void hold(bool on) {
    held_ = on;
    pump();
  }
  void end(const grpc::Status& status) {
    if (ended_) return;
    ended_ = true;
    status_ = status;
    queue_.clear();
    if (!writing_) finish();
  }
  // Ends behind what has been sent so far.
  void endBehind(const grpc::Status& status) {
    endAfter_ = status;
    pump();
  }

  void OnReadDone(bool ok) override {
    asio::post(io_, [self = this->shared_from_this(), ok] {
      if (!ok) return self->end(grpc::Status::OK);
      if (self->ended_) return;
      self->onRequest(self->request_);
      if (!self->ended_) self->StartRead(&self->request_);
    });
  }
  void OnWriteDone(bool ok) override {
    asio::post(io_, [self = this->shared_from_this(), ok] {
      self->writing_ = false;
      if (!ok && !self->ended_) return self->end(grpc::Status::OK);
      if (self->ended_) return self->finish();
      self->pump();
    });
  }
  void OnCancel() override {
    asio::post(io_, [self = this->shared_from_this()] { self->end(grpc::Status::CANCELLED); });
  }
  void OnDone() override {
    asio::post(io_, [self = std::move(self_)] { self->onEnd(); });
  }

 private:
  void pump() {
    if (ended_ || writing_ || held_) return;
    if (queue_.empty()) {
      if (endAfter_) end(*endAfter_);
      return;
    }
    if (queue_.front().second > steady_clock::now()) {
      timer_.expires_at(queue_.front().second);
      timer_.async_wait([self = this->shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled) self->pump();
      });
      return;
    }
    writing_ = true;
    response_ = std::move(queue_.front().first);
    queue_.pop_front();
    this->StartWrite(&response_);
  }
  void finish() {
    if (std::exchange(finished_, true)) return;
    timer_.cancel();
    this->Finish(status_);
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  std::shared_ptr<Stream> self_;  // while gRPC refers to it
  Request request_;
  Response response_;  // that is being written
  std::deque<std::pair<Response, steady_clock::time_point>> queue_;
  std::optional<grpc::Status> endAfter_;
  grpc::Status status_;
  bool writing_ = false, held_ = false, ended_ = false, finished_ = false;
};

using WatchStream = Stream<pb::WatchRequest, pb::WatchResponse>;
using KeepAliveStream = Stream<pb::LeaseKeepAliveRequest, pb::LeaseKeepAliveResponse>;

}  // namespace

class Cluster::Impl {
 public:
  class Member;
  class WatchOf;
  class KeepAliveOf;
  template <class Service>
  class Serving;

  explicit Impl(Settings settings);
  ~Impl();

  // Runs on the cluster's thread, and waits for it.
  template <class What>
  auto run(What what) {
    using Result = decltype(what());
    std::packaged_task<Result()> task(std::move(what));
    auto result = task.get_future();
    asio::post(io_, [&task] { task(); });
    return result.get();
  }
  Member& member(std::size_t number) { return *members_.at(number); }
  void changed();  // the store: its watches are told
  Failure put(const pb::PutRequest& request, pb::PutResponse& response);
  Failure txn(const pb::TxnRequest& request, pb::TxnResponse& response);
  void attach(const pb::TxnRequest& request, const pb::TxnResponse& response);

  const Settings settings_;
  asio::io_context io_;
  Store store_;
  std::optional<Store> backup_;
  Leases leases_;
  std::uint64_t id_ = 0x1f9b3c;
  std::set<std::string> tokens_;
  std::uint64_t lastToken_ = 0;
  Counts counts_;
  bool stopping_ = false;
  std::vector<std::unique_ptr<Member>> members_;

 private:
  void expireLeases();

  asio::steady_timer leaseTimer_{io_};
  asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
  std::thread thread_;
};

// One member: its server, and how it fails. All on the loop but for the services' first lines.
class Cluster::Impl::Member {
 public:
  Member(Impl& cluster, std::uint64_t id, std::uint16_t port);

  std::uint16_t port() const { return static_cast<std::uint16_t>(port_); }
  void stall(bool on);
  void lag(bool on);
  void withhold(bool on);
  void dropStreams();
  void poll();
  void cancelWatches(const std::string& reason);
  void inject(const mvccpb::Event& event);
  void send(WatchOf& stream, const std::vector<pb::WatchResponse>& responses);
  void stop();
  void shutDown();  // not on the loop

  // Why this call gets nothing but a failure; `open`: it needs no token.
  grpc::Status trouble(const std::string& token, bool open) const;
  // Runs it when the member answers at all, after its delay.
  void whenAnswering(std::function<void()> serve);
  bool lagging() const { return lagging_.has_value(); }
  const Store& store() const { return lagging_ ? *lagging_ : cluster.store_; }
  void fill(pb::ResponseHeader& header, std::int64_t revision) const;

  Impl& cluster;
  microseconds delay{0};
  bool noLeader = false, refused = false, repeated = false, ahead = false, cutNext = false, stalled = false;
  bool withheld = false;
  std::set<std::shared_ptr<WatchOf>> watches;
  std::set<std::shared_ptr<KeepAliveOf>> keepAlives;

 private:
  const std::uint64_t id_;
  int port_ = 0;
  std::optional<Store> lagging_;
  std::vector<std::function<void()>> held_;  // calls while it stalls
  std::vector<std::unique_ptr<grpc::Service>> services_;
  std::unique_ptr<grpc::Server> server_;
};

class Cluster::Impl::WatchOf final : public WatchStream {
 public:
  WatchOf(Member& member, std::string token)
      : WatchStream(member.cluster.io_), member_(member), token_(std::move(token)) {}

  void onRequest(const pb::WatchRequest& request) override {
    Impl& cluster = member_.cluster;
    if (request.has_create_request()) ++cluster.counts_.watches;
    if (request.has_progress_request()) ++cluster.counts_.progress;
    if (const grpc::Status trouble = member_.trouble(token_, false); !trouble.ok()) return end(trouble);
    watches.fragmentEvents = cluster.settings_.fragmentEvents;
    auto responses = watches.request(request, member_.store());
    if (member_.withheld)
      std::erase_if(responses, [](const pb::WatchResponse& response) { return response.events_size() > 0; });
    member_.send(*this, responses);
  }
  void onEnd() override { member_.watches.erase(std::static_pointer_cast<WatchOf>(shared_from_this())); }

  Watches watches;

 private:
  Member& member_;
  const std::string token_;
};

class Cluster::Impl::KeepAliveOf final : public KeepAliveStream {
 public:
  explicit KeepAliveOf(Member& member) : KeepAliveStream(member.cluster.io_), member_(member) {}

  void onRequest(const pb::LeaseKeepAliveRequest& request) override {
    pb::LeaseKeepAliveResponse response;
    member_.fill(*response.mutable_header(), member_.store().revision());
    response.set_id(request.id());
    response.set_ttl(member_.cluster.leases_.keepAlive(request.id(), now()));
    send(std::move(response), member_.delay);
  }
  void onEnd() override {
    member_.keepAlives.erase(std::static_pointer_cast<KeepAliveOf>(shared_from_this()));
  }

 private:
  Member& member_;
};

// What the four services share: a call is handed over to the loop, and answered there.
template <class Service>
class Cluster::Impl::Serving : public Service {
 public:
  explicit Serving(Member& member) : member_(member) {}

 protected:
  template <class Request, class Response, class Serve>
  grpc::ServerUnaryReactor* unary(grpc::CallbackServerContext* context, const Request* request,
                                  Response* response, bool open, Serve serve) {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    asio::post(member_.cluster.io_,
               [this, reactor, request, response, open, serve, token = tokenOf(*context)] {
                 member_.whenAnswering([this, reactor, request, response, open, serve, token] {
                   grpc::Status status = member_.trouble(token, open);
                   if (status.ok()) {
                     status = serve(member_, *request, *response);
                     member_.fill(*response->mutable_header(), member_.store().revision());
                   }
                   reactor->Finish(status);
                 });
               });
    return reactor;
  }
  template <class Of>
  Of* stream(const std::shared_ptr<Of>& of, std::set<std::shared_ptr<Of>>& all) {
    asio::post(member_.cluster.io_, [this, of, &all] {
      all.insert(of);
      of->hold(member_.stalled);
      if (member_.cluster.stopping_) of->end({grpc::StatusCode::UNAVAILABLE, "the member stops"});
    });
    of->begin(of);
    return of.get();
  }

  Member& member_;
};

namespace {

template <class Base>
class KvService final : public Base {
 public:
  using Base::Base;
  grpc::ServerUnaryReactor* Range(grpc::CallbackServerContext* context, const pb::RangeRequest* request,
                                  pb::RangeResponse* response) override {
    return this->unary(context, request, response, false, [](auto& member, const auto& asked, auto& answer) {
      ++member.cluster.counts_.ranges;
      // What others have agreed on is not here, and a read that wants it waits in vain.
      if (member.lagging() && !asked.serializable())
        return grpc::Status(grpc::StatusCode::UNAVAILABLE, "etcdserver: request timed out");
      return statusOf(member.store().range(asked, answer));
    });
  }
  grpc::ServerUnaryReactor* Put(grpc::CallbackServerContext* context, const pb::PutRequest* request,
                                pb::PutResponse* response) override {
    return this->unary(context, request, response, false, [](auto& member, const auto& asked, auto& answer) {
      return statusOf(member.cluster.put(asked, answer));
    });
  }
  grpc::ServerUnaryReactor* DeleteRange(grpc::CallbackServerContext* context,
                                        const pb::DeleteRangeRequest* request,
                                        pb::DeleteRangeResponse* response) override {
    return this->unary(context, request, response, false, [](auto& member, const auto& asked, auto& answer) {
      grpc::Status status = statusOf(member.cluster.store_.deleteRange(asked, answer));
      member.cluster.changed();
      return status;
    });
  }
  grpc::ServerUnaryReactor* Txn(grpc::CallbackServerContext* context, const pb::TxnRequest* request,
                                pb::TxnResponse* response) override {
    return this->unary(context, request, response, false, [](auto& member, const auto& asked, auto& answer) {
      return statusOf(member.cluster.txn(asked, answer));
    });
  }
  grpc::ServerUnaryReactor* Compact(grpc::CallbackServerContext* context,
                                    const pb::CompactionRequest* request,
                                    pb::CompactionResponse* response) override {
    return this->unary(context, request, response, false,
                       [](auto& member, const auto& asked, auto& /*answer*/) {
                         grpc::Status status = statusOf(member.cluster.store_.compact(asked));
                         member.cluster.changed();
                         return status;
                       });
  }
};

template <class Base, class Of>
class WatchService final : public Base {
 public:
  using Base::Base;
  grpc::ServerBidiReactor<pb::WatchRequest, pb::WatchResponse>* Watch(
      grpc::CallbackServerContext* context) override {
    return this->stream(std::make_shared<Of>(this->member_, tokenOf(*context)), this->member_.watches);
  }
};

template <class Base, class Of>
class LeaseService final : public Base {
 public:
  using Base::Base;
  grpc::ServerUnaryReactor* LeaseGrant(grpc::CallbackServerContext* context,
                                       const pb::LeaseGrantRequest* request,
                                       pb::LeaseGrantResponse* response) override {
    return this->unary(context, request, response, false, [](auto& member, const auto& asked, auto& answer) {
      const auto id = member.cluster.leases_.grant(asked.id(), asked.ttl(), now());
      if (!id) {
        if (asked.ttl() <= 0) return statusOf(Failure::Invalid);
        return grpc::Status(grpc::StatusCode::FAILED_PRECONDITION, "etcdserver: lease already exists");
      }
      answer.set_id(*id);
      answer.set_ttl(asked.ttl());
      return grpc::Status::OK;
    });
  }
  grpc::ServerUnaryReactor* LeaseRevoke(grpc::CallbackServerContext* context,
                                        const pb::LeaseRevokeRequest* request,
                                        pb::LeaseRevokeResponse* response) override {
    return this->unary(context, request, response, false,
                       [](auto& member, const auto& asked, auto& /*answer*/) {
                         const auto keys = member.cluster.leases_.revoke(asked.id());
                         if (!keys) return statusOf(Failure::LeaseNotFound);
                         member.cluster.store_.remove(*keys);
                         member.cluster.changed();
                         return grpc::Status::OK;
                       });
  }
  grpc::ServerBidiReactor<pb::LeaseKeepAliveRequest, pb::LeaseKeepAliveResponse>* LeaseKeepAlive(
      grpc::CallbackServerContext* /*context*/) override {
    return this->stream(std::make_shared<Of>(this->member_), this->member_.keepAlives);
  }
};

template <class Base>
class AuthService final : public Base {
 public:
  using Base::Base;
  grpc::ServerUnaryReactor* Authenticate(grpc::CallbackServerContext* context,
                                         const pb::AuthenticateRequest* request,
                                         pb::AuthenticateResponse* response) override {
    return this->unary(context, request, response, true, [](auto& member, const auto& asked, auto& answer) {
      auto& cluster = member.cluster;
      ++cluster.counts_.authentications;
      if (cluster.settings_.user.empty())
        return grpc::Status(grpc::StatusCode::FAILED_PRECONDITION,
                            "etcdserver: authentication is not enabled");
      if (asked.name() != cluster.settings_.user || asked.password() != cluster.settings_.password) {
        return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT,
                            "etcdserver: authentication failed, invalid user ID or password");
      }
      answer.set_token("token." + std::to_string(++cluster.lastToken_));
      cluster.tokens_.insert(answer.token());
      return grpc::Status::OK;
    });
  }
};

}  // namespace

// ---- A member ---------------------------------------------------------------------------------------------

Cluster::Impl::Member::Member(Impl& owner, std::uint64_t id, std::uint16_t wanted) : cluster(owner), id_(id) {
  services_.push_back(std::make_unique<KvService<Serving<pb::KV::CallbackService>>>(*this));
  services_.push_back(std::make_unique<WatchService<Serving<pb::Watch::CallbackService>, WatchOf>>(*this));
  services_.push_back(
      std::make_unique<LeaseService<Serving<pb::Lease::CallbackService>, KeepAliveOf>>(*this));
  services_.push_back(std::make_unique<AuthService<Serving<pb::Auth::CallbackService>>>(*this));
  const Settings& settings = cluster.settings_;
  std::shared_ptr<grpc::ServerCredentials> credentials = grpc::InsecureServerCredentials();
  if (!settings.certificate.empty()) {
    grpc::SslServerCredentialsOptions options(
        settings.ca.empty() ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                            : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = settings.ca;
    options.pem_key_cert_pairs.push_back({settings.key, settings.certificate});
    credentials = grpc::SslServerCredentials(options);
  }
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort("127.0.0.1:" + std::to_string(wanted), credentials, &port_);
  for (const auto& service : services_) builder.RegisterService(service.get());
  server_ = builder.BuildAndStart();
  if (!server_ || port_ == 0)
    throw std::runtime_error("the member can't listen on port " + std::to_string(wanted));
}

grpc::Status Cluster::Impl::Member::trouble(const std::string& token, bool open) const {
  if (cluster.stopping_ || refused) return {grpc::StatusCode::UNAVAILABLE, "etcdserver: not available"};
  if (noLeader) return {grpc::StatusCode::UNAVAILABLE, "etcdserver: no leader"};
  if (!open && !cluster.settings_.user.empty() && cluster.tokens_.count(token) == 0)
    return {grpc::StatusCode::UNAUTHENTICATED, "etcdserver: invalid auth token"};
  return grpc::Status::OK;
}

void Cluster::Impl::Member::whenAnswering(std::function<void()> serve) {
  if (stalled && !cluster.stopping_) {
    held_.push_back(std::move(serve));
    return;
  }
  if (delay.count() == 0) return serve();
  const auto timer = std::make_shared<asio::steady_timer>(cluster.io_, delay);
  timer->async_wait([timer, serve = std::move(serve)](const boost::system::error_code&) { serve(); });
}

void Cluster::Impl::Member::fill(pb::ResponseHeader& header, std::int64_t revision) const {
  header.set_cluster_id(cluster.id_);
  header.set_member_id(id_);
  header.set_revision(revision);
  header.set_raft_term(2);
}

void Cluster::Impl::Member::send(WatchOf& stream, const std::vector<pb::WatchResponse>& responses) {
  for (pb::WatchResponse response : responses) {
    fill(*response.mutable_header(), response.header().revision());
    const bool events = response.events_size() > 0;
    if (events && ahead) {
      pb::WatchResponse progress;
      fill(*progress.mutable_header(), store().revision());
      progress.set_watch_id(response.watch_id());
      stream.send(std::move(progress), delay);
    }
    if (events && repeated && !response.fragment()) stream.send(response, delay);
    const bool cut = cutNext && response.fragment();
    stream.send(std::move(response), delay);
    if (cut) {
      cutNext = false;
      return stream.endBehind({grpc::StatusCode::UNAVAILABLE, "the stream was cut"});
    }
  }
}

void Cluster::Impl::Member::poll() {
  if (withheld) return;
  for (const auto& stream : watches) send(*stream, stream->watches.poll(store()));
}

void Cluster::Impl::Member::cancelWatches(const std::string& reason) {
  for (const auto& stream : watches) send(*stream, stream->watches.cancelAll(reason, store()));
}

void Cluster::Impl::Member::inject(const mvccpb::Event& event) {
  for (const auto& stream : watches) {
    pb::WatchResponse response;
    response.mutable_header()->set_revision(event.kv().mod_revision());
    *response.add_events() = event;
    send(*stream, {response});
  }
}

void Cluster::Impl::Member::dropStreams() {
  for (const auto& stream : std::set(watches))
    stream->end({grpc::StatusCode::UNAVAILABLE, "the stream was dropped"});
}

void Cluster::Impl::Member::stall(bool on) {
  stalled = on;
  for (const auto& stream : watches) stream->hold(on);
  for (const auto& stream : keepAlives) stream->hold(on);
  if (on) return;
  for (auto& serve : std::exchange(held_, {})) whenAnswering(std::move(serve));
}

void Cluster::Impl::Member::lag(bool on) {
  lagging_.reset();
  if (on) lagging_ = cluster.store_;
  if (!on) poll();
}

void Cluster::Impl::Member::withhold(bool on) {
  withheld = on;
  poll();
}

void Cluster::Impl::Member::stop() {
  for (auto& serve : std::exchange(held_, {})) serve();
  for (const auto& stream : std::set(watches))
    stream->end({grpc::StatusCode::UNAVAILABLE, "the member stops"});
  for (const auto& stream : std::set(keepAlives))
    stream->end({grpc::StatusCode::UNAVAILABLE, "the member stops"});
}

void Cluster::Impl::Member::shutDown() {
  server_->Shutdown(std::chrono::system_clock::now() + kShutDown);
  server_->Wait();
  server_.reset();
}

// ---- The cluster ------------------------------------------------------------------------------------------

Cluster::Impl::Impl(Settings settings) : settings_(std::move(settings)), thread_([this] { io_.run(); }) {
  try {
    for (std::size_t n = 0; n < settings_.members; ++n) {
      const std::uint16_t wanted = n < settings_.ports.size() ? settings_.ports[n] : std::uint16_t{0};
      members_.push_back(std::make_unique<Member>(*this, n + 1, wanted));
    }
  } catch (...) {
    for (const auto& member : members_) member->shutDown();
    work_.reset();
    thread_.join();
    throw;
  }
  run([this] { expireLeases(); });
}

Cluster::Impl::~Impl() {
  run([this] {
    stopping_ = true;
    leaseTimer_.cancel();
    for (const auto& member : members_) member->stop();
  });
  for (const auto& member : members_) member->shutDown();
  work_.reset();
  thread_.join();
}

void Cluster::Impl::changed() {
  for (const auto& member : members_) member->poll();
}

Failure Cluster::Impl::put(const pb::PutRequest& request, pb::PutResponse& response) {
  if (request.lease() != 0 && !leases_.has(request.lease())) return Failure::LeaseNotFound;
  const Failure failure = store_.put(request, response);
  if (failure == Failure::None) leases_.attach(request.key(), store_.leaseOf(request.key()));
  changed();
  return failure;
}

Failure Cluster::Impl::txn(const pb::TxnRequest& request, pb::TxnResponse& response) {
  for (const auto* branch : {&request.success(), &request.failure()}) {
    for (const pb::RequestOp& op : *branch) {
      const std::int64_t lease = op.has_request_put() ? op.request_put().lease() : 0;
      if (lease != 0 && !leases_.has(lease)) return Failure::LeaseNotFound;
    }
  }
  const Failure failure = store_.txn(request, response);
  if (failure == Failure::None) attach(request, response);
  changed();
  return failure;
}

void Cluster::Impl::attach(const pb::TxnRequest& request, const pb::TxnResponse& response) {
  const auto& ops = response.succeeded() ? request.success() : request.failure();
  for (int n = 0; n < ops.size(); ++n) {
    if (ops[n].has_request_put())
      leases_.attach(ops[n].request_put().key(), store_.leaseOf(ops[n].request_put().key()));
    if (ops[n].has_request_txn()) attach(ops[n].request_txn(), response.responses(n).response_txn());
  }
}

void Cluster::Impl::expireLeases() {
  for (const auto& ended : leases_.expire(now())) store_.remove(ended.keys);
  changed();
  leaseTimer_.expires_after(kLeaseTick);
  leaseTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && !stopping_) expireLeases();
  });
}

Cluster::Cluster(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Cluster::~Cluster() = default;

std::uint16_t Cluster::port(std::size_t member) const {
  return impl_->member(member).port();
}

std::int64_t Cluster::put(const std::string& key, const std::string& value) {
  return replace({}, {{key, value}});
}

std::int64_t Cluster::remove(const std::string& key) {
  return replace({key}, {});
}

std::int64_t Cluster::replace(const std::vector<std::string>& gone,
                              const std::vector<std::pair<std::string, std::string>>& put) {
  return impl_->run([&] {
    pb::TxnRequest request;
    for (const std::string& key : gone) request.add_success()->mutable_request_delete_range()->set_key(key);
    for (const auto& [key, value] : put) {
      auto& op = *request.add_success()->mutable_request_put();
      op.set_key(key);
      op.set_value(value);
    }
    pb::TxnResponse response;
    if (impl_->txn(request, response) != Failure::None)
      throw std::runtime_error("the transaction was refused");
    return impl_->store_.revision();
  });
}

std::int64_t Cluster::revision() {
  return impl_->run([this] { return impl_->store_.revision(); });
}

std::size_t Cluster::keys(const std::string& prefix) {
  return impl_->run([&] {
    pb::RangeRequest request;
    request.set_key(prefix.empty() ? std::string(1, '\0') : prefix);
    std::string end = prefix;
    if (!end.empty()) ++end.back();
    request.set_range_end(end.empty() ? std::string(1, '\0') : end);
    request.set_count_only(true);
    pb::RangeResponse response;
    impl_->store_.range(request, response);
    return static_cast<std::size_t>(response.count());
  });
}

void Cluster::compact() {
  impl_->run([this] {
    pb::CompactionRequest request;
    request.set_revision(impl_->store_.revision());
    impl_->store_.compact(request);
    impl_->changed();
  });
}

void Cluster::backup() {
  impl_->run([this] { impl_->backup_ = impl_->store_; });
}

// As after a restore, every member starts anew.
void Cluster::restore(bool newCluster) {
  impl_->run([&] {
    if (impl_->backup_) impl_->store_ = *impl_->backup_;
    if (newCluster) ++impl_->id_;
    for (const auto& member : impl_->members_) member->dropStreams();
  });
}

void Cluster::expireTokens() {
  impl_->run([this] {
    impl_->tokens_.clear();
    for (const auto& member : impl_->members_) member->cancelWatches("etcdserver: invalid auth token");
  });
}

void Cluster::dropStreams(std::size_t member) {
  impl_->run([&] { impl_->member(member).dropStreams(); });
}
void Cluster::cutFragment(std::size_t member) {
  impl_->run([&] { impl_->member(member).cutNext = true; });
}
void Cluster::stall(std::size_t member, bool on) {
  impl_->run([&] { impl_->member(member).stall(on); });
}
void Cluster::withhold(std::size_t member, bool on) {
  impl_->run([&] { impl_->member(member).withhold(on); });
}
void Cluster::lag(std::size_t member, bool on) {
  impl_->run([&] { impl_->member(member).lag(on); });
}
void Cluster::loseLeader(std::size_t member, bool on) {
  impl_->run([&] {
    impl_->member(member).noLeader = on;
    if (on) impl_->member(member).dropStreams();
  });
}
void Cluster::refuse(std::size_t member, bool on) {
  impl_->run([&] {
    impl_->member(member).refused = on;
    if (on) impl_->member(member).dropStreams();
  });
}
void Cluster::slow(std::size_t member, std::int64_t micros) {
  impl_->run([&] { impl_->member(member).delay = microseconds(micros); });
}
void Cluster::repeatEvents(std::size_t member, bool on) {
  impl_->run([&] { impl_->member(member).repeated = on; });
}
void Cluster::progressAhead(std::size_t member, bool on) {
  impl_->run([&] { impl_->member(member).ahead = on; });
}

void Cluster::inject(std::size_t member, const std::string& key, const std::string& value) {
  impl_->run([&] {
    mvccpb::Event event;
    event.mutable_kv()->set_key(key);
    event.mutable_kv()->set_value(value);
    event.mutable_kv()->set_mod_revision(impl_->store_.revision() + 1);
    event.mutable_kv()->set_create_revision(impl_->store_.revision() + 1);
    impl_->member(member).inject(event);
  });
}

Cluster::Counts Cluster::counts() {
  return impl_->run([this] {
    Counts counts = impl_->counts_;
    for (const auto& member : impl_->members_) counts.openStreams += member->watches.size();
    return counts;
  });
}

}  // namespace ivypost::standins::etcd
