// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests over loopback sockets. Tests with injected faults of system calls: tests/system_call_faults.
#include "network/nonblocking_io.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

namespace ivypost::network {
namespace {

namespace asio = boost::asio;

class NonblockingIoTest : public testing::Test {
 protected:
  NonblockingIoTest() : near(io), far(io) {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
    near.non_blocking(true);
    far.non_blocking(true);
  }

  // Reads all bytes that have arrived at the far end.
  std::string received() {
    std::string text;
    std::array<char, 4096> bytes{};
    for (error_code error; !error;) {
      const std::size_t size = receiveSome(far, asio::buffer(bytes), error);
      text.append(bytes.data(), size);
    }
    return text;
  }

  asio::io_context io;
  tcp::socket near, far;
};

TEST_F(NonblockingIoTest, ReadOfNothingIsTransient) {
  std::array<char, 1> bytes{};
  error_code error;
  EXPECT_EQ(receiveSome(near, asio::buffer(bytes), error), 0U);
  EXPECT_EQ(error, asio::error::would_block);
  EXPECT_TRUE(isTransient(error));
}

TEST_F(NonblockingIoTest, ReadBehindTheEndIsNotTransient) {
  far.close();
  std::array<char, 1> bytes{};
  error_code error;
  near.wait(tcp::socket::wait_read);
  EXPECT_EQ(receiveSome(near, asio::buffer(bytes), error), 0U);
  EXPECT_EQ(error, asio::error::eof);
  EXPECT_FALSE(isTransient(error));
}

TEST_F(NonblockingIoTest, WritesASmallTextFromWithin) {
  std::optional<error_code> done;
  writeAll(near, "abc", [&](const error_code& error) { done = error; });
  EXPECT_EQ(done, error_code());
  far.wait(tcp::socket::wait_read);
  EXPECT_EQ(received(), "abc");
}

// The text is larger than the kernel's buffers: the write continues while the other side reads.
TEST_F(NonblockingIoTest, WritesALargeTextAsItIsRead) {
  std::string text(32UL * 1024 * 1024, 'x');
  text.back() = 'y';
  std::optional<error_code> done;
  writeAll(near, text, [&](const error_code& error) { done = error; });
  EXPECT_EQ(done, std::nullopt);
  std::string got;
  while (got.size() < text.size()) {
    const std::string more = received();
    got += more;
    io.restart();
    if (more.empty()) io.run_one();
    io.poll();
  }
  EXPECT_EQ(done, error_code());
  EXPECT_TRUE(got == text);
}

TEST_F(NonblockingIoTest, WriteToAClosedSocketTellsItsError) {
  near.close();
  std::optional<error_code> done;
  writeAll(near, "abc", [&](const error_code& error) { done = error; });
  EXPECT_EQ(done, asio::error::bad_descriptor);
}

// The socket is ready already, so that a wait for readiness would return at once and the loop would spin.
TEST_F(NonblockingIoTest, AfterAShortageTheCallIsMadeAgainAfterAPause) {
  const auto begin = std::chrono::steady_clock::now();
  std::optional<error_code> done;
  waitToRetry(near, tcp::socket::wait_write, asio::error::no_memory,
              [&](const error_code& error) { done = error; });
  EXPECT_EQ(done, std::nullopt);
  io.run();
  EXPECT_EQ(done, error_code());
  EXPECT_GE(std::chrono::steady_clock::now() - begin, kShortagePause);
}

}  // namespace
}  // namespace ivypost::network
