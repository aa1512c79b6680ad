// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The budget of an upstream in slow start (cold): in any span of fallWindow all sidecars together may send it
// at most N requests of mean work, with N = fallMultiple x present capacity x fallWindow, and an allowance
// for chance.
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
struct Start {
  const char* name;
  Micros slowStartWindow;
  double startCapacity;
  double fallMultiple;
};
constexpr Start kStarts[] = {{"usual", 8'500 * kMs, 0.32, 2.5}, {"colder", 8'500 * kMs, 0.15, 2}};

// What happens to the fleet and its load while upstreams are in slow start.
enum class Course {
  Burst,
  BurstAtOnce,
  BurstAfterQuiet,
  BurstAnsweredAtOnce,
  ManyColdAnswerAtOnce,
  AllColdAnswerAtOnce,
  Errors,
  ManyCold,
  AllCold,
  Restart,
  Restarts,
  HalfEach,
  AllEach,
  Hints,
  WarmGo,
};
constexpr std::pair<Course, const char*> kCourses[] = {
    {Course::Burst, "a burst"},
    {Course::BurstAtOnce, "a burst with the start"},
    {Course::BurstAfterQuiet, "a burst after a quiet time"},
    {Course::BurstAnsweredAtOnce, "a burst that is answered at once"},
    {Course::ManyColdAnswerAtOnce, "a burst, six in ten are cold, all answer at once"},
    {Course::AllColdAnswerAtOnce, "a burst, all are cold, all answer at once"},
    {Course::Errors, "the cold ones fail, and all is retried"},
    {Course::ManyCold, "six in ten are cold"},
    {Course::AllCold, "all are cold"},
    {Course::Restart, "all sidecars restart"},
    {Course::Restarts, "all sidecars restart five times"},
    {Course::HalfEach, "a second process beside each, the traffic in halves"},
    {Course::AllEach, "a second process beside each, with as much traffic again"},
    {Course::Hints, "requests of unlike work"},
    {Course::WarmGo, "half of the warm ones go"},
};

Settings settingsOf(const Start& start, std::uint32_t sidecars) {
  Settings s = plainSettings();
  s.zones = 1;
  s.sidecars = sidecars;
  s.idleTimeout = 30 * kSecond;
  s.maxStreamsPerConnection = 1;
  s.mustSubscribe = false;
  s.slowStartWindow = start.slowStartWindow;
  s.startCapacity = start.startCapacity;
  s.fallMultiple = start.fallMultiple;
  s.fallWindow = kSecond;
  return s;
}

// The budget N with the allowance for chance.
double allowedOf(double n) {
  return n + (n < 30 ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2);
}

// The greatest ratio, over all spans of fallWindow during the node's slow start, of the work that it was sent
// to the budget at the end of the span.
double worstSpan(const Fleet::Node& node, const Settings& s, double warmPerSecond) {
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
    const double warmth = s.startCapacity + (1 - s.startCapacity) * part;
    const double seconds = static_cast<double>(s.fallWindow) / 1e6;
    worst = std::max(worst, work / allowedOf(s.fallMultiple * warmth * warmPerSecond * seconds));
  }
  return worst;
}

struct Shape {
  std::uint32_t sidecars;
  EndpointId upstreams;
  Micros work;  // mean of a request on a warm core; an upstream has two cores
};

// Runs one course for four seconds or more after the cold upstreams' start; returns the worst ratio of them
// all.
double play(const Start& start, const Shape& shape, Course course, std::uint64_t seed) {
  const Settings s = settingsOf(start, shape.sidecars);
  const double warmPerSecond = 2e6 / static_cast<double>(shape.work);
  std::vector<Fleet::Node> nodes(shape.upstreams);
  const bool quick = course == Course::BurstAnsweredAtOnce || course == Course::ManyColdAnswerAtOnce ||
                     course == Course::AllColdAnswerAtOnce;
  for (Fleet::Node& node : nodes) node.mode = quick ? Fleet::Mode::Quick : Fleet::Mode::Sound;
  Fleet fleet(s, nodes, 0.55 * warmPerSecond * shape.upstreams, seed);
  fleet.work = shape.work;
  fleet.requestClass = kSafe;
  fleet.hints = course == Course::Hints;
  fleet.play(5 * kSecond);
  const bool many = course == Course::ManyCold || course == Course::ManyColdAnswerAtOnce;
  const EndpointId some = many ? shape.upstreams * 6 / 10 : std::max(1U, shape.upstreams / 10);
  const EndpointId cold =
      course == Course::AllCold || course == Course::AllColdAnswerAtOnce ? shape.upstreams : some;
  for (EndpointId id = 0; id < cold; ++id) {
    fleet.node(id).launchedAt = fleet.now;
    if (course == Course::Errors) fleet.node(id).mode = Fleet::Mode::Errors;
  }
  fleet.tellAll(50 * kMs);
  if (course != Course::BurstAtOnce) fleet.play(kSecond);
  if (course == Course::BurstAfterQuiet) {
    fleet.burst = 0.3;
    fleet.play(kSecond);
  }
  const bool doubled = course == Course::AllEach;
  if (doubled) fleet.doubleAll(1);
  if (course == Course::HalfEach) fleet.doubleAll(0.5);
  if (course == Course::WarmGo) {
    for (EndpointId id = cold; id < cold + (shape.upstreams - cold) / 2; ++id)
      fleet.node(id).state = EndpointState::Gone;
    fleet.tellAll(50 * kMs);
  }
  fleet.burst = doubled || course == Course::WarmGo ? 1.5 : 3;
  for (int n = course == Course::Restarts ? 5 : course == Course::Restart ? 1 : 0; n > 0; --n) {
    fleet.play(300 * kMs);
    fleet.restartAll();
  }
  fleet.play(3 * kSecond);
  double worst = 0;
  for (EndpointId id = 0; id < cold; ++id)
    worst = std::max(worst, worstSpan(fleet.node(id), s, warmPerSecond));
  return worst;
}

std::string nameOf(Course course) {
  for (const auto& [one, name] : kCourses) {
    if (one == course) return name;
  }
  return "unknown";
}

// GoogleTest prints the parameter with it, as part of the name in ctest.
std::ostream& operator<<(std::ostream& out, Course course) {
  return out << nameOf(course);
}

// One test for each course, so that they run in parallel: together they take minutes under sanitizers.
class ColdBudgetTest : public testing::TestWithParam<Course> {};

// All sidecars get the list with the start within 50 ms, so every attempt after the start counts against the
// budget.
TEST_P(ColdBudgetTest, IsKeptOverTheSumOfAllProcesses) {
  constexpr Shape kShapes[] = {{1, 4, 50 * kMs},   {1, 4, 5 * kMs},    {4, 20, 200 * kMs},
                               {12, 4, 50 * kMs},  {12, 10, 10 * kMs}, {40, 4, 50 * kMs},
                               {40, 4, 400 * kMs}, {40, 40, 400 * kMs}};
  for (const Start& start : kStarts) {
    for (const Shape& shape : kShapes) {
      for (const std::uint64_t seed : {1U, 2U}) {
        const double worst = play(start, shape, GetParam(), seed);
        EXPECT_LE(worst, 1) << start.name << " start, " << shape.sidecars << " sidecars, " << shape.upstreams
                            << " upstreams, " << shape.work / kMs << " ms, seed " << seed;
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

INSTANTIATE_TEST_SUITE_P(Courses, ColdBudgetTest, testing::ValuesIn(allCourses()), testNameOf);

// The more requests a window has, the less the allowance for chance covers. Uses the lower fallMultiple,
// which leaves the least margin above the share of an upstream in slow start.
TEST(ColdBudget, IsKeptWhenAWindowHasManyRequests) {
  constexpr Shape kShapes[] = {{1, 4, kMs}, {1, 20, 2 * kMs}};
  for (const Shape& shape : kShapes) {
    EXPECT_LE(play(kStarts[1], shape, Course::AllColdAnswerAtOnce, 1), 1)
        << shape.upstreams << " upstreams, " << shape.work / kMs << " ms";
  }
}

}  // namespace
}  // namespace ivypost::balancer
