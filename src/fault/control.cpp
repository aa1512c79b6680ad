// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/control.h"

#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "fault/plan_reader.h"

namespace ivypost::fault {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Local = asio::local::stream_protocol;
using nlohmann::json;

json carryOut(Proxy& proxy, const json& command) {
  const auto what = command.at("do").get<std::string>();
  if (what == "apply") {
    Plan plan = command.contains("file") ? readPlan(command.at("file").get<std::string>())
                                         : parsePlan(command.at("plan").get<std::string>(), "plan");
    const std::size_t rules = plan.rules.size();
    proxy.apply(std::move(plan));
    return {{"ok", true}, {"rules", rules}};
  }
  if (what == "clear") {
    proxy.apply({});
    return {{"ok", true}};
  }
  if (what == "command") {
    proxy.command(command.at("name").get<std::string>());
    return {{"ok", true}};
  }
  if (what == "list") {
    json connections = json::array();
    for (const auto& open : proxy.list(kMaxListed)) {
      connections.push_back({{"connection", open.number},
                             {"request_bytes", open.requestBytes},
                             {"answer_bytes", open.answerBytes},
                             {"held", open.held}});
    }
    return {{"ok", true}, {"connections", connections}};
  }
  if (what == "counts") {
    const auto counts = proxy.counts();
    return {{"ok", true},
            {"accepted", counts.accepted},
            {"open", counts.open},
            {"unreachable", counts.unreachable},
            {"request_bytes", counts.requestBytes},
            {"answer_bytes", counts.answerBytes},
            {"faults", counts.faults}};
  }
  throw std::invalid_argument("'" + what.substr(0, 40) +
                              "' is no command; allowed is apply, clear, command, list, counts");
}

}  // namespace

std::string answerCommand(Proxy& proxy, std::string_view line) {
  json answer;
  try {
    answer = carryOut(proxy, json::parse(line));
  } catch (const std::exception& error) {
    answer = {{"ok", false}, {"error", error.what()}};
  }
  // What came in may be no UTF-8 and stand in an error.
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

class Control::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Control& owner, Local::socket socket)
      : owner_(&owner), socket_(std::move(socket)), buffer_(kMaxCommand) {}

  void read() {
    asio::async_read_until(socket_, buffer_, '\n',
                           [self = shared_from_this()](error_code error, std::size_t size) {
                             if (self->owner_ == nullptr) return;
                             if (error) return self->close();
                             const auto* const first = static_cast<const char*>(self->buffer_.data().data());
                             self->answer_ = answerCommand(self->owner_->proxy_, {first, size}) + "\n";
                             self->buffer_.consume(size);
                             asio::async_write(self->socket_, asio::buffer(self->answer_),
                                               [self](error_code failed, std::size_t) {
                                                 if (self->owner_ == nullptr) return;
                                                 if (failed) return self->close();
                                                 self->read();
                                               });
                           });
  }

  void close() {
    const auto self = shared_from_this();
    error_code ignored;
    socket_.close(ignored);
    std::exchange(owner_, nullptr)->sessions_.erase(self);
  }

 private:
  Control* owner_;
  Local::socket socket_;
  asio::streambuf buffer_;
  std::string answer_;
};

Control::Control(asio::io_context& io, const std::string& path, Proxy& proxy)
    : proxy_(proxy), path_(path), acceptor_(io) {
  acceptor_.open();
  error_code error;
  acceptor_.bind(path, error);
  if (error == asio::error::address_in_use) {
    // Left over, if nobody answers there.
    Local::socket other(io);
    other.connect(path, error);
    if (!error) throw boost::system::system_error(asio::error::address_in_use, "bind");
    ::unlink(path.c_str());
    acceptor_.bind(path);
  } else if (error) {
    throw boost::system::system_error(error, "bind");
  }
  acceptor_.listen();
  accept();
}

// NOLINTNEXTLINE(bugprone-exception-escape): only want of memory can throw here, and may end the program.
Control::~Control() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close();
  ::unlink(path_.c_str());
}

void Control::accept() {
  acceptor_.async_accept([this](error_code error, Local::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && sessions_.size() < kMaxControllers) {
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->read();
    }
    accept();
  });
}

}  // namespace ivypost::fault
