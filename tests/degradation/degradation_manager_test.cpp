// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests degradation in a complete sidecar over loopback sockets.
#include "sidecar_rig.h"

namespace ivypost {
namespace {

using degradation::Level;

class DegradationManagerTest : public SidecarTest {
 protected:
  // A file with which the sidecar reaches this level and stays there, since CPU utilization is always above
  // 0.
  static configuration::OperatorFile fileForLevel(Level level) {
    configuration::OperatorFile file;
    file.degradation.on = file.admission.queue = file.status.level = true;
    file.degradation.settings.escalationInterval = std::chrono::milliseconds(1);
    auto& thresholds = file.degradation.settings.thresholds;
    thresholds = degradation::Thresholds{};
    for (const Level each : degradation::kLevels) {
      if (each == Level::Normal || each > level) continue;
      thresholds.at(each, degradation::Signal::CpuUtilization) = degradation::Threshold{1e-12, 0};
    }
    return file;
  }

  void start(const configuration::OperatorFile& file, const json& patch = json::object()) {
    upstreams.push_back(std::make_unique<Peer>(io));
    states.assign(1, "up");
    config = configure(patch);
    sidecar = std::make_unique<Sidecar>(io, config, file);
    ASSERT_TRUE(wait([this] { return watches() > 0; }));
  }

  json status() {
    const Client asking = client();
    asking.send("GET /status/level HTTP/1.1\r\nHost: s\r\n\r\n");
    EXPECT_TRUE(wait([&] { return asking.answers() == 1; }));
    EXPECT_EQ(asking.answer(0).result_int(), 200u);
    return json::parse(asking.answer(0).body());
  }

  void serveOne(const std::string& trace, const std::string& headers = "") {
    const Client one = client();
    Request request;
    request.trace = trace;
    request.headers = headers;
    const auto before = arrived();
    one.send(request.text());
    ASSERT_TRUE(wait([&] { return arrived() > before; }));
    upstreams[0]->requests.back().reply(200, "served");
    ASSERT_TRUE(wait([&] { return one.answers() == 1; }));
    EXPECT_EQ(one.answer(0).body(), "served");
  }

  Config config;
};

// Unless the operator's file switches degradation on, the level is Normal and its status is not served.
TEST_F(DegradationManagerTest, IsOffByDefault) {
  start(configuration::OperatorFile{});
  const Client asking = client();
  asking.send("GET /status/level HTTP/1.1\r\nHost: s\r\n\r\n");
  ASSERT_TRUE(wait([&] { return asking.answers() == 1; }));
  EXPECT_EQ(asking.answer(0).result_int(), 404u);
  EXPECT_EQ(sidecar->level(), Level::Normal);
}

// At each level, a failed reload of the operator's file changes nothing. A reload that switches degradation
// off resets the level to Normal.
TEST_F(DegradationManagerTest, KeepsItsLevelWhenAReloadFails) {
  start(fileForLevel(Level::Normal));
  for (std::size_t n = 0; n < degradation::kLevelCount; ++n) {
    const auto level = static_cast<Level>(n);
    sidecar->reload(config, fileForLevel(level));
    ASSERT_TRUE(wait([&] { return sidecar->level() == level; })) << n;
    configuration::OperatorFile bad = fileForLevel(Level::Normal);
    bad.degradation.on = bad.status.level = false;
    bad.admission.order = {"cambio", "nosuch"};
    try {
      sidecar->reload(config, bad);
      ADD_FAILURE() << "an invalid file was applied";
    } catch (const settings::FormatError& error) {
      EXPECT_STREQ(error.what(), "admission.order names a class that the platform doesn't have: 'nosuch'");
    }
    EXPECT_EQ(sidecar->level(), level);
    EXPECT_EQ(status()["level"], degradation::nameOf(level));
  }
  configuration::OperatorFile off = fileForLevel(Level::Cutoff);
  off.degradation.on = false;
  sidecar->reload(config, off);
  EXPECT_EQ(sidecar->level(), Level::Normal);
  serveOne("00000000000000a2");
}

TEST_F(DegradationManagerTest, ShowsItsStatusWhenTheFileAsksForIt) {
  start(fileForLevel(Level::Protect));
  ASSERT_TRUE(wait([&] { return sidecar->level() == Level::Protect; }));
  serveOne("00000000000000a3", "X-Second-Try: 1\r\n");
  const json seen = status();
  EXPECT_EQ(seen["name"], "n1");
  EXPECT_EQ(seen["on"], true);
  EXPECT_GE(seen["for_ms"], 0);
  EXPECT_EQ(seen["signals"].size(), degradation::kSignalCount);
  EXPECT_EQ(seen["queue"]["handed on"], 1);
  EXPECT_EQ(seen["waiting"], 0);
}

// At Shed, a request that can't be served in time is rejected after its header, without reading its body. A
// request that can be served in time is read.
TEST_F(DegradationManagerTest, RejectsAtShedBeforeTheBodyIsRead) {
  start(fileForLevel(Level::Shed));
  ASSERT_TRUE(wait([&] { return sidecar->level() == Level::Shed; }));
  serveOne("00000000000000a4");
  serveOne("00000000000000b4");  // admitted, by the answer time of the first request
  Request late;
  late.trace = "00000000000000a5";
  late.expiresInMs = 0;
  late.body = std::string(1000, 'x');
  const std::string text = late.text();
  const Client refused = client();
  refused.send(text.substr(0, text.find("\r\n\r\n") + 4));
  ASSERT_TRUE(wait([&] { return refused.answers() == 1; }));
  EXPECT_EQ(refused.answer(0).result_int(), 503u);
  EXPECT_FALSE(refused.answer(0).keep_alive());
  EXPECT_EQ(arrived(), 2u);
}

// At Cutoff only the class that is first in the operator's order is admitted. The others are rejected with
// Retry-After, if the platform allows it.
TEST_F(DegradationManagerTest, AdmitsAtCutoffTheClassOfTheGreatestWeightOnly) {
  configuration::OperatorFile file = fileForLevel(Level::Cutoff);
  file.admission.order = {"cambio"};
  start(file, {{"settings", {{"limits", {{"retryAfter", true}, {"maxRetryAfter", 60'000}}}}}});
  ASSERT_TRUE(wait([&] { return sidecar->level() == Level::Cutoff; }));
  serveOne("00000000000000a6");
  Request other;
  other.trace = "00000000000000a7";
  other.qos = "consulta";
  other.method = "GET";
  other.body = "";
  const Client refused = client();
  refused.send(other.text());
  ASSERT_TRUE(wait([&] { return refused.answers() == 1; }));
  EXPECT_EQ(refused.answer(0).result_int(), 503u);
  EXPECT_EQ(refused.answer(0)["Retry-After"], "0.060");
}

// Clients that leave while their requests are queued do not block the others, and a reload that switches the
// queue off forwards the queued requests.
TEST_F(DegradationManagerTest, LosesNoRequestWhenTheQueueIsSwitchedOff) {
  configuration::OperatorFile file = fileForLevel(Level::Protect);
  file.admission.maxForwardsPerTurn = 1;
  start(file);
  upstreams[0]->onRequest = [](Peer::Exchange& exchange) { exchange.reply(200, "served"); };
  std::vector<Client> all;
  for (int n = 0; n < 60; ++n) {
    all.push_back(client());
    Request request;
    request.trace = "00000000000001" + std::to_string(10 + n);
    all.back().send(request.text());
  }
  for (std::size_t n = 0; n < all.size(); n += 3) all[n].close();
  file.admission.queue = false;
  asio::post(io, [&] { sidecar->reload(config, file); });
  for (std::size_t n = 0; n < all.size(); ++n) {
    if (n % 3 == 0) continue;
    ASSERT_TRUE(wait([&] { return all[n].answers() == 1; })) << n;
  }
  EXPECT_EQ(status()["waiting"], 0);
}

}  // namespace
}  // namespace ivypost
