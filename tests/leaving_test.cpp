// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Clients that leave while their request waits: the request must not be sent to an upstream any more.
#include "moments.h"

namespace ivypost {
namespace {

enum class CloseKind { Close, Reset, HalfClose, CloseAfterData, ResetAfterData };

configuration::OperatorFile withQueue(std::int64_t perTurn) {
  configuration::OperatorFile file;
  file.admission.queue = true;
  file.admission.maxForwardsPerTurn = perTurn;
  return file;
}

// A client's socket that reads only on request.
class RawClient {
 public:
  RawClient(asio::io_context& io, std::uint16_t port) : socket_(io) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
  }
  void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
  bool sendsAhead(CloseKind how) const {
    return how == CloseKind::CloseAfterData || how == CloseKind::ResetAfterData;
  }
  // Sends more than the sidecar reads ahead of an answer without budget, and less than the kernel buffers.
  void sendAhead(std::size_t size = 40'000) {
    std::string data;
    for (int n = 100; data.size() < size; ++n) {
      Request request;
      request.trace = traceOf(n);
      request.body.assign(900, 'b');
      data += request.text();
    }
    send(data);
  }
  // Sends the first `size` bytes of a request, or all of it if its body is not larger, as far as the send
  // buffer of this end accepts them without blocking.
  void sendWithoutWaiting(std::size_t size, std::size_t body = 0) {
    socket_.set_option(asio::socket_base::send_buffer_size(static_cast<int>(size)));
    Request request;
    request.body.assign(std::max(size, body), 'b');
    socket_.non_blocking(true);
    const std::string text = request.text().substr(0, body > size ? size : std::string::npos);
    error_code error;
    for (std::size_t at = 0; at < text.size() && !error;)
      at += socket_.write_some(asio::buffer(text) + at, error);
  }
  // All bytes that have been received.
  std::string got() {
    std::string text(socket_.available(), ' ');
    if (!text.empty()) asio::read(socket_, asio::buffer(text));
    return text;
  }
  void close(CloseKind how) {
    if (how == CloseKind::HalfClose) {
      socket_.shutdown(tcp::socket::shutdown_send);
      return;
    }
    if (how == CloseKind::Reset || how == CloseKind::ResetAfterData)
      socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }

 private:
  tcp::socket socket_;
};

class LeavesTest : public SidecarTest, public testing::WithParamInterface<std::tuple<CloseKind, bool>> {
 protected:
  CloseKind how() const { return std::get<0>(GetParam()); }
  bool mayCancel() const { return std::get<1>(GetParam()); }
  json patched() const {
    return {{"settings", {{"limits", {{"mayCancel", mayCancel()}, {"connectTimeout", 60'000'000}}}}}};
  }
  void settle() { pollAll(io); }
  // Publishes an endpoint list with this upstream only.
  void publishList(const std::string& address) {
    json endpointList = list(++generation, true);
    endpointList["instances"].push_back({{"instanceId", "s-1"},
                                         {"hostPort", address},
                                         {"zone", "oviedo"},
                                         {"lifecycle", "up"},
                                         {"weight", 1.0},
                                         {"startedAtMs", 0}});
    const auto before = watches();
    discovery.requests.back().reply(200, endpointList.dump());
    ASSERT_TRUE(wait([&] { return watches() > before; }));
  }
};

// The client leaves while the connection to the upstream is being established. When that succeeds later, the
// request must not be written to it.
TEST_P(LeavesTest, WhileTheUpstreamConnects) {
  FullListener node(io);
  start(0, patched());
  publishList(node.address());
  RawClient rawClient(io, sidecar->port());
  rawClient.send(Request().text());
  ASSERT_TRUE(wait([&] { return sidecar->comingUp() == 1; }));
  if (rawClient.sendsAhead(how())) {
    rawClient.sendAhead();
    settle();  // the sidecar reads ahead as much as it may
  }
  rawClient.close(how());
  const auto left = Clock::now();
  EXPECT_TRUE(wait([&] { return sidecar->comingUp() == 0; }));
  EXPECT_LT(Clock::now() - left, std::chrono::seconds(10));  // well before the connect time-out of 60 s
  node.acceptConnections();
  const Client next = client();
  Request request;
  request.trace = traceOf(7);
  next.send(request.text());
  ASSERT_TRUE(wait([&] { return node.got().find(traceOf(7)) != std::string::npos; }));
  EXPECT_EQ(node.got().find(Request().trace), std::string::npos);
}

// The connection is established and then the client leaves, both before the event loop runs. So the handler
// that would write the request runs before the one that detects the client's close.
TEST_P(LeavesTest, JustAfterTheUpstreamConnected) {
  FullListener node(io);
  start(0, patched());
  publishList(node.address());
  RawClient rawClient(io, sidecar->port());
  rawClient.send(Request().text());
  ASSERT_TRUE(wait([&] { return sidecar->comingUp() == 1; }));
  if (rawClient.sendsAhead(how())) {
    rawClient.sendAhead();
    settle();
  }
  // The connection's first packets were dropped as the accept queue was full; the kernel retransmits them
  // after 1 s.
  node.drainAcceptQueue();
  blockEventLoop(milliseconds(1500));
  rawClient.close(how());
  settle();
  EXPECT_EQ(sidecar->comingUp(), 0u);
  node.readConnections();
  const Client next = client();
  Request request;
  request.trace = traceOf(7);
  next.send(request.text());
  ASSERT_TRUE(wait([&] { return node.got().find(traceOf(7)) != std::string::npos; }));
  EXPECT_EQ(node.got().find(Request().trace), std::string::npos);
}

// The request waits in the decision module, as its only upstream is at its concurrency limit. The next
// client's request is sent instead.
TEST_P(LeavesTest, WhileNoUpstreamIsReady) {
  start(1, patched());
  const Client first = client();
  Request request;
  request.trace = traceOf(1);
  first.send(request.text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  RawClient rawClient(io, sidecar->port());
  rawClient.send(Request().text());
  settle();
  if (rawClient.sendsAhead(how())) {
    rawClient.sendAhead();
    settle();
  }
  ASSERT_EQ(arrived(), 1u);  // the request waits
  rawClient.close(how());
  // The sidecar detects the close and closes its end.
  settle();
  if (rawClient.sendsAhead(how())) {
    const auto until = Clock::now() + milliseconds(300);
    ASSERT_TRUE(wait([&] { return Clock::now() >= until; }));
  }
  upstreams[0]->requests[0].reply(200, "");
  ASSERT_TRUE(wait([&] { return first.answers() == 1; }));
  request.trace = traceOf(2);
  first.send(request.text());
  ASSERT_TRUE(wait([&] { return arrived() == 2; }));
  EXPECT_EQ(upstreams[0]->requests[1].message["X-Trace-Id"], traceOf(2));
}

// The client leaves when the upstream has received a part of the request: the last byte is never sent, so the
// request never runs.
TEST_P(LeavesTest, WhileItIsHalfWritten) {
  tcp::acceptor node(io, tcp::v4());
  node.set_option(asio::socket_base::receive_buffer_size(2048));
  node.bind({asio::ip::address_v4::loopback(), 0});
  node.listen();
  start(0, patched());
  publishList("127.0.0.1:" + std::to_string(node.local_endpoint().port()));
  std::optional<tcp::socket> upstreamSocket;
  node.async_accept([&](error_code, tcp::socket socket) { upstreamSocket = std::move(socket); });
  RawClient rawClient(io, sidecar->port());
  Request request;
  request.body.assign(60'000, 'b');
  rawClient.send(request.text());
  ASSERT_TRUE(wait([&] { return upstreamSocket && upstreamSocket->available() > 0; }));
  settle();
  if (rawClient.sendsAhead(how())) {
    rawClient.sendAhead();
    settle();
  }
  rawClient.close(how());
  // The upstream continues to read after the sidecar has had time to detect the close.
  const auto until = Clock::now() + milliseconds(300);
  ASSERT_TRUE(wait([&] { return Clock::now() >= until; }));
  std::string got;
  std::array<char, 65536> bytes{};
  bool ended = false;
  const std::function<void()> read = [&] {
    upstreamSocket->async_read_some(asio::buffer(bytes), [&](error_code error, std::size_t size) {
      got.append(bytes.data(), size);
      ended = static_cast<bool>(error);
      if (!error) read();
    });
  };
  read();
  EXPECT_TRUE(wait([&] { return ended; }));
  EXPECT_LT(got.size(), request.body.size());
}

// The client leaves during the upload of a large body under backpressure, since its upstream does not read:
// nothing of the request is sent later.
TEST_P(LeavesTest, WhileItsUploadHasBackpressure) {
  FullListener node(io);
  start(0, patched());
  publishList(node.address());
  RawClient rawClient(io, sidecar->port());
  Request request;
  request.body.assign(3'000'000, 'b');
  // More than the sidecar buffers for the request, and no more than the kernel can buffer in addition.
  rawClient.send(request.text().substr(0, 160'000));
  ASSERT_TRUE(wait([&] { return sidecar->comingUp() == 1; }));
  settle();
  rawClient.close(how());
  const auto left = Clock::now();
  EXPECT_TRUE(wait([&] { return sidecar->comingUp() == 0; }));
  EXPECT_LT(Clock::now() - left, std::chrono::seconds(10));
}

INSTANTIATE_TEST_SUITE_P(All, LeavesTest,
                         testing::Combine(testing::Values(CloseKind::Close, CloseKind::Reset,
                                                          CloseKind::HalfClose, CloseKind::CloseAfterData,
                                                          CloseKind::ResetAfterData),
                                          testing::Bool()));

class ClientCloseTest : public SidecarTest {};

// A client leaves before its request is read, as the event loop is blocked: the request must not be
// forwarded, although its bytes are read before the end of the connection.
TEST_F(ClientCloseTest, SendsNoRequestThatWasUnreadWhenItsClientLeft) {
  start(1);
  const Client usual = client();
  Request request;
  const auto serve = [&](const std::string& trace) {
    const auto before = arrived();
    const auto answers = usual.answers();
    request.trace = trace;
    usual.send(request.text());
    ASSERT_TRUE(wait([&] { return arrived() == before + 1; }));
    EXPECT_EQ(upstreams[0]->requests.back().message["X-Trace-Id"], trace);
    upstreams[0]->requests.back().reply(200, "");
    ASSERT_TRUE(wait([&] { return usual.answers() == answers + 1; }));
  };
  serve(traceOf(1));  // leaves an idle connection to the upstream open
  std::vector<std::unique_ptr<RawClient>> rawClients;
  for (int n = 0; n < 50; ++n) rawClients.push_back(std::make_unique<RawClient>(io, sidecar->port()));
  serve(traceOf(2));  // the sidecar has accepted the connections by then
  for (std::size_t n = 0; n < rawClients.size(); ++n) {
    request.trace = traceOf(100 + static_cast<int>(n));
    rawClients[n]->send(request.text());
    rawClients[n]->close(n % 2 == 0 ? CloseKind::Close : CloseKind::HalfClose);
  }
  blockEventLoop(milliseconds(30));
  serve(traceOf(3));
  serve(traceOf(4));
  EXPECT_EQ(arrived(), 4u);
}

// Hundreds of clients leave at once while their requests wait: none of these requests is sent to an upstream
// afterwards.
TEST_F(ClientCloseTest, SendsNoRequestOfABurstOfClientsThatLeave) {
  start(1, {{"limits", {{"sockets", 1024}}}});
  const Client first = client();
  Request request;
  request.trace = traceOf(1);
  first.send(request.text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  constexpr int kMany = 300;
  std::vector<std::unique_ptr<RawClient>> rawClients;
  for (int n = 0; n < kMany; ++n) {
    rawClients.push_back(std::make_unique<RawClient>(io, sidecar->port()));
    request.trace = traceOf(100 + n);
    rawClients.back()->send(request.text());
    io.restart();
    io.poll();
  }
  for (int n = 0; n < kMany; ++n)
    rawClients[static_cast<std::size_t>(n)]->close(n % 3 == 0 ? CloseKind::Reset : CloseKind::Close);
  // The sidecar serves this client after it has processed the events of the earlier ones.
  const Client last = client();
  last.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
  ASSERT_TRUE(wait([&] { return last.answers() == 1; }));
  for (int n = 0; n < 3; ++n) {
    upstreams[0]->requests.back().reply(200, "");
    const auto before = arrived();
    const Client next = client();
    request.trace = traceOf(1000 + n);
    next.send(request.text());
    ASSERT_TRUE(wait([&] { return arrived() > before; }));
  }
  const std::size_t sentOn = arrived() - 4;
  RecordProperty("left", kMany);
  RecordProperty("sent_on", static_cast<int>(sentOn));
  EXPECT_EQ(sentOn, 0u);
}

// A client sends more than the kernel buffers and then closes: the sidecar reads ahead within its memory
// budget, so that it receives the end of the stream.
TEST_F(ClientCloseTest, DetectsACloseBehindAMegabyte) {
  FullListener node(io);
  start(0, {{"settings", {{"limits", {{"connectTimeout", 60'000'000}}}}}});
  json endpointList = list(++generation, true);
  endpointList["instances"].push_back({{"instanceId", "s-1"},
                                       {"hostPort", node.address()},
                                       {"zone", "oviedo"},
                                       {"lifecycle", "up"},
                                       {"weight", 1.0},
                                       {"startedAtMs", 0}});
  const auto before = watches();
  discovery.requests.back().reply(200, endpointList.dump());
  ASSERT_TRUE(wait([&] { return watches() > before; }));
  RawClient rawClient(io, sidecar->port());
  rawClient.send(Request().text());
  ASSERT_TRUE(wait([&] { return sidecar->comingUp() == 1; }));
  rawClient.sendWithoutWaiting(1'000'000);
  rawClient.close(CloseKind::Close);
  const auto left = Clock::now();
  EXPECT_TRUE(wait([&] { return sidecar->comingUp() == 0; }));
  EXPECT_LT(Clock::now() - left, std::chrono::seconds(10));  // well before the connect time-out of 60 s
}

// A client closes during the upload of a large streamed body of which the upstream has received nothing:
// otherwise a connection that is established late, or a retry, would begin an attempt for a client that has
// left.
TEST_F(ClientCloseTest, DetectsACloseBehindPartOfAnUpload) {
  FullListener node(io);
  start(0, {{"settings", {{"limits", {{"connectTimeout", 60'000'000}}}}}});
  json endpointList = list(++generation, true);
  endpointList["instances"].push_back({{"instanceId", "s-1"},
                                       {"hostPort", node.address()},
                                       {"zone", "oviedo"},
                                       {"lifecycle", "up"},
                                       {"weight", 1.0},
                                       {"startedAtMs", 0}});
  const auto before = watches();
  discovery.requests.back().reply(200, endpointList.dump());
  ASSERT_TRUE(wait([&] { return watches() > before; }));
  RawClient rawClient(io, sidecar->port());
  rawClient.sendWithoutWaiting(1'500'000, 3'000'000);
  ASSERT_TRUE(wait([&] { return sidecar->comingUp() == 1; }));
  rawClient.close(CloseKind::Close);
  pollAll(io);
  node.acceptConnections();  // the kernel retransmits the connection's first packet after about a second
  const auto left = Clock::now();
  EXPECT_TRUE(wait([&] { return sidecar->comingUp() == 0; }));
  EXPECT_LT(Clock::now() - left, std::chrono::seconds(10));  // well before the connect time-out of 60 s
  const Client next = client();
  Request request;
  request.trace = traceOf(7);
  next.send(request.text());
  ASSERT_TRUE(wait([&] { return node.got().find(traceOf(7)) != std::string::npos; }));
  EXPECT_EQ(node.got().find(Request().trace), std::string::npos);
}

// A close behind more unread bytes than the budget allows can't be detected: the request gets an error
// answer, and is not sent to an upstream.
TEST_F(ServerTest, RejectsARequestWhoseClientsCloseCantBeDetected) {
  budget.emplace(0);
  serve();
  RawClient rawClient(io, server->port());
  rawClient.send(Request().text());
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  EXPECT_FALSE(server->isClientGone(receivedRequests[0].id));
  rawClient.sendWithoutWaiting(1'000'000);
  pollAll(io);
  EXPECT_TRUE(server->isClientGone(receivedRequests[0].id));
  EXPECT_EQ(rawClient.got(), "");
  pollAll(io);
  EXPECT_EQ(rawClient.got().substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(finishedRequests, std::vector{receivedRequests[0].id});
}

// A client that sends ahead no more than can be read counts as connected.
TEST_F(ServerTest, KeepsARequestWhoseClientSendsAheadWithinTheLimit) {
  budget.emplace(0);
  serve();
  RawClient rawClient(io, server->port());
  rawClient.send(Request().text());
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  rawClient.sendAhead(10'000);
  pollAll(io);
  EXPECT_FALSE(server->isClientGone(receivedRequests[0].id));
}

class IsClientGoneTest : public ServerTest, public testing::WithParamInterface<CloseKind> {};

// isClientGone() detects a client that has left before the event loop has handled the socket's event.
TEST_P(IsClientGoneTest, DetectsACloseBeforeTheEventLoopDoes) {
  serve();
  RawClient rawClient(io, server->port());
  rawClient.send(Request().text());
  ASSERT_TRUE(wait([&] { return receivedRequests.size() == 1; }));
  EXPECT_FALSE(server->isClientGone(receivedRequests[0].id));
  rawClient.close(GetParam());
  EXPECT_TRUE(server->isClientGone(receivedRequests[0].id));
  EXPECT_TRUE(finishedRequests.empty()) << "the callback must not run within the call";
  pollAll(io);
  EXPECT_EQ(finishedRequests, std::vector{receivedRequests[0].id});
  EXPECT_TRUE(server->isClientGone(receivedRequests[0].id)) << "the request has finished";
}

INSTANTIATE_TEST_SUITE_P(All, IsClientGoneTest,
                         testing::Values(CloseKind::Close, CloseKind::Reset, CloseKind::HalfClose));

// Clients leave while their requests are in the admission queue, and the event loop does not run until all
// have left: the queued requests must not be sent to an upstream.
TEST_F(ClientCloseTest, SendsNoRequestWhoseClientLeftTheAdmissionQueue) {
  upstreams.push_back(std::make_unique<Peer>(io));
  states.assign(1, "up");
  sidecar = std::make_unique<Sidecar>(io, configure({{"settings", {{"limits", {{"maxStreams", 1000}}}}}}),
                                      withQueue(1));
  ASSERT_TRUE(wait([this] { return watches() > 0; }));
  constexpr int kMany = 60;
  std::vector<std::unique_ptr<RawClient>> rawClients;
  for (int n = 0; n < kMany; ++n) rawClients.push_back(std::make_unique<RawClient>(io, sidecar->port()));
  pollAll(io);
  Request request;
  request.qos = "consulta";
  request.method = "GET";
  request.body.clear();
  for (int n = 0; n < kMany; ++n) {
    request.trace = traceOf(n);
    rawClients[static_cast<std::size_t>(n)]->send(request.text());
  }
  // All requests have been read, and one or two of them forwarded.
  io.restart();
  while (arrived() == 0) io.run_one_for(milliseconds(50));
  const std::size_t before = arrived();
  ASSERT_LT(before, 20u);
  for (int n = 0; n < kMany; ++n)
    rawClients[static_cast<std::size_t>(n)]->close(n % 2 == 0 ? CloseKind::Close : CloseKind::HalfClose);
  // Requests that were written before may still be in transit.
  const Client last = client();
  last.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
  ASSERT_TRUE(wait([&] { return last.answers() == 1; }));
  pollAll(io);
  RecordProperty("sent_on", static_cast<int>(arrived() - before));
  EXPECT_LE(arrived(), before + 2);
}

// Requests in the admission queue are not forwarded after their clients have left.
TEST_F(ServerTest, ForwardsNoRequestWhoseClientLeftTheAdmissionQueue) {
  serve(withQueue(1));
  constexpr std::size_t kMany = 100;
  std::vector<std::unique_ptr<RawClient>> rawClients;
  for (std::size_t n = 0; n < kMany; ++n)
    rawClients.push_back(std::make_unique<RawClient>(io, server->port()));
  ASSERT_TRUE(wait([&] { return connectionCount() == kMany; }));
  Request request;
  for (std::size_t n = 0; n < kMany; ++n) {
    request.trace = traceOf(static_cast<int>(n));
    rawClients[n]->send(request.text());
  }
  ASSERT_TRUE(wait([&] { return server->admissionController().queueSize() > kMany / 2; }));
  const std::size_t before = receivedRequests.size();
  for (std::size_t n = 0; n < kMany; ++n)
    rawClients[n]->close(n % 2 == 0 ? CloseKind::Close : CloseKind::Reset);
  pollAll(io);
  // Allows for the current turn, and one more turn before the event loop handles the sockets' events.
  EXPECT_LE(receivedRequests.size(), before + 3);
  EXPECT_EQ(server->admissionController().queueSize(), 0u);
  EXPECT_EQ(connectionCount(), 0u);
}

}  // namespace
}  // namespace ivypost
