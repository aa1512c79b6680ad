// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/upstream_request.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "framing.h"
#include "request_parser.h"

namespace ivypost {
namespace {

namespace http = boost::beast::http;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Bytes reserved for a head, so that a typical one needs a single allocation.
constexpr std::size_t kTypicalHeadSize = 512;

void setFraming(RequestHead& head, const Message& message, const Upload* upload) {
  head.erase(http::field::transfer_encoding);
  head.erase(http::field::content_length);
  if (upload != nullptr && upload->length) {
    head.set(http::field::content_length, std::to_string(*upload->length));
  } else if (upload != nullptr) {
    head.set(http::field::transfer_encoding, "chunked");
  } else if (!message.body().empty() || head.method() == http::verb::post) {
    head.set(http::field::content_length, std::to_string(message.body().size()));
  }
}

std::string toText(const RequestHead& head) {
  std::string text;
  text.reserve(kTypicalHeadSize);
  text.append(view(head.method_string())).append(" ").append(view(head.target())).append(" HTTP/1.1\r\n");
  for (const auto& field : head)
    text.append(view(field.name_string())).append(": ").append(view(field.value())).append("\r\n");
  return text.append("\r\n");
}

}  // namespace

Clock::duration timeLeft(Clock::time_point deadline, const Upload* upload, Clock::time_point now) {
  if (upload == nullptr) return deadline - now;
  return std::min({deadline - now, upload->deadline - now, upload->clientTimeout});
}

std::string attemptHead(const Message& message, const Upload* upload, Clock::duration timeLeft) {
  RequestHead head = message.base();
  removeHopByHopHeaders(head);
  const std::int64_t left = duration_cast<milliseconds>(timeLeft).count();
  head.set("X-Expires-In-Ms", std::to_string(std::max<std::int64_t>(1, left)));
  setFraming(head, message, upload);
  return toText(head);
}

std::string probeHead() {
  RequestHead head;
  head.method(http::verb::get);
  head.target("/status/load");
  head.set(http::field::host, "upstream");
  return toText(head);
}

}  // namespace ivypost
