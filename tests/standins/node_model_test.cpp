// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/node_model.h"

#include <gtest/gtest.h>

#include "standins/key_memory.h"

namespace ivypost::standins {
namespace {

using Verdict = NodeModel::Verdict;
constexpr Micros kMs = 1000;

std::vector<NodeModel::Job> ended(NodeModel& node, Micros now) {
  std::vector<NodeModel::Job> jobs;
  for (const auto& one : node.advance(now)) jobs.push_back(one.job);
  return jobs;
}

TEST(NodeModel, WorksOnAsManyAsItHasCores) {
  NodeModel node({.cores = 2, .speed = 2, .waitingRoom = 2}, 1);
  node.start(0);
  for (NodeModel::Job job = 1; job <= 4; ++job) EXPECT_EQ(node.submit(job, 20 * kMs, 0), Verdict::Taken);
  EXPECT_EQ(node.submit(5, 20 * kMs, 0), Verdict::Full);
  EXPECT_EQ(node.figures(0).inflight, 4u);
  EXPECT_EQ(node.figures(0).queue, 2u);
  EXPECT_EQ(node.next(), 10 * kMs);
  EXPECT_TRUE(ended(node, 9 * kMs).empty());
  EXPECT_EQ(ended(node, 10 * kMs).size(), 2u);
  EXPECT_EQ(ended(node, 100 * kMs).size(), 2u);
  EXPECT_EQ(node.next(), std::nullopt);
  EXPECT_NEAR(node.figures(100 * kMs).latencyMs, 10, 0.01);
  EXPECT_EQ(node.figures(100 * kMs).qps, 4);
}

TEST(NodeModel, HangsAndGoesOn) {
  NodeModel node({.cores = 1}, 1);
  node.start(0);
  node.submit(1, 10 * kMs, 0);
  node.hang(true, 4 * kMs);
  EXPECT_EQ(node.submit(2, 10 * kMs, 5 * kMs), Verdict::Taken);
  EXPECT_TRUE(ended(node, 1000 * kMs).empty());
  EXPECT_EQ(node.next(), std::nullopt);
  node.hang(false, 1004 * kMs);
  EXPECT_EQ(node.next(), 1010 * kMs);
  EXPECT_EQ(ended(node, 1020 * kMs), (std::vector<NodeModel::Job>{1, 2}));
}

TEST(NodeModel, StopsWhatIsCancelled) {
  NodeModel node({.cores = 1}, 1);
  node.start(0);
  for (NodeModel::Job job = 1; job <= 3; ++job) node.submit(job, 10 * kMs, 0);
  node.cancel(2, kMs);
  node.cancel(1, 2 * kMs);
  EXPECT_EQ(ended(node, 12 * kMs), (std::vector<NodeModel::Job>{3}));
}

TEST(NodeModel, DrainsAndStartsAgain) {
  NodeModel node({.cores = 1}, 1);
  node.start(0);
  node.submit(1, 10 * kMs, 0);
  node.drain();
  EXPECT_EQ(node.submit(2, 10 * kMs, 0), Verdict::Draining);
  EXPECT_EQ(ended(node, 10 * kMs).size(), 1u);
  node.start(20 * kMs);
  EXPECT_EQ(node.submit(3, 10 * kMs, 20 * kMs), Verdict::Taken);
}

TEST(NodeModel, WarmsUpEvenly) {
  NodeModel node({.cores = 1, .speed = 2, .coldShare = 0.25, .warm = 1000 * kMs}, 1);
  node.start(0);
  EXPECT_DOUBLE_EQ(node.speedAt(0), 0.5);
  EXPECT_DOUBLE_EQ(node.speedAt(500 * kMs), 1.25);
  EXPECT_DOUBLE_EQ(node.speedAt(1000 * kMs), 2);
  node.submit(1, 10 * kMs, 0);
  EXPECT_EQ(node.next(), 20 * kMs);
}

TEST(NodeModel, FallsOverWhenPushedWhileCold) {
  NodeModel node({.cores = 1, .waitingRoom = 100, .coldShare = 0.5, .warm = 1000 * kMs, .fallMultiple = 2},
                 1);
  node.start(0);
  for (NodeModel::Job job = 1; job <= 10; ++job) EXPECT_EQ(node.submit(job, 100 * kMs, 0), Verdict::Taken);
  EXPECT_EQ(node.submit(11, 100 * kMs, 1), Verdict::Down);
  EXPECT_TRUE(node.fallen());
  EXPECT_EQ(node.submit(12, kMs, 2), Verdict::Down);
  EXPECT_EQ(node.next(), std::nullopt);
  node.start(5000 * kMs);
  EXPECT_EQ(node.submit(13, kMs, 5000 * kMs), Verdict::Taken);
}

TEST(NodeModel, FailsItsShare) {
  NodeModel node({.cores = 1, .errorShare = 0.25}, 5);
  node.start(0);
  int errors = 0;
  for (NodeModel::Job job = 0; job < 4000; ++job) {
    node.submit(job, 1, static_cast<Micros>(job) * 10);
    for (const auto& one : node.advance(static_cast<Micros>(job) * 10 + 5)) errors += one.error ? 1 : 0;
  }
  EXPECT_NEAR(errors, 1000, 120);
}

TEST(KeyMemory, DropsARepeatWithinItsWindow) {
  KeyMemory keys(600 * kMs);
  EXPECT_TRUE(keys.run("k", 0));
  EXPECT_FALSE(keys.run("k", 600 * kMs));
  EXPECT_TRUE(keys.run("other", 0));
  EXPECT_EQ(keys.effects("k"), 1u);
  EXPECT_TRUE(keys.run("k", 601 * kMs));
  EXPECT_EQ(keys.effects("k"), 2u);
}

}  // namespace
}  // namespace ivypost::standins
