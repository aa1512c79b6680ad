// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "response_writer.h"

#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

#include "framing.h"

namespace ivypost {
namespace {

namespace http = boost::beast::http;

// HTTP/1.1, the first version with chunked bodies, in Boost.Beast's notation.
constexpr unsigned kHttp11 = 11;
constexpr double kMicrosPerSecond = 1e6;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

std::string formatSeconds(Micros span) {
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(span) / kMicrosPerSecond);
  return {text.data(), static_cast<std::size_t>(size)};
}

std::string statusLineAndType(const Answer& answer) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(answer.status));
  return "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(view(reason)) +
         "\r\nContent-Type: " + answer.contentType;
}

}  // namespace

RequestEvent eventOf(const Answer& answer, std::uint64_t traceId, Micros elapsed) {
  const bool isRejection = answer.status == kTooManyRequests || answer.status == kServiceUnavailable;
  RequestEvent event;
  event.kind = isRejection ? RequestEvent::Kind::Rejected : RequestEvent::Kind::Failed;
  event.traceId = traceId;
  event.reason = std::to_string(answer.status) + " ";
  event.reason += answer.reason.empty() ? answer.body.substr(0, answer.body.find('\n')) : answer.reason;
  event.elapsed = elapsed;
  return event;
}

ResponseHead formatResponseHead(const Answer& answer, unsigned httpVersion, bool closesConnection) {
  const bool hasLength = !answer.stream || answer.length;
  ResponseHead head{statusLineAndType(answer), !hasLength && httpVersion >= kHttp11, closesConnection};
  if (!hasLength && !head.isChunked) head.closesConnection = true;
  if (answer.retryAfter > 0) head.text += "\r\nRetry-After: " + formatSeconds(answer.retryAfter);
  if (head.closesConnection) head.text += "\r\nConnection: close";
  if (hasLength) {
    const std::uint64_t length = answer.stream ? *answer.length : answer.body.size();
    head.text += "\r\nContent-Length: " + std::to_string(length);
  } else if (head.isChunked) {
    head.text += "\r\nTransfer-Encoding: chunked";
  }
  head.text += "\r\n\r\n";
  return head;
}

std::string formatLastResponse(const Answer& answer) {
  return statusLineAndType(answer) + "\r\nRetry-After: " + formatSeconds(answer.retryAfter) +
         "\r\nConnection: close\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" +
         answer.body;
}

Answer textAnswer(unsigned status, std::string_view line) {
  Answer answer;
  answer.status = status;
  answer.body.reserve(line.size() + 1);
  answer.body.append(line).push_back('\n');
  return answer;
}

Answer answerToBodyError(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return textAnswer(413, "body over 32 MiB");
  return textAnswer(400, "malformed HTTP: " + error.message());
}

}  // namespace ivypost
