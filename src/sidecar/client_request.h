// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A request of the application's that passed all checks, on its way to the decision module.
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

using Message = boost::beast::http::request<boost::beast::http::string_body>;

// A request's body that is still coming in when the request is passed on.
struct Upload {
  explicit Upload(streaming::ByteBudget& budget) : pipe(budget) {}
  streaming::Pipe pipe;
  std::optional<std::uint64_t> length;  // none: it comes in chunks
  Clock::time_point deadline;           // of the request: an estimate until the last byte has come
  Clock::duration clientGave{};         // from the last byte on; no attempt is told more
};

struct ClientRequest {
  balancer::RequestId id = 0;  // the server's own number, never given twice; a client's may come again
  std::uint32_t requestClass = 0;
  std::optional<std::uint32_t> tenant;
  std::optional<std::uint64_t> key;
  std::optional<Micros> work;
  bool isRetry = false;
  std::uint64_t trace = 0;  // the client's X-Trace-Id
  Micros expiresIn = 0;     // from when it was read
  Clock::time_point arrived, deadline;
  std::shared_ptr<const Message> message;  // without the body if there is an upload
  std::shared_ptr<Upload> upload;          // none: the body has come whole
};

}  // namespace ivypost

#endif  // IVYPOST_CLIENT_REQUEST_H_
