// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/door.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace ivypost::admission {
namespace {

using State = Door::State;

DoorSettings ofPlaces(std::size_t places) {
  DoorSettings settings;
  settings.places = places;
  return settings;
}

// A door with so many visitors that stand idle, let in at time 0 and served once.
struct Filled {
  explicit Filled(std::size_t places, std::size_t visitors) : door(ofPlaces(places)) {
    for (std::size_t n = 0; n < visitors; ++n) {
      all.push_back(door.enter(n + 1, 0));
      door.begin(all.back(), 0);
      door.rest(all.back(), 0);
    }
  }
  Door door;
  std::vector<Door::Place> all;
};

TEST(Door, KeepsConnectionsByTheirUseAndByTheRoom) {
  struct Row {
    std::size_t taken;
    int requests;
    Micros gap;
    bool kept;
  };
  for (const Row& row : {Row{1, 1, 0, true}, Row{50, 1, 0, true}, Row{51, 1, 0, false},
                         Row{51, 2, 2'000'000, true}, Row{51, 2, 2'000'001, false}, Row{80, 9, 100, true},
                         Row{81, 9, 100, false}, Row{100, 9, 100, false}, Row{120, 1, 0, false}}) {
    Filled filled(100, row.taken - 1);
    const auto one = filled.door.enter(1000, 0);
    Micros now = 0;
    for (int n = 0; n < row.requests; ++n) {
      filled.door.begin(one, now);
      if (n + 1 == row.requests) break;
      filled.door.rest(one, now);
      now += row.gap;
    }
    EXPECT_EQ(filled.door.keeps(one), row.kept) << row.taken << " taken, " << row.requests << " requests";
  }
}

TEST(Door, IsFullAtItsPlacesAndHasRoomAgain) {
  Filled filled(3, 3);
  EXPECT_TRUE(filled.door.full());
  filled.door.leave(filled.all[1]);
  EXPECT_FALSE(filled.door.full());
  EXPECT_EQ(filled.door.taken(), 2u);
}

TEST(Door, GivesWayInItsOrderAndNoSooner) {
  Door door(ofPlaces(10));
  const auto idle = door.enter(1, 0);
  const auto silent = door.enter(2, 50'000);
  const auto working = door.enter(3, 0);
  const auto leaving = door.enter(4, 0);
  door.begin(idle, 0);
  door.rest(idle, 0);
  door.begin(working, 0);
  door.begin(leaving, 0);
  EXPECT_EQ(door.candidates(0), std::vector<VisitorId>{});
  EXPECT_EQ(door.nextCandidateAt(0), Door::kMostWait);
  EXPECT_EQ(door.nextCandidateAt(149'500), 150'500);  // the silent one's time is nearer than that
  door.end(leaving, 60'000);
  EXPECT_EQ(door.candidates(60'000), std::vector<VisitorId>{4});
  EXPECT_EQ(door.nextCandidateAt(60'000), 60'000 + Door::kLeastWait);
  EXPECT_EQ(door.candidates(149'999), std::vector<VisitorId>{4});
  EXPECT_EQ(door.candidates(150'000), (std::vector<VisitorId>{4, 2}));
  EXPECT_EQ(door.candidates(2'000'000), (std::vector<VisitorId>{4, 2, 1}));
  door.leave(leaving);
  door.leave(silent);
  EXPECT_EQ(door.nextCandidateAt(1'990'000), 2'000'000);
}

TEST(Door, LooksAtABoundedNumberOfCandidates) {
  Filled filled(100, 100);
  EXPECT_EQ(filled.door.candidates(10'000'000).size(), Door::kCandidates);
}

TEST(Door, KeepsPlacesForRefusals) {
  Door door(ofPlaces(10));
  for (VisitorId id = 1; id <= 10; ++id) {
    door.begin(door.enter(id, 0), 0);
    EXPECT_EQ(door.mayWork(), id <= 9) << id;
  }
  Door smallest(ofPlaces(1));
  smallest.begin(smallest.enter(1, 0), 0);
  EXPECT_TRUE(smallest.mayWork());
}

// Whatever visitors do: the counts agree, and nobody at work or too young gives way.
TEST(DoorProperty, AnyVisits) {
  EXPECT_TRUE(rc::check("counts agree and candidates are due", [] {
    const DoorSettings settings = ofPlaces(8);
    Door door(settings);
    std::vector<Door::Place> inside;
    VisitorId last = 0;
    Micros now = 0;
    for (const auto& [what, who, pause] :
         *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
             rc::gen::inRange(0, 5), rc::gen::inRange(0, 8), rc::gen::inRange(0, 1'500'000)))) {
      now += pause;
      if (what == 0 || inside.empty()) {
        if (!door.full()) inside.push_back(door.enter(++last, now));
      } else {
        const auto one = inside.begin() + who % static_cast<int>(inside.size());
        if (what == 1) door.begin(*one, now);
        if (what == 2) door.rest(*one, now);
        if (what == 3) door.end(*one, now);
        if (what == 4) {
          door.leave(*one);
          inside.erase(one);
        }
      }
      std::size_t sum = 0;
      for (const State state : {State::Silent, State::Idle, State::Working, State::Leaving})
        sum += door.count(state);
      RC_ASSERT(sum == door.taken() && sum == inside.size());
      for (const VisitorId id : door.candidates(now)) {
        const auto found = std::find_if(inside.begin(), inside.end(), [&](auto p) { return p->id == id; });
        RC_ASSERT(found != inside.end());
        const auto& visitor = **found;
        RC_ASSERT(visitor.state != State::Working);
        if (visitor.state == State::Silent) RC_ASSERT(now - visitor.since >= settings.keepSilent);
        if (visitor.state == State::Idle) RC_ASSERT(now - visitor.since >= settings.keepIdle);
      }
      const Micros next = door.nextCandidateAt(now);
      RC_ASSERT(next >= now + Door::kLeastWait && next <= now + Door::kMostWait);
    }
  }));
}

}  // namespace
}  // namespace ivypost::admission
