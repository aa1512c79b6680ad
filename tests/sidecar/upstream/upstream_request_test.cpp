// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/upstream_request.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "streaming/byte_budget.h"

namespace ivypost {
namespace {

namespace http = boost::beast::http;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Message message(http::verb method, const std::string& body = "") {
  Message message(method, "/a?b=c", 11);
  message.set(http::field::host, "service.internal");
  message.body() = body;
  return message;
}

class UploadTest : public testing::Test {
 protected:
  streaming::ByteBudget budget_{1024};
  Upload upload_{budget_};
  const Clock::time_point now_ = Clock::time_point(std::chrono::hours(1));
};

TEST(UpstreamRequest, WritesTheHeadsOfProbes) {
  EXPECT_EQ(probeHead(), "GET /status/load HTTP/1.1\r\nHost: upstream\r\n\r\n");
}

TEST(UpstreamRequest, FramesABodyInTheMessageByItsLength) {
  struct Row {
    http::verb method;
    std::string body, framing;
  };
  const std::vector<Row> table = {
      {http::verb::get, "", ""},
      {http::verb::get, "abc", "Content-Length: 3\r\n"},
      {http::verb::put, "", ""},
      {http::verb::post, "", "Content-Length: 0\r\n"},
      {http::verb::post, "abc", "Content-Length: 3\r\n"},
  };
  for (const Row& row : table) {
    EXPECT_EQ(attemptHead(message(row.method, row.body), nullptr, milliseconds(250)),
              std::string(http::to_string(row.method)) +
                  " /a?b=c HTTP/1.1\r\nHost: service.internal\r\nX-Expires-In-Ms: 250\r\n" + row.framing +
                  "\r\n");
  }
}

TEST_F(UploadTest, FramesABodyThatComesInByItsLengthOrInChunks) {
  const std::string start = "POST /a?b=c HTTP/1.1\r\nHost: service.internal\r\nX-Expires-In-Ms: 250\r\n";
  const Message post = message(http::verb::post);
  EXPECT_EQ(attemptHead(post, &upload_, milliseconds(250)), start + "Transfer-Encoding: chunked\r\n\r\n");
  upload_.length = 70'000;
  EXPECT_EQ(attemptHead(post, &upload_, milliseconds(250)), start + "Content-Length: 70000\r\n\r\n");
}

// Framing applies to one connection: the client's framing headers must not be forwarded.
TEST_F(UploadTest, IgnoresTheClientsFramingHeaders) {
  Message get = message(http::verb::get);
  get.set(http::field::content_length, "0");
  EXPECT_EQ(attemptHead(get, nullptr, milliseconds(250)),
            "GET /a?b=c HTTP/1.1\r\nHost: service.internal\r\nX-Expires-In-Ms: 250\r\n\r\n");
  Message post = message(http::verb::post);
  post.set(http::field::content_length, "5");
  EXPECT_EQ(attemptHead(post, &upload_, milliseconds(250)),
            "POST /a?b=c HTTP/1.1\r\nHost: service.internal\r\nX-Expires-In-Ms: 250\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
}

TEST(UpstreamRequest, StatesTheTimeLeftInWholeMillisecondsAndAtLeastOne) {
  const std::vector<std::pair<microseconds, std::string>> table = {
      {milliseconds(1000), "1000"}, {microseconds(250'999), "250"}, {microseconds(1999), "1"},
      {microseconds(999), "1"},     {microseconds(0), "1"},         {milliseconds(-50), "1"},
  };
  for (const auto& [left, value] : table) {
    EXPECT_EQ(attemptHead(message(http::verb::get), nullptr, left),
              "GET /a?b=c HTTP/1.1\r\nHost: service.internal\r\nX-Expires-In-Ms: " + value + "\r\n\r\n");
  }
}

TEST(UpstreamRequest, DropsHeadersOfTheClientsConnection) {
  Message post = message(http::verb::post, "abc");
  post.set(http::field::connection, "X-Mine, keep-alive");
  post.set("X-Mine", "1");
  post.set(http::field::keep_alive, "timeout=5");
  post.set(http::field::te, "trailers");
  post.set(http::field::upgrade, "h2c");
  post.set(http::field::expect, "100-continue");
  post.set(http::field::transfer_encoding, "chunked");
  post.set("X-Expires-In-Ms", "99999");
  post.set("X-Trace-Id", "0011223344556677");
  EXPECT_EQ(attemptHead(post, nullptr, milliseconds(250)),
            "POST /a?b=c HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: 0011223344556677\r\n"
            "X-Expires-In-Ms: 250\r\nContent-Length: 3\r\n\r\n");
  EXPECT_EQ(post["X-Mine"], "1") << "the client's message was changed, although other attempts use it";
}

TEST_F(UploadTest, TheTimeLeftIsTheLeastOfDeadlinesAndWhatTheClientGave) {
  EXPECT_EQ(timeLeft(now_ + milliseconds(300), nullptr, now_), milliseconds(300));
  EXPECT_EQ(timeLeft(now_ - milliseconds(1), nullptr, now_), milliseconds(-1));
  struct Row {
    int attempt, request, clientTimeout, left;
  };
  for (const Row& row : {Row{300, 400, 500, 300}, Row{400, 300, 500, 300}, Row{500, 400, 300, 300}}) {
    upload_.deadline = now_ + milliseconds(row.request);
    upload_.clientTimeout = milliseconds(row.clientTimeout);
    EXPECT_EQ(timeLeft(now_ + milliseconds(row.attempt), &upload_, now_), milliseconds(row.left));
  }
}

}  // namespace
}  // namespace ivypost
