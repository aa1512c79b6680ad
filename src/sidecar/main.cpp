// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Starts the sidecar and ends it at SIGTERM or SIGINT.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "config.h"
#include "sidecar.h"

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    ivypost::Sidecar sidecar(io, ivypost::readConfig());
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& cancelled, int) {
      if (!cancelled) sidecar.stop([&io] { io.stop(); });
    });
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivypost: %s\n", error.what());
    return 1;
  }
}
