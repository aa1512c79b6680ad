// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests of slow start for a new upstream while the wall clock of the sidecar or of the discovery service is
// wrong. Only the difference between the two clocks matters.
#include <ostream>

#include "moments.h"

namespace ivypost {
namespace {

struct ClockCase {
  const char* name;
  std::chrono::seconds ahead;  // the sidecar's wall clock minus that of the endpoint lists
};
std::ostream& operator<<(std::ostream& out, const ClockCase& one) {
  return out << one.name;
}

class WrongClockTest : public SidecarTest, public testing::WithParamInterface<ClockCase> {
 protected:
  // A third of it has to suffice for the sample, also with sanitizers on a busy machine.
  static constexpr milliseconds kWarmUp{3000};

  // Starts the sidecar with three upstreams that answer at once.
  void startServing() {
    start(3, {{"settings",
               {{"contract",
                 {{"startCapacity", 0.2},
                  {"cold", kWarmUp.count() * 1000},
                  {"fallMultiple", 4.0},
                  {"fall", 1000000}}}}}});
    for (const auto& upstream : upstreams) serveAt(*upstream);
    for (int n = 0; n < 16; ++n) clients.push_back(std::make_unique<Client>(io, sidecar->port()));
    sent.assign(clients.size(), 0);
  }
  static void serveAt(Peer& upstream) {
    const auto serve = [](Peer::Exchange& call) { call.reply(200, ""); };
    upstream.onRequest = serve;
  }

  // For `span`, each client sends its next request after the previous answer. Returns the fraction of the
  // requests that the last upstream received.
  double fractionOfNewest(milliseconds span) {
    const auto before = counts();
    const auto end = Clock::now() + span;
    EXPECT_TRUE(wait([&] {
      const bool isFinished = Clock::now() >= end;
      bool idle = true;
      for (std::size_t n = 0; n < clients.size(); ++n) {
        if (clients[n]->answers() < sent[n]) {
          idle = false;
          continue;
        }
        if (isFinished) continue;
        Request request;
        request.trace = traceOf(++trace);
        clients[n]->send(request.text());
        ++sent[n];
      }
      return isFinished && idle;
    }));
    const auto after = counts();
    const double all = static_cast<double>(after.first - before.first);
    EXPECT_GT(all,
              200);  // enough to distinguish 0.08 from 0.25; with sanitizers, a busy machine serves some 300
    return static_cast<double>(after.second - before.second) / all;
  }
  std::pair<std::size_t, std::size_t> counts() const {
    return {arrived(), upstreams.back()->requests.size()};
  }

  // Publishes an update with one more upstream, which has just started.
  void join() {
    const auto unixMs = std::chrono::duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch() - GetParam().ahead)
                            .count();
    upstreams.push_back(std::make_unique<Peer>(io));
    states.emplace_back("up");
    serveAt(*upstreams.back());
    json update = list(++generation, false);
    json newest = update["instances"].back();
    newest["startedAtMs"] = unixMs;
    update["instances"] = json::array({newest});
    const auto before = watches();
    discovery.requests.back().reply(200, update.dump());
    ASSERT_TRUE(wait([&] { return watches() > before; }));
  }

  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::size_t> sent;
  int trace = 0;
};

TEST_P(WrongClockTest, AnUpstreamSeenToStartIsSlowStartedForItsWarmUpOnly) {
  startServing();
  // A watch without updates for 100 ms still counts as connected.
  ASSERT_TRUE(wait([&, end = Clock::now() + milliseconds(100)] { return Clock::now() >= end; }));
  join();
  const double warmingUpFraction = fractionOfNewest(kWarmUp / 3);
  fractionOfNewest(kWarmUp * 2 / 3);
  const double warmFraction = fractionOfNewest(kWarmUp / 3);
  RecordProperty("cold", std::to_string(warmingUpFraction));
  RecordProperty("warm", std::to_string(warmFraction));
  std::printf("%s: %.3f of the requests during slow start, %.3f after it\n", GetParam().name,
              warmingUpFraction, warmFraction);
  EXPECT_LT(warmingUpFraction, 0.15) << "a fully warm upstream gets a quarter";
  EXPECT_GT(warmFraction, 0.19);
}

INSTANTIATE_TEST_SUITE_P(Clocks, WrongClockTest,
                         testing::Values(ClockCase{"right", std::chrono::seconds(0)},
                                         ClockCase{"an hour ahead", std::chrono::hours(1)},
                                         ClockCase{"5 s ahead", std::chrono::seconds(5)},
                                         ClockCase{"an hour behind", -std::chrono::hours(1)},
                                         ClockCase{"3 s behind", std::chrono::seconds(-3)}));

}  // namespace
}  // namespace ivypost
