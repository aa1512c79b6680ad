// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A plain HTTP/1.1 server for stand-ins: keep-alive, one request at a time on a connection, whatever order
// the answers of different connections take. Listens on several addresses, each with a tag, so that whoever
// comes can be told apart. Everything runs on the io_context's one thread.
#ifndef IVYPOST_STANDINS_HTTP_SERVER_H_
#define IVYPOST_STANDINS_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "standins/clock.h"

namespace ivypost::standins {

class HttpServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  class Connection;

  // One request and its answer. Whoever holds it may answer once, at any time; after the connection has ended
  // that is ignored.
  struct Exchange {
    Request request;
    std::string tag;
    Micros firstByteAt = 0, wholeAt = 0;
    std::function<void()> onClosed;  // the connection ended before the answer was written
    std::weak_ptr<Connection> connection;

    void reply(unsigned status, const std::string& body, const std::string& headers = "");
    void replyRaw(std::string bytes, bool keepAlive);  // any bytes in place of an answer
    void drop(bool reset);
    std::string header(const char* name) const;
  };
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  // `idle`: a connection that stands idle for so long is closed; 0: never. Bodies of up to 1 MiB are taken.
  HttpServer(boost::asio::io_context& io, Handler handler, Micros idle = 0);
  ~HttpServer();  // NOLINT(bugprone-exception-escape): see there
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // A port that the system chooses on 127.0.0.1.
  boost::asio::ip::tcp::endpoint listen(const std::string& tag);
  // No longer listens, so that connects are refused, until listenAgain() at the same addresses.
  void stopListening();
  void listenAgain();
  // Ends all connections, by RST or FIN.
  void dropAll(bool reset);

  std::size_t connections() const { return connections_.size(); }
  std::uint64_t accepted() const { return accepted_; }

 private:
  struct Door {
    std::string tag;
    boost::asio::ip::tcp::endpoint address;
    // Bound and never listening: keeps the port ours while nobody listens there.
    std::shared_ptr<boost::asio::ip::tcp::socket> keeper;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  };
  void open(Door& door);
  void accept(const std::string& tag, const std::shared_ptr<boost::asio::ip::tcp::acceptor>& acceptor);

  boost::asio::io_context& io_;
  Handler handler_;
  const Micros idle_;
  std::vector<Door> doors_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::uint64_t accepted_ = 0;
};

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_HTTP_SERVER_H_
