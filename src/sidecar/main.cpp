// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Starts the sidecar, reloads its configuration and the operator's file on SIGHUP, and stops it on SIGTERM or
// SIGINT.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "config.h"
#include "configuration/operator_file.h"
#include "etcd_source.h"
#include "sidecar.h"

namespace {

// Bytes. The C library returns blocks of at least this size to the system when they are freed.
constexpr int kLargeBlock = 128 * 1024;

ivypost::configuration::OperatorFile readFile(const std::string& path) {
  return path.empty() ? ivypost::configuration::OperatorFile{}
                      : ivypost::configuration::readOperatorFile(path);
}

// A configuration that can't be read is retried at this interval, with this many attempts in all: the file
// may still be being written when SIGHUP arrives, and must take effect within 4 s of the signal.
constexpr std::chrono::milliseconds kReloadRetryInterval{100};
constexpr int kMaxReloadAttempts = 20;

// Reloads the configuration; while the file is incomplete or invalid, the sidecar keeps its current one.
class Reload {
 public:
  Reload(boost::asio::io_context& io, ivypost::Sidecar& sidecar, std::string path)
      : sidecar_(sidecar), path_(std::move(path)), retryTimer_(io) {}

  void start() {
    attemptsLeft_ = kMaxReloadAttempts;
    attempt();
  }

 private:
  void attempt() {
    retryTimer_.cancel();
    try {
      const ivypost::Config config = ivypost::readConfig();
      sidecar_.reload(config, readFile(path_));
      if (attemptsLeft_ < kMaxReloadAttempts)
        std::fprintf(stderr, "the configuration could be read now, and counts\n");
    } catch (const std::exception& error) {
      if (attemptsLeft_ == kMaxReloadAttempts)
        std::fprintf(stderr, "the configuration stays as it was: %s\n", error.what());
      if (--attemptsLeft_ == 0) return;
      retryTimer_.expires_after(kReloadRetryInterval);
      retryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled) attempt();
      });
    }
  }

  ivypost::Sidecar& sidecar_;
  const std::string path_;
  boost::asio::steady_timer retryTimer_;
  int attemptsLeft_ = 0;
};

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // A SIGHUP that arrives before the signal handler is set can be ignored, since the file is read only after
  // that.
  std::signal(SIGHUP, SIG_IGN);
  // By default the C library keeps the freed memory of large bodies, fragmented into blocks that fit no
  // further body, and the process grows over its memory limit.
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
      std::fputs(ivypost::configuration::operatorFileExample().c_str(), stdout);
      return 0;
    }
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    ivypost::Config config = ivypost::readConfig();
    for (const std::string& remark : config.site.remarks) std::fprintf(stderr, "%s\n", remark.c_str());
    ivypost::Sidecar sidecar(io, std::move(config), readFile(path), ivypost::etcdSource());
    Reload reload(io, sidecar, path);
    const std::function<void()> listen = [&] {
      signals.async_wait([&](const boost::system::error_code& cancelled, int signal) {
        if (cancelled) return;
        if (signal == SIGHUP) {
          reload.start();
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
