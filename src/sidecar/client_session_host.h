// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What a client session needs from the server that owns it.
#ifndef IVYPOST_CLIENT_SESSION_HOST_H_
#define IVYPOST_CLIENT_SESSION_HOST_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "admission/connection_limiter.h"
#include "client_request.h"
#include "lifecycle/lifecycle.h"
#include "request_log.h"
#include "request_parser.h"
#include "response_writer.h"

namespace ivypost {

class ClientSession;

/// The server as its client sessions see it. Outlives them.
class ClientSessionHost {
 public:
  ClientSessionHost() = default;
  ClientSessionHost(const ClientSessionHost&) = delete;
  ClientSessionHost& operator=(const ClientSessionHost&) = delete;

  /// What the lifecycle allows at present.
  [[nodiscard]] virtual const lifecycle::Effects& effects() const = 0;
  /// The rejection of a request whose head suffices to reject it; none: the body has to be read. `unread`:
  /// the time since data was last received.
  [[nodiscard]] virtual std::optional<Answer> rejectionFromHead(const RequestHead& head,
                                                                std::chrono::milliseconds unread) const = 0;
  /// The time that the head grants the request, counted from its last byte; none: the head does not state it.
  [[nodiscard]] virtual std::optional<std::chrono::microseconds> clientTimeout(
      const RequestHead& head) const = 0;
  /// Validates a request: the parsed request, or the answer that it gets at once. `unread`: the time since
  /// its last byte was received.
  [[nodiscard]] virtual std::variant<ClientRequest, Answer> validateRequest(
      Message message, std::chrono::milliseconds unread) = 0;
  /// 503 with Retry-After: the request has not run and will not.
  [[nodiscard]] virtual Answer rejection(std::string reason) const = 0;

  /// Registers the session's request as open: its answer is pending from here on.
  virtual void openRequest(std::shared_ptr<ClientSession> session) = 0;
  /// Forwards an open request towards the upstreams. The request may be answered before this returns.
  virtual void forward(ClientRequest request) = 0;
  /// Marks the session's request as no longer open: no answer is pending. False if it was not open.
  virtual bool endRequest(const ClientSession& session) = 0;
  /// Makes the decisions that are due and were delayed with the event loop. May answer open requests.
  virtual void decideOverdue() = 0;
  /// Removes a request from the admission queue: it has not run and will not. False if it is not queued.
  virtual bool withdrawQueued(balancer::RequestId id) = 0;
  /// Cancels what remains of a request that was ended: its place in the queue, or its attempts.
  virtual void cancelRequest(balancer::RequestId id) = 0;
  /// Records what became of a request that was not simply served.
  virtual void record(RequestEvent event) const = 0;
  /// The session has closed its connection; releases its slot in the connection limiter.
  virtual void onClosed(admission::ConnectionLimiter::Slot slot) = 0;

 protected:
  ~ClientSessionHost() = default;
};

}  // namespace ivypost

#endif  // IVYPOST_CLIENT_SESSION_HOST_H_
