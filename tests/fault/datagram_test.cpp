// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/datagram.h"

#include <gtest/gtest.h>

#include <bit>

namespace ivypost::fault {
namespace {

const std::vector<std::uint8_t> kDatagram(200, 0x5a);

struct Sum {
  int lost = 0, passed = 0, cut = 0, flipped = 0, late = 0;
};

Sum play(const DatagramPlan& plan, std::uint64_t seed = 1) {
  DatagramLink link(seed);
  link.apply(plan);
  Sum sum;
  for (Micros now = 0; now < 2000; ++now) {
    const auto passed = link.take(kDatagram, now);
    sum.lost += passed.empty();
    for (const auto& one : passed) {
      ++sum.passed;
      sum.cut += one.bytes.size() < kDatagram.size();
      int bits = 0;
      for (std::size_t n = 0; n < one.bytes.size(); ++n)
        bits += std::popcount(static_cast<unsigned>(one.bytes[n] ^ kDatagram[n]));
      sum.flipped += bits == 1;
      EXPECT_LE(bits, 1);
      EXPECT_GE(one.at, now + plan.delay);
      EXPECT_LE(one.at, now + plan.delay + plan.jitter + DatagramLink::kHeldBack);
      sum.late += one.at >= now + plan.delay + DatagramLink::kHeldBack;
    }
  }
  return sum;
}

// Each fault alone, at a share of a quarter and of all.
TEST(Datagrams, MeetEachFaultAsOftenAsThePlanSays) {
  const struct {
    const char* what;
    double DatagramPlan::*share;
    int Sum::*count;
  } rows[] = {{"loss", &DatagramPlan::loss, &Sum::lost},
              {"cut", &DatagramPlan::cut, &Sum::cut},
              {"flipped", &DatagramPlan::flipped, &Sum::flipped},
              {"reordered", &DatagramPlan::reordered, &Sum::late}};
  for (const auto& row : rows) {
    for (const double share : {0.25, 1.0}) {
      DatagramPlan plan;
      plan.*row.share = share;
      EXPECT_NEAR(play(plan).*row.count, 2000 * share, share < 1 ? 80 : 0) << row.what;
    }
  }
  EXPECT_EQ(play({}).passed, 2000);
  DatagramPlan plan;
  plan.doubled = 1;
  EXPECT_EQ(play(plan).passed, 4000);
  plan.silent = true;
  EXPECT_EQ(play(plan).passed, 0);
  plan = {};
  plan.delay = 5000;
  plan.jitter = 1000;
  EXPECT_EQ(play(plan).passed, 2000);
}

TEST(Datagrams, MeetTheSameFaultsByTheSameSeed) {
  DatagramPlan plan;
  plan.loss = plan.doubled = plan.cut = plan.flipped = plan.reordered = 0.3;
  plan.jitter = 10'000;
  DatagramLink one(7), other(7), third(8);
  bool differs = false;
  for (auto* link : {&one, &other, &third}) link->apply(plan);
  for (Micros now = 0; now < 500; ++now) {
    const auto a = one.take(kDatagram, now), b = other.take(kDatagram, now), c = third.take(kDatagram, now);
    ASSERT_EQ(a.size(), b.size());
    for (std::size_t n = 0; n < a.size(); ++n) {
      EXPECT_EQ(a[n].at, b[n].at);
      EXPECT_EQ(a[n].bytes, b[n].bytes);
    }
    differs = differs || a.size() != c.size();
  }
  EXPECT_TRUE(differs);
}

}  // namespace
}  // namespace ivypost::fault
