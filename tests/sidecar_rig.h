// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Fixtures for tests of the sidecar over loopback sockets, on one event loop: upstreams and a discovery
// service whose answers are given by the test, and clients. Tests wait for events, never for a fixed time.
#ifndef IVYPOST_SIDECAR_RIG_H_
#define IVYPOST_SIDECAR_RIG_H_

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sidecar.h"

namespace ivypost {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;
using nlohmann::json;

// Runs the event loop until the condition holds. Returns false if it does not hold within 30 s.
inline bool until(asio::io_context& io, const std::function<bool()>& condition) {
  const auto end = Clock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (Clock::now() > end) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

// An HTTP server that stores the requests it receives; the test answers each of them.
class Peer {
 public:
  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    void read(Peer& peer) {
      message = {};
      http::async_read(socket, buffer, message, [self = shared_from_this(), &peer](error_code error, auto) {
        if (error) {
          self->closed = true;
          return;
        }
        peer.requests.push_back({self, self->message});
        if (peer.onRequest) peer.onRequest(peer.requests.back());
        self->read(peer);
      });
    }
    tcp::socket socket;
    beast::flat_buffer buffer;
    Message message;
    bool closed = false;
  };

  struct Exchange {
    std::shared_ptr<Connection> connection;
    Message message;
    void reply(unsigned status, const std::string& body, const std::string& headers = "") const {
      raw("HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n" + headers + "\r\n" + body);
    }
    void raw(const std::string& bytes) const { asio::write(connection->socket, asio::buffer(bytes)); }
    void drop() const { connection->socket.close(); }
  };

  explicit Peer(asio::io_context& io)
      : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())) {
    accept();
  }

  const std::string& address() const { return address_; }
  void refuseConnections() { acceptor_.close(); }
  void dropAll() {
    for (const auto& connection : connections) connection->socket.close();
  }
  int open() const {
    int count = 0;
    for (const auto& connection : connections) count += connection->closed ? 0 : 1;
    return count;
  }

  std::deque<Exchange> requests;
  std::vector<std::shared_ptr<Connection>> connections;
  std::function<void(Exchange&)> onRequest;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      connections.push_back(std::make_shared<Connection>(std::move(socket)));
      connections.back()->read(*this);
      accept();
    });
  }

  tcp::acceptor acceptor_;
  std::string address_;
};

// A client's connection to the sidecar.
class Client {
 public:
  Client(asio::io_context& io, std::uint16_t port) : connection_(std::make_shared<Connection>(io)) {
    connection_->socket.connect({asio::ip::address_v4::loopback(), port});
    read(connection_);
  }

  void send(const std::string& bytes) const { asio::write(connection_->socket, asio::buffer(bytes)); }
  void close() const { connection_->socket.close(); }
  std::size_t answers() const { return connection_->answers.size(); }
  const http::response<http::string_body>& answer(std::size_t n) const { return connection_->answers.at(n); }
  bool closed() const { return connection_->closed; }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    beast::flat_buffer buffer;
    http::response<http::string_body> message;
    std::deque<http::response<http::string_body>> answers;
    bool closed = false;
  };

  static void read(const std::shared_ptr<Connection>& connection) {
    connection->message = {};
    http::async_read(connection->socket, connection->buffer, connection->message,
                     [connection](error_code error, auto) {
                       connection->closed = static_cast<bool>(error);
                       if (error) return;
                       connection->answers.push_back(connection->message);
                       read(connection);
                     });
  }

  std::shared_ptr<Connection> connection_;
};

// The fields of a client's request; text() serializes them.
struct Request {
  std::string trace = "00000000000000a1";
  std::string qos = "cambio";
  std::string path;  // derived from the class if empty
  std::string method = "POST";
  std::string body = "x";
  int expiresInMs = 20000;
  std::string headers;
  std::string text() const {
    return method + " " + (path.empty() ? "/" + qos + "/7" : path) +
           " HTTP/1.1\r\nHost: service.internal\r\nX-Qos: " + qos +
           "\r\nX-Customer: nalon\r\nX-Trace-Id: " + trace +
           "\r\nX-Expires-In-Ms: " + std::to_string(expiresInMs) + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

class SidecarTest : public testing::Test {
 protected:
  SidecarTest() : discovery(io) {
    // Requests for the complete list are answered at once; watches are answered by the test.
    discovery.onRequest = [this](Peer::Exchange& call) {
      if (call.message.target() == "/v1/endpoints") call.reply(200, list(generation, true).dump());
    };
  }

  // Starts the sidecar with `count` upstreams in its initial endpoint list.
  void start(int count, const json& patch = json::object()) {
    for (int n = 0; n < count; ++n) upstreams.push_back(std::make_unique<Peer>(io));
    states.assign(upstreams.size(), "up");
    sidecar = std::make_unique<Sidecar>(io, configure(patch));
    ASSERT_TRUE(wait([this] { return watches() > 0; }));
  }

  Config configure(const json& patch) const {
    for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"}) unsetenv(name);
    json file = {
        {"name", "n1"},
        {"listen", "127.0.0.1:0"},
        {"discovery", discovery.address()},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"sockets", 256}}},
        {"known", list(generation, true)},
        {"settings",
         {{"balancers", 1},
          {"classes",
           {{{"name", "reserva"},
             {"aim", 10000000},
             {"deadline", 30000000},
             {"semantics", "guarded"},
             {"group", "cell"},
             {"repeatWindow", 30000000}},
            {{"name", "cambio"}, {"aim", 10000000}, {"deadline", 30000000}, {"semantics", "single_shot"}},
            {{"name", "consulta"}, {"aim", 10000000}, {"deadline", 30000000}, {"semantics", "free"}}}},
          {"projects", {{{"name", "nalon"}, {"share", 1.0}}}},
          {"limits",
           {{"connectTimeout", 5000000},
            {"idleClose", 30000000},
            {"maxAttempts", 3},
            {"maxStreams", 1},
            {"mayCancel", true},
            {"probing", true}}},
          {"report", {{"how", "probe"}, {"columns", {"failed_ps", "svc_ms", "served_ps", "busy_reqs"}}}},
          {"zones", {"oviedo"}},
          {"locality", "oviedo"}}}};
    file.merge_patch(patch);
    return parseConfig(file.dump());
  }

  json list(int version, bool isComplete) const {
    json instances = json::array();
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
      instances.push_back({{"instanceId", "s-" + std::to_string(n)},
                           {"hostPort", upstreams[n]->address()},
                           {"zone", "oviedo"},
                           {"cell", 0},
                           {"lifecycle", states[n]},
                           {"weight", 1.0},
                           {"startedAtMs", 0}});
    }
    return {{"generation", version}, {"reset", isComplete}, {"instances", instances}};
  }

  bool wait(const std::function<bool()>& condition) { return until(io, condition); }

  Client client() { return {io, sidecar->port()}; }

  std::size_t watches() const {
    std::size_t count = 0;
    for (const auto& call : discovery.requests)
      count += call.message.target().find("index=") != beast::string_view::npos;
    return count;
  }

  std::size_t arrived() const {
    std::size_t count = 0;
    for (const auto& upstream : upstreams) count += upstream->requests.size();
    return count;
  }

  // The first upstream that has received a request, or the last upstream if none has.
  Peer& usedUpstream() const {
    for (const auto& upstream : upstreams) {
      if (!upstream->requests.empty()) return *upstream;
    }
    return *upstreams.back();
  }

  asio::io_context io;
  Peer discovery;
  int generation = 41;
  std::vector<std::unique_ptr<Peer>> upstreams;
  std::vector<std::string> states;
  std::unique_ptr<Sidecar> sidecar;
};

}  // namespace ivypost

#endif  // IVYPOST_SIDECAR_RIG_H_
