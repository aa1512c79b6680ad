// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Commands to a running proxy over a Unix socket: one line of JSON each, one line of JSON in answer.
//
//   {"do":"apply","plan":"<TOML>"} or {"do":"apply","file":"PATH"}   {"ok":true,"rules":2}
//   {"do":"clear"}                                                   {"ok":true}
//   {"do":"command","name":"NAME"}                                   {"ok":true}
//   {"do":"list"}                                                    {"ok":true,"connections":[...]}
//   {"do":"counts"}                                                  {"ok":true,"accepted":12,...}
//
// Anything else: {"ok":false,"error":"one line"}, and nothing has changed.
#ifndef IVYPOST_FAULT_CONTROL_H_
#define IVYPOST_FAULT_CONTROL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "fault/proxy.h"

namespace ivypost::fault {

constexpr std::size_t kMaxCommand = 1024UL * 1024;  // bytes of a line; a longer one ends its connection
constexpr std::size_t kMaxControllers = 16;         // connections; one more is closed at once
constexpr std::size_t kMaxListed = 1000;            // connections that `list` tells of

// The answer to one command, without a line end. Never throws.
std::string answerCommand(Proxy& proxy, std::string_view line);

class Control {
 public:
  // Listens at this path, replacing a socket that is left over there; throws boost::system::system_error.
  // The proxy must outlive it.
  Control(boost::asio::io_context& io, const std::string& path, Proxy& proxy);
  ~Control();  // NOLINT(bugprone-exception-escape): see there
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

 private:
  class Session;
  void accept();

  Proxy& proxy_;
  const std::string path_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
};

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_CONTROL_H_
