// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "server.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>
#include <vector>

#include "admission/tcp_state.h"
#include "last_response.h"
#include "request_parser.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using balancer::RequestId;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// The interval between sweeps of the connections while the server drains or stops.
constexpr milliseconds kSweepInterval{20};

admission::ConnectionLimiterSettings connectionLimiterSettings(const Config& config,
                                                               const configuration::OperatorFile& file) {
  admission::ConnectionLimiterSettings settings;
  settings.keepAnyFraction = file.connectionLimit.keepAnyFraction;
  settings.keepReusedFraction = file.connectionLimit.keepReusedFraction;
  settings.activeFraction = file.connectionLimit.activeFraction;
  settings.maxConnections = config.memoryPlan().clientConnections;
  return settings;
}

// Where the platform passes the listening socket, another process may serve the same clients for a while.
std::unique_ptr<admission::SharedTraceIds> mapSharedTraceIds(const Config& config) {
  if (!config.listener || config.tempFolder.empty()) return nullptr;
  const std::string path = config.tempFolder + "/ivypost-trace-ids-1-" + std::to_string(config.listen.port());
  auto ids = admission::SharedTraceIds::map(path);
  if (!ids) {
    const std::string reason = std::generic_category().message(errno);
    std::fprintf(stderr, "trace ids can't be shared with another process: %s: %s\n", path.c_str(),
                 reason.c_str());
  }
  return ids;
}

}  // namespace

Server::Server(asio::io_context& io, const Config& config, const configuration::OperatorFile& file,
               streaming::ByteBudget& budget, Callbacks callbacks)
    : io_(io),
      config_(config),
      validator_(config.site),
      budget_(budget),
      callbacks_(std::move(callbacks)),
      sweepTimer_(io),
      deadlines_(std::make_shared<Deadlines>(io)),
      connectionLimiter_(connectionLimiterSettings(config, file)),
      admissionController_(io, config, file,
                           {[this](ClientRequest request) { callbacks_.onRequest(std::move(request)); },
                            [this](RequestId id, admission::Outcome why) {
                              answer(id, rejection(std::string("refused: ") + admission::nameOf(why)));
                            }}),
      listener_(
          io, config, connectionLimiter_,
          {[this] { return evictConnection(); }, [this](tcp::socket socket) { admit(std::move(socket)); },
           [this](tcp::socket socket) { reject(std::move(socket)); }}),
      statusSettings_(file.status),
      sharedTraceIds_(mapSharedTraceIds(config)) {}

Server::~Server() {
  deadlines_->stop();
  // Handlers of the sessions that are already queued may run after the destruction.
  for (const auto& [id, session] : sessions_) session->detach();
}

void Server::admit(tcp::socket socket) {
  // A client that closed while its connection was in the kernel's queue reads no answer, so no processor time
  // is spent on it.
  if (admission::hasPeerClosed(socket.native_handle())) return;
  const auto slot = connectionLimiter_.insert(++lastConnection_, now());
  const auto session = std::make_shared<ClientSession>(
      static_cast<ClientSessionHost&>(*this),
      ClientSession::Resources{io_, deadlines_, budget_, connectionLimiter_}, std::move(socket), slot);
  sessions_.emplace(slot->id, session);
  session->start();
}

// The request of the connection has not been read, so that it has not run.
void Server::reject(tcp::socket socket) const {
  error_code ignored;
  socket.non_blocking(true, ignored);
  sendLastResponse(socket, formatLastResponse(rejection("refused: the sidecar stops")));
}

// Makes room for new connections when clients hold connections without using them.
bool Server::evictConnection() {
  for (const auto connection : connectionLimiter_.evictionCandidates(now())) {
    const auto session = sessions_.at(connection);
    if (!session->mayBeEvicted()) continue;
    session->close(CloseReason::Evicted);
    return true;
  }
  return false;
}

void Server::answer(RequestId id, Answer answer) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    if (answer.stream) answer.stream->abandon();
    return;
  }
  const auto session = found->second;
  endRequest(*session);
  if (admissionController_.hasQueue() && answer.status == 200)
    admissionController_.recordResponseTime(now() - microsOf(session->arrivedAt()));
  session->write(std::move(answer));
}

void Server::openRequest(std::shared_ptr<ClientSession> session) {
  traceIds_.open(session->trace(), now());
  const RequestId id = session->request();
  open_.emplace(id, std::move(session));
}

void Server::forward(ClientRequest request) {
  admissionController_.submit(std::move(request), !connectionLimiter_.admitsRequests());
}

void Server::onClosed(admission::ConnectionLimiter::Slot slot) {
  sessions_.erase(slot->id);
  connectionLimiter_.release(slot);
  listener_.onCapacity();
}

bool Server::isClientGone(RequestId id) {
  const auto found = open_.find(id);
  return found == open_.end() || found->second->isClientGone();
}

bool Server::endRequest(const ClientSession& session) {
  if (open_.erase(session.request()) == 0) return false;
  traceIds_.close(session.trace(), now());
  if (sharedTraceIds_) sharedTraceIds_->release(session.trace(), now());
  return true;
}

void Server::record(RequestEvent event) const {
  if (callbacks_.onRequestEvent) callbacks_.onRequestEvent(std::move(event));
}

Answer Server::rejection(std::string reason) const {
  Answer answer = textAnswer(503, reason);
  answer.retryAfter = admissionController_.retryAfter();
  return answer;
}

double Server::openRequestFraction() const {
  const std::uint32_t most = config_.site.settings.maxOpen;
  return most == 0 ? 0 : static_cast<double>(open_.size()) / most;
}

void Server::cancelRequest(RequestId id) {
  if (!admissionController_.withdraw(id)) callbacks_.onRequestEnded(id);
}

void Server::apply(const configuration::OperatorFile& file) {
  statusSettings_ = file.status;
  connectionLimiter_.apply(connectionLimiterSettings(config_, file));
  admissionController_.apply(file);
}

std::optional<Answer> Server::rejectionFromHead(const RequestHead& head, milliseconds unread) const {
  if (!admissionController_.rejectsBeforeBody()) return std::nullopt;
  // A request whose head has an error is answered after it has been read completely.
  const auto hint = validator_.hintOf(head, unread);
  if (!hint || !admissionController_.isTooLate(hint->requestClass, hint->remaining)) return std::nullopt;
  return rejection("refused: too late");
}

std::optional<microseconds> Server::clientTimeout(const RequestHead& head) const {
  const auto hint = validator_.hintOf(head, milliseconds(0));
  if (!hint) return std::nullopt;
  return microseconds(hint->remaining);
}

bool Server::isAtRequestLimit() const {
  const std::uint32_t most = config_.site.settings.maxOpen;
  return most > 0 && open_.size() >= most;
}

std::optional<Answer> Server::localAnswerTo(const RequestHead& head) const {
  const std::string_view target(head.target().data(), head.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const bool isGet = head.method() == http::verb::get;
  if (path == "/ready") {
    if (!isGet) return textAnswer(405, "GET only");
    return effects_.isReady ? textAnswer(200, "ready") : textAnswer(503, "not ready");
  }
  const std::function<std::string()>* status = nullptr;
  if (statusSettings_.level && path == "/status/level") status = &callbacks_.levelStatus;
  if (statusSettings_.level && path == "/status/requests") status = &callbacks_.requestStatus;
  if (statusSettings_.peers && path == "/status/peers") status = &callbacks_.peerStatus;
  if (status == nullptr || !*status) return std::nullopt;
  if (!isGet) return textAnswer(405, "GET only");
  Answer answer = textAnswer(200, (*status)());
  answer.contentType = "application/json";
  return answer;
}

std::variant<ClientRequest, Answer> Server::validateRequest(Message message, milliseconds unread) {
  toOriginForm(message);
  if (auto answer = localAnswerTo(message)) return std::move(*answer);
  const std::uint64_t traceId = traceIdOf(message);
  auto checked = checkRequest(std::move(message), unread);
  if (const auto* answer = std::get_if<Answer>(&checked))
    record(eventOf(*answer, traceId, duration_cast<microseconds>(unread).count()));
  return checked;
}

std::variant<ClientRequest, Answer> Server::checkRequest(Message message, milliseconds unread) {
  if (!effects_.acceptsRequests) return rejection("refused: clients are sent away");
  auto read = validator_.validate(message, unread, Clock::now(),
                                  [this](std::uint64_t trace) { return traceIds_.isFree(trace, now()); });
  if (const auto* error = std::get_if<RequestError>(&read)) {
    if (error->status == 503) return rejection(std::string(error->reason));
    return textAnswer(error->status, error->reason);
  }
  auto& request = std::get<ClientRequest>(read);
  if (admissionController_.rejectsBeforeBody() &&
      admissionController_.isTooLate(request.requestClass, request.expiresIn))
    return rejection("refused: too late");
  if (isAtRequestLimit() || (!admissionController_.hasQueue() && !connectionLimiter_.admitsRequests()))
    return rejection("refused: too many open requests");
  if (sharedTraceIds_ && !sharedTraceIds_->claim(request.trace, now())) return textAnswer(400, kTraceIdInUse);
  request.id = ++lastId_;
  request.message = std::make_shared<const Message>(std::move(message));
  return std::move(request);
}

void Server::apply(const lifecycle::Effects& effects) {
  const lifecycle::Effects before = std::exchange(effects_, effects);
  if (effects.acceptsConnections && !before.acceptsConnections) listener_.start();
  if (!effects.acceptsConnections && before.acceptsConnections) listener_.pause();
  if (effects.closesListeningSocket && !before.closesListeningSocket) listener_.close();
  if (effects.closesIdleConnections && !isSweeping_) sweep();
}

void Server::sweep() {
  isSweeping_ = effects_.closesIdleConnections;
  if (!isSweeping_) return;
  const Micros time = now();
  // If a client sends a request while its connection is being closed, it retries on a new connection.
  const auto sessions = sessions_;
  for (const auto& [id, session] : sessions) {
    if (session->mayCountAsIdle(time) && session->mayCloseIdle()) {
      session->close(CloseReason::Idle);
    } else if (effects_.sendsFinalResponses) {
      session->sendFinalAnswer();
    }
  }
  if (closeAllAtExit()) return callbacks_.onEnded();
  sweepTimer_.expires_after(kSweepInterval);
  sweepTimer_.async_wait([this](error_code cancelled) {
    if (!cancelled) sweep();
  });
}

bool Server::closeAllAtExit() {
  if (!effects_.mayExit) return false;
  // A connection with unread input does not count as idle, since its request is about to be read.
  const bool allIdle =
      std::all_of(sessions_.begin(), sessions_.end(), [](const auto& one) { return one.second->isIdle(); });
  if (!allIdle && !effects_.mustExit) return false;
  const auto sessions = sessions_;
  for (const auto& [id, session] : sessions) session->closeAtExit();
  return true;
}

}  // namespace ivypost
