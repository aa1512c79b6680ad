// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "system_call_faults/plan.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <string>
#include <utility>

namespace ivypost::system_call_faults {
namespace {

// How a shell command ended, and all that it wrote.
std::pair<int, std::string> run(const std::string& command) {
  std::string text;
  FILE* const pipe = ::popen((command + " 2>&1").c_str(), "r");
  if (pipe == nullptr) return {-1, "popen failed"};
  std::array<char, 512> part{};
  while (std::fgets(part.data(), part.size(), pipe) != nullptr) text += part.data();
  return {WEXITSTATUS(::pclose(pipe)), text};
}

std::string withPlan(const std::string& plan, const std::string& command) {
  return std::string("exec env ") + kVariable + "='" + plan +
         "' ASAN_OPTIONS=verify_asan_link_order=0 LD_PRELOAD=" + IVYPOST_FAULT_SHIM + " " + command;
}

TEST(FaultPlan, ReadsRulesWithTheirOptions) {
  const Plan plan = readPlan(
      "counts=/tmp/c; seed=7; accepts ECONNABORTED every=5 from=2 to=9; writes short bytes=20 of=accepted;"
      "sendmsg sleep=150 at=4;files kill at=3 path=/tmp/d; poll EINTR after=0 until=500");
  EXPECT_EQ(plan.counts, "/tmp/c");
  EXPECT_EQ(plan.seed, 7u);
  ASSERT_EQ(plan.rules.size(), 5u);
  EXPECT_TRUE(plan.rules[0].hasCall(Call::Accept4));
  EXPECT_EQ(plan.rules[0].error, ECONNABORTED);
  EXPECT_EQ(plan.rules[0].from, 2u);
  EXPECT_EQ(plan.rules[0].to, 9u);
  EXPECT_EQ(plan.rules[1].kinds, kAccepted);
  EXPECT_EQ(plan.rules[1].bytes, 20u);
  EXPECT_EQ(plan.rules[2].sleepMs, 150u);
  EXPECT_EQ(plan.rules[3].fault, Rule::Fault::Kill);
  EXPECT_EQ(plan.rules[3].kinds, kFile);
  EXPECT_EQ(plan.rules[4].untilMs, 500u);
}

TEST(FaultPlan, DrawsOneInNAndTheSameForTheSameSeed) {
  const Plan plan = readPlan("seed=3;send EINTR every=5 from=101 to=1100");
  int drawn = 0;
  for (std::uint32_t n = 1; n <= 2000; ++n) {
    const bool draws = plan.rules[0].draws(plan.seed, n);
    EXPECT_EQ(draws, plan.rules[0].draws(plan.seed, n));
    drawn += draws ? 1 : 0;
  }
  EXPECT_NEAR(drawn, 200, 50);
}

TEST(FaultPlan, RejectsWhatItCantReadAndWhatLinuxDoesNotDocument) {
  for (const char* const text : {"accept", "accept EFOO", "acept EINTR", "accept ENOSPC", "epoll_wait ENOMEM",
                                 "fsync short", "send EINTR every=0", "send EINTR every=x", "send EINTR at",
                                 "send EINTR often=2", "send sleep=", "seed=x", "poll EINTR from=3 to=2",
                                 "send ECONNRESET path=/tmp", "send short of=datagram", ";;"}) {
    SCOPED_TRACE(text);
    try {
      readPlan(text);
      FAIL() << "it was read";
    } catch (const PlanError& error) {
      const std::string what = error.what();
      EXPECT_EQ(what.rfind(std::string(kVariable) + ": '", 0), 0u) << what;
      EXPECT_EQ(what.find('\n'), std::string::npos) << what;
    }
  }
}

TEST(FaultShim, EndsAProcessWithOneLineWhenItsPlanCantBeRead) {
  for (const char* const plan : {"accept EFOO", "counts=/nowhere/c;accept EINTR"}) {
    const auto [code, text] = run(withPlan(plan, "/bin/true"));
    EXPECT_EQ(code, kBadPlanExit) << text;
    EXPECT_EQ(text.rfind(std::string(kVariable) + ": '", 0), 0u) << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
  }
}

TEST(FaultShim, GivesTheFaultAndCountsIt) {
  const std::string counts = testing::TempDir() + "fault_shim_counts." + std::to_string(::getpid());
  const auto [code, text] = run(withPlan("counts=" + counts + ";write EIO at=1 path=" + counts + ".out",
                                         "dd if=/dev/zero of=" + counts + ".out bs=10 count=2 status=none"));
  EXPECT_NE(code, 0);
  EXPECT_NE(text.find("Input/output error"), std::string::npos) << text;
  const auto [ignored, told] = run("cat " + counts);
  EXPECT_NE(told.find(" 1 of          1: write EIO at=1"), std::string::npos) << told;
  run("rm -f " + counts + " " + counts + ".out");
}

}  // namespace
}  // namespace ivypost::system_call_faults
