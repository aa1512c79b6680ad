// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// ivyfault: a fault plan between two sockets, as a program. Says where it listens on its standard output,
// then logs one JSON line for each fault done. docs/operators/fault-injection.md tells how to use it.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fault/control.h"
#include "fault/plan_reader.h"
#include "fault/proxy.h"

namespace {

namespace fault = ivypost::fault;
using nlohmann::json;

// Two descriptors a connection, up to fault::kMaxConnections.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

void line(const json& what) {
  std::printf("%s\n", what.dump().c_str());
  std::fflush(stdout);
}

struct Arguments {
  std::string listen, to, plan, control;
  std::uint64_t seed = 1;
  int receiveBuffer = 0;
};

int run(const Arguments& arguments) {
  boost::asio::io_context io(1);
  // Before anything that others can see: they may end the program as soon as it says where it listens.
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  fault::Proxy::Options options;
  options.listen = fault::parseAddress(arguments.listen);
  options.to = fault::parseAddress(arguments.to);
  options.seed = arguments.seed;
  options.receiveBuffer = arguments.receiveBuffer;
  if (!arguments.plan.empty()) options.plan = fault::readPlan(arguments.plan);
  options.log = [](std::uint64_t connection, const fault::Done& done) {
    line({{"fault", done.action},
          {"connection", connection},
          {"direction", fault::nameOf(done.direction)},
          {"offset", done.offset},
          {"at_us", done.at}});
  };
  fault::Proxy proxy(io, std::move(options));
  std::optional<fault::Control> control;
  if (!arguments.control.empty()) control.emplace(io, arguments.control, proxy);
  line({{"listening", fault::formatAddress(proxy.address())}});
  io.run();
  return 0;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  Arguments arguments;
  CLI::App app("Delays, cuts, garbles and swallows what passes between two sockets, by a plan");
  app.add_option("--listen", arguments.listen, "127.0.0.1:0, [::1]:80, unix:/path or unix:@name")->required();
  app.add_option("--to", arguments.to, "where connections are passed on to, in the same form")->required();
  app.add_option("--plan", arguments.plan, "the fault plan, a TOML file; none: all passes unharmed");
  app.add_option("--seed", arguments.seed,
                 "for the plan's chance; the same seed, bytes and times give the same faults");
  app.add_option("--control", arguments.control, "a Unix socket that takes commands, one line of JSON each");
  app.add_option("--receive-buffer", arguments.receiveBuffer,
                 "bytes that the kernel takes while nothing is read; 0: the system's")
      ->check(CLI::Range(0, 1 << 30));
  CLI11_PARSE(app, argc, argv);
  try {
    return run(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivyfault: %s\n", error.what());
    return 1;
  }
}
