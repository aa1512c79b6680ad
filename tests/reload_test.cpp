// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Reloads of the configuration in quick succession, with SIGTERM among them.
#include <algorithm>
#include <array>
#include <ostream>

#include "moments.h"

namespace ivypost {
namespace {

struct Reloads {
  const char* name;
  // One letter per step: a, b, c: SIGHUP with discovery at that address (a: the initial one); x: SIGHUP with
  // an invalid file; |: a turn of the event loop; T: SIGTERM.
  const char* steps;
};
std::ostream& operator<<(std::ostream& out, const Reloads& one) {
  return out << one.name;
}

class ReloadTest : public SidecarTest, public testing::WithParamInterface<Reloads> {
 protected:
  ReloadTest() : otherDiscoveries{Peer(io), Peer(io)} {}

  Peer& discoveryOf(char letter) {
    if (letter == 'a') return discovery;
    return otherDiscoveries.at(static_cast<std::size_t>(letter - 'b'));
  }
  void runStep(char step) {
    switch (step) {
      case '|':
        io.restart();
        io.poll();
        return;
      case 'T':
        sidecar->stop([this] { ++stops; });
        return;
      case 'x':
        // As in main(): an invalid configuration is rejected and changes nothing.
        EXPECT_ANY_THROW(sidecar->reload(configure({{"discovery", "nowhere"}}), {}));
        return;
      default:
        last = step;
        sidecar->reload(configure({{"discovery", discoveryOf(step).address()}}), {});
    }
  }

  std::array<Peer, 2> otherDiscoveries;
  char last = 'a';
  int stops = 0;
};

TEST_P(ReloadTest, AppliesTheLastConfigurationAndLosesNoRequest) {
  start(2);
  const Client client = this->client();
  client.send(Request().text());
  ASSERT_TRUE(wait([&] { return arrived() == 1; }));
  for (Peer* other : {&otherDiscoveries[0], &otherDiscoveries[1]})
    other->onRequest = [this](Peer::Exchange& call) {
      // Each of the other discovery services answers with a complete list in which the second upstream
      // drains.
      if (call.message.target() != "/v1/endpoints") return;
      json endpointList = list(generation, true);
      endpointList["instances"][1]["lifecycle"] = "draining";
      call.reply(200, endpointList.dump());
    };
  const std::string steps = GetParam().steps;
  const std::size_t before = discovery.requests.size();
  for (const char step : steps) runStep(step);
  const bool stopped = steps.find('T') != std::string::npos;
  if (!stopped) {
    Peer& activeDiscovery = discoveryOf(last);
    // The sidecar requests the complete list from it, and then watches it.
    const std::size_t from = last == 'a' ? before : 0;
    ASSERT_TRUE(wait([&] { return activeDiscovery.requests.size() >= from + 2; }));
    EXPECT_EQ(activeDiscovery.requests[from].message.target(), "/v1/endpoints");
    EXPECT_TRUE(sidecar->freshness().isConfirmed);
    // No connection to the other discovery services stays open.
    for (const char letter : {'a', 'b', 'c'}) {
      if (letter == last) continue;
      EXPECT_TRUE(wait([&] { return discoveryOf(letter).open() == 0; })) << letter;
    }
  }
  usedUpstream().requests[0].reply(200, "served");
  ASSERT_TRUE(wait([&] { return client.answers() == 1; }));
  EXPECT_EQ(client.answer(0).result_int(), 200u);
  if (stopped) {
    ASSERT_TRUE(wait([&] { return stops > 0; }));
    pollAll(io);
    EXPECT_EQ(stops, 1);
  }
}

INSTANTIATE_TEST_SUITE_P(
    InQuickSuccession, ReloadTest,
    testing::Values(Reloads{"one", "b"}, Reloads{"two", "bc"}, Reloads{"there and back", "ba"},
                    Reloads{"there and back, with a turn", "b|a"}, Reloads{"there again", "bcb"},
                    Reloads{"turns between", "b|c|b|c|b|c"},
                    Reloads{"many", "bcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbcbc"},
                    Reloads{"bad ones between", "bxxcxx|x"}, Reloads{"a bad one first", "x|b"},
                    Reloads{"SIGTERM right behind", "bT"}, Reloads{"SIGTERM a turn behind", "b|T"},
                    Reloads{"SIGTERM first", "Tb"}, Reloads{"SIGTERM amid", "b|cT|b|cx"},
                    Reloads{"SIGTERM twice", "bTcT|b"}));

}  // namespace
}  // namespace ivypost
