// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Valid and invalid requests by section of RFC 9110 (HTTP semantics) and RFC 9112 (HTTP/1.1), in one table
// with the status of the answer. A request that gets an error must not reach an upstream; one that gets 200
// reaches it once.
#include <array>
#include <cctype>
#include <string>
#include <vector>

#include "request_parser.h"
#include "sidecar_rig.h"

namespace ivypost {
namespace {

// A request for the unsafe class in parts, so that a case can change one of them.
struct Parts {
  std::string line = "POST /cambio/7 HTTP/1.1\r\n";
  std::string host = "Host: service.internal\r\n";
  std::string fields;
  std::string framing = "Content-Length: 1\r\n";
  std::string body = "x";
};

std::string textOf(const Parts& parts) {
  return parts.line + parts.host +
         "X-Qos: cambio\r\nX-Customer: nalon\r\nX-Trace-Id: 00000000000000a1\r\nX-Expires-In-Ms: 20000\r\n" +
         parts.fields + parts.framing + "\r\n" + parts.body;
}
std::string line(const std::string& text) {
  Parts parts;
  parts.line = text + "\r\n";
  return textOf(parts);
}
std::string host(const std::string& text) {
  Parts parts;
  parts.host = text;
  return textOf(parts);
}
std::string fields(const std::string& text) {
  Parts parts;
  parts.fields = text;
  return textOf(parts);
}
std::string framed(const std::string& framing, const std::string& body) {
  Parts parts;
  parts.framing = framing;
  parts.body = body;
  return textOf(parts);
}
std::string chunked(const std::string& body) {
  return framed("Transfer-Encoding: chunked\r\n", body);
}

struct Case {
  const char* section;
  const char* what;
  std::string text;
  unsigned status;
};

const std::vector<Case>& cases() {
  static const std::vector<Case> all = {
      // RFC 9112, 2.2: message parsing
      {"9112 2.2", "an empty line ahead", "\r\n" + fields(""), 200},
      {"9112 2.2", "two empty lines ahead", "\r\n\r\n" + fields(""), 400},
      {"9112 2.2", "a bare LF behind the request line", "POST /cambio/7 HTTP/1.1\nHost: s\r\n\r\n", 400},
      {"9112 2.2", "a bare CR in a value", fields("X-Note: a\rb\r\n"), 400},
      {"9112 2.2", "a bare LF between fields", fields("X-Note: a\nX-More: b\r\n"), 400},
      {"9112 2.2", "white space ahead of the first field", line("POST /cambio/7 HTTP/1.1\r\n X-Note: a"),
       400},
      {"9112 2.2", "a space ahead of the request line", " " + fields(""), 400},
      {"9112 2.2", "no HTTP at all", "\x16\x03\x01\x02\r\n\r\n", 400},
      // 2.3: version
      {"9112 2.3", "HTTP/1.0", line("POST /cambio/7 HTTP/1.0"), 200},
      {"9112 2.3", "HTTP/2.0", line("POST /cambio/7 HTTP/2.0"), 505},
      {"9112 2.3", "HTTP/0.9", line("POST /cambio/7 HTTP/0.9"), 505},
      {"9112 2.3", "HTTP/1.12", line("POST /cambio/7 HTTP/1.12"), 400},
      {"9112 2.3", "in small letters", line("POST /cambio/7 http/1.1"), 400},
      {"9112 2.3", "another protocol", line("POST /cambio/7 RTSP/1.0"), 400},
      {"9112 2.3", "none", line("POST /cambio/7"), 400},
      // 3: request line
      {"9112 3", "two spaces behind the method", line("POST  /cambio/7 HTTP/1.1"), 400},
      {"9112 3", "two spaces ahead of the version", line("POST /cambio/7  HTTP/1.1"), 400},
      {"9112 3", "a tab", line("POST\t/cambio/7 HTTP/1.1"), 400},
      {"9112 3", "a space behind the version", line("POST /cambio/7 HTTP/1.1 "), 400},
      {"9112 3", "a space in the target", line("POST /cambio/7 8 HTTP/1.1"), 400},
      {"9112 3", "no target", line("POST HTTP/1.1"), 400},
      // 3.1: method
      {"9112 3.1", "small letters", line("post /cambio/7 HTTP/1.1"), 405},
      {"9112 3.1", "an unknown one", line("BOOK /cambio/7 HTTP/1.1"), 405},
      {"9112 3.1", "no token", line("PO(ST /cambio/7 HTTP/1.1"), 400},
      {"9110 9.3.1", "GET where it is unsafe", line("GET /cambio/7 HTTP/1.1"), 405},
      {"9110 9.3.2", "HEAD", line("HEAD /cambio/7 HTTP/1.1"), 405},
      {"9110 9.3.8", "TRACE", line("TRACE /cambio/7 HTTP/1.1"), 405},
      // 3.2: target
      {"9112 3.2.1", "with a query", line("POST /cambio/7?a=b&c=%20 HTTP/1.1"), 200},
      {"9112 3.2.1", "a fragment", line("POST /cambio/7#a HTTP/1.1"), 400},
      {"9112 3.2.1", "a quote", line("POST /cambio/\"7 HTTP/1.1"), 400},
      {"9112 3.2.1", "a backslash", line("POST /cambio\\7 HTTP/1.1"), 400},
      {"9112 3.2.1", "a brace", line("POST /cambio/{7} HTTP/1.1"), 400},
      {"9112 3.2.1", "a byte over 127", line("POST /cambio/\xc3\xb1 HTTP/1.1"), 400},
      {"9112 3.2.1", "a percent alone", line("POST /cambio/7% HTTP/1.1"), 400},
      {"9112 3.2.1", "a percent and no hexadecimal", line("POST /cambio/%7g HTTP/1.1"), 400},
      {"9112 3.2.1", "no slash ahead", line("POST cambio/7 HTTP/1.1"), 400},
      {"9112 3.2.2", "absolute", line("POST http://service.internal/cambio/7 HTTP/1.1"), 200},
      {"9112 3.2.2", "absolute, scheme in capitals",
       line("POST HTTP://service.internal:80/cambio/7?a HTTP/1.1"), 200},
      {"9112 3.2.2", "absolute without a path", line("POST http://service.internal HTTP/1.1"), 404},
      {"9112 3.2.2", "absolute without a host", line("POST http:///cambio/7 HTTP/1.1"), 400},
      {"9110 4.2.4", "absolute with user information", line("POST http://a@b/cambio/7 HTTP/1.1"), 400},
      {"9112 3.2.2", "another scheme", line("POST ftp://service.internal/cambio/7 HTTP/1.1"), 400},
      {"9112 3.2.3", "CONNECT", line("CONNECT service.internal:80 HTTP/1.1"), 501},
      {"9112 3.2.3", "an authority without CONNECT", line("POST service.internal:80 HTTP/1.1"), 400},
      {"9112 3.2.4", "OPTIONS *", line("OPTIONS * HTTP/1.1"), 501},
      {"9112 3.2.4", "* without OPTIONS", line("POST * HTTP/1.1"), 400},
      // 3.2 and RFC 9110, 7.2: Host
      {"9112 3.2", "no Host", host(""), 400},
      {"9112 3.2", "two Hosts", host("Host: service.internal\r\nHost: service.internal\r\n"), 400},
      {"9112 3.2", "an empty Host", host("Host:\r\n"), 200},
      {"9112 3.2", "a Host with a port", host("Host: service.internal:8080\r\n"), 200},
      {"9112 3.2", "a Host that is an address", host("Host: [::1]:80\r\n"), 200},
      {"9112 3.2", "a Host with a space", host("Host: a b\r\n"), 400},
      {"9112 3.2", "a Host with a path", host("Host: a/b\r\n"), 400},
      {"9112 3.2", "a Host with user information", host("Host: a@b\r\n"), 400},
      {"9112 3.2", "two names in one Host", host("Host: a, b\r\n"), 400},
      {"9112 3.2", "a Host with a port that is none", host("Host: a:8x\r\n"), 400},
      {"9112 3.2", "a Host with an open bracket", host("Host: [::1\r\n"), 400},
      // 5: field syntax
      {"9112 5.1", "white space ahead of the colon", fields("X-Note : a\r\n"), 400},
      {"9112 5.1", "no colon", fields("X-Note\r\n"), 400},
      {"9112 5.1", "no name", fields(": a\r\n"), 400},
      {"9112 5.1", "a name that is no token", fields("X(Note: a\r\n"), 400},
      {"9112 5.1", "a name with a byte over 127", fields("X-\xc3\xb1: a\r\n"), 400},
      {"9112 5.1", "an empty value", fields("X-Note:\r\n"), 200},
      {"9112 5.1", "white space round a value", fields("X-Note: \t a \t\r\n"), 200},
      {"9112 5.2", "a folded line", fields("X-Note: a\r\n b\r\n"), 200},
      {"9112 5.2", "a line folded by a tab", fields("X-Note: a\r\n\tb\r\n"), 200},
      {"9112 5.2", "a line folded to nothing", fields("X-Note: a\r\n \r\n"), 200},
      {"9110 5.5", "a NUL in a value", fields(std::string("X-Note: a\0b\r\n", 13)), 400},
      {"9110 5.5", "a control character in a value",
       fields("X-Note: a\x01"
              "b\r\n"),
       400},
      {"9110 5.5", "DEL in a value", fields("X-Note: a\x7f\r\n"), 400},
      {"9110 5.5", "a byte over 127 in a value", fields("X-Note: \xc3\xb1\r\n"), 200},
      {"9110 5.4", "a header over 16 KiB", fields("X-Note: " + std::string(17000, 'a') + "\r\n"), 431},
      // 6: body and framing
      {"9112 6.1", "chunks", chunked("1\r\nx\r\n0\r\n\r\n"), 200},
      {"9112 6.1", "chunked in capitals", framed("Transfer-Encoding: CHUNKED\r\n", "0\r\n\r\n"), 200},
      {"9112 6.1", "both a length and chunks",
       framed("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
      {"9112 6.1", "chunks and a length",
       framed("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"), 400},
      {"9112 6.1", "chunked twice", framed("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"), 400},
      {"9112 6.1", "two fields",
       framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
      {"9112 6.1", "a coding that is not known", framed("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
       501},
      {"9112 6.1", "chunked not last", framed("Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n"), 400},
      {"9112 6.1", "a coding without end", framed("Transfer-Encoding: gzip\r\n", "x"), 400},
      {"9112 6.1", "identity", framed("Transfer-Encoding: identity\r\n", "x"), 400},
      {"9112 6.1", "a name like it", framed("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 400},
      {"9112 6.1", "a parameter", framed("Transfer-Encoding: chunked;a=b\r\n", "0\r\n\r\n"), 400},
      {"9112 6.1", "an empty one", framed("Transfer-Encoding:\r\n", ""), 400},
      {"9112 6.1", "chunks in HTTP/1.0",
       "POST /cambio/7 HTTP/1.0\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"9112 6.3", "no length", framed("", ""), 200},
      {"9112 6.3", "the same length twice", framed("Content-Length: 1\r\nContent-Length: 1\r\n", "x"), 400},
      {"9112 6.3", "two lengths", framed("Content-Length: 1\r\nContent-Length: 2\r\n", "xy"), 400},
      {"9112 6.3", "a list of lengths", framed("Content-Length: 1, 1\r\n", "x"), 400},
      {"9110 8.6", "a signed length", framed("Content-Length: +1\r\n", "x"), 400},
      {"9110 8.6", "a negative length", framed("Content-Length: -1\r\n", "x"), 400},
      {"9110 8.6", "a hexadecimal length", framed("Content-Length: 0x1\r\n", "x"), 400},
      {"9110 8.6", "a length with a space", framed("Content-Length: 1 1\r\n", "x"), 400},
      {"9110 8.6", "an empty length", framed("Content-Length:\r\n", ""), 400},
      {"9110 8.6", "a length of 2^64", framed("Content-Length: 18446744073709551616\r\n", "x"), 400},
      {"9110 8.6", "a length over the limit", framed("Content-Length: 33554433\r\n", "x"), 413},
      // 7: chunks
      {"9112 7.1", "a size that is no number", chunked("g\r\nx\r\n0\r\n\r\n"), 400},
      {"9112 7.1", "a signed size", chunked("+1\r\nx\r\n0\r\n\r\n"), 400},
      {"9112 7.1", "a size with 0x", chunked("0x1\r\nx\r\n0\r\n\r\n"), 400},
      {"9112 7.1", "a size of 2^64", chunked("10000000000000001\r\nx\r\n0\r\n\r\n"), 400},
      {"9112 7.1", "a size over the limit", chunked("2000001\r\nx"), 413},
      {"9112 7.1", "no CRLF behind the data", chunked("1\r\nxy\r\n0\r\n\r\n"), 400},
      {"9112 7.1", "a bare LF behind the size", chunked("1\nx\r\n0\r\n\r\n"), 400},
      {"9112 7.1", "no size", chunked("\r\nx\r\n0\r\n\r\n"), 400},
      {"9112 7.1.1", "an extension", chunked("1;a=b\r\nx\r\n0\r\n\r\n"), 200},
      {"9112 7.1.1", "a quoted extension", chunked("1;a=\"b c\"\r\nx\r\n0\r\n\r\n"), 200},
      {"9112 7.1.2", "a trailer", chunked("1\r\nx\r\n0\r\nX-Note: late\r\n\r\n"), 200},
      {"9112 7.1.2", "a trailer that is no field", chunked("1\r\nx\r\n0\r\nnone\r\n\r\n"), 400},
      // RFC 9110, 7.6.1 and 10.1.1
      {"9110 7.6.1", "Connection names a field of its own", fields("Connection: x-note\r\nX-Note: a\r\n"),
       200},
      {"9110 7.6.1", "Connection names the request's id", fields("Connection: keep-alive, X-Trace-Id\r\n"),
       400},
      {"9110 7.6.1", "Connection names the length", fields("Connection: Content-Length\r\n"), 400},
      {"9110 7.8", "Upgrade is passed over", fields("Connection: Upgrade\r\nUpgrade: h2c\r\n"), 200},
      {"9110 10.1.1", "another expectation", fields("Expect: a-miracle\r\n"), 417},
      {"9110 10.1.1", "an expectation in HTTP/1.0 is passed over",
       line("POST /cambio/7 HTTP/1.0\r\nExpect: a-miracle"), 200},
  };
  return all;
}

class ConformanceTest : public SidecarTest, public testing::WithParamInterface<std::size_t> {};

TEST_P(ConformanceTest, AnswersByTheRfc) {
  const Case& one = cases().at(GetParam());
  SCOPED_TRACE(std::string("RFC ") + one.section + ": " + one.what);
  start(1);
  upstreams[0]->onRequest = [](Peer::Exchange& e) { e.reply(200, "hecho"); };
  const Client from = client();
  from.send(one.text);
  ASSERT_TRUE(wait([&] { return from.answers() == 1; }));
  EXPECT_EQ(from.answer(0).result_int(), one.status);
  ASSERT_EQ(arrived(), one.status == 200 ? 1u : 0u);
  if (one.status != 200) return;
  // The request that reaches the upstream is unambiguous.
  const Message& got = upstreams[0]->requests[0].message;
  EXPECT_EQ(got.version(), 11u);
  EXPECT_EQ(got.count("Host"), 1u);
  EXPECT_EQ(got.target().substr(0, 9), "/cambio/7");
  EXPECT_EQ(got.count("Transfer-Encoding"), 0u);
  EXPECT_EQ(got.count("Content-Length"), 1u);
  for (const char* gone : {"Connection", "Upgrade", "Expect", "Trailer"})
    EXPECT_EQ(got.count(gone), 0u) << gone;
  // A folded field is forwarded as one line, with a space in place of the fold (RFC 9112, 5.2).
  EXPECT_EQ(got["X-Note"].find_first_of("\r\n"), beast::string_view::npos);
  EXPECT_NE(got["X-Note"], "late") << "a trailer became a header";
}

std::string nameOfCase(const testing::TestParamInfo<std::size_t>& info) {
  const Case& one = cases().at(info.param);
  std::string name = std::to_string(info.param) + "_" + one.section + "_" + one.what;
  for (char& c : name) {
    if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
  }
  return name;
}
INSTANTIATE_TEST_SUITE_P(Rfc, ConformanceTest, testing::Range<std::size_t>(0, cases().size()), nameOfCase);

// RFC 9112, 3.2.2: the host of an absolute target takes precedence over the Host field. RFC 9110, 7.6.1:
// headers that Connection names are not forwarded.
TEST_F(SidecarTest, ForwardsInOriginForm) {
  start(1);
  upstreams[0]->onRequest = [](Peer::Exchange& e) { e.reply(200, "hecho"); };
  const Client from = client();
  from.send(line("POST http://other.internal:81/cambio/7?a=b HTTP/1.1\r\nConnection: X-Hop\r\nX-Hop: 1"));
  ASSERT_TRUE(wait([&] { return from.answers() == 1; }));
  const Message& got = upstreams[0]->requests[0].message;
  EXPECT_EQ(got.target(), "/cambio/7?a=b");
  EXPECT_EQ(got["Host"], "other.internal:81");
  EXPECT_EQ(got.count("X-Hop"), 0u);
}

// RFC 9110, 10.1.1: a client that waits for 100 (Continue) gets it, sends its body, and gets one final
// answer.
TEST_F(SidecarTest, Sends100ContinueToAClientThatExpectsIt) {
  start(1);
  upstreams[0]->onRequest = [](Peer::Exchange& e) { e.reply(200, "hecho"); };
  tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), sidecar->port()});
  std::string got;
  std::array<char, 4096> buffer{};
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer), [&](error_code error, std::size_t size) {
      if (error) return;
      got.append(buffer.data(), size);
      read();
    });
  };
  read();
  const std::string text = fields("Expect: 100-continue\r\n");
  asio::write(socket, asio::buffer(text.substr(0, text.size() - 1)));
  ASSERT_TRUE(wait([&] { return got == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  EXPECT_EQ(arrived(), 0u);
  asio::write(socket, asio::buffer(std::string("x")));
  ASSERT_TRUE(wait([&] { return got.find("hecho") != std::string::npos; }));
  EXPECT_EQ(got.find("HTTP/1.1 200", 25), 25u);
  socket.close();
}

TEST(RequestParser, ClassifiesMalformedStartLines) {
  EXPECT_EQ(statusOfMalformedStartLine("GET / HTTP/3.0\r\n"), 505u);
  EXPECT_EQ(statusOfMalformedStartLine("GET / HTTP/1.5x\r\n"), 400u);
  EXPECT_EQ(statusOfMalformedStartLine("HTTP/2.0\r\n"), 400u);
  EXPECT_EQ(statusOfMalformedStartLine(""), 400u);
}

}  // namespace
}  // namespace ivypost
