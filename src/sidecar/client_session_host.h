// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What a client's connection asks of the server that lists it.
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
#include "request_parser.h"
#include "response_writer.h"

namespace ivypost {

class ClientSession;

/// The server as its connections see it. Outlives them.
class ClientSessionHost {
 public:
  ClientSessionHost() = default;
  ClientSessionHost(const ClientSessionHost&) = delete;
  ClientSessionHost& operator=(const ClientSessionHost&) = delete;

  /// What the lifecycle allows now.
  [[nodiscard]] virtual const lifecycle::Effects& effects() const = 0;
  /// From the head alone: the answer to a request whose body need not be read; none: it has to be read.
  /// `unread`: since its last byte came.
  [[nodiscard]] virtual std::optional<Answer> rejectionFromHead(const RequestHead& head,
                                                                std::chrono::milliseconds unread) const = 0;
  /// What a request reads as, or the answer it gets at once. `unread`: since its last byte came.
  [[nodiscard]] virtual std::variant<ClientRequest, Answer> check(Message message,
                                                                  std::chrono::milliseconds unread) = 0;
  /// 503 with Retry-After: the request has not run and will not.
  [[nodiscard]] virtual Answer rejection(std::string reason) const = 0;

  /// An answer is owed to the session's request from here on.
  virtual void openRequest(std::shared_ptr<ClientSession> session) = 0;
  /// Passes an open request on towards the upstreams; it may be answered from within.
  virtual void forward(ClientRequest request) = 0;
  /// The session's request is owed no answer any more. False if it was not open.
  virtual bool endRequest(const ClientSession& session) = 0;
  /// Nobody waits for what a request that was ended gets from an upstream.
  virtual void cancelRequest(balancer::RequestId id) = 0;
  /// The session has closed its connection; its place in the connection limit is given back.
  virtual void onClosed(admission::ConnectionLimiter::Slot slot) = 0;

 protected:
  ~ClientSessionHost() = default;
};

}  // namespace ivypost

#endif  // IVYPOST_CLIENT_SESSION_HOST_H_
