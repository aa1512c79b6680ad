// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "response_writer.h"

#include <gtest/gtest.h>

#include <boost/beast/http/error.hpp>
#include <memory>
#include <string>

namespace ivypost {
namespace {

Answer streamed(streaming::ByteBudget& budget) {
  Answer answer;
  answer.status = 200;
  answer.stream = std::make_shared<streaming::Pipe>(budget);
  return answer;
}

TEST(ResponseWriter, StatesLengthOfACompleteBody) {
  const auto head = formatResponseHead(textAnswer(200, "ready"), 11, false);
  EXPECT_EQ(head.text, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\n");
  EXPECT_FALSE(head.isChunked);
  EXPECT_FALSE(head.closesConnection);
}

TEST(ResponseWriter, StatesRetryAfterInSecondsAheadOfTheClose) {
  auto answer = textAnswer(503, "busy");
  answer.retryAfter = 1'234'567;
  EXPECT_EQ(formatResponseHead(answer, 11, true).text,
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nRetry-After: 1.235\r\n"
            "Connection: close\r\nContent-Length: 5\r\n\r\n");
}

TEST(ResponseWriter, SendsABodyOfUnknownLengthInChunks) {
  streaming::ByteBudget budget(0);
  const auto head = formatResponseHead(streamed(budget), 11, false);
  EXPECT_EQ(head.text, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n");
  EXPECT_TRUE(head.isChunked);
  EXPECT_FALSE(head.closesConnection);
}

TEST(ResponseWriter, EndsABodyOfUnknownLengthWithTheConnectionForHttp10) {
  streaming::ByteBudget budget(0);
  const auto head = formatResponseHead(streamed(budget), 10, false);
  EXPECT_EQ(head.text, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n");
  EXPECT_FALSE(head.isChunked);
  EXPECT_TRUE(head.closesConnection);
}

TEST(ResponseWriter, StatesLengthOfAStreamedBodyWhereItIsKnown) {
  streaming::ByteBudget budget(0);
  auto answer = streamed(budget);
  answer.length = 70'000;
  const auto head = formatResponseHead(answer, 10, false);
  EXPECT_EQ(head.text, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 70000\r\n\r\n");
  EXPECT_FALSE(head.closesConnection);
}

TEST(ResponseWriter, WritesTheLastResponseOfAConnectionInOnePiece) {
  EXPECT_EQ(formatLastResponse(textAnswer(503, "stopping")),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nRetry-After: 0.000\r\n"
            "Connection: close\r\nContent-Length: 9\r\n\r\nstopping\n");
}

TEST(ResponseWriter, DistinguishesTooLargeFromMalformedBodies) {
  using boost::beast::http::error;
  EXPECT_EQ(answerToBodyError(make_error_code(error::body_limit)).status, 413U);
  EXPECT_EQ(answerToBodyError(make_error_code(error::bad_chunk)).status, 400U);
}

}  // namespace
}  // namespace ivypost
