// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// ivyscale: the control part of a fleet at the size that is coming. `simulate` runs events in simulated time,
// `hollow` real sockets and processes. Progress goes to standard error, a table to standard output.
// docs/operators/scale.md tells what the figures mean. Exit status: 0 run, 2 refused, failed or stopped.
#include <malloc.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <new>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "scale/hollow.h"
#include "scale/hollow_worker.h"
#include "scale/runs.h"

// What a thread has allocated and not freed, for the memory of one Members: a run stays on its thread.
namespace {
thread_local std::int64_t allocatedHere = 0;
}  // namespace

void* operator new(std::size_t size) {
  void* const memory = std::malloc(std::max<std::size_t>(size, 1));
  if (memory == nullptr) throw std::bad_alloc();
  allocatedHere += static_cast<std::int64_t>(malloc_usable_size(memory));
  return memory;
}
void operator delete(void* memory) noexcept {
  allocatedHere -= static_cast<std::int64_t>(malloc_usable_size(memory));
  std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  operator delete(memory);
}

namespace {

namespace scale = ivypost::scale;
using nlohmann::json;

struct Simulate {
  std::vector<std::string> events = {"start"};
  std::vector<std::size_t> sizes = {60, 165, 330, 660, 1320};
  double loss = 0.01;
  std::uint64_t seed = 1;
  std::uint32_t seeds = 3, threads = 2;
  double cap = 120, assemble = 600, settle = 10, cutSpan = 60;
  bool noAntiEntropy = false, seedsInBoth = false;
  std::string json;
};

struct Job {
  scale::Plan plan;
  scale::Figures figures;
};

std::vector<Job> jobsOf(const Simulate& arguments) {
  std::vector<Job> jobs;
  for (const std::string& name : arguments.events)
    for (const std::size_t size : arguments.sizes)
      for (std::uint32_t n = 0; n < arguments.seeds; ++n) {
        scale::Plan plan;
        plan.event = *scale::eventOf(name);
        plan.sidecars = size;
        plan.seed = arguments.seed + n;
        plan.loss = arguments.loss;
        plan.cap = static_cast<scale::Micros>(arguments.cap * 1e6);
        plan.assemble = static_cast<scale::Micros>(arguments.assemble * 1e6);
        plan.settle = static_cast<scale::Micros>(arguments.settle * 1e6);
        plan.cutSpan = static_cast<scale::Micros>(arguments.cutSpan * 1e6);
        plan.antiEntropy = !arguments.noAntiEntropy;
        plan.seedsInBoth = arguments.seedsInBoth;
        plan.allocated = [] { return allocatedHere; };
        jobs.push_back({std::move(plan), {}});
      }
  return jobs;
}

std::string timesOf(const scale::Figures& figures) {
  if (!figures.assembled) return "not assembled";
  std::string text;
  for (const scale::Stage& stage : figures.stages) {
    std::array<char, 96> one{};
    if (stage.seconds) {
      std::snprintf(one.data(), one.size(), "%s%s %.2f s", text.empty() ? "" : ", ", stage.name.c_str(),
                    *stage.seconds);
    } else {
      std::snprintf(one.data(), one.size(), "%s%s not within %.0f s", text.empty() ? "" : ", ",
                    stage.name.c_str(), stage.cap);
    }
    text += one.data();
  }
  return text.empty() ? "-" : text;
}

void play(std::vector<Job>& jobs, std::uint32_t threads) {
  std::atomic<std::size_t> next = 0, done = 0;
  std::mutex lock;  // of standard error and `failed`
  std::exception_ptr failed;
  const auto work = [&] {
    for (std::size_t n = next++; n < jobs.size(); n = next++) {
      Job& job = jobs[n];
      try {
        job.figures = scale::run(job.plan);
      } catch (...) {
        const std::lock_guard hold(lock);
        failed = std::current_exception();
        next = jobs.size();
        return;
      }
      const std::lock_guard hold(lock);
      std::fprintf(stderr, "[%zu/%zu] %s, %zu sidecars, seed %llu: %s\n", ++done, jobs.size(),
                   scale::nameOf(job.plan.event), job.plan.sidecars,
                   static_cast<unsigned long long>(job.plan.seed), timesOf(job.figures).c_str());
    }
  };
  std::vector<std::jthread> others;
  for (std::uint32_t n = 1; n < std::min<std::size_t>(threads, jobs.size()); ++n) others.emplace_back(work);
  work();
  others.clear();
  if (failed) std::rethrow_exception(failed);
}

json toJson(const Job& job) {
  const scale::Figures& f = job.figures;
  json stages = json::array();
  for (const scale::Stage& stage : f.stages)
    stages.push_back({{"name", stage.name},
                      {"seconds", stage.seconds ? json(*stage.seconds) : json()},
                      {"not_within_seconds", stage.seconds ? json() : json(stage.cap)}});
  return {{"event", scale::nameOf(job.plan.event)},
          {"sidecars", job.plan.sidecars},
          {"seed", job.plan.seed},
          {"loss", job.plan.loss},
          {"anti_entropy", job.plan.antiEntropy},
          {"seeds_in_both_regions", job.plan.seedsInBoth},
          {"cut_span_seconds", static_cast<double>(job.plan.cutSpan) / 1e6},
          {"assembled", f.assembled},
          {"assemble_seconds", f.assembleSeconds},
          {"stages", stages},
          {"simulated_seconds", f.simulatedSeconds},
          {"sent_bytes_per_second", f.sentMean},
          {"received_bytes_per_second", f.receivedMean},
          {"sent_bytes_worst_second", f.sentPeak},
          {"received_bytes_worst_second", f.receivedPeak},
          {"datagrams_per_second", f.datagramsMean},
          {"false_deaths", f.falseDeaths},
          {"deaf_share_most", f.deafMost},
          {"deaf_share_most_after_8s", f.deafMostLater},
          {"processor_us_per_second", f.processor},
          {"processor_members_us_per_second", f.processorMembers},
          {"memory_bytes", f.memory}};
}

std::string worst(std::vector<double> values, const char* form) {
  if (values.empty()) return "-";
  std::sort(values.begin(), values.end());
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), form, values.back());
  return text.data();
}

std::string stageOf(const std::vector<const Job*>& seeds, std::size_t number) {
  std::vector<double> reached;
  std::size_t missed = 0;
  double cap = 0;
  for (const Job* job : seeds) {
    if (!job->figures.assembled) continue;
    const scale::Stage& stage = job->figures.stages[number];
    cap = stage.cap;
    if (stage.seconds)
      reached.push_back(*stage.seconds);
    else
      ++missed;
  }
  std::array<char, 64> text{};
  if (missed > 0) {
    std::snprintf(text.data(), text.size(), "not in %.0f (%zu of %zu)", cap, missed, reached.size() + missed);
  } else if (!reached.empty()) {
    std::sort(reached.begin(), reached.end());
    const std::size_t half = reached.size() / 2;
    const double median = reached.size() % 2 == 1 ? reached[half] : (reached[half - 1] + reached[half]) / 2;
    std::snprintf(text.data(), text.size(), "%.2f / %.2f", median, reached.back());
  }
  return text.data();
}

void table(const std::vector<Job>& jobs) {
  for (std::size_t n = 0; n < jobs.size();) {
    const scale::Event event = jobs[n].plan.event;
    const Job* sample = &jobs[n];  // one whose event came, for the names of the stages
    for (const Job& job : jobs)
      if (job.plan.event == event && job.figures.assembled) sample = &job;
    std::printf("\n%s, loss %g%%%s\n  %8s", scale::nameOf(event), 100 * jobs[n].plan.loss,
                jobs[n].plan.antiEntropy ? "" : ", without anti-entropy", "sidecars");
    for (const scale::Stage& stage : sample->figures.stages)
      std::printf("  %-20s", (stage.name + ", s").c_str());
    std::printf("  %6s %6s %6s %6s  %6s  %8s %8s  %7s  %6s", "sent", "worst", "recvd", "worst", "dgrams",
                "cpu us/s", "Members", "KiB", "false");
    if (event == scale::Event::Cut || event == scale::Event::CutUnequal)
      std::printf("  %6s %6s", "deaf", "8 s on");
    std::printf("\n");
    while (n < jobs.size() && jobs[n].plan.event == event) {
      const std::size_t size = jobs[n].plan.sidecars;
      std::vector<const Job*> seeds;
      std::size_t missing = 0;
      for (; n < jobs.size() && jobs[n].plan.event == event && jobs[n].plan.sidecars == size; ++n) {
        seeds.push_back(&jobs[n]);
        missing += jobs[n].figures.assembled ? 0 : 1;
      }
      const auto of = [&](const char* form, const auto& what) {
        std::vector<double> values;
        for (const Job* job : seeds)
          if (job->figures.assembled) values.push_back(what(job->figures));
        return worst(values, form);
      };
      using F = const scale::Figures&;
      std::printf("  %8zu", size);
      for (std::size_t s = 0; s < sample->figures.stages.size(); ++s)
        std::printf("  %-20s", stageOf(seeds, s).c_str());
      std::printf("  %6s %6s %6s %6s  %6s  %8s %8s  %7s  %6s",
                  of("%.0f", [](F f) { return f.sentMean; }).c_str(),
                  of("%.0f", [](F f) { return f.sentPeak; }).c_str(),
                  of("%.0f", [](F f) { return f.receivedMean; }).c_str(),
                  of("%.0f", [](F f) { return f.receivedPeak; }).c_str(),
                  of("%.1f", [](F f) { return f.datagramsMean; }).c_str(),
                  of("%.0f", [](F f) { return f.processor; }).c_str(),
                  of("%.0f", [](F f) { return f.processorMembers; }).c_str(),
                  of("%.0f", [](F f) { return f.memory / 1024; }).c_str(),
                  of("%.0f", [](F f) { return static_cast<double>(f.falseDeaths); }).c_str());
      if (event == scale::Event::Cut || event == scale::Event::CutUnequal)
        std::printf("  %5s%% %5s%%", of("%.1f", [](F f) { return 100 * f.deafMost; }).c_str(),
                    of("%.1f", [](F f) { return 100 * f.deafMostLater; }).c_str());
      if (missing > 0)
        std::printf("  (%zu of %zu not assembled within %.0f s)", missing, seeds.size(),
                    static_cast<double>(seeds[0]->plan.assemble) / 1e6);
      std::printf("\n");
    }
  }
  std::printf(
      "\nseconds: median / worst of the seeds; all else the worst of them. sent, recvd: bytes a second a\n"
      "sidecar with %zu bytes of headers a datagram, worst: of any one in its worst second. cpu: "
      "microseconds\n"
      "a sidecar and simulated second of the whole simulation, and of Members alone. Nothing here has a\n"
      "socket, a seal or a data plane.\n",
      ivypost::gossip::kDatagramOverhead);
}

std::ofstream openJson(const std::string& path) {
  std::ofstream file;
  if (path.empty()) return file;
  file.open(path);
  if (!file) throw std::runtime_error("--json " + path + " can't be written: name another file");
  return file;
}

int simulate(const Simulate& arguments) {
  std::ofstream file = openJson(arguments.json);
  std::vector<Job> jobs = jobsOf(arguments);
  play(jobs, arguments.threads);
  table(jobs);
  if (file.is_open()) {
    json runs = json::array();
    for (const Job& job : jobs) runs.push_back(toJson(job));
    file << json{{"runs", runs}}.dump(1) << "\n";
  }
  return 0;
}

// ---- Hollow sidecars --------------------------------------------------------------------------------------

// A socket for each sidecar of a process.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

json toJson(const scale::HollowPlan& plan, const scale::HollowFigures& f) {
  return {{"sidecars", plan.sidecars},
          {"processes", plan.processes},
          {"real", plan.real},
          {"regions", plan.regions},
          {"zones", plan.zones},
          {"seconds", plan.seconds},
          {"all_hear_all_seconds", f.allHearAll ? json(*f.allHearAll) : json()},
          {"fewest_heard", f.fewestHeard},
          {"deaf", f.deaf},
          {"core_share", f.processor},
          {"core_share_start", f.startProcessor},
          {"core_share_alone", f.aloneProcessor},
          {"sent_bytes_per_second", f.sent},
          {"received_bytes_per_second", f.received},
          {"datagrams_per_second", f.datagrams},
          {"sent_bytes_worst_second", f.worstSent},
          {"received_bytes_worst_second", f.worstReceived},
          {"start_sent_bytes_worst_second", f.startWorstSent},
          {"start_received_bytes_worst_second", f.startWorstReceived},
          {"unsent_datagrams", f.unsent},
          {"memory_bytes", f.memory},
          {"memory_bytes_alone", f.aloneMemory},
          {"ivypost_core_share_on", f.realOnProcessor},
          {"ivypost_core_share_off", f.realOffProcessor},
          {"ivypost_memory_bytes_on", f.realOnMemory},
          {"ivypost_memory_bytes_off", f.realOffMemory}};
}

void show(const scale::HollowPlan& plan, const scale::HollowFigures& f) {
  std::printf("%u hollow sidecars in %u processes", plan.sidecars, plan.processes);
  if (plan.real > 0) std::printf(", %u ivypost beside them", plan.real);
  std::printf("\n");
  if (f.allHearAll)
    std::printf("  from the start until all hear all  %.2f s\n", *f.allHearAll);
  else
    std::printf("  from the start until all hear all  not within %.0f s\n", plan.within);
  std::printf(
      "  at the end: fewest heard by one    %zu of %u, %zu deaf, %llu datagrams not taken by the system\n",
      f.fewestHeard, plan.sidecars + plan.real, f.deaf, static_cast<unsigned long long>(f.unsent));
  std::printf("  a hollow sidecar at rest, over %.0f s\n", plan.seconds);
  std::printf("    processor                        %.3f%% of a core (%.3f%% before)\n", 100 * f.processor,
              100 * f.startProcessor);
  std::printf("    bytes a second sent, received    %.0f, %.0f; %.1f datagrams sent\n", f.sent, f.received,
              f.datagrams);
  std::printf("    any one's worst second           %.0f, %.0f (%.0f, %.0f before)\n", f.worstSent,
              f.worstReceived, f.startWorstSent, f.startWorstReceived);
  std::printf("    memory, its share of a process   %.2f MB\n", f.memory / 1e6);
  if (f.aloneMemory > 0)
    std::printf("    alone in a process               %.2f MB, %.3f%% of a core\n", f.aloneMemory / 1e6,
                100 * f.aloneProcessor);
  if (plan.real > 0) {
    std::printf("  an ivypost at rest\n");
    std::printf("    processor, peers on and off      %.3f%%, %.3f%% of a core\n", 100 * f.realOnProcessor,
                100 * f.realOffProcessor);
    std::printf("    memory, peers on and off         %.2f, %.2f MB\n", f.realOnMemory / 1e6,
                f.realOffMemory / 1e6);
  }
  std::printf(
      "real in a hollow sidecar: membership, judgements (none are made), the seal, its socket and timers.\n"
      "Hollow: no data plane, no list of upstreams, no operators' calls, no configuration; datagrams go "
      "over\n"
      "loopback, which loses nothing. Bytes are with %zu of headers a datagram; before: from the start "
      "until\n"
      "all heard all.\n",
      ivypost::gossip::kDatagramOverhead);
}

int hollow(scale::HollowPlan plan, const std::string& path) {
  std::ofstream file = openJson(path);
  plan.worker = std::filesystem::read_symlink("/proc/self/exe");
  if (plan.ivypost.empty()) plan.ivypost = std::filesystem::path(plan.worker).parent_path() / "ivypost";
  plan.progress = [](const std::string& line) { std::fprintf(stderr, "ivyscale: %s\n", line.c_str()); };
  const scale::HollowFigures figures = scale::run(plan);
  show(plan, figures);
  if (file.is_open()) file << toJson(plan, figures).dump(1) << "\n";
  return 0;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  CLI::App app("Runs the control part of many sidecars and shows what it costs");
  app.require_subcommand(1);
  Simulate simulated;
  CLI::App* simulation = app.add_subcommand("simulate", "events in simulated time");
  std::vector<std::string> names;
  for (std::size_t n = 0; n < scale::kEvents; ++n)
    names.emplace_back(scale::nameOf(static_cast<scale::Event>(n)));
  simulation->add_option("--event", simulated.events, "one or more of the events, with commas between them")
      ->delimiter(',')
      ->check(CLI::IsMember(names));
  simulation->add_option("--sizes", simulated.sizes, "numbers of sidecars, with commas between them")
      ->delimiter(',')
      ->check(CLI::Range(10, 4096));
  simulation->add_option("--loss", simulated.loss, "part of the datagrams that is lost")
      ->check(CLI::Range(0.0, 0.9));
  simulation->add_option("--seed", simulated.seed, "of the first run of each size");
  simulation->add_option("--seeds", simulated.seeds, "runs of each size, each with a seed of its own")
      ->check(CLI::Range(1, 1000));
  simulation->add_option("--threads", simulated.threads, "runs side by side")->check(CLI::Range(1, 64));
  simulation->add_option("--cap", simulated.cap, "seconds of simulated time for each stage")
      ->check(CLI::Range(1.0, 86400.0));
  simulation->add_option("--assemble", simulated.assemble, "seconds within which all must hear all first")
      ->check(CLI::Range(1.0, 86400.0));
  simulation->add_option("--settle", simulated.settle, "seconds from then to the event")
      ->check(CLI::Range(0.0, 86400.0));
  simulation->add_option("--cut-span", simulated.cutSpan, "seconds that a cut lasts at the least")
      ->check(CLI::Range(1.0, 86400.0));
  simulation->add_flag("--no-anti-entropy", simulated.noAntiEntropy, "with the mechanism off, as before it");
  simulation->add_flag("--seeds-in-both", simulated.seedsInBoth,
                       "of the cuts: a seed in the second region too, else all are in the first");
  simulation->add_option("--json", simulated.json, "a file for all figures of each run");

  scale::HollowPlan plan;
  std::string hollowJson;
  CLI::App* hollows = app.add_subcommand("hollow", "sidecars without a data plane, on real sockets");
  hollows->add_option("--sidecars", plan.sidecars, "hollow ones");
  hollows->add_option("--processes", plan.processes, "that they are in; one of them holds a single one");
  hollows->add_option("--seconds", plan.seconds, "of the measurement at rest")
      ->check(CLI::Range(1.0, 86400.0));
  hollows->add_option("--settle", plan.settle, "seconds from when all hear all to it")
      ->check(CLI::Range(0.0, 86400.0));
  hollows->add_option("--within", plan.within, "seconds within which all are to hear all")
      ->check(CLI::Range(1.0, 86400.0));
  hollows->add_option("--real", plan.real, "ivypost processes beside them")->check(CLI::Range(0, 198));
  hollows->add_option("--ivypost", plan.ivypost, "their program; else the one beside this one");
  hollows->add_option("--regions", plan.regions, "groups of zones; 0: sidecars are not told of theirs");
  hollows->add_option("--zones", plan.zones, "groups of sidecars");
  hollows
      ->add_option("--memory", plan.memoryMb,
                   "MB that may be used; else, and at the most, half of the machine's")
      ->check(CLI::Range(1.0, 1e9));
  hollows->add_option("--key-file", plan.keyFile, "of the seal; else a key is made up");
  hollows->add_option("--seed", plan.seed, "for the sidecars' chance");
  hollows->add_option("--json", hollowJson, "a file for all figures");

  scale::WorkerPlan worker;
  CLI::App* works = app.add_subcommand("worker", "what `hollow` starts");
  works->group("");
  works->add_option("--first", worker.first)->required();
  works->add_option("--count", worker.count)->required();
  works->add_option("--sidecars", worker.fleet.sidecars)->required();
  works->add_option("--regions", worker.fleet.regions)->required();
  works->add_option("--zones", worker.fleet.zones)->required()->check(CLI::Range(1, 4096));
  works->add_option("--port", worker.fleet.port)->required();
  works->add_option("--seed", worker.seed)->required();
  works->add_option("--key-file", worker.keyFile)->required();
  works->add_option("--start-at", worker.startAt)->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);  // help was asked for
    std::fprintf(stderr, "ivyscale: %s; --help shows what is allowed\n", error.what());
    return 2;
  }
  try {
    if (works->parsed()) {
      scale::work(worker);
      return 0;
    }
    return hollows->parsed() ? hollow(plan, hollowJson) : simulate(simulated);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivyscale: %s\n", error.what());
    return 2;
  }
}
