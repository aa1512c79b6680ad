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
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "admission/door.h"
#include "admission/trace_ids.h"
#include "client_request.h"
#include "clock.h"
#include "config.h"
#include "deadlines.h"
#include "gate.h"
#include "lifecycle/lifecycle.h"
#include "request_form.h"

namespace ivypost {

struct Answer {
  unsigned status = 502;
  std::string body;
  std::string contentType = "text/plain";
  Micros retryAfter = 0;  // 0: no advice
  // The body if it comes in pieces, in place of `body`.
  std::shared_ptr<relay::Pipe> stream;
  std::optional<std::uint64_t> length;  // of it; none: unknown
};

class Server {
 public:
  struct Callbacks {
    std::function<void(ClientRequest)> taken;
    // The client has left, or the deadline passed with no answer and the server gave one itself.
    std::function<void(balancer::RequestId)> over;
    // What GET /status/level and /status/peers answer, as JSON; asked only where the operator has switched it
    // on.
    std::function<std::string()> status, peers;
    // All that was taken is answered, or has to be left, and the lifecycle lets the process end.
    std::function<void()> ended;
  };

  // Listens, and accepts when follow() says so. Throws boost::system::system_error when it cannot listen, and
  // what Gate throws.
  // `budget` is for requests whose bodies are large.
  Server(boost::asio::io_context& io, const Config& config, const op::File& file, relay::Budget& budget,
         Callbacks callbacks);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  // Gives the request its final answer. Ignored when the request is over.
  void answer(balancer::RequestId id, Answer answer);

  // Whether nobody waits for this request's answer any more: it is over, or the client has closed or reset
  // its connection or ended its sending, as the kernel knows it now (one system call). A connection that was
  // left is closed soon after, from the loop, which ends the request.
  bool isClientGone(balancer::RequestId id);

  // What holds from now on.
  void follow(const lifecycle::Effects& effects);

  // Takes the operator's file over; gate().check() has to have passed.
  void adopt(const op::File& file);
  Gate& gate() { return gate_; }
  const Gate& gate() const { return gate_; }
  const admission::Door& door() const { return door_; }
  // Requests that are open, of the most that may be; 0 without a limit.
  double openShare() const;

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
  void tend();

  // What the request reads as, or the answer it gets at once.
  // `unread`: since its last byte came.
  std::variant<ClientRequest, Answer> check(Message message, std::chrono::milliseconds unread);
  Answer plain(unsigned status, std::string text) const;
  Answer flawOfBody(const boost::system::error_code& error) const;
  Answer refusal(std::string text) const;
  // From the head alone: the refusal of a request whose body need not be read.
  std::optional<Answer> refusesFromHead(const RequestHead& head, std::chrono::milliseconds unread) const;
  void over(balancer::RequestId id);
  bool full() const;

  boost::asio::io_context& io_;
  const Config& config_;
  relay::Budget& budget_;
  Callbacks callbacks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_, tendTimer_;
  const std::shared_ptr<Deadlines> deadlines_;  // of the sessions
  admission::Door door_;
  Gate gate_;
  op::File::Status statusOn_;
  lifecycle::Effects effects_;  // nothing yet
  bool accepting_ = false;      // the next connection is waited for
  int failedAccepts_ = 0;       // in a row
  bool waitsForRoom_ = false;   // accepting does
  bool tending_ = false;
  admission::VisitorId lastVisitor_ = 0;
  std::unordered_map<admission::VisitorId, std::shared_ptr<Session>> sessions_;
  balancer::RequestId lastId_ = 0;
  std::unordered_map<balancer::RequestId, std::shared_ptr<Session>> open_;
  admission::TraceIds traces_;
};

}  // namespace ivypost

#endif  // IVYPOST_SERVER_H_
