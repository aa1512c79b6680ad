// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// ivyfleet: plays a scenario with real ivypost processes between stand-in nodes and clients on loopback,
// shows a line each second, and ends with a table and the ledger's judgement. Exit status: 0 all rules kept,
// 1 a rule broken or a sidecar crashed, 2 the scenario or the fleet could not be started.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/scenario.h"

namespace {

namespace fleet = ivypost::fleet;
using fleet::Micros;

constexpr std::size_t kShownBreaches = 5;

double millis(Micros span) {
  return static_cast<double>(span) / 1000;
}

Micros quantile(const std::vector<Micros>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto at = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
  return sorted[std::min(at, sorted.size() - 1)];
}

double percent(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void show(const fleet::Second& second, bool terminal) {
  std::printf(
      "%s%4u s  %5llu sent  %5llu served  %4llu refused  %4llu failed  %3llu unanswered  p50 %6.1f ms  p99 "
      "%7.1f ms  %s%s",
      terminal ? "\r\x1b[K" : "", second.number, static_cast<unsigned long long>(second.sent),
      static_cast<unsigned long long>(second.served), static_cast<unsigned long long>(second.refused),
      static_cast<unsigned long long>(second.failed), static_cast<unsigned long long>(second.unanswered),
      millis(second.median), millis(second.p99), second.breaches == 0 ? "rules kept" : "RULES BROKEN",
      terminal ? "" : "\n");
  std::fflush(stdout);
}

void show(const fleet::Result& result) {
  const auto& t = result.tally;
  const auto row = [](const char* name, std::uint64_t count, double share, const char* note = "") {
    std::printf("  %-22s %8llu  %6.2f%%  %s\n", name, static_cast<unsigned long long>(count), share, note);
  };
  std::printf("\nof %llu requests sent (%llu of them clients' retries)\n",
              static_cast<unsigned long long>(t.sent), static_cast<unsigned long long>(result.clientRetries));
  row("served", t.served, percent(t.served, t.sent));
  row("refused", t.refused, percent(t.refused, t.sent));
  row("failed", t.failed, percent(t.failed, t.sent));
  row("client left", t.left, percent(t.left, t.sent));
  row("unanswered", t.unanswered, percent(t.unanswered, t.sent));
  row("served within the aim", result.inAim, percent(result.inAim, result.offered), "of first tries");
  for (const auto& share : result.shares) {
    const std::string name = "  " + share.requestClass + " " + share.tenant;
    std::printf("  %-22s %8llu  %6.2f%%  of %llu\n", name.c_str(),
                static_cast<unsigned long long>(share.inAim), percent(share.inAim, share.offered),
                static_cast<unsigned long long>(share.offered));
  }
  std::printf("rules\n");
  row("1 lost", t.breaches[1], percent(t.breaches[1], t.sent), t.breaches[1] == 0 ? "kept" : "BROKEN");
  row("2 twice", t.breaches[2], percent(t.breaches[2], t.sent), t.breaches[2] == 0 ? "kept" : "BROKEN");
  row("3 after drain", t.breaches[3], percent(t.breaches[3], t.sent), t.breaches[3] == 0 ? "kept" : "BROKEN");
  row("4 cold budget", t.breaches[4], percent(t.breaches[4], t.sent), t.breaches[4] == 0 ? "kept" : "BROKEN");
  std::vector<Micros> sorted = t.latencies;
  std::sort(sorted.begin(), sorted.end());
  std::printf("latency of what was served: p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
              millis(quantile(sorted, 0.5)), millis(quantile(sorted, 0.9)), millis(quantile(sorted, 0.99)),
              millis(quantile(sorted, 0.999)));
  std::printf("nodes: %llu arrivals, %llu repeats, %llu connections, %llu probes, %u pushed over\n",
              static_cast<unsigned long long>(result.nodeArrivals),
              static_cast<unsigned long long>(t.repeats),
              static_cast<unsigned long long>(result.nodeConnections),
              static_cast<unsigned long long>(result.probes), result.fallen);
  if (result.hungArrivals > 0)
    std::printf("attempts at nodes while they hung: %llu\n",
                static_cast<unsigned long long>(result.hungArrivals));
  const double seconds = std::max(0.001, static_cast<double>(result.played) / 1e6);
  if (result.peerDatagrams > 0)
    std::printf(
        "between sidecars: %llu datagrams, %.0f bytes a second from each\n",
        static_cast<unsigned long long>(result.peerDatagrams),
        static_cast<double>(result.peerBytes) / seconds / static_cast<double>(result.sidecars.size()));
  for (std::size_t n = 0; n < result.sidecars.size(); ++n) {
    const auto& one = result.sidecars[n];
    std::printf("s%zu: %.2f s of processor (%.1f%% of a core), %.1f MB at its peak, %u start%s%s\n", n + 1,
                one.cpuSeconds, 100 * one.cpuSeconds / seconds, static_cast<double>(one.peakBytes) / 1e6,
                one.starts, one.starts == 1 ? "" : "s", one.crashed ? ", CRASHED" : "");
  }
  for (std::size_t n = 0; n < std::min(kShownBreaches, result.breaches.size()); ++n) {
    const auto& breach = result.breaches[n];
    std::printf("rule %d, request %s: %s\n", breach.rule, breach.request.c_str(), breach.what.c_str());
    for (const auto& line : breach.story) std::printf("    %s\n", line.c_str());
  }
}

// Nodes and clients hold thousands of connections in this one process.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

struct Changes {
  double length = 0, rate = 0;  // 0: the scenario's own
  std::string operatorFile;     // empty: likewise
  std::uint64_t seed = 0;       // 0: likewise
  bool peers = false;           // or as the scenario has it
};

int run(const std::string& path, std::string program, const Changes& changes, bool verbose) {
  fleet::Scenario scenario = fleet::readScenario(path);
  const double length = changes.length;
  if (changes.rate > 0) scenario.rate = changes.rate;
  if (!changes.operatorFile.empty()) scenario.operatorFile = changes.operatorFile;
  if (changes.seed > 0) scenario.seed = changes.seed;
  scenario.peers = scenario.peers || changes.peers;
  if (length > 0) scenario.length = static_cast<Micros>(length * 1e6);
  if (program.empty()) program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "ivypost";
  if (access(program.c_str(), X_OK) != 0)
    throw std::runtime_error(program + " is no program; --ivypost names it");
  std::string work = std::filesystem::temp_directory_path() / "ivyfleet-XXXXXX";
  if (mkdtemp(work.data()) == nullptr) throw std::runtime_error("no folder for the configurations: " + work);
  const bool terminal = isatty(STDOUT_FILENO) != 0;
  fleet::Fleet::Options options;
  options.program = program;
  options.workDir = work;
  options.second = [terminal](const fleet::Second& second) { show(second, terminal); };
  options.happened = [terminal](const std::string& line) {
    std::printf("%s    -- %s\n", terminal ? "\r\x1b[K" : "", line.c_str());
    std::fflush(stdout);
  };
  if (verbose)
    options.sidecarLog = [terminal](const std::string& line) {
      std::printf("%s    %s\n", terminal ? "\r\x1b[K" : "", line.c_str());
    };
  std::printf("%s: %u sidecars, %u nodes, %.0f requests a second, %.0f s\n", scenario.name.c_str(),
              scenario.sidecars, scenario.nodeCount(), scenario.rate,
              static_cast<double>(scenario.length) / 1e6);
  fleet::Result result;
  try {
    result = fleet::Fleet(scenario, options).play();
  } catch (...) {
    std::filesystem::remove_all(work);
    throw;
  }
  std::filesystem::remove_all(work);
  show(result);
  const bool good = result.good();
  std::printf("%s%s\n", good ? "all rules kept" : "RULES BROKEN",
              result.interrupted ? " until it was interrupted" : "");
  return good ? 0 : 1;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  std::string scenario, program;
  Changes changes;
  bool verbose = false;
  CLI::App app("Plays a scenario with real ivypost processes between stand-in nodes and clients on loopback");
  app.add_option("scenario", scenario, "a TOML file; examples/ has some")->required();
  app.add_option("--ivypost", program, "the sidecar's program; else the one beside this one");
  app.add_option("--length", changes.length, "seconds, in place of the scenario's own")
      ->check(CLI::Range(1.0, 86400.0));
  app.add_option("--rate", changes.rate, "requests a second, in place of the scenario's own")
      ->check(CLI::Range(0.1, 100000.0));
  app.add_option("--operator", changes.operatorFile,
                 "the sidecars' operator's file, in place of the scenario's own");
  app.add_option("--seed", changes.seed, "in place of the scenario's own")->check(CLI::Range(1UL, 1UL << 62));
  app.add_flag("--peers", changes.peers, "sidecars share what they know, whatever the scenario says");
  app.add_flag("--verbose", verbose, "shows the sidecars' logs too");
  CLI11_PARSE(app, argc, argv);
  try {
    return run(scenario, program, changes, verbose);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivyfleet: %s\n", error.what());
    return 2;
  }
}
