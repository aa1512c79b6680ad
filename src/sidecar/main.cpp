// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Starts the sidecar, reads its configuration and the operator's file anew at SIGHUP, and ends it at SIGTERM
// or SIGINT.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "config.h"
#include "etcd_source.h"
#include "operator/file.h"
#include "sidecar.h"

namespace {

// Blocks of this size and more go back to the system when they are freed.
constexpr int kLargeBlock = 128 * 1024;

ivypost::op::File readFile(const std::string& path) {
  return path.empty() ? ivypost::op::File{} : ivypost::op::read(path);
}

// Guards against a file that is half written or wrong: what the sidecar has stays.
void reload(ivypost::Sidecar& sidecar, const std::string& path) {
  try {
    const ivypost::Config config = ivypost::readConfig();
    sidecar.reload(config, readFile(path));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the configuration stays as it was: %s\n", error.what());
  }
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // Large bodies come and go. Left to itself the C library keeps what they held for the next ones, in pieces
  // that fit none of them, and the process grows over its limit.
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  mallopt(M_TRIM_THRESHOLD, kLargeBlock);
  CLI::App app("A sidecar that passes an application's requests to booking nodes. Configured by GW_CONFIG.");
  std::string path;
  bool example = false;
  app.add_option("--operator", path, "the operator's own file, in TOML");
  app.add_flag("--operator-example", example, "prints that file with all keys at their defaults, and ends");
  CLI11_PARSE(app, argc, argv);
  try {
    if (example) {
      std::fputs(ivypost::op::example().c_str(), stdout);
      return 0;
    }
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    ivypost::Config config = ivypost::readConfig();
    for (const std::string& remark : config.site.remarks) std::fprintf(stderr, "%s\n", remark.c_str());
    ivypost::Sidecar sidecar(io, std::move(config), readFile(path), ivypost::etcdSource());
    const std::function<void()> listen = [&] {
      signals.async_wait([&](const boost::system::error_code& cancelled, int signal) {
        if (cancelled) return;
        if (signal == SIGHUP) {
          reload(sidecar, path);
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
