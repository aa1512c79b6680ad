// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Watchers against a simulated etcd in simulated time: the fake's store and watches, members with the
// faults that tests inject, and a network with latency. Nothing waits in real time, and all randomness
// comes from the simulation's seed.
#ifndef IVYPOST_TESTS_DISCOVERY_ETCD_SIMULATION_H_
#define IVYPOST_TESTS_DISCOVERY_ETCD_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "discovery/etcd/api_conversion.h"
#include "discovery/etcd/prefix_watcher.h"
#include "standins/etcd/store.h"
#include "standins/etcd/watches.h"

namespace ivypost::discovery::etcd {

namespace pb = etcdserverpb;
namespace fakes = standins;
using fakes::etcd::Failure;
using fakes::etcd::Store;
using fakes::etcd::Watches;

constexpr Micros kMs = 1000, kSecond = 1'000'000;

inline std::string instanceJson(int port, std::int64_t startedAtMs = 0, const char* lifecycle = "up") {
  return R"({"hostPort":"127.0.0.1:)" + std::to_string(port) + R"(","lifecycle":")" + lifecycle +
         R"(","startedAtMs":)" + std::to_string(startedAtMs) + "}";
}

class Simulation {
 public:
  struct Member {
    bool down = false;      // calls fail immediately, streams end
    bool stalled = false;   // requests are accepted and not answered
    bool withheld = false;  // events are not sent; progress requests and calls are answered
    bool behind =
        false;  // watches deliver no events, and reads wait for revisions that the member does not have
    std::optional<Store> lagging;  // the member answers from this old store, which a correct member would not
    std::uint64_t cluster = 7;
    bool progressAhead = false, repeated = false, cutFragment = false;
  };
  struct Sidecar {
    explicit Sidecar(const Options& options, std::uint64_t seed) : watcher(options, seed) {}
    PrefixWatcher watcher;
    std::map<std::string, Instance> list;  // the published list
    std::vector<Publish> published;
    std::vector<std::string> reports;
    int fetchFailed = 0;
    // The sidecar's open stream.
    std::uint64_t stream = 0;
    std::size_t member = 0;
    Watches watches;
    std::vector<WatchResult> held;  // responses that are delayed while the member stalls
    Micros nextDeliveryAt =
        0;  // earliest time of the next delivery, so that messages on a stream stay in order
  };

  explicit Simulation(std::size_t count = 3, std::size_t sidecars = 1, std::uint64_t seed = 1)
      : random_(seed), members(count) {
    for (std::size_t n = 0; n < count; ++n)
      options.endpoints.push_back("http://10.0.0." + std::to_string(n + 1) + ":2379");
    for (std::size_t n = 0; n < sidecars; ++n)
      all.push_back(std::make_unique<Sidecar>(options, seed * 1000 + n));
  }

  Sidecar& firstSidecar() { return *all.front(); }
  const std::map<std::string, Instance>& list() { return firstSidecar().list; }

  // ---- The store ----
  static std::string key(const std::string& id) { return "/ivypost/nodes/" + id; }
  void put(const std::string& id, const std::string& value) { txn({}, {{key(id), value}}); }
  void remove(const std::string& id) { txn({key(id)}, {}); }
  void txn(const std::vector<std::string>& gone,
           const std::vector<std::pair<std::string, std::string>>& puts) {
    pb::TxnRequest request;
    for (const auto& k : gone) request.add_success()->mutable_request_delete_range()->set_key(k);
    for (const auto& [k, v] : puts) {
      request.add_success()->mutable_request_put()->set_key(k);
      request.mutable_success(request.success_size() - 1)->mutable_request_put()->set_value(v);
      everPut.insert({k, v});
    }
    pb::TxnResponse response;
    store.txn(request, response);
    changed();
  }
  void compact() {
    pb::CompactionRequest request;
    request.set_revision(store.revision());
    store.compact(request);
    changed();
  }
  void changed() {
    for (const auto& sidecar : all) poll(*sidecar);
  }
  std::map<std::string, std::string> content() const {
    pb::RangeRequest request;
    request.set_key("/ivypost/nodes/");
    request.set_range_end("/ivypost/nodes0");
    pb::RangeResponse response;
    store.range(request, response);
    std::map<std::string, std::string> values;
    for (const auto& kv : response.kvs()) values[kv.key()] = kv.value();
    return values;
  }
  // The ports of the instances in a list.
  static std::map<std::string, int> ports(const std::map<std::string, Instance>& list) {
    std::map<std::string, int> ports;
    for (const auto& [id, instance] : list) ports[id] = instance.address.port();
    return ports;
  }

  // ---- Faults ----
  void dropStreams(std::size_t member) {
    for (const auto& sidecar : all) {
      if (sidecar->stream != 0 && sidecar->member == member)
        endStream(*sidecar, StatusCode::Unavailable, "cut");
    }
  }
  void down(std::size_t member, bool on) {
    members[member].down = on;
    if (on) dropStreams(member);
  }
  void stall(std::size_t member, bool on) {
    members[member].stalled = on;
    if (on) return;
    for (const auto& sidecar : all) {
      if (sidecar->member != member) continue;
      for (auto& watched : std::exchange(sidecar->held, {})) deliver(*sidecar, std::move(watched));
    }
  }
  void withhold(std::size_t member, bool on) {
    members[member].withheld = on;
    if (!on) changed();
  }

  // ---- Time ----
  void start() {
    for (const auto& sidecar : all) handle(*sidecar, Start{});
  }
  void after(Micros delay, std::function<void()> what) { queue_.emplace(now + delay, std::move(what)); }
  void run(Micros span) {
    const Micros end = now + span;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto node = queue_.extract(queue_.begin());
      now = std::max(now, node.key());
      node.mapped()();
    }
    now = end;
  }
  // Runs until the condition holds and returns the time taken; none: it did not hold within the span.
  std::optional<Micros> until(Micros span, const std::function<bool()>& condition) {
    const Micros from = now;
    while (!condition()) {
      if (now - from >= span) return std::nullopt;
      run(kMs);
    }
    return now - from;
  }
  void handle(Sidecar& sidecar, const Input& input) {
    Actions actions;
    sidecar.watcher.handle(input, now, actions);
    for (auto& action : actions) std::visit([&](auto& what) { execute(sidecar, what); }, action);
    const auto at = sidecar.watcher.nextTimer();
    if (!at) return;
    after(std::max<Micros>(0, *at - now), [this, &sidecar, at] {
      if (sidecar.watcher.nextTimer() == at) handle(sidecar, TimerExpired{});
    });
  }

  Micros latency() { return kMs + static_cast<Micros>(random_() % 2000); }
  bool reported(const std::string& part) {
    const auto& reports = firstSidecar().reports;
    return std::any_of(reports.begin(), reports.end(),
                       [&](const std::string& line) { return line.find(part) != std::string::npos; });
  }

 private:
  std::mt19937_64 random_;

 public:
  Options options;
  Store store;
  std::vector<Member> members;
  std::vector<std::unique_ptr<Sidecar>> all;
  std::set<std::pair<std::string, std::string>> everPut;
  Micros now = kSecond;
  std::vector<Micros> calls;                // times at which calls and streams reached etcd
  std::function<void(std::size_t)> onList;  // called when this member has read the first page of a list
  std::size_t fragmentEvents = 0;
  std::uint64_t progressRequests = 0;

 private:
  const Store& storeOf(const Member& member) const { return member.lagging ? *member.lagging : store; }

  void execute(Sidecar& sidecar, const RangeCall& range) {
    after(latency(), [this, &sidecar, range] {
      calls.push_back(now);
      Member& member = members[range.endpoint];
      RangeResult result;
      if (member.stalled || member.behind) {
        result = {range.call, StatusCode::Timeout, ""};
        after(range.timeout, [this, &sidecar, result] { handle(sidecar, result); });
        return;
      }
      if (member.down) {
        result = {range.call, StatusCode::Unavailable, "connection refused"};
      } else {
        pb::RangeResponse response;
        const Failure failure = storeOf(member).range(toRequest(range), response);
        result = toRangeResult(response);
        result.header = {member.cluster, range.endpoint + 1, storeOf(member).revision()};
        result.call = range.call;
        if (failure == Failure::Compacted) result.status = StatusCode::Compacted;
        if (failure == Failure::FutureRevision) result.status = StatusCode::FutureRevision;
        if (!range.isAudit && range.revision == 0 && onList) onList(range.endpoint);
      }
      after(latency(), [this, &sidecar, result] { handle(sidecar, result); });
    });
  }
  void execute(Sidecar& sidecar, const WatchCall& watch) {
    after(latency(), [this, &sidecar, watch] {
      calls.push_back(now);
      sidecar.stream = watch.stream;
      sidecar.member = watch.endpoint;
      sidecar.watches = Watches{};
      sidecar.watches.fragmentEvents = fragmentEvents;
      sidecar.held.clear();
      if (members[watch.endpoint].down)
        return endStream(sidecar, StatusCode::Unavailable, "connection refused");
      send(sidecar, sidecar.watches.request(toRequest(watch), storeOf(members[watch.endpoint])));
    });
  }
  void execute(Sidecar& sidecar, const ProgressRequest& ask) {
    ++progressRequests;
    after(latency(), [this, &sidecar, ask] {
      if (sidecar.stream != ask.stream) return;
      pb::WatchRequest request;
      request.mutable_progress_request();
      send(sidecar, sidecar.watches.request(request, storeOf(members[sidecar.member])));
    });
  }
  void execute(Sidecar& sidecar, const WatchClose& close) {
    if (sidecar.stream == close.stream) sidecar.stream = 0;
  }
  void execute(Sidecar& sidecar, const Publish& publish) {
    if (publish.isComplete) sidecar.list.clear();
    for (const Instance& instance : publish.instances) {
      if (instance.state == balancer::EndpointState::Gone) {
        sidecar.list.erase(instance.id);
      } else {
        sidecar.list.insert_or_assign(instance.id, instance);
      }
    }
    sidecar.published.push_back(publish);
  }
  void execute(Sidecar& sidecar, const FetchFailure& /*failed*/) { ++sidecar.fetchFailed; }
  void execute(Sidecar& sidecar, const LogLine& report) { sidecar.reports.push_back(report.text); }

  void poll(Sidecar& sidecar) {
    if (sidecar.stream == 0 || members[sidecar.member].withheld || members[sidecar.member].behind) return;
    send(sidecar, sidecar.watches.poll(storeOf(members[sidecar.member])));
  }
  void send(Sidecar& sidecar, const std::vector<pb::WatchResponse>& responses) {
    Member& member = members[sidecar.member];
    for (const auto& response : responses) {
      WatchResult watched = toWatchResult(response);
      watched.stream = sidecar.stream;
      watched.header.cluster = member.cluster;
      if (member.withheld && !watched.events.empty()) continue;
      if (member.progressAhead && !watched.events.empty()) {
        WatchResult progress;
        progress.stream = sidecar.stream;
        progress.header = {member.cluster, 1, store.revision()};
        deliver(sidecar, progress);
      }
      const bool cut = member.cutFragment && watched.isFragment;
      if (member.repeated && !watched.isFragment) deliver(sidecar, watched);
      deliver(sidecar, std::move(watched));
      if (cut) {
        member.cutFragment = false;
        return endStream(sidecar, StatusCode::Unavailable, "cut");
      }
    }
  }
  void deliver(Sidecar& sidecar, WatchResult watched) {
    if (members[sidecar.member].stalled) {
      sidecar.held.push_back(std::move(watched));
      return;
    }
    sidecar.nextDeliveryAt = std::max(sidecar.nextDeliveryAt, now + latency());
    after(sidecar.nextDeliveryAt - now, [this, &sidecar, watched = std::move(watched)] {
      if (watched.stream == sidecar.stream) handle(sidecar, watched);
    });
  }
  void endStream(Sidecar& sidecar, StatusCode status, const std::string& text) {
    const std::uint64_t stream = sidecar.stream;
    sidecar.nextDeliveryAt = std::max(sidecar.nextDeliveryAt, now + latency());
    after(sidecar.nextDeliveryAt - now, [this, &sidecar, stream, status, text] {
      if (sidecar.stream != stream) return;
      sidecar.stream = 0;
      handle(sidecar, WatchEnd{stream, status, text});
    });
  }

  std::multimap<Micros, std::function<void()>> queue_;
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_TESTS_DISCOVERY_ETCD_SIMULATION_H_
