// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/source_manager.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "discovery/source_handover.h"

namespace ivypost::discovery {
namespace {

using Decision = SourceHandover::Decision;

TEST(SourceHandover, AppliesTheActiveSourceUntilThePendingOneHasACompleteList) {
  SourceHandover handover;
  const auto a = handover.add();
  EXPECT_EQ(handover.onList(a, false), Decision::Apply);
  const auto b = handover.add();
  EXPECT_EQ(handover.onList(b, false), Decision::Ignore) << "a pending source needs a complete list";
  EXPECT_EQ(handover.onList(a, false), Decision::Apply) << "the active source stays until then";
  EXPECT_EQ(handover.onList(b, true), Decision::Switch);
  EXPECT_EQ(handover.onList(b, false), Decision::Apply);
  EXPECT_EQ(handover.onList(a, true), Decision::Ignore) << "the previous source has been replaced";
}

TEST(SourceHandover, OnlyTheSourceAddedLastTakesOver) {
  SourceHandover handover;
  const auto a = handover.add(), b = handover.add(), c = handover.add();
  EXPECT_EQ(handover.onList(b, true), Decision::Ignore);
  EXPECT_EQ(handover.onList(c, true), Decision::Switch);
  const auto d = handover.add();
  handover.cancel();
  EXPECT_EQ(handover.onList(d, true), Decision::Ignore);
  EXPECT_EQ(handover.onList(c, false), Decision::Apply);
  EXPECT_EQ(handover.onList(a, true), Decision::Ignore);
}

// A source whose callbacks are called by the tests.
struct FakeSource : Source {
  FakeSource(Callbacks notified, int& count) : callbacks(std::move(notified)), alive(count) { ++alive; }
  FakeSource(const FakeSource&) = delete;
  FakeSource& operator=(const FakeSource&) = delete;
  ~FakeSource() override { --alive; }
  void watch() override { ++watches; }
  void fetch() override { ++fetches; }
  Freshness freshness() const override { return {age, true}; }
  void setPlatformAddress(const Endpoint&) override { ++addressChanges; }
  Callbacks callbacks;
  int& alive;
  int watches = 0, fetches = 0, addressChanges = 0;
  Duration age{};
};

struct SourceManagerTest : testing::Test {
  FakeSource& start() {
    return static_cast<FakeSource&>(manager.start([this](Source::Callbacks callbacks) {
      return std::make_unique<FakeSource>(std::move(callbacks), alive);
    }));
  }
  static EndpointList list(bool isComplete, std::int64_t generation) { return {generation, isComplete, {}}; }
  void runHandlers() {
    io.restart();
    io.poll();
  }
  boost::asio::io_context io;
  std::vector<EndpointList> lists;
  int failures = 0, alive = 0;
  SourceManager manager{
      io, 1, {[this](EndpointList l) { lists.push_back(std::move(l)); }, [this] { ++failures; }}};
};

TEST_F(SourceManagerTest, SwitchesWithoutAGapAndDestroysTheSourceBeforeLater) {
  FakeSource& first = start();
  EXPECT_EQ(first.watches, 0) << "the first source is watched when the sidecar requests it";
  first.callbacks.onList(list(true, 1));
  FakeSource& second = start();
  EXPECT_EQ(second.watches, 1);
  first.callbacks.onList(list(false, 2));
  second.callbacks.onList(list(false, 100));
  ASSERT_EQ(lists.size(), 2u);
  manager.setPlatformAddress({});
  EXPECT_EQ(first.addressChanges + second.addressChanges, 2);
  second.age = Duration(5);
  EXPECT_EQ(manager.freshness().age, Duration::zero()) << "the active source's age";
  second.callbacks.onList(list(true, 101));
  ASSERT_EQ(lists.size(), 3u);
  EXPECT_TRUE(lists.back().isComplete);
  EXPECT_EQ(manager.freshness().age, Duration(5));
  EXPECT_EQ(alive, 2) << "the replaced source may be the one that is calling";
  runHandlers();
  EXPECT_EQ(alive, 1);
  manager.fetch();
  EXPECT_EQ(second.fetches, 1);
}

// A failure of the pending source is not passed on, and the manager retries.
TEST_F(SourceManagerTest, AFailureOfThePendingSourceIsRetriedAndNotNotified) {
  start();
  FakeSource& second = start();
  second.callbacks.onFailure();
  EXPECT_EQ(failures, 0);
  io.restart();
  io.run_one();  // its backoff, a little over half a second at most
  EXPECT_EQ(second.watches, 2);
  manager.cancelHandover();
  runHandlers();
  EXPECT_EQ(alive, 1);
  EXPECT_FALSE(manager.isHandingOver());
}

TEST_F(SourceManagerTest, ASourceThatCanNotBeMadeLeavesAllAsItWas) {
  FakeSource& first = start();
  start();
  EXPECT_THROW(manager.start([](const Source::Callbacks&) -> std::unique_ptr<Source> {
    throw std::runtime_error("no");
  }),
               std::runtime_error);
  EXPECT_TRUE(manager.isHandingOver());
  first.callbacks.onFailure();
  EXPECT_EQ(failures, 1);
}

}  // namespace
}  // namespace ivypost::discovery
