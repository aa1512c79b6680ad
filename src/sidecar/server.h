// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The client side: takes requests from the application, checks them, and gives each exactly one answer.
#ifndef IVYPOST_SERVER_H_
#define IVYPOST_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>

#include "admission/door.h"
#include "clock.h"
#include "config.h"

namespace ivypost {

using Message = boost::beast::http::request<boost::beast::http::string_body>;

// A request that passed all checks.
struct ClientRequest {
  orchiddrum::RequestId id = 0;  // the server's own number, never given twice; a client's may come again
  std::uint32_t requestClass = 0;
  std::optional<std::uint32_t> tenant;
  std::optional<std::uint64_t> key;
  std::optional<Micros> work;
  bool resent = false;
  std::uint64_t trace = 0;  // the client's X-Trace-Id
  Micros expiresIn = 0;
  Clock::time_point deadline;
  std::shared_ptr<const Message> message;
};

struct Answer {
  unsigned status = 502;
  std::string body;
  std::string contentType = "text/plain";
  Micros retryAfter = 0;  // 0: no advice
};

class Server {
 public:
  struct Callbacks {
    std::function<void(ClientRequest)> taken;
    // The client has left, or the deadline passed with no answer and the server gave one itself.
    std::function<void(orchiddrum::RequestId)> over;
  };

  // Throws boost::system::system_error when it cannot listen.
  Server(boost::asio::io_context& io, const Config& config, Callbacks callbacks);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  // Gives the request its final answer. Ignored when the request is over.
  void answer(orchiddrum::RequestId id, Answer answer);

  // Takes what still comes for a while, answers all that was taken, then calls back once.
  void stop(std::function<void()> stopped);

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Session;

  void accept();
  void admit(boost::asio::ip::tcp::socket socket);
  bool makeRoom();
  void acceptLater();
  void waitForRoom();
  void roomMade();
  void closeAcceptor();
  // The request is over. False if it was before.
  bool endRequest(const Session& session);
  void forgetTraces();
  void finish(Clock::time_point lingerUntil, Clock::time_point stopBy);

  // What the request reads as, or the answer it gets at once.
  // `unread`: since its last byte came.
  std::variant<ClientRequest, Answer> check(Message message, std::chrono::milliseconds unread);
  Answer plain(unsigned status, std::string text) const;
  bool full() const;

  boost::asio::io_context& io_;
  const Config& config_;
  Callbacks callbacks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  admission::Door door_;
  bool waitsForRoom_ = false;  // accepting does
  bool stopping_ = false;
  std::function<void()> stopped_;
  admission::VisitorId lastVisitor_ = 0;
  std::unordered_map<admission::VisitorId, std::shared_ptr<Session>> sessions_;
  orchiddrum::RequestId lastId_ = 0;
  std::unordered_map<orchiddrum::RequestId, std::shared_ptr<Session>> open_;
  std::unordered_set<std::uint64_t> traces_;  // X-Trace-Ids that are open or were lately
  std::deque<std::pair<Clock::time_point, std::uint64_t>> pastTraces_;  // the longest over first
};

}  // namespace ivypost

#endif  // IVYPOST_SERVER_H_
