// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/tcp_state.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace ivypost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

TEST(TcpState, ReportsTheKernelsStateAndNothingOnAnError) {
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket server(io), client(io);
  client.connect(acceptor.local_endpoint());
  acceptor.accept(server);
  EXPECT_FALSE(admission::hasPeerClosed(server.native_handle()));
  EXPECT_TRUE(admission::isAllAcknowledged(server.native_handle()));
  asio::write(client, asio::buffer("x", 1));
  client.shutdown(tcp::socket::shutdown_send);
  server.wait(tcp::socket::wait_read);
  EXPECT_TRUE(admission::hasPeerClosed(server.native_handle()));
  // On an error each function returns the value for which its caller takes no action.
  EXPECT_FALSE(admission::hasPeerClosed(-1));
  EXPECT_EQ(admission::timeSinceLastData(-1).count(), 0);
  EXPECT_FALSE(admission::isAllAcknowledged(-1));
}

}  // namespace
}  // namespace ivypost
