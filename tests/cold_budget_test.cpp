// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The budget of an upstream in slow start: in any span of fallWindow all sidecars together may send it at
// most N requests of mean work, with N = fallMultiple x present capacity x fallWindow, plus an allowance for
// random variation.
#include <cctype>
#include <cmath>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "fleet_rig.h"

namespace ivypost::balancer {
namespace {

// Settings of slow start.
struct SlowStartSettings {
  const char* name;
  Micros slowStartWindow;
  double startCapacity;
  double fallMultiple;
};
constexpr SlowStartSettings kSlowStarts[] = {{"usual", 8'500 * kMs, 0.32, 2.5},
                                             {"colder", 8'500 * kMs, 0.15, 2}};

// What happens to the fleet and its load while upstreams are in slow start.
enum class Course {
  Burst,
  BurstAtOnce,
  BurstAfterQuiet,
  BurstAnsweredAtOnce,
  MostInSlowStartAnswerAtOnce,
  AllInSlowStartAnswerAtOnce,
  Errors,
  MostInSlowStart,
  AllInSlowStart,
  Restart,
  Restarts,
  SecondProcessesHalfTraffic,
  SecondProcessesFullTraffic,
  Hints,
  WarmUpstreamsLeave,
};
constexpr std::pair<Course, const char*> kCourses[] = {
    {Course::Burst, "a burst"},
    {Course::BurstAtOnce, "a burst from the start on"},
    {Course::BurstAfterQuiet, "a burst after a quiet time"},
    {Course::BurstAnsweredAtOnce, "a burst that is answered at once"},
    {Course::MostInSlowStartAnswerAtOnce, "a burst, six in ten are in slow start, all answer at once"},
    {Course::AllInSlowStartAnswerAtOnce, "a burst, all are in slow start, all answer at once"},
    {Course::Errors, "those in slow start fail, and all requests are retried"},
    {Course::MostInSlowStart, "six in ten are in slow start"},
    {Course::AllInSlowStart, "all are in slow start"},
    {Course::Restart, "all sidecars restart"},
    {Course::Restarts, "all sidecars restart five times"},
    {Course::SecondProcessesHalfTraffic, "a second process beside each, with half of the traffic each"},
    {Course::SecondProcessesFullTraffic, "a second process beside each, with as much traffic again"},
    {Course::Hints, "requests of different work"},
    {Course::WarmUpstreamsLeave, "half of the warm upstreams leave"},
};

Settings settingsOf(const SlowStartSettings& slowStart, std::uint32_t sidecars) {
  Settings s = plainSettings();
  s.zones = 1;
  s.sidecars = sidecars;
  s.idleTimeout = 30 * kSecond;
  s.maxStreamsPerConnection = 1;
  s.mustSubscribe = false;
  s.slowStartWindow = slowStart.slowStartWindow;
  s.startCapacity = slowStart.startCapacity;
  s.fallMultiple = slowStart.fallMultiple;
  s.fallWindow = kSecond;
  return s;
}

// The budget N plus the allowance for random variation.
double allowedWork(double n) {
  return n + (n < 30 ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2);
}

// The greatest ratio, over all spans of fallWindow during the node's slow start, of the work that it was sent
// to the budget at the end of the span.
double worstRatio(const Fleet::Node& node, const Settings& s, double warmPerSecond) {
  double worst = 0, work = 0;
  std::size_t from = 0;
  for (std::size_t n = 0; n < node.sentAt.size(); ++n) {
    const Micros at = node.sentAt[n];
    if (at < node.launchedAt) {
      from = n + 1;
      continue;
    }
    if (at >= node.launchedAt + s.slowStartWindow) break;
    work += node.work[n];
    while (node.sentAt[from] <= at - s.fallWindow) work -= node.work[from++];
    const double part = static_cast<double>(at - node.launchedAt) / static_cast<double>(s.slowStartWindow);
    const double capacityFraction = s.startCapacity + (1 - s.startCapacity) * part;
    const double seconds = static_cast<double>(s.fallWindow) / 1e6;
    worst = std::max(worst, work / allowedWork(s.fallMultiple * capacityFraction * warmPerSecond * seconds));
  }
  return worst;
}

struct Shape {
  std::uint32_t sidecars;
  EndpointId upstreams;
  Micros work;  // mean service time on a core at full speed; an upstream has two
};

// Runs one course for four seconds or more after the launch of the upstreams in slow start; returns the worst
// ratio of any of them.
double runCourse(const SlowStartSettings& slowStart, const Shape& shape, Course course, std::uint64_t seed) {
  const Settings s = settingsOf(slowStart, shape.sidecars);
  const double warmPerSecond = 2e6 / static_cast<double>(shape.work);
  std::vector<Fleet::Node> nodes(shape.upstreams);
  const bool answersAtOnce = course == Course::BurstAnsweredAtOnce ||
                             course == Course::MostInSlowStartAnswerAtOnce ||
                             course == Course::AllInSlowStartAnswerAtOnce;
  for (Fleet::Node& node : nodes) node.mode = answersAtOnce ? Fleet::Mode::Quick : Fleet::Mode::Sound;
  Fleet fleet(s, nodes, 0.55 * warmPerSecond * shape.upstreams, seed);
  fleet.work = shape.work;
  fleet.requestClass = kSafe;
  fleet.sendsWorkHints = course == Course::Hints;
  fleet.run(5 * kSecond);
  const bool mostInSlowStart =
      course == Course::MostInSlowStart || course == Course::MostInSlowStartAnswerAtOnce;
  const EndpointId some = mostInSlowStart ? shape.upstreams * 6 / 10 : std::max(1U, shape.upstreams / 10);
  const EndpointId slowStartCount =
      course == Course::AllInSlowStart || course == Course::AllInSlowStartAnswerAtOnce ? shape.upstreams
                                                                                       : some;
  for (EndpointId id = 0; id < slowStartCount; ++id) {
    fleet.node(id).launchedAt = fleet.now;
    if (course == Course::Errors) fleet.node(id).mode = Fleet::Mode::Errors;
  }
  fleet.updateAllLists(50 * kMs);
  if (course != Course::BurstAtOnce) fleet.run(kSecond);
  if (course == Course::BurstAfterQuiet) {
    fleet.rateFactor = 0.3;
    fleet.run(kSecond);
  }
  const bool hasSecondProcesses = course == Course::SecondProcessesFullTraffic;
  if (hasSecondProcesses) fleet.startSecondProcesses(1);
  if (course == Course::SecondProcessesHalfTraffic) fleet.startSecondProcesses(0.5);
  if (course == Course::WarmUpstreamsLeave) {
    for (EndpointId id = slowStartCount; id < slowStartCount + (shape.upstreams - slowStartCount) / 2; ++id)
      fleet.node(id).state = EndpointState::Gone;
    fleet.updateAllLists(50 * kMs);
  }
  fleet.rateFactor = hasSecondProcesses || course == Course::WarmUpstreamsLeave ? 1.5 : 3;
  for (int n = course == Course::Restarts ? 5 : course == Course::Restart ? 1 : 0; n > 0; --n) {
    fleet.run(300 * kMs);
    fleet.restartAll();
  }
  fleet.run(3 * kSecond);
  double worst = 0;
  for (EndpointId id = 0; id < slowStartCount; ++id)
    worst = std::max(worst, worstRatio(fleet.node(id), s, warmPerSecond));
  return worst;
}

std::string nameOf(Course course) {
  for (const auto& [candidate, name] : kCourses) {
    if (candidate == course) return name;
  }
  return "unknown";
}

// GoogleTest prints the test's parameter with this operator, as part of the name in ctest.
std::ostream& operator<<(std::ostream& out, Course course) {
  return out << nameOf(course);
}

// One test for each course, so that they run in parallel: together they take minutes under sanitizers.
class SlowStartBudgetTest : public testing::TestWithParam<Course> {};

// All sidecars get the list that shows the launch within 50 ms, so every attempt after the launch counts
// towards the budget.
TEST_P(SlowStartBudgetTest, IsKeptOverTheSumOfAllProcesses) {
  constexpr Shape kShapes[] = {{1, 4, 50 * kMs},   {1, 4, 5 * kMs},    {4, 20, 200 * kMs},
                               {12, 4, 50 * kMs},  {12, 10, 10 * kMs}, {40, 4, 50 * kMs},
                               {40, 4, 400 * kMs}, {40, 40, 400 * kMs}};
  for (const SlowStartSettings& slowStart : kSlowStarts) {
    for (const Shape& shape : kShapes) {
      for (const std::uint64_t seed : {1U, 2U}) {
        const double worst = runCourse(slowStart, shape, GetParam(), seed);
        EXPECT_LE(worst, 1) << slowStart.name << " start, " << shape.sidecars << " sidecars, "
                            << shape.upstreams << " upstreams, " << shape.work / kMs << " ms, seed " << seed;
      }
    }
  }
}

std::vector<Course> allCourses() {
  std::vector<Course> courses;
  for (const auto& [course, name] : kCourses) courses.push_back(course);
  return courses;
}

// GoogleTest allows only letters, digits and underscores in a name.
std::string testNameOf(const testing::TestParamInfo<Course>& info) {
  std::string name = nameOf(info.param);
  for (char& letter : name) {
    if (std::isalnum(static_cast<unsigned char>(letter)) == 0) letter = '_';
  }
  return name;
}

INSTANTIATE_TEST_SUITE_P(Courses, SlowStartBudgetTest, testing::ValuesIn(allCourses()), testNameOf);

// The more requests a window has, the smaller the allowance for random variation is relative to N. Uses the
// lower fallMultiple, which leaves the least margin above the share of an upstream in slow start.
TEST(SlowStartBudget, IsKeptWhenAWindowHasManyRequests) {
  constexpr Shape kShapes[] = {{1, 4, kMs}, {1, 20, 2 * kMs}};
  for (const Shape& shape : kShapes) {
    EXPECT_LE(runCourse(kSlowStarts[1], shape, Course::AllInSlowStartAnswerAtOnce, 1), 1)
        << shape.upstreams << " upstreams, " << shape.work / kMs << " ms";
  }
}

}  // namespace
}  // namespace ivypost::balancer
