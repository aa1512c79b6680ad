// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// ivyscale: the control part of a fleet at the size that is coming. `simulate` runs events in simulated time.
// Progress goes to standard error, a table to standard output. docs/operators/scale.md tells what the figures
// mean.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <mutex>
#include <new>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

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

// The worst of the seeds, with the median beside it.
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
    std::snprintf(text.data(), text.size(), "%.2f / %.2f", reached[reached.size() / 2], reached.back());
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
      "\nseconds: median / worst of the seeds; all else the worst of them. sent, recvd: bytes a second a "
      "sidecar "
      "with %d\nbytes of headers a datagram, worst: of any one in its worst second. cpu: microseconds a "
      "sidecar "
      "and simulated second of\nthe whole simulation, and of Members alone. Nothing here has a socket, a "
      "seal or "
      "a data plane.\n",
      28);
}

int simulate(const Simulate& arguments) {
  std::ofstream file;
  if (!arguments.json.empty()) {
    file.open(arguments.json);
    if (!file) throw std::runtime_error("--json " + arguments.json + " can't be written: name another file");
  }
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

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
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
  CLI11_PARSE(app, argc, argv);
  try {
    return simulate(simulated);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivyscale: %s\n", error.what());
    return 2;
  }
}
