// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/source_manager.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "discovery/source_handover.h"

namespace ivypost::discovery {
namespace {

using Verdict = SourceHandover::Verdict;

TEST(SourceHandover, TheOldOneCountsUntilTheNewOneHasAWholeList) {
  SourceHandover handover;
  const auto a = handover.begin();
  EXPECT_EQ(handover.told(a, false), Verdict::Take);
  const auto b = handover.begin();
  EXPECT_EQ(handover.told(b, false), Verdict::Leave) << "changes alone are no list";
  EXPECT_EQ(handover.told(a, false), Verdict::Take) << "no gap";
  EXPECT_EQ(handover.told(b, true), Verdict::TakeOver);
  EXPECT_EQ(handover.told(b, false), Verdict::Take);
  EXPECT_EQ(handover.told(a, true), Verdict::Leave) << "the old one has gone";
}

TEST(SourceHandover, OnlyTheLastOneToldToTakeOverDoes) {
  SourceHandover handover;
  const auto a = handover.begin(), b = handover.begin(), c = handover.begin();
  EXPECT_EQ(handover.told(b, true), Verdict::Leave);
  EXPECT_EQ(handover.told(c, true), Verdict::TakeOver);
  const auto d = handover.begin();
  handover.abandon();
  EXPECT_EQ(handover.told(d, true), Verdict::Leave);
  EXPECT_EQ(handover.told(c, false), Verdict::Take);
  EXPECT_EQ(handover.told(a, true), Verdict::Leave);
}

// A source that does what a test says.
struct Fake : Source {
  explicit Fake(Callbacks c, int& l) : callbacks(std::move(c)), living(l) { ++living; }
  ~Fake() override { --living; }
  void watch() override { ++watches; }
  void fetch() override { ++fetches; }
  Freshness freshness() const override { return {age, true}; }
  void platformMoved(const Endpoint&) override { ++moves; }
  Callbacks callbacks;
  int& living;
  int watches = 0, fetches = 0, moves = 0;
  Micros age = 0;
};

struct SourceManagerTest : testing::Test {
  Fake& begin() {
    return static_cast<Fake&>(membership.begin([this](Source::Callbacks callbacks) {
      return std::make_unique<Fake>(std::move(callbacks), living);
    }));
  }
  static EndpointList list(bool whole, std::int64_t generation) { return {generation, whole, {}}; }
  void turn() {
    io.restart();
    io.poll();
  }
  boost::asio::io_context io;
  std::vector<EndpointList> told;
  int failed = 0, living = 0;
  SourceManager membership{
      io, 1, {[this](EndpointList l) { told.push_back(std::move(l)); }, [this] { ++failed; }}};
};

TEST_F(SourceManagerTest, SwitchesWithoutAGapAndLetsTheOldOneGo) {
  Fake& first = begin();
  EXPECT_EQ(first.watches, 0) << "the sidecar says when";
  first.callbacks.told(list(true, 1));
  Fake& second = begin();
  EXPECT_EQ(second.watches, 1);
  first.callbacks.told(list(false, 2));
  second.callbacks.told(list(false, 100));
  ASSERT_EQ(told.size(), 2u);
  membership.platformMoved({});
  EXPECT_EQ(first.moves + second.moves, 2);
  second.age = 5;
  EXPECT_EQ(membership.freshness().age, 0) << "the first one's";
  second.callbacks.told(list(true, 101));
  ASSERT_EQ(told.size(), 3u);
  EXPECT_TRUE(told.back().whole);
  EXPECT_EQ(membership.freshness().age, 5);
  EXPECT_EQ(living, 2) << "not while it may be the one that calls";
  turn();
  EXPECT_EQ(living, 1);
  membership.fetch();
  EXPECT_EQ(second.fetches, 1);
}

// What the one that is to take over can't do is its own affair, and it tries again.
TEST_F(SourceManagerTest, AFailureOfTheNextOneIsNotHeardOf) {
  begin();
  Fake& second = begin();
  second.callbacks.failed();
  EXPECT_EQ(failed, 0);
  io.restart();
  io.run_one();  // its wait, half a second and a little at the most
  EXPECT_EQ(second.watches, 2);
  membership.abandonNext();
  turn();
  EXPECT_EQ(living, 1);
  EXPECT_FALSE(membership.takesOver());
}

TEST_F(SourceManagerTest, ASourceThatCanNotBeMadeLeavesAllAsItWas) {
  Fake& first = begin();
  begin();
  EXPECT_THROW(membership.begin([](const Source::Callbacks&) -> std::unique_ptr<Source> {
    throw std::runtime_error("no");
  }),
               std::runtime_error);
  EXPECT_TRUE(membership.takesOver());
  first.callbacks.failed();
  EXPECT_EQ(failed, 1);
}

}  // namespace
}  // namespace ivypost::discovery
