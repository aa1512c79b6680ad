// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "scale/hollow.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <vector>

#include "fleet/process.h"
#include "gossip/members.h"
#include "gossip/seal.h"
#include "scale/hollow_worker.h"
#include "standins/clock.h"
#include "standins/discovery.h"
#include "standins/ledger.h"

namespace ivypost::scale {
namespace {

namespace asio = boost::asio;
using gossip::Micros;
using nlohmann::json;
using standins::nowMicros;

// What a run is reckoned to take before it begins, above what was measured: a member in a table, the rest of
// a hollow sidecar, a process of either kind.
constexpr double kMemberBytes = 512, kHollowBytes = 256e3, kProcessBytes = 12e6, kRealBytes = 64e6;
constexpr Micros kStartsIn = 500'000, kStartsInEach = 20'000;  // of the workers, and more for each
constexpr Micros kEndWithin = 3'000'000, kRealSettle = 3'000'000, kReadyWithin = 20'000'000;
constexpr std::size_t kShownLine = 200;  // of what a worker says that is no report

double megabytes(double bytes) {
  return bytes / 1e6;
}

double machineMemory() {
  return static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double residentOf(pid_t process) {
  std::ifstream statm("/proc/" + std::to_string(process) + "/statm");
  double whole = 0, resident = 0;
  statm >> whole >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::string rounded(double number) {
  return std::to_string(static_cast<long long>(number));
}

double memoryOf(const HollowPlan& plan) {
  const double all = plan.sidecars + plan.real;
  return plan.sidecars * (kHollowBytes + kMemberBytes * all) + plan.processes * kProcessBytes +
         plan.real * (kRealBytes + kMemberBytes * all);
}

void check(const HollowPlan& plan) {
  const auto bad = [](const std::string& line) { throw std::invalid_argument(line); };
  const std::uint32_t all = plan.sidecars + plan.real;
  if (all < 2 || all > gossip::kMaxMembers)
    bad("--sidecars " + std::to_string(plan.sidecars) + ": with the real ones from 2 to " +
        std::to_string(gossip::kMaxMembers) + ", which a table of members holds");
  if (plan.processes < 1 || plan.processes > plan.sidecars)
    bad("--processes " + std::to_string(plan.processes) + ": from 1 to as many as --sidecars, " +
        std::to_string(plan.sidecars));
  if (plan.processes + plan.real + 1 > kMaxProcesses)
    bad("--processes " + std::to_string(plan.processes) + ": with --real and ivyscale itself at most " +
        std::to_string(kMaxProcesses) + " processes; give fewer");
  if (plan.regions > gossip::kMaxRegion)
    bad("--regions " + std::to_string(plan.regions) + ": at most " + std::to_string(gossip::kMaxRegion));
  if (plan.zones < std::max(plan.regions, 1U))
    bad("--zones " + std::to_string(plan.zones) + ": fewer than --regions " + std::to_string(plan.regions) +
        ", and each region has one at the least; give more");
  if (plan.sidecars < plan.zones)
    bad("--zones " + std::to_string(plan.zones) + ": more than --sidecars " + std::to_string(plan.sidecars) +
        ", and each zone has one at the least; give fewer");
  const double most =
      plan.memoryMb > 0 ? std::min(plan.memoryMb * 1e6, machineMemory() / 2) : machineMemory() / 2;
  if (memoryOf(plan) > most)
    bad("--sidecars " + std::to_string(plan.sidecars) + ": reckoned at " +
        rounded(megabytes(memoryOf(plan))) + " MB, and " + rounded(megabytes(most)) +
        " MB may be used, half of the machine's or --memory; give fewer");
  if (!plan.keyFile.empty()) {
    try {
      gossip::Seal::read(plan.keyFile);
    } catch (const std::runtime_error& error) {
      bad("--key-file: " + std::string(error.what()) + "; leave the option away for a key made up");
    }
  }
  if (plan.real > 0 && access(plan.ivypost.c_str(), X_OK) != 0)
    bad("--ivypost " + plan.ivypost + ": no program; name the sidecar's");
}

// A folder that goes with this object.
class Folder {
 public:
  Folder() : path_(std::filesystem::temp_directory_path() / "ivyscale-XXXXXX") {
    if (mkdtemp(path_.data()) == nullptr) throw std::runtime_error("no folder for the run: " + path_);
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

class Run {
 public:
  explicit Run(const HollowPlan& plan)
      : plan_(plan), signals_(io_, SIGINT, SIGTERM), ledger_(standins::Rules{}), discovery_(io_, ledger_) {
    signals_.async_wait([this](const boost::system::error_code& cancelled, int) {
      if (!cancelled) interrupted_ = true;
    });
    fleet_.sidecars = plan.sidecars + plan.real;
    fleet_.regions = plan.regions;
    fleet_.zones = plan.zones;
    // The system's choice at one address; the other addresses are nobody else's.
    asio::ip::udp::socket free(io_, {asio::ip::address_v4(fleet_.addressOf(0).ip), 0});
    fleet_.port = free.local_endpoint().port();
  }

  HollowFigures play() {
    makeKey();
    startWorkers();
    startReal(true);
    const bool all = runUntil([this] { return allHearAll(); }, startAt_ - nowMicros() + micros(plan_.within));
    if (all) {
      Micros last = 0;
      for (const Worker& one : workers_) last = std::max(last, one.last.at("all_at").get<Micros>());
      figures_.allHearAll = static_cast<double>(last - startAt_) / 1e6;
      say("all hear all after " + rounded(*figures_.allHearAll * 10) + " tenths of a second");
    } else {
      say("all do not hear all within " + rounded(plan_.within) + " s");
    }
    startFigures();
    pause(micros(plan_.settle));
    rest();
    if (plan_.real > 0) {
      stop(real_);
      startReal(false);
      pause(kRealSettle);
      const auto from = processorOf(real_);
      pause(micros(plan_.seconds));
      figures_.realOffProcessor = (processorOf(real_) - from) / plan_.seconds / plan_.real;
      figures_.realOffMemory = residentOfAll(real_) / plan_.real;
      stop(real_);
    }
    std::vector<std::unique_ptr<fleet::Process>> workers;
    for (Worker& one : workers_) workers.push_back(std::move(one.process));
    stop(workers);
    return figures_;
  }

 private:
  // NOLINTNEXTLINE(bugprone-exception-escape): the JSON library's moves may throw where memory has run out.
  struct Worker {
    std::uint32_t count = 0;
    std::unique_ptr<fleet::Process> process;
    json last, restBegan;
    double worstSent = 0, worstReceived = 0;  // of the reports since they were reset
    std::string said;                         // that is no report
  };
  using Processes = std::vector<std::unique_ptr<fleet::Process>>;

  static Micros micros(double seconds) { return static_cast<Micros>(seconds * 1e6); }
  void say(const std::string& line) const {
    if (plan_.progress) plan_.progress(line);
  }

  void makeKey() {
    key_ = plan_.keyFile;
    if (!key_.empty()) return;
    key_ = folder_ / "peers.key";
    std::random_device random;
    std::ofstream file(key_);
    chmod(key_.c_str(), S_IRUSR | S_IWUSR);
    for (std::size_t n = 0; n < 2 * gossip::kKeyBytes; ++n) file << "0123456789abcdef"[random() % 16];
    file << "\n";
  }

  void startWorkers() {
    startAt_ = nowMicros() + kStartsIn + plan_.processes * kStartsInEach;
    workers_.resize(plan_.processes);
    std::uint32_t first = 0;
    for (std::uint32_t n = 0; n < plan_.processes; ++n) {
      Worker& worker = workers_[n];
      // The first has one alone; the others share the rest as evenly as they can.
      const std::uint32_t left = plan_.sidecars - first, parts = plan_.processes - n;
      worker.count = n == 0 && plan_.processes > 1 ? 1 : (left + parts - 1) / parts;
      const std::vector<std::string> arguments = {"worker",
                                                  "--first",
                                                  std::to_string(first),
                                                  "--count",
                                                  std::to_string(worker.count),
                                                  "--sidecars",
                                                  std::to_string(fleet_.sidecars),
                                                  "--regions",
                                                  std::to_string(fleet_.regions),
                                                  "--zones",
                                                  std::to_string(fleet_.zones),
                                                  "--port",
                                                  std::to_string(fleet_.port),
                                                  "--seed",
                                                  std::to_string(plan_.seed),
                                                  "--key-file",
                                                  key_,
                                                  "--start-at",
                                                  std::to_string(startAt_)};
      first += worker.count;
      worker.process =
          std::make_unique<fleet::Process>(io_, plan_.worker, arguments, std::vector<std::string>{},
                                           [&worker](const std::string& line) { take(worker, line); });
    }
    say("started " + std::to_string(plan_.sidecars) + " hollow sidecars in " +
        std::to_string(plan_.processes) + " processes");
  }

  static void take(Worker& worker, const std::string& line) {
    json report = json::parse(line, nullptr, false);
    if (!report.is_object() || !report.contains("all_at")) {
      worker.said = line.substr(0, kShownLine);
      return;
    }
    worker.worstSent = std::max(worker.worstSent, report.at("worst_sent").get<double>());
    worker.worstReceived = std::max(worker.worstReceived, report.at("worst_received").get<double>());
    worker.last = std::move(report);
  }

  void startReal(bool peersOn) {
    real_.clear();
    realReady_ = 0;
    for (std::uint32_t n = 0; n < plan_.real; ++n) {
      const std::uint32_t number = plan_.sidecars + n;
      const std::string name = nameOfSidecar(number);
      if (peersOn) ports_.push_back(discovery_.listen(name).port());
      const json config = {
          {"name", name},
          {"listen", "127.0.0.1:0"},
          {"discovery", "127.0.0.1:" + std::to_string(ports_[n])},
          {"seed", std::to_string(plan_.seed * 1000 + number)},
          {"settings",
           {{"classes", {{{"name", "a"}, {"aim", 100'000}, {"deadline", 200'000}, {"semantics", "free"}}}}}}};
      std::ofstream(folder_ / (name + ".json")) << config.dump(1) << "\n";
      std::ofstream own(folder_ / (name + ".toml"));
      if (peersOn) {
        own << "[peers]\non = true\nkey_file = \"" << key_ << "\"\naddress = \""
            << gossip::format(fleet_.addressOf(number)) << "\"\nsidecars = " << fleet_.sidecars
            << "\nseeds = [";
        for (std::uint32_t seed = 0; seed < std::min(kFleetSeeds, fleet_.sidecars); ++seed)
          own << "\"" << gossip::format(fleet_.addressOf(seed)) << "\", ";
        own << "]\n";
      }
      own.close();
      real_.push_back(std::make_unique<fleet::Process>(
          io_, plan_.ivypost, std::vector<std::string>{"--operator", folder_ / (name + ".toml")},
          std::vector<std::string>{"GW_CONFIG=" + (folder_ / (name + ".json"))},
          [this](const std::string& line) { realReady_ += line.rfind("ready on port ", 0) == 0 ? 1 : 0; }));
    }
    if (!runUntil([this] { return realReady_ >= plan_.real; }, kReadyWithin))
      throw std::runtime_error("--ivypost " + plan_.ivypost + ": a sidecar did not get ready in " +
                               rounded(static_cast<double>(kReadyWithin) / 1e6) + " s; try it by hand");
    if (plan_.real > 0)
      say("started " + std::to_string(plan_.real) + " ivypost, peers " + (peersOn ? "on" : "off"));
  }

  // ---- Time -----------------------------------------------------------------------------------------------

  // False: not within this time. Throws where the run has to end.
  bool runUntil(const std::function<bool()>& holds, Micros atMost) {
    const Micros end = nowMicros() + atMost;
    while (!holds()) {
      if (nowMicros() > end) return false;
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(50));
      watch();
    }
    return true;
  }
  void pause(Micros span) {
    runUntil([] { return false; }, span);
  }
  void watch() {
    if (interrupted_) throw std::runtime_error("stopped before its end; nothing is left running");
    if (nowMicros() < nextWatch_) return;
    nextWatch_ = nowMicros() + 500'000;
    double resident = 0;
    for (std::size_t n = 0; n < workers_.size(); ++n) {
      Worker& one = workers_[n];
      if (!one.process) continue;
      if (const auto code = one.process->ended())
        throw std::runtime_error("worker " + std::to_string(n) + " ended by itself with " +
                                 std::to_string(*code) + ": " + one.said);
      if (one.last.is_object()) resident += one.last.at("resident").get<double>();
    }
    for (const auto& one : real_) {
      if (const auto code = one->ended())
        throw std::runtime_error("--ivypost " + plan_.ivypost + ": a sidecar ended by itself with " +
                                 std::to_string(*code) + "; try it by hand");
      resident += residentOf(one->id());
    }
    if (resident > machineMemory() / 2)
      throw std::runtime_error("--sidecars " + std::to_string(plan_.sidecars) + ": they hold " +
                               rounded(megabytes(resident)) + " MB, over half of the machine's; give fewer");
  }
  void stop(Processes& processes) {
    for (const auto& one : processes) one->signal(SIGTERM);
    const Micros end = nowMicros() + kEndWithin;
    const auto ended = [&] {
      return std::all_of(processes.begin(), processes.end(), [](const auto& one) { return one->ended(); });
    };
    while (!ended() && nowMicros() < end) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(20));
    }
    processes.clear();  // what still runs is killed
  }

  // ---- Figures --------------------------------------------------------------------------------------------

  bool allHearAll() const {
    return std::all_of(workers_.begin(), workers_.end(), [](const Worker& one) {
      return one.last.is_object() && one.last.at("all_at").get<Micros>() != 0;
    });
  }
  double processorOf(const Processes& processes) const {
    double seconds = 0;
    for (const auto& one : processes) seconds += static_cast<double>(one->processor()) / 1e6;
    return seconds;
  }
  double residentOfAll(const Processes& processes) const {
    double bytes = 0;
    for (const auto& one : processes) bytes += residentOf(one->id());
    return bytes;
  }

  void startFigures() {
    double processor = 0;
    for (Worker& one : workers_) {
      if (!one.last.is_object()) throw std::runtime_error("a worker says nothing: " + one.said);
      const double span =
          std::max(1.0, static_cast<double>(one.last.at("at").get<Micros>() - startAt_) / 1e6);
      processor += one.last.at("processor_s").get<double>() / span;
      figures_.startWorstSent = std::max(figures_.startWorstSent, one.worstSent);
      figures_.startWorstReceived = std::max(figures_.startWorstReceived, one.worstReceived);
    }
    figures_.startProcessor = processor / plan_.sidecars;
  }

  void rest() {
    for (Worker& one : workers_) {
      one.restBegan = one.last;
      one.worstSent = one.worstReceived = 0;
    }
    const double realFrom = processorOf(real_);
    const Micros from = nowMicros();
    pause(micros(plan_.seconds));
    const double realSpan = static_cast<double>(nowMicros() - from) / 1e6;
    if (plan_.real > 0) {
      figures_.realOnProcessor = (processorOf(real_) - realFrom) / realSpan / plan_.real;
      figures_.realOnMemory = residentOfAll(real_) / plan_.real;
    }
    figures_.fewestHeard = fleet_.sidecars;
    double shared = 0;
    for (std::size_t n = 0; n < workers_.size(); ++n) {
      const Worker& one = workers_[n];
      const auto since = [&](const char* key) {
        return one.last.at(key).get<double>() - one.restBegan.at(key).get<double>();
      };
      const double span = std::max(1e-3, since("at") / 1e6);
      figures_.processor += since("processor_s") / span / plan_.sidecars;
      figures_.sent += since("sent") / span / plan_.sidecars;
      figures_.received += since("received") / span / plan_.sidecars;
      figures_.datagrams += since("datagrams") / span / plan_.sidecars;
      figures_.worstSent = std::max(figures_.worstSent, one.worstSent);
      figures_.worstReceived = std::max(figures_.worstReceived, one.worstReceived);
      figures_.deaf += one.last.at("deaf").get<std::size_t>();
      figures_.unsent += one.last.at("unsent").get<std::uint64_t>();
      figures_.fewestHeard = std::min(figures_.fewestHeard, one.last.at("fewest_heard").get<std::size_t>());
      const double resident = one.last.at("resident").get<double>();
      if (n == 0 && workers_.size() > 1) {
        figures_.aloneMemory = resident;
        figures_.aloneProcessor = since("processor_s") / span;
      } else {
        figures_.memory += resident;
        shared += one.count;
      }
    }
    figures_.memory /= std::max(1.0, shared);
  }

  const HollowPlan& plan_;
  Folder folder_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  standins::Ledger ledger_;
  standins::Discovery discovery_;
  Fleet fleet_;
  std::string key_;
  std::vector<Worker> workers_;
  Processes real_;
  std::vector<std::uint16_t> ports_;  // of discovery, for each real one
  std::uint32_t realReady_ = 0;
  Micros startAt_ = 0, nextWatch_ = 0;
  bool interrupted_ = false;
  HollowFigures figures_;
};

}  // namespace

HollowFigures run(const HollowPlan& plan) {
  check(plan);
  return Run(plan).play();
}

}  // namespace ivypost::scale
