// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Discrete-event simulation of many balancers and the upstreams that they share, for tests of their combined
// effect. An upstream works on kCores requests at once and queues the rest in order; one in slow start is
// slower. Deterministic for a seed.
#ifndef IVYPOST_TESTS_FLEET_RIG_H_
#define IVYPOST_TESTS_FLEET_RIG_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "rig.h"

namespace ivypost::balancer {

/// Sidecars, upstreams, arrivals and the simulated clock. Arrivals and amounts of work are exponentially
/// distributed.
class Fleet {
 public:
  /// How an upstream answers: Sound works and queues; Hangs never answers; Errors and Quick answer after 2
  /// ms, with an error or a success, at any load.
  enum class Mode { Sound, Hangs, Errors, Quick };
  /// An upstream and what was sent to it.
  struct Node {
    double size = 1;  ///< as in the list; also the speed of each of its cores
    Micros launchedAt = 0;
    Mode mode = Mode::Sound;
    EndpointState state = EndpointState::Serving;
    std::vector<Micros> sentAt;  ///< time of each attempt that was sent to it
    std::vector<double> work;    ///< work of each of these attempts, relative to the mean
    double peakLoad = 0;         ///< highest load of one fallWindow, relative to the capacity at its end
  };
  /// Requests that arrived, and their final answers: within the latency objective, late, rejected, failed.
  struct Count {
    int arrived = 0, inTime = 0, late = 0, rejected = 0, failed = 0;
    /// The share of all requests, 0 to 1.
    double part(int of) const { return arrived == 0 ? 0 : static_cast<double>(of) / arrived; }
  };

  /// Starts all sidecars at once with the saved list.
  /// @param perSecond requests a second of all sidecars together, split at random weights from 0.3 to 1.3
  /// @param firstSidecarShare the first sidecar's share of them, 0 to 1; 0: by its weight like the others
  Fleet(const Settings& settings, std::vector<Node> nodes, double perSecond, std::uint64_t seed = 1,
        double firstSidecarShare = 0)
      : now(1000 * kSecond), nodes_(std::move(nodes)), settings_(settings), random_(seed) {
    queues_.resize(nodes_.size());
    double sum = 0;
    for (std::uint32_t n = 0; n < settings_.sidecars; ++n) {
      sidecars_.push_back(std::make_unique<Sidecar>());
      sidecars_[n]->weight = 0.3 + uniform();  // sidecars differ in their traffic
      sum += sidecars_[n]->weight;
    }
    if (firstSidecarShare > 0) {
      sum -= sidecars_[0]->weight;
      sidecars_[0]->weight = sum * firstSidecarShare / (1 - firstSidecarShare);
      sum += sidecars_[0]->weight;
    }
    for (std::uint32_t n = 0; n < settings_.sidecars; ++n) {
      sidecars_[n]->meanInterval = 1e6 * sum / (perSecond * sidecars_[n]->weight);
      startProcess(n);
      scheduleArrival(n);
    }
  }

  /// Kills every process with its open requests and attempts, and starts it again with the current list.
  void restartAll() {
    for (std::uint32_t n = 0; n < sidecars_.size(); ++n) {
      sidecars_[n]->requests.clear();
      sidecars_[n]->out.clear();
      startProcess(n);
    }
  }

  /// Starts a second process beside each, as in a rolling restart; each of the two gets `part` of the first
  /// process's former traffic.
  void startSecondProcesses(double part) {
    const auto before = static_cast<std::uint32_t>(sidecars_.size());
    for (std::uint32_t n = 0; n < before; ++n) {
      sidecars_.push_back(std::make_unique<Sidecar>());
      sidecars_.back()->meanInterval = sidecars_[n]->meanInterval /= part;
      startProcess(before + n);
      scheduleArrival(before + n);
    }
  }

  /// Schedules `callback` once, `after` from now.
  void at(Micros after, std::function<void()> callback) { push(now + after, std::move(callback)); }

  /// Advances the simulation by `span`.
  void run(Micros span) {
    const Micros end = now + span;
    while (!events_.empty() && events_.top().at <= end) {
      // Removed before it runs, since it may schedule further events.
      auto callback = events_.top().callback;
      now = events_.top().at;
      events_.pop();
      callback();
    }
    now = end;
  }

  /// Sends the current list in full to each sidecar, at a random time within `spread`.
  void updateAllLists(Micros spread = 0) {
    for (std::uint32_t n = 0; n < sidecars_.size(); ++n) {
      at(static_cast<Micros>(uniform() * static_cast<double>(spread)),
         [this, n] { sendList(n, MembershipUpdate::Kind::Full); });
    }
  }

  /// Adds an upstream that starts now, and returns its id; sidecars learn of it with the next list.
  EndpointId launch(double size, Mode mode = Mode::Sound) {
    Node node;
    node.size = size;
    node.launchedAt = now;
    node.mode = mode;
    nodes_.push_back(node);
    queues_.emplace_back();
    return static_cast<EndpointId>(nodes_.size() - 1);
  }

  Node& node(EndpointId id) { return nodes_[id]; }
  std::size_t nodes() const { return nodes_.size(); }
  /// The counts since the last call.
  Count takeCounts() { return std::exchange(count_, Count{}); }

  /// Attempts of all sidecars at the upstream in [from, to).
  int sends(EndpointId id, Micros from, Micros to) const {
    const auto& times = nodes_[id].sentAt;
    return static_cast<int>(std::lower_bound(times.begin(), times.end(), to) -
                            std::lower_bound(times.begin(), times.end(), from));
  }

  /// Attempts of all sidecars that are in flight.
  std::size_t attemptsInFlight() const {
    std::size_t out = 0;
    for (const auto& sidecar : sidecars_) out += sidecar->out.size();
    return out;
  }

  /// Capacity of the node now, in seconds of work a second (of a core of size one), reduced in slow start.
  double capacity(const Node& node) const {
    double capacityFraction = 1;
    if (node.launchedAt > 0 && settings_.slowStartWindow > 0) {
      const double part =
          static_cast<double>(now - node.launchedAt) / static_cast<double>(settings_.slowStartWindow);
      capacityFraction = settings_.startCapacity + (1 - settings_.startCapacity) * std::clamp(part, 0.0, 1.0);
    }
    return kCores * node.size * capacityFraction;
  }

  Micros now;                           ///< the simulated clock
  Micros work = 50 * kMs;               ///< mean service time of a request, on a core of size one
  std::uint32_t requestClass = kKeyed;  ///< class of all requests
  double rateFactor = 1;                ///< factor of the arrival rate, for arrivals scheduled from now on
  bool sendsWorkHints = false;          ///< whether requests carry their work as a hint

 private:
  static constexpr std::size_t kCores = 2;
  struct Attempt {
    std::uint32_t sidecar;
    RequestId request;
    std::uint32_t number;
    double work;
  };
  struct Sidecar {
    std::unique_ptr<Balancer> balancer;
    double weight = 1, meanInterval = 0;
    struct Open {
      Micros arrivedAt;
      std::uint32_t attempts = 0;
      double work = 0;  // seconds, as hinted; 0: no hint
      bool isAnswered = false;
    };
    std::unordered_map<RequestId, Open> requests;
    std::map<std::pair<RequestId, std::uint32_t>, EndpointId> out;
  };
  struct Queue {
    std::deque<Attempt> waiting;
    std::size_t running = 0;
    std::deque<Micros> recentSends;  // send times of attempts within fallWindow
  };
  struct ScheduledEvent {
    Micros at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const ScheduledEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void startProcess(std::uint32_t n) {
    settings_.sidecar = n % settings_.sidecars;
    sidecars_[n]->balancer = std::make_unique<Balancer>(settings_, random_(), now);
    sendList(n, MembershipUpdate::Kind::Saved);
  }

  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  double exponential() { return -std::log1p(-uniform()); }
  void push(Micros at, std::function<void()> callback) { events_.push({at, order_++, std::move(callback)}); }

  void sendList(std::uint32_t n, MembershipUpdate::Kind kind) {
    MembershipUpdate update;
    update.kind = kind;
    for (EndpointId id = 0; id < nodes_.size(); ++id) {
      if (nodes_[id].state == EndpointState::Gone) continue;
      EndpointEntry entry;
      entry.upstream = id;
      entry.cell = id / 8;
      entry.state = nodes_[id].state;
      entry.size = nodes_[id].size;
      entry.launchedAt = nodes_[id].launchedAt;
      entry.identity = id + 1;
      update.entries.push_back(entry);
    }
    feed(n, update);
  }

  void scheduleArrival(std::uint32_t n) {
    at(static_cast<Micros>(exponential() * sidecars_[n]->meanInterval / rateFactor), [this, n] {
      NewRequest request;
      request.request = ++lastRequest_;
      request.requestClass = requestClass;
      request.expiresIn = settings_.classes[requestClass].deadline;
      auto& open = sidecars_[n]->requests[request.request];
      open.arrivedAt = now;
      if (sendsWorkHints) {
        open.work = std::max(1e-6, exponential() * static_cast<double>(work) / 1e6);
        request.work = static_cast<Micros>(1e6 * open.work);
      }
      ++count_.arrived;
      feed(n, request);
      scheduleArrival(n);
    });
  }

  void feed(std::uint32_t n, const Event& event) {
    std::vector<Action> actions;
    sidecars_[n]->balancer->handle(event, now, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) sendTo(n, *send);
      if (const auto* cancel = std::get_if<Cancel>(&action))
        endAttempt(n, cancel->request, cancel->attempt, Outcome::Cancelled);
      if (const auto* reject = std::get_if<Reject>(&action))
        recordAnswer(n, reject->request, &Count::rejected);
      if (const auto* fail = std::get_if<Fail>(&action)) recordAnswer(n, fail->request, &Count::failed);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        at(timer->delay, [this, n] { feed(n, TimerDue{}); });
    }
  }

  void sendTo(std::uint32_t n, const Send& send) {
    auto& open = sidecars_[n]->requests.at(send.request);
    const double workSeconds = open.work > 0 ? open.work : exponential() * static_cast<double>(work) / 1e6;
    const Attempt attempt{n, send.request, open.attempts++, workSeconds};
    sidecars_[n]->out[{send.request, attempt.number}] = send.upstream;
    Node& node = nodes_[send.upstream];
    node.sentAt.push_back(now);
    node.work.push_back(open.work > 0 ? 1e6 * workSeconds / static_cast<double>(work) : 1);
    Queue& queue = queues_[send.upstream];
    queue.recentSends.push_back(now);
    while (queue.recentSends.front() <= now - settings_.fallWindow) queue.recentSends.pop_front();
    const double sent =
        static_cast<double>(queue.recentSends.size() * work) / static_cast<double>(settings_.fallWindow);
    node.peakLoad = std::max(node.peakLoad, sent / capacity(node));
    if (node.mode == Mode::Errors || node.mode == Mode::Quick) {
      const Outcome outcome = node.mode == Mode::Quick ? Outcome::Ok : Outcome::Error;
      return at(2 * kMs, [this, attempt, outcome] {
        endAttempt(attempt.sidecar, attempt.request, attempt.number, outcome);
      });
    }
    if (node.mode == Mode::Hangs) return;
    queue.waiting.push_back(attempt);
    startWork(send.upstream);
  }

  void startWork(EndpointId id) {
    Queue& queue = queues_[id];
    while (queue.running < kCores && !queue.waiting.empty()) {
      const Attempt attempt = queue.waiting.front();
      queue.waiting.pop_front();
      const auto& out = sidecars_[attempt.sidecar]->out;
      if (out.count({attempt.request, attempt.number}) == 0) continue;  // cancelled while it was queued
      ++queue.running;
      const double speed = capacity(nodes_[id]) / static_cast<double>(kCores);
      at(static_cast<Micros>(1e6 * attempt.work / speed) + 1, [this, id, attempt] {
        --queues_[id].running;
        endAttempt(attempt.sidecar, attempt.request, attempt.number, Outcome::Ok);
        startWork(id);
      });
    }
  }

  void endAttempt(std::uint32_t n, RequestId request, std::uint32_t number, Outcome outcome) {
    Sidecar& sidecar = *sidecars_[n];
    const auto found = sidecar.out.find({request, number});
    if (found == sidecar.out.end()) return;
    const EndpointId upstream = found->second;
    sidecar.out.erase(found);
    const auto& open = sidecar.requests.at(request);
    AttemptOutcome event{request, number, upstream, outcome, 0, open.isAnswered, std::nullopt};
    if (outcome == Outcome::Ok && !open.isAnswered) {
      event.endsRequest = true;
      recordAnswer(n, request,
                   now - open.arrivedAt <= settings_.classes[requestClass].latencyObjective ? &Count::inTime
                                                                                            : &Count::late);
    }
    // Delivered as a separate event, as from a socket: the balancer must not be called from within handle().
    push(now, [this, n, event] { feed(n, event); });
  }

  void recordAnswer(std::uint32_t n, RequestId request, int Count::*how) {
    auto& open = sidecars_[n]->requests.at(request);
    EXPECT_FALSE(open.isAnswered) << "a second final answer to one request";
    open.isAnswered = true;
    ++(count_.*how);
  }

  std::vector<Node> nodes_;
  std::vector<Queue> queues_;
  Settings settings_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::priority_queue<ScheduledEvent> events_;
  std::uint64_t order_ = 0;
  RequestId lastRequest_ = 0;
  Count count_;
};

}  // namespace ivypost::balancer

#endif  // IVYPOST_TESTS_FLEET_RIG_H_
