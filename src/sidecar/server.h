// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The client side: takes requests from the application, checks them, and gives each exactly one answer.
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
#include "request_validator.h"
#include "response_writer.h"

namespace ivypost {

class Server : private ClientSessionHost {
 public:
  struct Callbacks {
    std::function<void(ClientRequest)> onRequest;
    // The client has left, or the deadline passed with no answer and the server gave one itself.
    std::function<void(balancer::RequestId)> onRequestEnded;
    // What GET /status/level and /status/peers answer, as JSON; asked only where the operator has switched it
    // on.
    std::function<std::string()> levelStatus, peerStatus;
    // All that was taken is answered, or has to be left, and the lifecycle lets the process end.
    std::function<void()> onEnded;
  };

  // Listens, and accepts when apply() says so. Throws boost::system::system_error when it cannot listen, and
  // what AdmissionController throws.
  // `budget` is for requests whose bodies are large.
  Server(boost::asio::io_context& io, const Config& config, const op::File& file, relay::Budget& budget,
         Callbacks callbacks);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  // Gives the request its final answer. Ignored when the request is over.
  void answer(balancer::RequestId id, Answer answer);

  // Whether nobody waits for this request's answer any more: it is over, or the client has closed or reset
  // its connection or ended its sending, as the kernel knows it now (one system call). A connection that was
  // left is closed soon after, from the loop, which ends the request.
  bool isClientGone(balancer::RequestId id);

  // What holds from now on.
  void apply(const lifecycle::Effects& effects);

  // Takes the operator's file over; admissionController().validate() has to have passed.
  void apply(const op::File& file);
  AdmissionController& admissionController() { return admissionController_; }
  const AdmissionController& admissionController() const { return admissionController_; }
  const admission::ConnectionLimiter& connectionLimiter() const { return connectionLimiter_; }
  // Requests that are open, of the most that may be; 0 without a limit.
  double openRequestFraction() const;

  std::uint16_t port() const { return listener_.port(); }

 private:
  void admit(boost::asio::ip::tcp::socket socket);
  bool evictConnection();
  const lifecycle::Effects& effects() const override { return effects_; }
  std::optional<Answer> rejectionFromHead(const RequestHead& head,
                                          std::chrono::milliseconds unread) const override;
  std::variant<ClientRequest, Answer> check(Message message, std::chrono::milliseconds unread) override;
  Answer rejection(std::string reason) const override;
  void openRequest(std::shared_ptr<ClientSession> session) override;
  void forward(ClientRequest request) override;
  bool endRequest(const ClientSession& session) override;
  void cancelRequest(balancer::RequestId id) override;
  void onClosed(admission::ConnectionLimiter::Slot slot) override;

  void sweep();

  std::optional<Answer> ownAnswerTo(const RequestHead& head) const;
  bool isAtRequestLimit() const;

  boost::asio::io_context& io_;
  const Config& config_;
  const RequestValidator validator_;
  relay::Budget& budget_;
  Callbacks callbacks_;
  boost::asio::steady_timer sweepTimer_;
  const std::shared_ptr<Deadlines> deadlines_;  // of the sessions
  admission::ConnectionLimiter connectionLimiter_;
  AdmissionController admissionController_;
  Listener listener_;
  op::File::Status statusSettings_;
  lifecycle::Effects effects_;  // nothing yet
  bool isSweeping_ = false;
  admission::ConnectionId lastConnection_ = 0;
  std::unordered_map<admission::ConnectionId, std::shared_ptr<ClientSession>> sessions_;
  balancer::RequestId lastId_ = 0;
  std::unordered_map<balancer::RequestId, std::shared_ptr<ClientSession>> open_;
  admission::TraceIds traceIds_;
};

}  // namespace ivypost

#endif  // IVYPOST_SERVER_H_
