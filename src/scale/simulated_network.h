// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Many sidecars' membership on simulated time, over a network that loses, doubles, delays and reorders by one
// seed. What each sends and is sent is counted, whole and in the worst second; a sidecar's account outlives
// its restarts.
#ifndef IVYPOST_SCALE_SIMULATED_NETWORK_H_
#define IVYPOST_SCALE_SIMULATED_NETWORK_H_

#include <time.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gossip/members.h"

namespace ivypost::gossip {

constexpr Micros kMs = 1'000, kSecond = 1'000'000;

// Datagrams one way at one sidecar, each with kDatagramOverhead.
class Traffic {
 public:
  static constexpr Micros kSlot = 100 * kMs;
  static constexpr std::size_t kSlots = 10;  // a window of a second, slid by a slot

  void add(std::size_t length, Micros now) {
    const std::int64_t slot = now / kSlot;
    if (slot - slot_ >= static_cast<std::int64_t>(kSlots)) {
      slots_.fill(0);
      inWindow_ = 0;
      slot_ = slot;
    }
    while (slot_ < slot) {
      std::uint64_t& oldest = slots_[static_cast<std::size_t>(++slot_) % kSlots];
      inWindow_ -= oldest;
      oldest = 0;
    }
    const std::uint64_t whole = length + kDatagramOverhead;
    slots_[static_cast<std::size_t>(slot) % kSlots] += whole;
    inWindow_ += whole;
    peak_ = std::max(peak_, inWindow_);
    bytes_ += whole;
    ++datagrams_;
  }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t peak() const { return peak_; }  // bytes in the worst second

 private:
  std::array<std::uint64_t, kSlots> slots_{};
  std::int64_t slot_ = 0;
  std::uint64_t inWindow_ = 0, peak_ = 0, bytes_ = 0, datagrams_ = 0;
};

class SimulatedNetwork {
 public:
  struct Account {
    Traffic sent, received;
  };
  struct Faults {
    double loss = 0, doubled = 0;
    Micros delay = 500, jitter = 1500;
    // Whether a datagram from one to another gets through; empty: yes.
    std::function<bool(std::size_t from, std::size_t to)> passes;
  } faults;
  std::uint64_t sentBytes = 0, sent = 0;
  Micros now = 1000 * kSecond;
  // Processor time inside of tick() and receive() of all, in nanoseconds; 0 unless it is measured.
  bool measureMembers = false;
  std::uint64_t membersNanos = 0;

  explicit SimulatedNetwork(std::uint64_t seed) : random_(seed) {}

  static Address addressOf(std::size_t number) {
    return {0x0a000001 + static_cast<std::uint32_t>(number), 7946};
  }
  static PeerId idAt(std::size_t number) { return idOf(std::string("s").append(std::to_string(number))); }

  // Starts this one, or starts it anew in another life.
  Members& start(std::size_t number, std::uint32_t expected,
                 const std::function<void(Settings&)>& change = {}) {
    if (number >= nodes_.size()) nodes_.resize(number + 1);
    Settings settings;
    settings.self = idAt(number);
    settings.address = addressOf(number);
    settings.incarnation = static_cast<std::uint64_t>(now / 1000);
    settings.seeds = {addressOf(0), addressOf(1), addressOf(2)};
    settings.expected = expected;
    if (change) change(settings);
    Node& node = nodes_[number];
    node.members = std::make_unique<Members>(settings, random_(), now);
    node.waiting.clear();
    node.paused = false;
    ++node.life;
    node.wakeAt = 0;
    wake(number);
    return *node.members;
  }
  void kill(std::size_t number) {
    nodes_[number].members.reset();
    ++nodes_[number].life;
  }
  // As SIGSTOP and SIGCONT: what comes meanwhile waits in the kernel, some of it.
  void pause(std::size_t number) { nodes_[number].paused = true; }
  void resume(std::size_t number) {
    Node& node = nodes_[number];
    node.paused = false;
    std::vector<Outgoing> out;
    for (const Message& message : std::exchange(node.waiting, {})) node.members->receive(message, now, out);
    carry(number, out);
    node.wakeAt = 0;
    wake(number);
  }
  Members& at(std::size_t number) { return *nodes_[number].members; }
  bool runs(std::size_t number) const { return number < nodes_.size() && nodes_[number].members != nullptr; }
  std::size_t count() const { return nodes_.size(); }
  void inject(std::size_t to, const Message& message) {
    deliver(to, message, encode(message).size() + kSealBytes);
  }
  const Account& account(std::size_t number) const { return nodes_[number].account; }
  void resetAccounts() {
    for (Node& node : nodes_) node.account = {};
  }

  void run(Micros span) {
    const Micros end = now + span;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now = std::max(now, event.at);
      if (event.message != nullptr) {
        deliver(event.to, *event.message, event.bytes);
      } else if (runs(event.to) && event.life == nodes_[event.to].life && !nodes_[event.to].paused &&
                 event.at == nodes_[event.to].wakeAt) {
        nodes_[event.to].wakeAt = 0;
        std::vector<Outgoing> out;
        measured([&] { at(event.to).tick(now, out); });
        carry(event.to, out);
        wake(event.to);
      }
    }
    now = end;
  }
  // Runs until it holds everywhere that something runs; false if not within this time.
  bool until(const std::function<bool()>& holds, Micros atMost, Micros step = 50 * kMs) {
    for (const Micros end = now + atMost; now < end; run(step))
      if (holds()) return true;
    return holds();
  }
  bool all(const std::function<bool(Members&)>& holds) {
    for (std::size_t n = 0; n < count(); ++n)
      if (runs(n) && !nodes_[n].paused && !holds(at(n))) return false;
    return true;
  }

 private:
  struct Node {
    std::unique_ptr<Members> members;
    std::uint32_t life = 0;
    bool paused = false;
    Micros wakeAt = 0;
    std::deque<Message> waiting;
    Account account;
  };
  struct Event {
    Micros at = 0;
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::uint32_t life = 0;
    std::shared_ptr<const Message> message;  // none: a tick
    std::size_t bytes = 0;                   // of the message, with its seal
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  static constexpr std::size_t kKernelHolds = 200;

  static std::uint64_t threadNanos() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(time.tv_nsec);
  }
  template <class Work>
  void measured(const Work& work) {
    const std::uint64_t from = measureMembers ? threadNanos() : 0;
    work();
    if (measureMembers) membersNanos += threadNanos() - from;
  }
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  // As a timer that is armed anew after each event: of those queued only the last one set counts.
  void wake(std::size_t number) {
    Node& node = nodes_[number];
    const Micros next = std::max(now + 1, at(number).nextTick());
    if (node.wakeAt == next) return;
    node.wakeAt = next;
    events_.push({next, ++order_, number, node.life, nullptr, 0});
  }
  void deliver(std::size_t to, const Message& message, std::size_t bytes) {
    if (!runs(to)) return;
    Node& node = nodes_[to];
    if (node.paused) {
      if (node.waiting.size() < kKernelHolds) node.waiting.push_back(message);
      return;
    }
    std::vector<Outgoing> out;
    node.account.received.add(bytes, now);
    measured([&] { node.members->receive(message, now, out); });
    carry(to, out);
    wake(to);
  }
  void carry(std::size_t from, std::vector<Outgoing>& out) {
    for (Outgoing& one : out) {
      ++sent;
      const auto bytes = encode(one.message);
      sentBytes += bytes.size() + kSealBytes;
      nodes_[from].account.sent.add(bytes.size() + kSealBytes, now);
      const auto to = static_cast<std::size_t>(one.to.ip - addressOf(0).ip);
      if (to >= nodes_.size() || (faults.passes && !faults.passes(from, to))) continue;
      const auto message = std::make_shared<const Message>(*decode(bytes));
      for (int copies = uniform() < faults.doubled ? 2 : 1; copies > 0; --copies) {
        if (uniform() < faults.loss) continue;
        const auto late = faults.delay + static_cast<Micros>(uniform() * static_cast<double>(faults.jitter));
        events_.push({now + late, ++order_, to, 0, message, bytes.size() + kSealBytes});
      }
    }
  }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_SCALE_SIMULATED_NETWORK_H_
