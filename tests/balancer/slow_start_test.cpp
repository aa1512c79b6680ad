// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
// Slow start: the load of an endpoint that is warming up, from all sidecars together. In any
// Settings::fallWindow it may get the N requests of mean work that its capacity and fallMultiple allow, plus
// an allowance for random variation: N + 2 * sqrt(N) + 2, or N + 3 * sqrt(N) + 3 for N below 30.
#include "balancer/slow_start.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace ivypost::balancer::internal {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1000 * kSecond;
constexpr EndpointId kWarmingUp = 0;

Settings startSettings(double startCapacity = 0.32, double fallMultiple = 2.5) {
  Settings settings;
  settings.slowStartWindow = 8 * kSecond;
  settings.startCapacity = startCapacity;
  settings.fallMultiple = fallMultiple;
  settings.fallWindow = kSecond;
  return settings;
}

Request requestOf(double relativeWork = 1) {
  Request request;
  request.relativeWork = relativeWork;
  return request;
}

// One sidecar and its endpoints, all of equal size. The first `starting` of them are launched at kStart,
// without credit.
class Sidecar {
 public:
  Sidecar(const Settings& settings, EndpointId endpoints, EndpointId starting = 1) : slowStart_(settings) {
    MembershipUpdate update;
    for (EndpointId id = 0; id < endpoints; ++id) {
      EndpointEntry entry;
      entry.upstream = id;
      entry.launchedAt = id < starting ? kStart : 0;
      update.entries.push_back(entry);
    }
    RandomSource random(1);
    endpoints_.apply(update, 1, random);
    for (EndpointId id = 0; id < endpoints; ++id) endpoints_[id].slowStartCredit = 0;
  }

  Endpoint& warmingUp() { return endpoints_[kWarmingUp]; }
  bool hasCredit(Micros now) { return slowStart_.hasCredit(warmingUp(), now); }
  // Adds the credit that endpoints earn by `requests` requests.
  void earn(Micros now, int requests = 1) {
    for (int n = 0; n < requests; ++n) {
      Request request = requestOf();
      slowStart_.earnCredit(request, endpoints_, now);
    }
  }
  void earnFor(Request& request, Micros now) { slowStart_.earnCredit(request, endpoints_, now); }
  // Charges an attempt at the endpoint that is warming up.
  void spend(Micros now, double relativeWork = 1) {
    slowStart_.spendCredit(warmingUp(), requestOf(relativeWork), now);
  }
  // Sends the endpoint that is warming up as many requests of mean work as its credit allows; returns their
  // number.
  int sendAll(Micros now) {
    int sent = 0;
    for (; hasCredit(now) && sent < 1000; ++sent) spend(now);
    return sent;
  }
  double capacityFraction(Micros now) { return slowStart_.capacityFraction(warmingUp(), now); }

 private:
  SlowStart slowStart_;
  EndpointRegistry endpoints_;
};

TEST(SlowStart, GrowsEvenlyFromTheStartCapacityToAWarmOne) {
  const Settings settings = startSettings(0.2);
  Sidecar sidecar(settings, 2);
  EXPECT_DOUBLE_EQ(sidecar.capacityFraction(kStart - kSecond), 0.2) << "before its launch";
  EXPECT_DOUBLE_EQ(sidecar.capacityFraction(kStart), 0.2);
  EXPECT_DOUBLE_EQ(sidecar.capacityFraction(kStart + 4 * kSecond), 0.6);
  EXPECT_DOUBLE_EQ(sidecar.capacityFraction(kStart + 8 * kSecond), 1);
}

TEST(SlowStart, IsOffWhereTheSettingsNameNoMultipleOrNoWindow) {
  Settings noMultiple = startSettings();
  noMultiple.fallMultiple = 0;
  Settings noWindow = startSettings();
  noWindow.slowStartWindow = 0;
  for (const Settings& settings : {noMultiple, noWindow}) EXPECT_TRUE(Sidecar(settings, 2).hasCredit(kStart));
}

TEST(SlowStart, KeepsACreditForOneAttemptHoweverManyRequestsWentElsewhere) {
  const Settings settings = startSettings();
  for (const int requests : {10, 100, 10'000}) {
    Sidecar sidecar(settings, 2);
    sidecar.earn(kStart, requests);
    EXPECT_EQ(sidecar.sendAll(kStart), 1) << requests;
    EXPECT_EQ(sidecar.warmingUp().slowStartCredit, 0) << "no credit beyond one attempt is kept";
  }
}

TEST(SlowStart, ChargesAHeavyRequestByItsWorkAndALightOneInFull) {
  const Settings settings = startSettings();
  struct Row {
    double relativeWork, charge;
  };
  for (const Row& row : {Row{0.25, 1}, Row{1, 1}, Row{1.5, 1.5}, Row{4, 4}}) {
    Sidecar sidecar(settings, 2);
    sidecar.earn(kStart, 100);
    sidecar.spend(kStart, row.relativeWork);
    EXPECT_DOUBLE_EQ(sidecar.warmingUp().slowStartCredit, 1 - row.charge) << row.relativeWork;
  }
}

TEST(SlowStart, WaitsForWhatAHeavyRequestHasOverdrawn) {
  const Settings settings = startSettings();
  Sidecar light(settings, 2), heavy(settings, 2);
  const auto earnedUntilNext = [&](Sidecar& sidecar, double relativeWork) {
    sidecar.earn(kStart, 100);
    sidecar.spend(kStart, relativeWork);
    int earned = 0;
    for (; !sidecar.hasCredit(kStart) && earned < 1000; ++earned) sidecar.earn(kStart);
    return earned;
  };
  // Each request earns the endpoint a credit of 0.32 * 1.5 / 2.
  EXPECT_EQ(earnedUntilNext(light, 1), 5);
  EXPECT_EQ(earnedUntilNext(heavy, 4), 17);
}

TEST(SlowStart, ChargesAWarmOneNothing) {
  const Settings settings = startSettings();
  Sidecar sidecar(settings, 2);
  sidecar.spend(kStart + 8 * kSecond, 4);
  EXPECT_EQ(sidecar.warmingUp().slowStartCredit, 0);
  EXPECT_TRUE(sidecar.hasCredit(kStart + 8 * kSecond));
}

TEST(SlowStart, EarnsItsPartOfAllOnceForEachRequest) {
  const Settings settings = startSettings(0.25);
  Sidecar sidecar(settings, 4);
  Request request = requestOf();
  for (int n = 0; n < 3; ++n) sidecar.earnFor(request, kStart);
  EXPECT_DOUBLE_EQ(sidecar.warmingUp().slowStartCredit, 0.25 / 3.25);
}

// The load of each endpoint relative to its capacity may be at most 1.5 times that of a warm one, and at most
// 0.6 of fallMultiple.
TEST(SlowStart, EarnsNoMoreThanItCanBearWhereAllAreWarmingUp) {
  struct Row {
    double fallMultiple, loadShare;
  };
  for (const Row& row : {Row{4, 1.5}, Row{2.5, 1.5}, Row{2, 1.2}}) {
    const Settings settings = startSettings(0.2, row.fallMultiple);
    Sidecar sidecar(settings, 4, 4);
    sidecar.earn(kStart);
    EXPECT_DOUBLE_EQ(sidecar.warmingUp().slowStartCredit, 0.2 * row.loadShare / 4) << row.fallMultiple;
  }
}

TEST(SlowStart, EarnsNothingWhileEjectedOrInBackoff) {
  const Settings settings = startSettings();
  for (const auto until : {&Endpoint::ejectedUntil, &Endpoint::backoffUntil}) {
    Sidecar sidecar(settings, 2);
    sidecar.warmingUp().*until = kStart + 1;
    sidecar.earn(kStart, 10);
    EXPECT_EQ(sidecar.warmingUp().slowStartCredit, 0);
    sidecar.earn(kStart + 1);
    EXPECT_GT(sidecar.warmingUp().slowStartCredit, 0);
  }
}

double allowedOf(double n) {
  return n + (n < 30 ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2);
}

struct Fleet {
  int sidecars;
  double warmPerSecond;  // requests of mean work that a warm endpoint can serve per second
};

// The highest ratio, over all windows, of the work sent to an endpoint that is warming up beside nine warm
// ones to the allowed work. Clients send as many requests as all endpoints can serve when warm. Until
// `quietUntil` all requests go to the warm endpoints; from then on the endpoint that is warming up gets a
// request of `relativeWork` whenever it has a credit.
double worstWindow(const Settings& settings, const Fleet& fleet, double relativeWork, Micros quietUntil) {
  constexpr EndpointId kEndpoints = 10;
  std::vector<Sidecar> sidecars(static_cast<std::size_t>(fleet.sidecars), Sidecar(settings, kEndpoints));
  const auto gap = static_cast<Micros>(1e6 / (kEndpoints * fleet.warmPerSecond));
  std::vector<Micros> sentAt;
  double worst = 0;
  std::size_t from = 0;
  std::size_t next = 0;
  for (Micros now = kStart; now < quietUntil + 2 * kSecond; now += gap) {
    Sidecar& sidecar = sidecars[next++ % sidecars.size()];
    sidecar.earn(now);
    if (now < quietUntil || !sidecar.hasCredit(now)) continue;
    sidecar.spend(now, relativeWork);
    sentAt.push_back(now);
    while (sentAt[from] <= now - settings.fallWindow) ++from;
    const double work = static_cast<double>(sentAt.size() - from) * relativeWork;
    const double capacity = sidecar.capacityFraction(now) * fleet.warmPerSecond;
    worst = std::max(worst, work / allowedOf(settings.fallMultiple * capacity));
  }
  return worst;
}

// With a credit of two for each sidecar, the last fleet would already exceed the limit.
TEST(SlowStart, KeepsTheBudgetOverAllSidecarsAfterAQuietTime) {
  for (const Fleet& fleet : {Fleet{1, 200}, Fleet{12, 40}, Fleet{50, 40}}) {
    EXPECT_LE(worstWindow(startSettings(), fleet, 1, kStart + 5 * kSecond), 1) << fleet.sidecars;
  }
}

// The requests have four times the mean work: if each were charged one credit, each fleet would exceed the
// limit.
TEST(SlowStart, KeepsTheBudgetOverAllSidecarsWhereItGetsHeavyRequestsAlone) {
  for (const Fleet& fleet : {Fleet{1, 200}, Fleet{4, 200}, Fleet{12, 1000}}) {
    EXPECT_LE(worstWindow(startSettings(), fleet, 4, kStart), 1) << fleet.sidecars;
  }
}

}  // namespace
}  // namespace ivypost::balancer::internal
