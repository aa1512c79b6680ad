// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/message_scanner.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ivypost::fault {
namespace {

// Offsets right behind the last byte of each message.
std::vector<std::size_t> endsOf(const std::string& bytes, bool answers) {
  MessageScanner scanner(answers);
  std::vector<std::size_t> ends;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    if (scanner.take(bytes[n])) ends.push_back(n + 1);
  }
  return ends;
}

TEST(MessageScanner, FindsTheEndOfEachMessage) {
  struct Case {
    const char* what;
    bool answers;
    std::vector<std::string> messages;
  };
  const std::vector<Case> cases = {
      {"no body", false, {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n"}},
      {"lengths",
       false,
       {"POST / HTTP/1.1\r\ncontent-LENGTH:  3 \r\n\r\nabc", "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"}},
      {"empty lines ahead", false, {"\r\n\r\nGET / HTTP/1.1\r\n\r\n"}},
      {"bare line feeds", false, {"POST / HTTP/1.1\nContent-Length: 1\n\nx"}},
      {"chunks",
       true,
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, "
        "chunked\r\n\r\n3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nT: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}},
      {"informational",
       true,
       {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"}},
      {"without body by status",
       true,
       {"HTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 304 No\r\n\r\n"}},
  };
  for (const Case& one : cases) {
    std::string bytes;
    std::vector<std::size_t> ends;
    for (const auto& message : one.messages) {
      bytes += message;
      ends.push_back(bytes.size());
    }
    EXPECT_EQ(endsOf(bytes, one.answers), ends) << one.what;
  }
}

TEST(MessageScanner, FindsNoEndWhereThereIsNone) {
  EXPECT_TRUE(endsOf("HTTP/1.1 200 OK\r\n\r\nuntil the connection ends\r\n\r\n", true).empty());
  EXPECT_TRUE(endsOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n0\r\n\r\n", true).empty());
  EXPECT_TRUE(endsOf(std::string(100'000, 'x'), false).empty());
}

TEST(MessageScanner, SkipsBodiesInOneGo) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
  MessageScanner scanner(true);
  // A head in lines, a body but for its last byte.
  for (std::string_view left = head; !left.empty();) {
    const std::size_t plain = scanner.plainBytes(left);
    scanner.skip(left.substr(0, plain));
    EXPECT_FALSE(scanner.take(left[plain]));
    left.remove_prefix(plain + 1);
  }
  const std::string body(1500, 'x');
  EXPECT_EQ(scanner.plainBytes(body), 999u);
  scanner.skip(std::string_view(body).substr(0, 999));
  EXPECT_EQ(scanner.next().offset, 999u);
  EXPECT_EQ(scanner.plainBytes(body), 0u);
  EXPECT_TRUE(scanner.take('x'));
  EXPECT_EQ(scanner.next().number, 2u);
  EXPECT_EQ(scanner.plainBytes("\n"), 0u);
}

}  // namespace
}  // namespace ivypost::fault
