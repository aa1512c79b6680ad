// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_SERVER_H_
#define IVYPOST_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "admission/connection_limiter.h"
#include "admission/shared_trace_ids.h"
#include "admission/trace_ids.h"
#include "admission_controller.h"
#include "client_request.h"
#include "client_session.h"
#include "client_session_host.h"
#include "clock.h"
#include "config.h"
#include "deadlines.h"
#include "lifecycle/lifecycle.h"
#include "listener.h"
#include "request_log.h"
#include "request_validator.h"
#include "response_writer.h"

namespace ivypost {

/// The client side: accepts connections from the application, reads and validates its requests, and gives
/// each exactly one answer.
///
/// Invariant: a request is open from openRequest() until it has its answer or its client has left; only an
/// open request is answered. Connections are bounded by the connection limiter. Open requests are bounded by
/// the platform's settings, and to one per connection.
class Server : private ClientSessionHost {
 public:
  /// Callbacks to the owner, made from the event loop.
  struct Callbacks {
    /// Takes a request that was validated and admitted.
    std::function<void(ClientRequest)> onRequest;
    /// The answer to this request is no longer needed: its client has left, or the server itself has answered
    /// because the deadline has passed or the process stops.
    std::function<void(balancer::RequestId)> onRequestEnded;
    /// Makes the decisions that are due, before the timer that will ask for them has run.
    std::function<void()> decideOverdue;
    /// The body of GET /status/level, as JSON. Called only if the operator has enabled that page.
    std::function<std::string()> levelStatus;
    /// The body of GET /status/peers, as JSON. Called only if the operator has enabled that page.
    std::function<std::string()> peerStatus;
    /// The lifecycle lets the process exit, and all requests are answered or the time for answers is over.
    std::function<void()> onEnded;
    /// Takes the record of a request that was not simply served. May be empty.
    std::function<void(RequestEvent)> onRequestEvent = {};
    /// The body of GET /status/requests, as JSON. Called only if the operator has enabled the status.
    std::function<std::string()> requestStatus = {};
  };

  /// Listens, and accepts connections when the lifecycle's effects allow it. Throws
  /// boost::system::system_error if it cannot listen, and what AdmissionController throws. `budget` bounds
  /// the bodies in transit. `io`, `config` and `budget` must outlive it.
  Server(boost::asio::io_context& io, const Config& config, const configuration::OperatorFile& file,
         streaming::ByteBudget& budget, Callbacks callbacks);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  /// Gives an open request its final answer. If the request is not open, drops the answer and abandons its
  /// streamed body.
  void answer(balancer::RequestId id, Answer answer);

  /// Whether the answer to this request is no longer needed: the request is not open, or its client has
  /// closed, half-closed or reset the connection according to the kernel (usually one system call). Such a
  /// connection is closed soon after, from the event loop, which ends the request.
  [[nodiscard]] bool isClientGone(balancer::RequestId id);

  /// Applies what the lifecycle allows from now on.
  void apply(const lifecycle::Effects& effects);

  /// Applies another operator's file, which admissionController().validate() must have accepted.
  void apply(const configuration::OperatorFile& file);
  /// Decides on requests that have been read.
  [[nodiscard]] AdmissionController& admissionController() { return admissionController_; }
  /// Read-only access to the admission controller.
  [[nodiscard]] const AdmissionController& admissionController() const { return admissionController_; }
  /// Decides on connections.
  [[nodiscard]] const admission::ConnectionLimiter& connectionLimiter() const { return connectionLimiter_; }
  /// Open requests as a fraction of the platform's maxOpen; 0 without that limit.
  [[nodiscard]] double openRequestFraction() const;
  /// Requests without a final answer.
  [[nodiscard]] std::size_t openRequests() const { return open_.size(); }

  /// The port of the listening address.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

 private:
  void admit(boost::asio::ip::tcp::socket socket);
  void reject(boost::asio::ip::tcp::socket socket) const;
  bool evictConnection();
  [[nodiscard]] const lifecycle::Effects& effects() const override { return effects_; }
  [[nodiscard]] std::optional<Answer> rejectionFromHead(const RequestHead& head,
                                                        std::chrono::milliseconds unread) const override;
  [[nodiscard]] std::optional<std::chrono::microseconds> clientTimeout(
      const RequestHead& head) const override;
  [[nodiscard]] std::variant<ClientRequest, Answer> validateRequest(
      Message message, std::chrono::milliseconds unread) override;
  [[nodiscard]] Answer rejection(std::string reason) const override;
  void openRequest(std::shared_ptr<ClientSession> session) override;
  void forward(ClientRequest request) override;
  bool endRequest(const ClientSession& session) override;
  void decideOverdue() override { callbacks_.decideOverdue(); }
  bool withdrawQueued(balancer::RequestId id) override { return admissionController_.withdraw(id); }
  void cancelRequest(balancer::RequestId id) override;
  void record(RequestEvent event) const override;
  void onClosed(admission::ConnectionLimiter::Slot slot) override;

  // Closes idle connections while the server drains or stops, and calls onEnded() once the process may exit.
  void sweep();
  // Sends all clients their last answers and closes their connections, if according to the lifecycle the
  // process must exit, or may exit and no connection is in use. False if the process continues.
  bool closeAllAtExit();

  [[nodiscard]] std::variant<ClientRequest, Answer> checkRequest(Message message,
                                                                 std::chrono::milliseconds unread);
  // The answer to a request that the sidecar serves without an endpoint: /ready and the status pages.
  [[nodiscard]] std::optional<Answer> localAnswerTo(const RequestHead& head) const;
  [[nodiscard]] bool isAtRequestLimit() const;

  boost::asio::io_context& io_;
  const Config& config_;
  const RequestValidator validator_;
  streaming::ByteBudget& budget_;
  Callbacks callbacks_;
  boost::asio::steady_timer sweepTimer_;
  const std::shared_ptr<Deadlines> deadlines_;  // of the sessions
  admission::ConnectionLimiter connectionLimiter_;
  AdmissionController admissionController_;
  Listener listener_;
  configuration::OperatorFile::Status statusSettings_;
  lifecycle::Effects effects_;  // default until the first apply()
  bool isSweeping_ = false;
  admission::ConnectionId lastConnection_ = 0;
  std::unordered_map<admission::ConnectionId, std::shared_ptr<ClientSession>> sessions_;
  balancer::RequestId lastId_ = 0;
  std::unordered_map<balancer::RequestId, std::shared_ptr<ClientSession>> open_;
  admission::TraceIds traceIds_;
  // Null if no other process may replace this one, or be replaced by it.
  const std::unique_ptr<admission::SharedTraceIds> sharedTraceIds_;
};

}  // namespace ivypost

#endif  // IVYPOST_SERVER_H_
