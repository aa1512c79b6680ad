// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_CLIENT_REQUEST_H_
#define IVYPOST_CLIENT_REQUEST_H_

#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "clock.h"
#include "config.h"
#include "streaming/pipe.h"

namespace ivypost {

/// A request as it came, complete or without its body.
using Message = boost::beast::http::request<boost::beast::http::string_body>;

/// A request's body that is still coming in when the request is forwarded. Shared by the client session,
/// which fills the pipe, and the attempt that empties it; either may end first.
struct Upload {
  /// `budget` bounds the bytes of all bodies in transit, and has to outlive the upload.
  explicit Upload(streaming::ByteBudget& budget) : pipe(budget) {}

  /// What has come and was not sent yet.
  streaming::Pipe pipe;
  /// Bytes of the complete body; none: it comes in chunks.
  std::optional<std::uint64_t> length;
  /// Of the request: an estimate until the last byte has come.
  Clock::time_point deadline;
  /// From the last byte on, as the client has it; no attempt is given more.
  Clock::duration clientGave{};
};

/// A request of the application's that passed all checks, on its way to the decision module.
struct ClientRequest {
  /// The server's own number, never given twice; a client's trace id may come again.
  balancer::RequestId id = 0;
  /// The number of its class.
  std::uint32_t requestClass = 0;
  /// The number of its tenant; none: the platform has no tenants.
  std::optional<std::uint32_t> tenant;
  /// The hash of the path's last segment; none: the path has one segment.
  std::optional<std::uint64_t> key;
  /// Microseconds of work as X-Size-Hint has them; none: the client gave no hint.
  std::optional<Micros> work;
  /// The client has sent it before (X-Second-Try).
  bool isRetry = false;
  /// The client's X-Trace-Id.
  std::uint64_t trace = 0;
  /// Microseconds until the client gives up, from when the request was read.
  Micros expiresIn = 0;
  /// When its last byte came, as far as the kernel knows.
  Clock::time_point arrived;
  /// When its client gives up.
  Clock::time_point deadline;
  /// The request, without the body if there is an upload.
  std::shared_ptr<const Message> message;
  /// The body that is still coming in; none: the message has it.
  std::shared_ptr<Upload> upload;
};

}  // namespace ivypost

#endif  // IVYPOST_CLIENT_REQUEST_H_
