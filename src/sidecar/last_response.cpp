// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "last_response.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kDiscardSize = 16UL * 1024;
// The limit of discarded bytes: the most unread bytes that the kernel can hold for a connection.
constexpr std::size_t kMaxUnreadSize = 8UL * 1024 * 1024;

}  // namespace

void sendLastResponse(tcp::socket& socket, const std::string& text) {
  error_code ignored;
  if (!text.empty()) socket.write_some(asio::buffer(text), ignored);
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, kDiscardSize> dropped;
  error_code error;
  for (std::size_t left = kMaxUnreadSize; left > 0 && !error;) {
    const std::size_t size = socket.receive(asio::buffer(dropped), 0, error);
    left -= std::min(left, size);
  }
}

}  // namespace ivypost
