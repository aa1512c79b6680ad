// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Compares the decisions on seeded streams of measurements with a digest recorded at commit 7c357c1. Guards
// against refactoring that changes the transitions, their times or their log lines for the same events.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "degradation/load_monitor.h"
#include "simulated_time.h"

namespace ivypost::degradation {
namespace {

class RandomStream {
 public:
  explicit RandomStream(std::uint64_t seed) : state_(seed) {}
  // Uniform in [0, 1).
  double next() {
    state_ = state_ * 6364136223846793005u + 1442695040888963407u;
    return static_cast<double>(state_ >> 40) * 0x1p-24;
  }

 private:
  std::uint64_t state_;
};

// Truncates to whole microseconds.
Duration microseconds(double number) {
  return Duration(static_cast<Duration::rep>(number));
}

// Random load that stays constant for episodes of 0.5 to 20 s, with noise. The clock jumps occasionally.
std::string transitionsOf(std::uint64_t seed) {
  RandomStream random(seed);
  LoadMonitor monitor(defaultSettings(), 2, at(Duration::zero()));
  std::string lines;
  Duration now{};
  Duration cpuTime{};
  Duration episodeEnd{};
  double load = 0;
  for (int tick = 0; tick < 12'000; ++tick) {
    now += microseconds(40'000 + 20'000 * random.next());
    if (random.next() < 0.001) now += microseconds(4e6 * (random.next() - 0.5));
    if (now >= episodeEnd) {
      episodeEnd = now + microseconds(5e5 + 195e5 * random.next());
      load = random.next() < 0.6 ? 0.3 * random.next() : 1.3 * random.next();
    }
    const auto noisy = [&](double scale) { return scale * load * (0.8 + 0.4 * random.next()); };
    cpuTime += microseconds(noisy(100'000));
    Measurements measurements;
    measurements.cpuTime = cpuTime;
    measurements.eventLoopLag = microseconds(noisy(100'000) * load * load);
    measurements.openRequestFraction = noisy(0.9);
    measurements.busyConnectionFraction = noisy(0.8);
    measurements.overQuotaFraction = noisy(0.3);
    measurements.endpointListAge = microseconds(noisy(5e6));
    for (int event = 0; event < 4; ++event) {
      monitor.onRequest(random.next() < 0.3 * load, at(now));
      monitor.onAttemptEnd(random.next() < 0.25 * load, at(now));
    }
    if (tick == 6'000) {
      Settings quick = defaultSettings();
      quick.recoveryDelay = std::chrono::milliseconds(500);
      quick.escalationInterval = std::chrono::milliseconds(100);
      monitor.apply(quick, at(now));
    }
    if (const auto transition = monitor.tick(measurements, at(now)))
      lines += std::to_string(transition->at.time_since_epoch().count()) + " " + describe(*transition) + "\n";
  }
  return lines;
}

std::uint64_t fnv1a(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const char byte : text) hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3u;
  return hash;
}

TEST(DecisionTrace, MatchesTheRecordedDigest) {
  std::string lines;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) lines += transitionsOf(seed);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 1037);
  EXPECT_EQ(fnv1a(lines), 17005573515537379754u) << lines.substr(0, 2000);
}

}  // namespace
}  // namespace ivypost::degradation
