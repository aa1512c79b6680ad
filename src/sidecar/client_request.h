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

/// A request as received, complete or without its body.
using Message = boost::beast::http::request<boost::beast::http::string_body>;

/// A request body that is still being received when the request is forwarded. Shared by the client session,
/// which writes to the pipe, and the attempt that reads from it; either may end first.
struct Upload {
  /// `budget` bounds the bytes of all bodies in transit and must outlive the upload.
  explicit Upload(streaming::ByteBudget& budget) : pipe(budget) {}

  /// The bytes that have been received and not yet sent to the upstream.
  streaming::Pipe pipe;
  /// Bytes of the complete body; none: the body is chunked.
  std::optional<std::uint64_t> length;
  /// The request's deadline: an estimate until the last byte of the body has been received.
  Clock::time_point deadline;
  /// The time that the client grants, counted from the last byte of the body. No attempt gets a longer time.
  Clock::duration clientTimeout{};
};

/// A validated request of the application, as it is passed to the decision module.
struct ClientRequest {
  /// The server's own number, which is never reused; a client may reuse a trace id.
  balancer::RequestId id = 0;
  /// The index of its class.
  std::uint32_t requestClass = 0;
  /// The index of its tenant; none: the platform has no tenants.
  std::optional<std::uint32_t> tenant;
  /// The hash of the path's last segment; none: the path has one segment.
  std::optional<std::uint64_t> key;
  /// Expected work in microseconds, from X-Size-Hint; none: the client gave no hint.
  std::optional<Micros> work;
  /// Whether the client has sent this request before (X-Second-Try).
  bool isRetry = false;
  /// The client's X-Trace-Id.
  std::uint64_t trace = 0;
  /// Microseconds from reading the request until the client gives up.
  Micros expiresIn = 0;
  /// When its last byte was received, as far as the kernel knows.
  Clock::time_point arrived;
  /// When its client gives up.
  Clock::time_point deadline;
  /// The request, without the body if there is an upload.
  std::shared_ptr<const Message> message;
  /// The body that is still being received; none: the message holds the body.
  std::shared_ptr<Upload> upload;
};

}  // namespace ivypost

#endif  // IVYPOST_CLIENT_REQUEST_H_
