// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What ivypost adds to a call, and what its control part costs at rest, as the list of upstreams grows.
//
// Latency: an open-loop client (exponential gaps by a seed, the same calls in both turns) sends to stand-in
// nodes directly and through a real ivypost, in turns in one run. A call's time counts from the moment when
// it was due, so that a late client or a queue hides nothing. The client spins and writes down how late it is
// itself; a round in which it is late is void and counted as such.
//
// With --relay a third turn goes through a bare relay of bytes: what any process in between would add here.
//
// Control: processor time, memory and bytes with no traffic at all: at rest, at one change of the list a
// second, at a whole list a second.
//
// Growth: the same traffic of one sidecar against each length of list, with probes and with upstreams that
// restart cold, as many of a hundred a second at each length. From the second length on the figures stand
// beside the bounds that the first one's give.
//
// Nodes and discovery are threads of this process, ivypost is a process of its own. Everything on loopback.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <exception>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "fleet/process.h"
#include "one_node.h"
#include "standins/discovery.h"
#include "standins/ledger.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using ivypost::bench::kAny;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Connections that stand ready when a round begins, in both turns.
constexpr std::size_t kReadyConnections = 16;
// A client's connections at the most; beyond it a call counts as failed.
constexpr std::size_t kMaxConnections = 512;
// A round counts only if 99 in 100 calls are written this soon after they were due.
constexpr double kLatenessMs = 0.1;
// Calls that are still out when a round's last one has been sent are waited for so long.
constexpr milliseconds kSettle{2000};

struct Options {
  std::string program;
  std::vector<std::uint32_t> upstreams = {10, 60, 660};
  double rate = 288;         // calls a second, as one sidecar of 660 has of 190,000
  std::uint32_t rounds = 5;  // that count; one more warms up
  double seconds = 10;       // of each turn
  std::int64_t workUs = 1000;
  std::uint32_t sidecars = 660;  // that the module is told of
  std::uint64_t seed = 1;
  bool control = false, growth = false, relay = false, asJson = false;
  double restarts = 1;  // growth: of a hundred upstreams, a second
};

// Nodes that answer every GET after a fixed time, on one thread, each at a port of its own; and discovery,
// which knows all of them, on the same thread.
class Upstreams {
 public:
  Upstreams(std::uint32_t count, std::int64_t workUs) : work_(workUs), discovery_(io_, ledger_) {
    for (std::uint32_t n = 0; n < count; ++n) {
      acceptors_.emplace_back(io_, kAny);
      accept(acceptors_.back());
      ivypost::standins::Discovery::Entry entry;
      std::array<char, 24> id{};
      std::snprintf(id.data(), id.size(), "svc-%02u-node-%05u", n % 64, n);
      entry.id = id.data();
      entry.addresses[""] = acceptors_.back().local_endpoint();
      entries_.push_back(entry);
      discovery_.put(entry);
    }
    discoveryAt_ = discovery_.listen("s1");
    whole_ = discovery_.whole("s1");
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Upstreams() {
    io_.stop();
    thread_.join();
  }
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;

  tcp::endpoint node(std::size_t n) const { return acceptors_.at(n % acceptors_.size()).local_endpoint(); }
  tcp::endpoint discovery() const { return discoveryAt_; }
  const json& whole() const { return whole_; }

  // One entry gets another weight, and whoever watches is told. Returns the bytes of such an answer.
  std::size_t changeOne() {
    return call([this] {
      auto& entry = entries_.at(changed_++ % entries_.size());
      entry.weight = entry.weight > 1 ? 1 : 1.5;
      discovery_.put(entry);
      const json item = discovery_.whole("s1")["instances"].front();
      return json{{"generation", discovery_.generation()}, {"reset", false}, {"instances", {item}}}
          .dump()
          .size();
    });
  }
  // Every answer to a watch is the whole list from now on; a watch that waits is answered at each put.
  void tellWhole(bool on) {
    call([this, on] {
      discovery_.tamper = {};
      if (on)
        discovery_.tamper = [this](const std::string&) {
          ++wholeTold_;
          return discovery_.whole("s1").dump();
        };
      return 0;
    });
  }
  // As many of them, one after the other, restart and are cold from now on; told in one change.
  void restart(std::size_t count) {
    call([this, count] {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      for (std::size_t n = 0; n < count; ++n) {
        auto& entry = entries_.at(changed_++ % entries_.size());
        entry.startedAtMs = duration_cast<milliseconds>(now).count();
        discovery_.put(entry);
      }
      return 0;
    });
  }
  // Counts the bytes of lists from now on.
  void countLists() {
    call([this] {
      discovery_.tamper = [this](const std::string& text) {
        listBytes_ += text.size();
        return text;
      };
      return 0;
    });
  }
  struct Counts {
    std::uint64_t listBytes = 0, connections = 0;
  };
  Counts counts() {
    return call([this] { return Counts{listBytes_, connections_}; });
  }
  std::uint64_t wholeTold() {
    return call([this] { return wholeTold_; });
  }

 private:
  struct Line : std::enable_shared_from_this<Line> {
    Line(tcp::socket s, std::int64_t us) : socket(std::move(s)), timer(socket.get_executor()), work(us) {}
    void run() {
      asio::async_read_until(socket, buffer, "\r\n\r\n",
                             [self = shared_from_this()](error_code error, std::size_t size) {
                               if (error) return;
                               static const std::string kProbe = "GET /status/load ";
                               const auto* const head = static_cast<const char*>(self->buffer.data().data());
                               const bool probe = std::string_view(head, size).starts_with(kProbe);
                               self->buffer.consume(size);
                               if (probe) return self->answer(true);
                               if (self->work <= 0) return self->answer();
                               self->timer.expires_after(microseconds(self->work));
                               self->timer.async_wait([self](error_code) { self->answer(); });
                             });
    }
    void answer(bool probe = false) {
      static const std::string kLoad =
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 24\r\n\r\nTEXT inflight=1, qps=400";
      static const std::string kAnswer =
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";
      asio::async_write(socket, asio::buffer(probe ? kLoad : kAnswer),
                        [self = shared_from_this()](error_code failed, std::size_t) {
                          if (!failed) self->run();
                        });
    }
    tcp::socket socket;
    asio::steady_timer timer;
    const std::int64_t work;
    asio::streambuf buffer{65536};
  };

  void accept(tcp::acceptor& acceptor) {
    acceptor.async_accept([this, &acceptor](error_code error, tcp::socket socket) {
      if (error) return;
      socket.set_option(tcp::no_delay(true));
      ++connections_;
      std::make_shared<Line>(std::move(socket), work_)->run();
      accept(acceptor);
    });
  }
  // Runs it on the thread of the nodes.
  template <class What>
  auto call(What what) -> decltype(what()) {
    std::promise<decltype(what())> result;
    asio::post(io_, [&] { result.set_value(what()); });
    return result.get_future().get();
  }

  asio::io_context io_{1};
  const std::int64_t work_;
  std::deque<tcp::acceptor> acceptors_;
  ivypost::standins::Ledger ledger_;
  ivypost::standins::Discovery discovery_;
  std::vector<ivypost::standins::Discovery::Entry> entries_;
  tcp::endpoint discoveryAt_;
  json whole_;
  std::size_t changed_ = 0;
  std::uint64_t wholeTold_ = 0, listBytes_ = 0, connections_ = 0;
  std::thread thread_;
};

// A real ivypost that knows these upstreams; ready when built.
class Sidecar {
 public:
  Sidecar(asio::io_context& io, const Options& options, const Upstreams& upstreams)
      : config_(std::filesystem::temp_directory_path() /
                ("ivypost-bench-" + std::to_string(getpid()) + "-" + std::to_string(++count_))) {
    const auto discovery = upstreams.discovery();
    const json file = {
        {"name", "s1"},
        {"listen", "127.0.0.1:0"},
        {"discovery", "127.0.0.1:" + std::to_string(discovery.port())},
        {"seed", "5"},
        {"limits", {{"sockets", 2048}}},
        {"known", upstreams.whole()},
        {"settings",
         {{"balancers", options.sidecars},
          {"index", 0},
          {"zones", {"oviedo-dc1"}},
          {"locality", "oviedo-dc1"},
          {"skus", {"nodo-medio"}},
          {"membershipMode", "automatic"},
          {"classes",
           {{{"name", "consulta"}, {"aim", 500'000}, {"deadline", 1'000'000}, {"semantics", "free"}}}},
          {"limits",
           {{"connectTimeout", 250'000},
            {"idleClose", 30'000'000},
            {"maxStreams", 1},
            {"maxAttempts", 3},
            {"probing", options.growth},
            {"mayCancel", true}}},
          {"prices", {{"probe", 0.004}}},
          {"report", {{"how", "probe"}, {"columns", {"inflight", "qps"}}}},
          {"contract",
           {{"stopSendingWithin", 2'000'000},
            {"startCapacity", 0.3},
            {"cold", 8'000'000},
            {"fallMultiple", 2.5},
            {"fall", 1'000'000}}}}}};
    std::ofstream(config_) << file.dump();
    process_ = std::make_unique<ivypost::fleet::Process>(
        io, options.program, std::vector<std::string>{}, std::vector<std::string>{"GW_CONFIG=" + config_},
        [this](const std::string& line) {
          if (line.rfind("ready on port ", 0) == 0)
            port_ = static_cast<std::uint16_t>(std::stoi(line.substr(14)));
          else
            last_ = line;
        });
    for (int tries = 0; port_ == 0 && tries < 100; ++tries) io.run_one_for(milliseconds(100));
    if (port_ == 0) throw std::runtime_error(options.program + " did not get ready: " + last_);
  }
  ~Sidecar() {
    process_.reset();
    std::error_code ignored;
    std::filesystem::remove(config_, ignored);
  }
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  tcp::endpoint address() const { return {asio::ip::address_v4::loopback(), port_}; }
  double processorUs() const { return static_cast<double>(process_->processor()); }
  std::size_t descriptors() const {
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(process_->id()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
  }
  double peakMb() { return static_cast<double>(process_->usage().peakBytes) / 1e6; }
  double residentMb() const {
    std::ifstream status("/proc/" + std::to_string(process_->id()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) != 0) continue;
      std::size_t kilobytes = 0;
      std::istringstream(line.substr(6)) >> kilobytes;
      return static_cast<double>(kilobytes) * 1024 / 1e6;
    }
    return 0;
  }

 private:
  static inline int count_ = 0;
  const std::string config_;
  std::uint16_t port_ = 0;
  std::string last_;
  std::unique_ptr<ivypost::fleet::Process> process_;
};

// Bytes from each connection to one of the nodes and back, on a thread of its own, and nothing else.
class Relay {
 public:
  explicit Relay(std::vector<tcp::endpoint> nodes) : nodes_(std::move(nodes)), acceptor_(io_, kAny) {
    accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Relay() {
    io_.stop();
    thread_.join();
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  struct OneWay : std::enable_shared_from_this<OneWay> {
    OneWay(std::shared_ptr<tcp::socket> in, std::shared_ptr<tcp::socket> out)
        : from(std::move(in)), to(std::move(out)) {}
    void run() {
      from->async_read_some(asio::buffer(bytes),
                            [self = shared_from_this()](error_code error, std::size_t n) {
                              error_code ignored;
                              if (error) {
                                self->to->close(ignored);
                                return;
                              }
                              asio::async_write(*self->to, asio::buffer(self->bytes.data(), n),
                                                [self](error_code failed, std::size_t) {
                                                  if (!failed) self->run();
                                                });
                            });
    }
    std::shared_ptr<tcp::socket> from, to;
    std::array<char, 16384> bytes{};
  };
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      const auto near = std::make_shared<tcp::socket>(std::move(socket)),
                 far = std::make_shared<tcp::socket>(io_);
      far->connect(nodes_[next_++ % nodes_.size()]);
      for (const auto& one : {near, far}) one->set_option(tcp::no_delay(true));
      std::make_shared<OneWay>(near, far)->run();
      std::make_shared<OneWay>(far, near)->run();
      accept();
    });
  }

  asio::io_context io_{1};
  const std::vector<tcp::endpoint> nodes_;
  std::size_t next_ = 0;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

// One turn: calls when they are due, whatever became of those before.
class Client {
 public:
  struct Result {
    std::vector<double> tookMs, lateMs;
    std::uint64_t failed = 0, opened = 0;
  };

  // Each new connection goes to the next of the targets.
  Client(asio::io_context& io, std::vector<tcp::endpoint> targets) : io_(io), targets_(std::move(targets)) {}
  ~Client() {
    for (const auto& line : lines_) line->end();
    io_.poll();  // their handlers, which find them ended
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Result play(double rate, double seconds, std::uint64_t seed) {
    io_.poll();  // what was closed while the other turn played
    while (idle_.size() < kReadyConnections) idle_.push_back(open());
    result_ = {};
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(rate);
    const Clock::time_point start = Clock::now() + milliseconds(5);
    double at = gap(random);
    while (at < seconds) {
      const auto due = start + duration_cast<Clock::duration>(std::chrono::duration<double>(at));
      while (Clock::now() < due) io_.poll();  // spins: a sleep would be late by more than what is measured
      send(due);
      at += gap(random);
    }
    const auto until = Clock::now() + kSettle;
    while (out_ > 0 && Clock::now() < until) io_.poll();
    result_.failed += out_;
    return std::move(result_);
  }

 private:
  struct Line : std::enable_shared_from_this<Line> {
    Line(Client& client, tcp::socket s) : owner(&client), socket(std::move(s)) {}
    void read() {
      socket.async_read_some(asio::buffer(chunk),
                             [self = shared_from_this()](error_code error, std::size_t n) {
                               if (self->owner == nullptr) return;
                               if (error) return self->owner->broken(self);
                               self->text.append(self->chunk.data(), n);
                               if (self->whole()) return self->owner->answered(self);
                               self->read();
                             });
    }
    // Whether the answer is all there; it ends with as many bytes as Content-Length says.
    bool whole() const {
      const std::size_t head = text.find("\r\n\r\n");
      if (head == std::string::npos) return false;
      static const std::string kLength = "Content-Length: ";
      const std::size_t field = text.find(kLength);
      std::size_t length = 0;
      if (field < head) {
        const char* const from = text.data() + field + kLength.size();
        std::from_chars(from, text.data() + head, length);
      }
      return text.size() >= head + 4 + length;
    }
    void end() {
      owner = nullptr;
      error_code ignored;
      socket.close(ignored);
    }
    Client* owner;  // none once it has ended
    tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string text;
    Clock::time_point due;
    bool out = false;
  };

  std::shared_ptr<Line> open() {
    tcp::socket socket(io_);
    socket.connect(targets_[next_++ % targets_.size()]);  // on loopback, to a queue that has room
    socket.set_option(tcp::no_delay(true));
    const auto line = std::make_shared<Line>(*this, std::move(socket));
    lines_.push_back(line);
    ++result_.opened;
    line->read();
    return line;
  }

  void send(Clock::time_point due) {
    if (idle_.empty() && lines_.size() >= kMaxConnections) {
      ++result_.failed;
      return;
    }
    std::shared_ptr<Line> line;
    if (idle_.empty()) {
      line = open();
    } else {
      line = idle_.front();  // the longest idle: all of them stay in use
      idle_.pop_front();
    }
    line->due = due;
    line->out = true;
    line->text.clear();
    ++out_;
    const std::string request = ivypost::bench::nextRequest();
    result_.lateMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - due).count());
    error_code error;
    asio::write(line->socket, asio::buffer(request), error);  // far less than a socket's buffer
    if (error) broken(line);
  }

  void answered(const std::shared_ptr<Line>& line) {
    if (!std::exchange(line->out, false)) return broken(line);
    --out_;
    if (line->text.rfind("HTTP/1.1 200", 0) == 0) {
      result_.tookMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - line->due).count());
    } else {
      ++result_.failed;
    }
    if (line->text.find("Connection: close") != std::string::npos) return broken(line);
    idle_.push_back(line);
    line->read();
  }

  void broken(const std::shared_ptr<Line>& line) {
    if (std::exchange(line->out, false)) {
      --out_;
      ++result_.failed;
    }
    line->end();
    std::erase(idle_, line);
    std::erase(lines_, line);
  }

  asio::io_context& io_;
  const std::vector<tcp::endpoint> targets_;
  std::size_t next_ = 0, out_ = 0;
  std::deque<std::shared_ptr<Line>> idle_;
  std::vector<std::shared_ptr<Line>> lines_;
  Result result_;
};

constexpr std::array<double, 4> kParts = {0.5, 0.9, 0.99, 0.999};
constexpr std::array<const char*, 4> kNames = {"p50", "p90", "p99", "p99.9"};

double quantile(std::vector<double> values, double part) {
  if (values.empty()) return std::nan("");
  const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
  const std::size_t at = std::clamp<std::size_t>(rank, 1, values.size()) - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

double median(const std::vector<double>& values) {
  return quantile(values, 0.5);
}

json spread(const std::vector<double>& values) {
  if (values.empty()) return {{"median", nullptr}, {"min", nullptr}, {"max", nullptr}};
  return {{"median", median(values)},
          {"min", *std::min_element(values.begin(), values.end())},
          {"max", *std::max_element(values.begin(), values.end())}};
}

std::string show(const json& spread) {
  if (spread["median"].is_null()) return "no round";
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.3f (%.3f to %.3f)", spread["median"].get<double>(),
                spread["min"].get<double>(), spread["max"].get<double>());
  return text.data();
}

void append(std::vector<double>& to, const std::vector<double>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

json latency(const Options& options, std::uint32_t count) {
  Upstreams upstreams(count, options.workUs);
  asio::io_context io(1);
  Sidecar sidecar(io, options, upstreams);
  const double startMb = sidecar.residentMb();
  std::vector<tcp::endpoint> nodes;
  for (std::size_t n = 0; n < std::min<std::size_t>(count, kReadyConnections); ++n)
    nodes.push_back(upstreams.node(n));
  std::unique_ptr<Relay> relay;
  std::unique_ptr<Client> relayed;
  if (options.relay) {
    relay = std::make_unique<Relay>(nodes);
    relayed = std::make_unique<Client>(io, std::vector{relay->address()});
  }
  Client direct(io, nodes), through(io, {sidecar.address()});
  std::array<std::vector<double>, kParts.size()> added, byRelay;
  std::vector<double> allDirect, allThrough, callUs, late;
  std::uint32_t voids = 0;
  std::uint64_t failed = 0, opened = 0, calls = 0;
  json rounds = json::array();
  for (std::uint32_t round = 0; round <= options.rounds; ++round) {
    const std::uint64_t seed = options.seed * 1000 + round;
    Client::Result one, other, bare;
    double used = 0;
    const auto turnThrough = [&] {
      const double before = sidecar.processorUs();
      other = through.play(options.rate, options.seconds, seed);
      used = sidecar.processorUs() - before;
    };
    if (relayed) bare = relayed->play(options.rate, options.seconds, seed);
    if (round % 2 == 0) {  // neither turn is always the later one
      one = direct.play(options.rate, options.seconds, seed);
      turnThrough();
    } else {
      turnThrough();
      one = direct.play(options.rate, options.seconds, seed);
    }
    if (!options.asJson) std::fprintf(stderr, "\r%u upstreams: round %u of %u", count, round, options.rounds);
    if (round == 0) continue;  // connections are made and upstreams met in it
    double lateness = std::max(quantile(one.lateMs, 0.99), quantile(other.lateMs, 0.99));
    if (relayed) lateness = std::max(lateness, quantile(bare.lateMs, 0.99));
    const bool isVoid = !(lateness <= kLatenessMs);
    json figures = {{"late_p99_ms", lateness},
                    {"late_max_ms", std::max(quantile(one.lateMs, 1), quantile(other.lateMs, 1))},
                    {"void", isVoid},
                    {"failed_direct", one.failed},
                    {"failed_through", other.failed}};
    for (std::size_t n = 0; n < kParts.size(); ++n) {
      const double near = quantile(one.tookMs, kParts[n]), far = quantile(other.tookMs, kParts[n]);
      figures["direct"][kNames[n]] = near;
      figures["through"][kNames[n]] = far;
      if (!isVoid) added[n].push_back(far - near);
      if (!relayed) continue;
      figures["relay"][kNames[n]] = quantile(bare.tookMs, kParts[n]);
      if (!isVoid) byRelay[n].push_back(quantile(bare.tookMs, kParts[n]) - near);
    }
    rounds.push_back(figures);
    if (isVoid) {
      ++voids;
      continue;
    }
    late.push_back(lateness);
    append(allDirect, one.tookMs);
    append(allThrough, other.tookMs);
    callUs.push_back(used / static_cast<double>(other.lateMs.size()));
    failed += one.failed + other.failed;
    opened += other.opened;
    calls += other.lateMs.size();
  }
  json result = {{"upstreams", count},
                 {"rounds", rounds},
                 {"void_rounds", voids},
                 {"calls_through", calls},
                 {"failed", failed},
                 {"client_connections_opened", opened},
                 {"lateness_p99_ms", spread(late)},
                 {"processor_us_a_call", spread(callUs)},
                 {"resident_mb_at_start", startMb},
                 {"resident_mb", sidecar.residentMb()},
                 {"peak_mb", sidecar.peakMb()}};
  for (std::size_t n = 0; n < kParts.size(); ++n) {
    result["direct_ms"][kNames[n]] = quantile(allDirect, kParts[n]);
    result["through_ms"][kNames[n]] = quantile(allThrough, kParts[n]);
    result["added_ms"][kNames[n]] = spread(added[n]);
    if (relayed) result["relay_added_ms"][kNames[n]] = spread(byRelay[n]);
  }
  if (!options.asJson) std::fputs("\r\x1b[K", stderr);
  return result;
}

void showLatency(const json& r) {
  std::printf("%u upstreams: %llu calls through, %llu failed, %u rounds void, late p99 %s ms\n",
              r["upstreams"].get<unsigned>(), r["calls_through"].get<unsigned long long>(),
              r["failed"].get<unsigned long long>(), r["void_rounds"].get<unsigned>(),
              show(r["lateness_p99_ms"]).c_str());
  for (const char* name : kNames) {
    const auto all = [&](const char* which) {
      return r[which][name].is_number() ? r[which][name].get<double>() : std::nan("");
    };
    std::printf("  %-6s direct %8.3f ms  through %8.3f ms  added by round %s ms\n", name, all("direct_ms"),
                all("through_ms"), show(r["added_ms"][name]).c_str());
    if (r.contains("relay_added_ms"))
      std::printf("         a bare relay adds %s ms\n", show(r["relay_added_ms"][name]).c_str());
  }
  std::printf("  processor %s us a call; resident %.1f MB at the start, %.1f MB after, %.1f MB peak\n",
              show(r["processor_us_a_call"]).c_str(), r["resident_mb_at_start"].get<double>(),
              r["resident_mb"].get<double>(), r["peak_mb"].get<double>());
}

// What the sidecar's processor spends a second with no traffic, in three states in turns.
json control(const Options& options, std::uint32_t count) {
  Upstreams upstreams(count, options.workUs);
  asio::io_context io(1);
  Sidecar sidecar(io, options, upstreams);
  std::this_thread::sleep_for(milliseconds(1500));  // its start, and its first list
  const double startMb = sidecar.residentMb();
  std::vector<double> rest, change, whole, changePush, wholePush;
  std::size_t changeBytes = 0;
  const auto span = duration_cast<Clock::duration>(std::chrono::duration<double>(options.seconds));
  // Microseconds a second, while `eachSecond` is called once a second.
  const auto measure = [&](const auto& eachSecond) {
    const double before = sidecar.processorUs();
    const auto from = Clock::now();
    std::uint64_t times = 0;
    while (from + std::chrono::seconds(times) < from + span) {
      std::this_thread::sleep_until(from + std::chrono::seconds(times++) + milliseconds(500));
      eachSecond();
      std::this_thread::sleep_until(from + std::chrono::seconds(times));
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - from).count();
    return std::pair((sidecar.processorUs() - before) / seconds, static_cast<double>(times) / seconds);
  };
  for (std::uint32_t round = 0; round < options.rounds; ++round) {
    const auto [restUs, once] = measure([] {});
    const auto [changeUs, changes] = measure([&] { changeBytes = upstreams.changeOne(); });
    upstreams.tellWhole(true);
    const std::uint64_t told = upstreams.wholeTold();
    const auto [wholeUs, ignored] = measure([&] { upstreams.changeOne(); });
    const auto pushes = static_cast<double>(upstreams.wholeTold() - told) / std::ceil(options.seconds);
    upstreams.tellWhole(false);
    rest.push_back(restUs);
    change.push_back(changeUs);
    whole.push_back(wholeUs);
    changePush.push_back((changeUs - restUs) / changes);
    wholePush.push_back(pushes > 0 ? (wholeUs - restUs) / pushes : std::nan(""));
    if (!options.asJson)
      std::fprintf(stderr, "\r%u upstreams: round %u of %u", count, round + 1, options.rounds);
  }
  if (!options.asJson) std::fputs("\r\x1b[K", stderr);
  return {{"upstreams", count},
          {"list_bytes", upstreams.whole().dump().size()},
          {"change_bytes", changeBytes},
          {"rest_us_a_second", spread(rest)},
          {"change_us_a_second", spread(change)},
          {"whole_us_a_second", spread(whole)},
          {"us_a_change", spread(changePush)},
          {"us_a_whole_list", spread(wholePush)},
          {"resident_mb_at_start", startMb},
          {"resident_mb", sidecar.residentMb()},
          {"peak_mb", sidecar.peakMb()}};
}

void showControl(const json& r) {
  std::printf("%u upstreams: list %zu bytes, a change %zu bytes\n", r["upstreams"].get<unsigned>(),
              r["list_bytes"].get<std::size_t>(), r["change_bytes"].get<std::size_t>());
  std::printf("  us of processor a second: at rest %s, a change a second %s, a whole list a second %s\n",
              show(r["rest_us_a_second"]).c_str(), show(r["change_us_a_second"]).c_str(),
              show(r["whole_us_a_second"]).c_str());
  std::printf("  us a change %s, a whole list %s\n", show(r["us_a_change"]).c_str(),
              show(r["us_a_whole_list"]).c_str());
  std::printf("  resident %.1f MB at the start, %.1f MB after, %.1f MB peak\n",
              r["resident_mb_at_start"].get<double>(), r["resident_mb"].get<double>(),
              r["peak_mb"].get<double>());
}

// What a sidecar needs over one course, its start with it.
json growth(const Options& options, std::uint32_t count) {
  Upstreams upstreams(count, options.workUs);
  upstreams.countLists();
  asio::io_context io(1);
  Sidecar sidecar(io, options, upstreams);
  std::size_t descriptors = 0;
  std::atomic<bool> over = false;
  std::thread beside([&] {
    double due = 0;
    for (int tick = 0; !over; ++tick) {
      std::this_thread::sleep_for(milliseconds(100));
      descriptors = std::max(descriptors, sidecar.descriptors());
      if (tick % 10 != 9) continue;
      due += options.restarts / 100 * count;
      upstreams.restart(static_cast<std::size_t>(due));
      due -= std::floor(due);
    }
  });
  Client client(io, {sidecar.address()});
  const Client::Result result = client.play(options.rate, options.seconds, options.seed);
  over = true;
  beside.join();
  const Upstreams::Counts counts = upstreams.counts();
  const auto calls = static_cast<double>(result.lateMs.size());
  return {{"upstreams", count},
          {"calls", calls},
          {"cpu_seconds", sidecar.processorUs() / 1e6},
          {"peak_mb", sidecar.peakMb()},
          {"descriptors", descriptors},
          {"connections", counts.connections},
          {"list_bytes", counts.listBytes},
          {"served", static_cast<double>(result.tookMs.size()) / calls}};
}

// The page's bounds: so many times the usual size's figure, so much more, and so much for each thousand.
struct Bound {
  const char* name;
  double times, more, eachThousand;
};
constexpr std::array<Bound, 5> kBounds = {{{"cpu_seconds", 1.4, 0.02, 0.03},
                                           {"peak_mb", 1.5, 8, 4},
                                           {"descriptors", 2, 40, 0},
                                           {"connections", 2.5, 40, 0},
                                           {"list_bytes", 2, 64e3, 500e3}}};

void showGrowth(const json& r, const json& usual) {
  const double thousands = r["upstreams"].get<double>() / 1000;
  std::printf("%u upstreams, %.0f calls\n", r["upstreams"].get<unsigned>(), r["calls"].get<double>());
  for (const Bound& bound : kBounds) {
    const double found = r[bound.name].get<double>();
    const double most =
        bound.times * usual[bound.name].get<double>() + bound.more + bound.eachThousand * thousands;
    std::printf("  %-12s %12.3f  at most %12.3f%s\n", bound.name, found, most, found > most ? "  OVER" : "");
  }
  const double served = r["served"].get<double>(), least = 0.85 * usual["served"].get<double>();
  std::printf("  %-12s %12.3f  at least %11.3f%s\n", "served", served, least,
              served < least ? "  UNDER" : "");
}

// Each upstream has a listener here, and some of them connections.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  Options options;
  CLI::App app("What ivypost adds to a call, and what its control part costs at rest, by the list's length");
  app.add_option("ivypost", options.program, "the sidecar's program")->required()->check(CLI::ExistingFile);
  app.add_option("--upstreams", options.upstreams, "lengths of the list, a run each")
      ->delimiter(',')
      ->check(CLI::Range(1, 4000));
  app.add_option("--rate", options.rate, "calls a second")->check(CLI::Range(1.0, 20000.0));
  app.add_option("--rounds", options.rounds, "rounds that count")->check(CLI::Range(1, 1000));
  app.add_option("--seconds", options.seconds, "of each turn of a round")->check(CLI::Range(1.0, 600.0));
  app.add_option("--work-us", options.workUs, "a node answers after so long; 0: at once")
      ->check(CLI::Range(0, 1'000'000));
  app.add_option("--sidecars", options.sidecars, "as many the sidecar is told there are")
      ->check(CLI::Range(1, 1'000'000));
  app.add_option("--seed", options.seed, "of the arrivals");
  app.add_flag("--control", options.control, "measures the control part, with no traffic, in place of calls");
  app.add_flag("--growth", options.growth, "measures one course at each length, beside the bounds of growth");
  app.add_option("--restarts", options.restarts, "with --growth: of a hundred upstreams, a second")
      ->check(CLI::Range(0.0, 100.0));
  app.add_flag("--relay", options.relay, "a third turn, through a bare relay");
  app.add_flag("--json", options.asJson, "prints all figures as JSON");
  CLI11_PARSE(app, argc, argv);
  try {
    json all = json::array();
    for (const std::uint32_t count : options.upstreams) {
      all.push_back(options.growth    ? growth(options, count)
                    : options.control ? control(options, count)
                                      : latency(options, count));
      if (options.asJson) continue;
      if (options.growth)
        showGrowth(all.back(), all.front());
      else
        (options.control ? showControl : showLatency)(all.back());
      std::fflush(stdout);
    }
    if (options.asJson) std::printf("%s\n", all.dump(1).c_str());
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "added_latency: %s\n", error.what());
    return 2;
  }
}
