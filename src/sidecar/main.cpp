// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Starts the sidecar, reads its configuration anew at SIGHUP, and ends it at SIGTERM or SIGINT.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>

#include "config.h"
#include "sidecar.h"

namespace {

// Guards against a file that is half written or wrong: what the sidecar has stays.
void reload(ivypost::Sidecar& sidecar) {
  try {
    sidecar.reload(ivypost::readConfig());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the configuration stays as it was: %s\n", error.what());
  }
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    ivypost::Sidecar sidecar(io, ivypost::readConfig());
    const std::function<void()> listen = [&] {
      signals.async_wait([&](const boost::system::error_code& cancelled, int signal) {
        if (cancelled) return;
        if (signal == SIGHUP) {
          reload(sidecar);
        } else {
          sidecar.stop([&io] { io.stop(); });
        }
        listen();
      });
    };
    listen();
    std::fprintf(stderr, "ready on port %u\n", sidecar.port());
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivypost: %s\n", error.what());
    return 1;
  }
}
