// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests of large bodies through the sidecar in both directions, on raw sockets at both ends. Tests wait for
// events, never for a fixed time.
#include <array>
#include <set>

#include "sidecar_rig.h"

namespace ivypost {
namespace {

// A socket that stores the bytes it receives, unless reading is paused.
class Wire {
 public:
  explicit Wire(tcp::socket socket) : line_(std::make_shared<Line>(std::move(socket))) { read(line_); }
  Wire(asio::io_context& io, std::uint16_t port) : line_(std::make_shared<Line>(tcp::socket(io))) {
    line_->socket.connect({asio::ip::address_v4::loopback(), port});
    read(line_);
  }

  const std::string& got() const { return line_->got; }
  bool closed() const { return line_->closed; }
  bool reset() const { return line_->reset; }
  bool sent() const { return line_->at == line_->out.size(); }
  void send(const std::string& bytes) const {
    const bool idle = sent();
    if (idle) line_->out.clear(), line_->at = 0;
    line_->out += bytes;
    if (idle) write(line_);
  }
  void stand(bool still) const {
    line_->still = still;
    if (!still) read(line_);
  }
  void close() const { line_->socket.close(); }
  void abort() const {
    line_->socket.set_option(asio::socket_base::linger(true, 0));
    line_->socket.close();
  }
  void end() const { line_->socket.shutdown(tcp::socket::shutdown_send); }
  // The bytes behind the head of a received HTTP message; empty before the head is complete.
  std::string_view body() const {
    const std::size_t head = got().find("\r\n\r\n");
    return head == std::string::npos ? "" : std::string_view(got()).substr(head + 4);
  }

 private:
  struct Line {
    explicit Line(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string got, out;
    std::size_t at = 0;  // number of bytes of `out` that have been sent
    std::array<char, 65536> bytes{};
    bool closed = false, reset = false, still = false, reading = false;
  };
  static void read(const std::shared_ptr<Line>& line) {
    if (std::exchange(line->reading, true)) return;
    line->socket.async_read_some(asio::buffer(line->bytes), [line](error_code error, std::size_t size) {
      line->reading = false;
      line->got.append(line->bytes.data(), size);
      line->closed = static_cast<bool>(error);
      line->reset = error == asio::error::connection_reset;
      if (!error && !line->still) read(line);
    });
  }
  static void write(const std::shared_ptr<Line>& line) {
    line->socket.async_write_some(asio::buffer(line->out.data() + line->at, line->out.size() - line->at),
                                  [line](error_code error, std::size_t size) {
                                    line->at = error ? line->out.size() : line->at + size;
                                    if (line->at < line->out.size()) write(line);
                                  });
  }
  std::shared_ptr<Line> line_;
};

class TransferTest : public SidecarTest {
 protected:
  TransferTest() : acceptor(io, {asio::ip::address_v4::loopback(), 0}) { accept(); }

  // Starts the sidecar with one upstream, whose accepted connections are in `wires`.
  void transfer(const json& patch = json::object()) {
    json file = {{"limits", {{"memory_mb", 48}}}};
    file.merge_patch(patch);
    upstreams.push_back(std::make_unique<Peer>(io));
    states.assign(1, "up");
    Config config = configure(file);
    for (auto& instance : config.known->instances) instance.address = acceptor.local_endpoint();
    discovery.onRequest = nullptr;
    sidecar = std::make_unique<Sidecar>(io, std::move(config));
  }

  void accept() {
    acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      wires.emplace_back(std::move(socket));
      accept();
    });
  }

  Wire connect() { return {io, sidecar->port()}; }

  static std::string pattern(std::size_t size) {
    std::string text(size, '\0');
    std::uint32_t state = 12345;
    for (char& byte : text) {
      state = state * 1664525 + 1013904223;
      byte = static_cast<char>(state >> 24);
    }
    return text;
  }
  static std::string head(const std::string& framing, const std::string& qos = "cambio",
                          int expiresInMs = 20000) {
    const std::string method = qos == "consulta" ? "GET" : "POST";
    return method + " /" + qos + "/7 HTTP/1.1\r\nHost: s\r\nX-Qos: " + qos +
           "\r\nX-Customer: nalon\r\nX-Trace-Id: 00000000000000a1\r\nX-Expires-In-Ms: " +
           std::to_string(expiresInMs) + "\r\n" + (qos == "reserva" ? "Idempotency-Key: k\r\n" : "") +
           framing + "\r\n";
  }
  static std::string length(std::size_t size) { return "Content-Length: " + std::to_string(size) + "\r\n"; }
  // Whether the upstream has received a complete body of this size on its connection n.
  bool upstreamHas(std::size_t n, const std::string& body) const {
    return wires.size() > n && wires[n].body().size() >= body.size();
  }
  static std::string chunks(const std::string& body, std::size_t size, const std::string& extension = "") {
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += size) {
      const std::string piece = body.substr(at, size);
      std::array<char, 16> digits{};
      std::snprintf(digits.data(), digits.size(), "%zx", piece.size());
      text += std::string(digits.data()) + extension + "\r\n" + piece + "\r\n";
    }
    return text + "0\r\n";
  }
  static std::string unchunked(const std::string& text) {
    std::string body;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t size = std::stoul(text.substr(at), nullptr, 16);
      at = text.find("\r\n", at) + 2;
      body += text.substr(at, size);
      at += size + 2;
    }
    return body;
  }
  // A client whose request the upstream has received completely.
  Wire asked(const std::string& qos = "cambio", const std::string& version = "HTTP/1.1") {
    Wire client = connect();
    std::string text = head(qos == "consulta" ? "" : length(1), qos) + (qos == "consulta" ? "" : "x");
    text.replace(text.find("HTTP/1.1"), 8, version);
    client.send(text);
    EXPECT_TRUE(
        wait([&] { return !wires.empty() && wires.back().got().find("\r\n\r\n") != std::string::npos; }));
    return client;
  }

  tcp::acceptor acceptor;
  std::deque<Wire> wires;
};

// ---- Answers ----------------------------------------------------------------------------------------------

TEST_F(TransferTest, ALargeAnswerPassesWithItsLength) {
  transfer();
  const std::string body = pattern(5'000'000);
  const Wire client = asked();
  wires[0].send("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n" + length(body.size()) + "\r\n" + body);
  ASSERT_TRUE(wait([&] { return client.body().size() >= body.size(); }));
  EXPECT_EQ(client.body(), body);
  EXPECT_NE(client.got().find(length(body.size())), std::string::npos);
  EXPECT_NE(client.got().find("Content-Type: a/b\r\n"), std::string::npos);
  // Both connections can be reused, as after any answer.
  client.send(head(length(1)).replace(head(length(1)).find("a1\r\n"), 2, "a2") + "x");
  ASSERT_TRUE(wait([&] { return wires[0].got().find("00a2") != std::string::npos; }));
  EXPECT_EQ(wires.size(), 1U);
}

TEST_F(TransferTest, AnAnswerInChunksPassesInChunksWithoutExtensionsAndTrailers) {
  transfer();
  const std::string body = pattern(300'000);
  const Wire client = asked();
  wires[0].send(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      chunks(body, 7777, ";a=\"b\"") + "X-Trailer: t\r\n\r\n");
  ASSERT_TRUE(wait([&] {
    return client.got().size() > 5 && client.got().substr(client.got().size() - 5) == "0\r\n\r\n";
  }));
  EXPECT_EQ(unchunked(std::string(client.body())), body);
  EXPECT_EQ(client.got().find("X-Trailer"), std::string::npos);
}

TEST_F(TransferTest, AnAnswerThatEndsWithItsConnectionPassesIfItSaysSo) {
  transfer();
  const std::string body = pattern(200'000);
  const Wire client = asked();
  wires[0].send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
  ASSERT_TRUE(wait([&] { return wires[0].sent(); }));
  wires[0].end();
  ASSERT_TRUE(wait([&] {
    return client.got().size() > 5 && client.got().substr(client.got().size() - 5) == "0\r\n\r\n";
  }));
  EXPECT_EQ(unchunked(std::string(client.body())), body);
}

// RFC 9112, 6.3: an answer without Content-Length and chunked coding ends with its connection, whether or not
// it has "Connection: close".
class UntilTheEndTest : public TransferTest,
                        public testing::WithParamInterface<std::tuple<const char*, std::size_t>> {
 protected:
  const std::string body = pattern(std::get<1>(GetParam()));
  std::string answer() const {
    return std::string("HTTP/1.1 200 OK\r\n") + std::get<0>(GetParam()) + "\r\n" + body;
  }
  bool isLarge() const { return body.size() > 65536; }
  // Lets the sidecar read all bytes that the upstream has written.
  void settle() {
    for (int n = 0; n < 200; ++n) {
      io.restart();
      io.poll();
    }
  }
};

TEST_P(UntilTheEndTest, PassesWholeWhenItsUpstreamHasEndedIt) {
  transfer();
  const Wire client = asked();
  wires[0].send(answer());
  ASSERT_TRUE(wait([&] { return wires[0].sent(); }));
  settle();
  EXPECT_EQ(client.got().find("0\r\n\r\n"), std::string::npos)
      << "the last chunk was sent before the answer's end";
  wires[0].end();
  const auto whole = [&] {
    return isLarge()
               ? client.got().size() > 5 && client.got().substr(client.got().size() - 5) == "0\r\n\r\n"
               : client.got().find("\r\n\r\n") != std::string::npos && client.body().size() == body.size();
  };
  ASSERT_TRUE(wait(whole)) << client.got().substr(0, 100);
  EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(isLarge() ? unchunked(std::string(client.body())) : std::string(client.body()), body);
  EXPECT_TRUE(wait([&] { return wires[0].closed(); })) << "the connection must not be reused";
}

TEST_P(UntilTheEndTest, IsNotWholeWhenItsConnectionIsReset) {
  transfer();
  const Wire client = asked();
  wires[0].send(answer());
  ASSERT_TRUE(wait([&] { return wires[0].sent(); }));
  settle();
  wires[0].abort();
  if (isLarge()) {
    ASSERT_TRUE(wait([&] { return client.closed(); }));
    EXPECT_TRUE(client.reset());
  } else {
    ASSERT_TRUE(wait([&] { return client.got().find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 502");
  }
}

INSTANTIATE_TEST_SUITE_P(Forms, UntilTheEndTest,
                         testing::Combine(testing::Values("", "Connection: close\r\n",
                                                          "Connection: keep-alive\r\n"),
                                          testing::Values(2U, 40'000U, 200'000U)));

TEST_F(TransferTest, AnHttp10ClientGetsAnAnswerWithoutLengthUntilTheClose) {
  transfer();
  const std::string body = pattern(200'000);
  const Wire client = asked("cambio", "HTTP/1.0");
  wires[0].send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body, 5000) + "\r\n");
  ASSERT_TRUE(wait([&] { return client.closed(); }));
  EXPECT_FALSE(client.reset());
  EXPECT_EQ(client.body(), body);
}

// An answer that breaks off in its body: the client must be able to detect that, and gets no second answer.
class BrokenAnswerTest : public TransferTest,
                         public testing::WithParamInterface<std::tuple<const char*, const char*>> {};

TEST_P(BrokenAnswerTest, IsCutSoThatTheClientCanTell) {
  transfer();
  const std::string framing = std::get<0>(GetParam());
  const Wire client = asked("cambio", std::get<1>(GetParam()));
  const bool chunked = framing.find("chunked") != std::string::npos;
  wires[0].send("HTTP/1.1 200 OK\r\n" + framing + "\r\n" + (chunked ? "70d40\r\n" : "") + pattern(200'000));
  ASSERT_TRUE(wait([&] { return client.body().size() > 100'000; }));
  wires[0].close();
  ASSERT_TRUE(wait([&] { return client.closed(); }));
  EXPECT_TRUE(client.reset());
  EXPECT_NE(client.got().substr(client.got().size() - 5), "0\r\n\r\n");
  EXPECT_EQ(client.got().find("HTTP/1.1", 8), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Forms, BrokenAnswerTest,
                         testing::Combine(testing::Values("Content-Length: 500000\r\n",
                                                          "Transfer-Encoding: chunked\r\n"),
                                          testing::Values("HTTP/1.1", "HTTP/1.0")));

// An incomplete answer of up to 64 KiB is never forwarded.
TEST_F(TransferTest, ASpoiltSmallAnswerIsNotPassedOn) {
  transfer();
  const Wire client = asked();
  wires[0].send("HTTP/1.1 200 OK\r\n" + length(60'000) + "\r\n" + pattern(50'000));
  wires[0].end();
  ASSERT_TRUE(wait([&] { return client.got().find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 502");
}

TEST_F(TransferTest, AnAnswerSaidToBeOver32MegabytesIsSpoilt) {
  transfer();
  const Wire client = asked();
  wires[0].send("HTTP/1.1 200 OK\r\n" + length(32UL * 1024 * 1024 + 1) + "\r\n" + pattern(200'000));
  ASSERT_TRUE(wait([&] { return client.got().find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 502");
}

TEST_F(TransferTest, AnAnswerWithoutEndIsCutAt32Megabytes) {
  transfer();
  const Wire client = asked();
  std::string chunk = "100000\r\n" + pattern(1024 * 1024) + "\r\n";
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int n = 0; n < 40; ++n) text += chunk;
  wires[0].send(text);
  ASSERT_TRUE(wait([&] { return client.closed(); }));
  EXPECT_TRUE(client.reset());
  EXPECT_LT(client.got().size(), 33UL * 1024 * 1024 + 10'000);
}

// Backpressure: while a client doesn't read, its upstream can't send, and the sidecar buffers no more than
// the capacity of one pipe.
TEST_F(TransferTest, ASlowReaderHoldsItsUpstreamBack) {
  transfer();
  const std::string body = pattern(12'000'000);
  const Wire client = asked();
  client.stand(true);
  wires[0].send("HTTP/1.1 200 OK\r\n" + length(body.size()) + "\r\n" + body);
  // Others are served meanwhile.
  for (int n = 0; n < 20; ++n) {
    const Wire other = connect();
    other.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
    ASSERT_TRUE(wait([&] { return !other.got().empty(); }));
  }
  EXPECT_FALSE(wires[0].sent())
      << "the complete answer was read from the upstream although the client reads nothing";
  client.stand(false);
  ASSERT_TRUE(wait([&] { return client.body().size() >= body.size(); }));
  EXPECT_EQ(client.body(), body);
}

TEST_F(TransferTest, AClientThatLeavesEndsItsTransfer) {
  transfer();
  const Wire client = asked();
  wires[0].send("HTTP/1.1 200 OK\r\n" + length(20'000'000) + "\r\n" + pattern(20'000'000));
  ASSERT_TRUE(wait([&] { return client.body().size() > 100'000; }));
  client.close();
  EXPECT_TRUE(wait([&] { return wires[0].closed(); }));
}

// ---- Bodies of requests -----------------------------------------------------------------------------------

TEST_F(TransferTest, ALargeBodyPassesInPiecesOfAnySize) {
  transfer();
  const std::string body = pattern(6'000'000);
  const Wire client = connect();
  client.send(head(length(body.size())));
  for (std::size_t at = 0, size = 1; at < body.size(); at += size, size = size * 2 + 1) {
    client.send(body.substr(at, size));
    ASSERT_TRUE(wait([&] { return client.sent(); }));
  }
  ASSERT_TRUE(wait([&] { return upstreamHas(0, body); }));
  EXPECT_EQ(wires[0].body(), body);
  EXPECT_NE(wires[0].got().find(length(body.size())), std::string::npos);
  wires[0].send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(wait([&] { return client.body() == "ok"; }));
  EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 200");
}

TEST_F(TransferTest, ALargeBodyInChunksPassesInChunks) {
  transfer();
  const std::string body = pattern(5'000'000);
  const Wire client = connect();
  client.send(head("Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"));
  ASSERT_TRUE(wait([&] { return client.got() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  client.send(chunks(body, 99'999, ";x=y") + "X-Customer: other\r\n\r\n");
  ASSERT_TRUE(wait([&] {
    return !wires.empty() && wires[0].got().size() > 5 &&
           wires[0].got().substr(wires[0].got().size() - 5) == "0\r\n\r\n";
  }));
  EXPECT_EQ(unchunked(std::string(wires[0].body())), body);
  EXPECT_EQ(wires[0].got().find("X-Customer: other"), std::string::npos);
  EXPECT_EQ(wires[0].got().find("Content-Length"), std::string::npos);
}

// The head of a chunked request is stored separately from its trailer, and must not be used for the next
// request.
TEST_F(TransferTest, ARequestBehindALargeBodyInChunksKeepsItsOwnHead) {
  transfer();
  const std::string body = pattern(4'000'000);
  const Wire client = connect();
  client.send(head("Transfer-Encoding: chunked\r\n") + chunks(body, 300'000) + "\r\n");
  ASSERT_TRUE(wait([&] {
    return !wires.empty() && wires[0].got().size() > 5 &&
           wires[0].got().substr(wires[0].got().size() - 5) == "0\r\n\r\n";
  }));
  wires[0].send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(wait([&] { return client.body() == "ok"; }));
  std::string next = head(length(5));
  next.replace(next.find("a1\r\n"), 2, "b2");
  client.send(next + "hello");
  ASSERT_TRUE(wait([&] { return wires[0].got().find("hello") != std::string::npos; }));
  EXPECT_NE(wires[0].got().find("X-Trace-Id: 00000000000000b2"), std::string::npos);
}

// A body up to the buffering limit is received completely before anything is sent to an upstream.
TEST_F(TransferTest, ABodyThatIsHeldWholeTakesNoUpstreamsTime) {
  transfer();
  const std::string body = pattern(500'000);
  const Wire client = connect();
  client.send(head(length(body.size())) + body.substr(0, body.size() - 1));
  ASSERT_TRUE(wait([&] { return client.sent(); }));
  for (int n = 0; n < 5; ++n) {
    const Wire other = connect();
    other.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
    ASSERT_TRUE(wait([&] { return !other.got().empty(); }));
  }
  EXPECT_TRUE(wires.empty());
  client.send(body.substr(body.size() - 1));
  ASSERT_TRUE(wait([&] { return upstreamHas(0, body); }));
  EXPECT_EQ(wires[0].body(), body);
}

TEST_F(TransferTest, ABodySaidToBeOver32MegabytesIsRefusedFromItsHead) {
  transfer();
  const Wire client = connect();
  client.send(head(length(32UL * 1024 * 1024 + 1)));
  ASSERT_TRUE(wait([&] { return client.closed(); }));
  EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 413");
  EXPECT_TRUE(wires.empty());
}

// The bytes between two chunks are limited, so that neither a client nor an upstream can exhaust the memory.
TEST_F(TransferTest, AChunksHeadWithoutEndIsRefused) {
  transfer();
  const Wire client = connect();
  client.send(head("Transfer-Encoding: chunked\r\n") + "1;" + std::string(200'000, 'x'));
  ASSERT_TRUE(wait([&] { return !client.got().empty() || client.closed(); }));
  EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 400");
  EXPECT_TRUE(wires.empty());
  const Wire other = asked();
  wires[0].send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(200'000, 'x'));
  ASSERT_TRUE(wait([&] { return !other.got().empty(); }));
  EXPECT_EQ(other.got().substr(0, 12), "HTTP/1.1 502");
}

// The last byte of the body is never sent, so the request never runs.
TEST_F(TransferTest, ABodyWithoutEndIsCutAndItsAttemptNeverRuns) {
  transfer();
  const Wire client = connect();
  client.send(head("Transfer-Encoding: chunked\r\n"));
  const std::string chunk = "100000\r\n" + pattern(1024 * 1024) + "\r\n";
  for (int n = 0; n < 40; ++n) client.send(chunk);
  ASSERT_TRUE(wait([&] { return client.closed() || client.reset(); }));
  ASSERT_TRUE(wait([&] { return !wires.empty() && wires[0].closed(); }));
  for (const Wire& wire : wires) EXPECT_EQ(wire.got().find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(TransferTest, ABodyThatStopsMidwayEndsItsAttempt) {
  transfer();
  const Wire client = connect();
  client.send(head(length(6'000'000)) + pattern(4'000'000));
  ASSERT_TRUE(wait([&] { return !wires.empty() && wires[0].body().size() > 100'000; }));
  client.close();
  EXPECT_TRUE(wait([&] { return wires[0].closed(); }));
}

// An upstream rejects an upload of which a part has been sent: the request has never run, and the sidecar
// can't retry it, so the client gets a refusal and may retry.
class RefusedMidwayTest : public TransferTest, public testing::WithParamInterface<const char*> {};

TEST_P(RefusedMidwayTest, IsARefusal) {
  const std::string answer = GetParam();
  transfer();
  const Wire client = connect();
  client.send(head(length(6'000'000)) + pattern(4'000'000));
  ASSERT_TRUE(wait([&] { return !wires.empty() && wires[0].body().size() > 100'000; }));
  if (answer.empty()) {
    wires[0].close();
  } else {
    wires[0].send(answer);
  }
  ASSERT_TRUE(wait([&] { return client.got().find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(client.got().substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(wires.size(), 1U) << "a partly sent body can't be retried";
}

INSTANTIATE_TEST_SUITE_P(Forms, RefusedMidwayTest,
                         testing::Values("HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                                         "HTTP/1.1 413 x\r\nContent-Length: 0\r\n\r\n", ""));

// A completely buffered body is retried.
TEST_F(TransferTest, ABodyThatIsHeldWholeIsSentAgain) {
  transfer();
  const std::string body = pattern(400'000);
  const Wire client = connect();
  client.send(head(length(body.size())) + body);
  ASSERT_TRUE(wait([&] { return upstreamHas(0, body); }));
  wires[0].send("HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(wait([&] { return upstreamHas(1, body); }));
  EXPECT_EQ(wires[1].body(), body);
  wires[1].send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(wait([&] { return client.body() == "ok"; }));
}

// The deadline of an upload counts from its last byte, regardless of how long the upload took.
TEST_F(TransferTest, AnUploadsTimeCountsFromItsLastByte) {
  transfer();
  const std::string body = pattern(4'000'000);
  const Wire client = connect();
  client.send(head(length(body.size()), "cambio", 300) + body.substr(0, body.size() - 1));
  ASSERT_TRUE(wait([&] { return !wires.empty() && wires[0].body().size() + 1 == body.size(); }));
  const auto since = Clock::now();
  ASSERT_TRUE(wait([&] { return Clock::now() - since > std::chrono::milliseconds(500); }));
  EXPECT_TRUE(client.got().empty());
  client.send(body.substr(body.size() - 1));
  ASSERT_TRUE(wait([&] { return upstreamHas(0, body); }));
  wires[0].send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(wait([&] { return client.body() == "ok"; }));
}

// The time allowed for receiving an upload is not added to the remaining time sent to the upstream, which
// also counts from the last byte.
TEST_F(TransferTest, AnUploadIsToldNoMoreTimeThanItsClientGave) {
  transfer();
  const Wire client = connect();
  client.send(head(length(4'000'000), "cambio", 300) + pattern(3'000'000));
  ASSERT_TRUE(wait([&] { return !wires.empty() && wires[0].body().size() > 100'000; }));
  const std::string name = "X-Expires-In-Ms: ";
  const std::size_t at = wires[0].got().find(name);
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoi(wires[0].got().substr(at + name.size())), 300);
}

TEST_F(TransferTest, AnUploadWithoutAnAnswerFailsWhenItsTimeIsOver) {
  transfer();
  const std::string body = pattern(4'000'000);
  const Wire client = connect();
  client.send(head(length(body.size()), "cambio", 300) + body);
  ASSERT_TRUE(wait([&] { return !client.got().empty(); }));
  EXPECT_NE(client.got().substr(0, 10), "HTTP/1.1 2");
  EXPECT_EQ(client.got().find("503"), std::string::npos) << "it may have run";
}

// Many transfers at once, far above the memory budget: each completes, since every pipe may hold a minimum.
TEST_F(TransferTest, ManyAtOnceFarOverTheBudgetAllFinish) {
  transfer({{"limits", {{"memory_mb", 1}, {"sockets", 512}}}});
  const std::string body = pattern(600'000);
  std::deque<Wire> clients;
  for (int n = 0; n < 24; ++n) {
    clients.push_back(connect());
    std::string text = head(length(body.size()), "consulta");
    text.replace(text.find("a1\r\n"), 2, std::to_string(10 + n));
    text.replace(0, 3, "GET");
    clients.back().send(text + body);
  }
  std::set<std::size_t> answered;
  ASSERT_TRUE(wait([&] {
    for (std::size_t n = 0; n < wires.size(); ++n) {
      if (answered.count(n) > 0 || wires[n].body().size() < body.size()) continue;
      answered.insert(n);
      EXPECT_EQ(wires[n].body(), body);
      wires[n].send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + length(body.size()) + "\r\n" + body);
    }
    return std::all_of(clients.begin(), clients.end(),
                       [&](const Wire& client) { return client.body().size() >= body.size(); });
  }));
  for (const Wire& client : clients) EXPECT_EQ(client.body(), body);
}

}  // namespace
}  // namespace ivypost
