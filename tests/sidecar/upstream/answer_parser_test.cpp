// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/answer_parser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <vector>

#include "framing.h"

namespace ivypost {
namespace {

using balancer::Outcome;

class AnswerParserTest : public testing::Test {
 protected:
  AnswerParserTest() { parser_.begin(); }

  // Parses the text in pieces of `piece` bytes. Returns false at the first piece that is rejected.
  bool parse(const std::string& text, std::size_t piece = std::string::npos) {
    return parse(parser_, text, piece);
  }
  static bool parse(AnswerParser& parser, const std::string& text, std::size_t piece = std::string::npos) {
    for (std::size_t at = 0; at < text.size(); at += std::min(piece, text.size())) {
      const std::string next = text.substr(at, piece);
      std::memcpy(parser.prepare(next.size()).data(), next.data(), next.size());
      parser.commit(next.size());
      if (!parser.parse()) return false;
    }
    return true;
  }

  AnswerParser parser_;
};

TEST_F(AnswerParserTest, ParsesAnAnswerInPiecesOfAnySize) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nEndpoint-Load-Metrics: TEXT qps=2\r\nContent-Length: "
      "5\r\n\r\nhello";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    SCOPED_TRACE(piece);
    parser_.begin();
    ASSERT_TRUE(parse(text, piece));
    ASSERT_TRUE(parser_.isComplete());
    EXPECT_EQ(parser_.outcome(), Outcome::Ok);
    EXPECT_EQ(parser_.body(), "hello");
    EXPECT_EQ(parser_.contentType(), "a/b");
    EXPECT_EQ(parser_.loadReport(), "TEXT qps=2");
    EXPECT_EQ(parser_.length(), std::optional<std::uint64_t>(5));
    EXPECT_TRUE(parser_.keepsConnection());
  }
}

TEST_F(AnswerParserTest, DerivesTheOutcomeFromTheHead) {
  struct Row {
    std::string head;
    Outcome outcome;
  };
  const std::vector<Row> table = {
      {"200 OK\r\n", Outcome::Ok},
      {"204 No Content\r\n", Outcome::Error},
      {"500 X\r\n", Outcome::Error},
      {"500 X\r\nX-Never-Ran: 1\r\n", Outcome::Error},
      {"503 X\r\n", Outcome::Error},  // without X-Never-Ran it may have run
      {"503 X\r\nX-Never-Ran: 0\r\n", Outcome::Error},
      {"503 X\r\nX-Never-Ran: 1\r\n", Outcome::Full},
      {"504 X\r\nX-Never-Ran: 1\r\n", Outcome::Full},
  };
  for (const Row& row : table) {
    SCOPED_TRACE(row.head);
    parser_.begin();
    ASSERT_TRUE(parse("HTTP/1.1 " + row.head + "Content-Length: 0\r\n\r\n"));
    ASSERT_TRUE(parser_.hasHead());
    EXPECT_EQ(parser_.outcome(), row.outcome);
  }
}

TEST_F(AnswerParserTest, RejectsInvalidAndUnrequestedAnswers) {
  const std::vector<std::string> table = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kMaxBody + 1) + "\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      "HTTP/1.1 2x0 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX: " + std::string(kMaxHeader, 'x') + "\r\n\r\n",
  };
  for (const std::string& text : table) {
    AnswerParser parser;
    parser.begin();
    EXPECT_FALSE(parse(parser, text)) << text.substr(0, 80);
  }
}

TEST_F(AnswerParserTest, PassesOverInformationalAnswersUpToItsBound) {
  const std::string hint = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  std::string hints;
  for (int n = 0; n < AnswerParser::kMaxInformational; ++n) hints += hint;
  EXPECT_TRUE(parse(hints + answer));
  EXPECT_TRUE(parser_.isComplete());
  // The count of informational answers starts at 0 again for the next answer.
  parser_.begin();
  EXPECT_TRUE(parse(hints));
  EXPECT_FALSE(parse(hint));
}

TEST_F(AnswerParserTest, EndsAnAnswerWithoutALengthByTheEndOfTheStream) {
  ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\n\r\nhello"));
  EXPECT_FALSE(parser_.isComplete());
  ASSERT_TRUE(parser_.endsWithConnection());
  EXPECT_TRUE(parser_.end());
  EXPECT_TRUE(parser_.isComplete());
  EXPECT_EQ(parser_.body(), "hello");
  EXPECT_FALSE(parser_.keepsConnection());
}

TEST_F(AnswerParserTest, DoesNotEndAnAnswerWithALengthByTheEndOfTheStream) {
  EXPECT_FALSE(parser_.endsWithConnection());
  ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"));
  EXPECT_FALSE(parser_.endsWithConnection());
}

TEST_F(AnswerParserTest, DoesNotKeepAConnectionWithAByteBehindItsAnswer) {
  ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nx"));
  EXPECT_TRUE(parser_.isComplete());
  EXPECT_FALSE(parser_.keepsConnection());
}

}  // namespace
}  // namespace ivypost
