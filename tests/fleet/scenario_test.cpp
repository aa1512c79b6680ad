// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fleet/scenario.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "configuration/toml_document.h"
#include "settings/site.h"

namespace ivypost::fleet {
namespace {

const std::string kLeast = "name = \"n\"\n[[node]]\n[[class]]\nname = \"a\"\neffect = \"unsafe\"\n";

TEST(Scenario, ReadsTheLeast) {
  const Scenario scenario = parseScenario(kLeast, "s");
  EXPECT_EQ(scenario.nodeCount(), 1u);
  EXPECT_EQ(scenario.tenants.size(), 1u);
  EXPECT_EQ(scenario.classes[0].effect, standins::Effect::Unsafe);
  EXPECT_EQ(scenario.length, 30'000'000);
}

TEST(Scenario, PutsEventsInOrderAndReadsPlans) {
  const Scenario scenario = parseScenario(
      "name = \"n\"\nsidecars = 2\n[[node]]\ncount = 3\n[[class]]\nname = \"a\"\neffect = \"safe\"\n"
      "[[event]]\nat = \"9s\"\ndo = \"drain\"\nnode = 3\n"
      "[[event]]\nat = \"2s\"\ndo = \"fault\"\nnode = 1\nfor = "
      "\"1s\"\n[[event.plan.rule]]\n[[event.plan.rule.answer]]\n"
      "do = \"swallow\"\n"
      "[[event]]\nat = \"3s\"\ndo = \"kill\"\nsidecar = 2\nfor = \"1s\"\n",
      "s");
  ASSERT_EQ(scenario.events.size(), 3u);
  EXPECT_EQ(scenario.events[0].kind, Event::Kind::Fault);
  EXPECT_EQ(scenario.events[0].plan.rules.size(), 1u);
  EXPECT_EQ(scenario.events[1].group, (std::vector<std::uint32_t>{1}));
  EXPECT_EQ(scenario.events[2].kind, Event::Kind::Drain);
  EXPECT_EQ(scenario.events[2].target, 2u);
}

TEST(Scenario, ReadsFaultsBetweenSidecars) {
  const std::string head =
      "name = \"n\"\nsidecars = 12\nseed = 5\npeers = true\n[[node]]\n[[class]]\nname = \"a\"\neffect = "
      "\"safe\"\n";
  const std::string events =
      "[[event]]\nat = \"1s\"\ndo = \"partition\"\ngroup = [1, 2, 12]\nfor = \"3s\"\n"
      "[[event]]\nat = \"2s\"\ndo = \"deafen\"\nshare = 0.34\nfor = \"3s\"\n"
      "[[event]]\nat = \"3s\"\ndo = \"datagrams\"\ngroup = [1]\nto = [2, 3]\nfor = \"3s\"\n"
      "plan = { loss = 0.3, doubled = 0.1, delay = \"20ms\" }\n"
      "[[event]]\nat = \"4s\"\ndo = \"kill\"\nshare = 0.9\nfor = \"2s\"\n"
      "[[event]]\nat = \"5s\"\ndo = \"fault\"\nnode = 1\ngroup = [4]\nfor = \"1s\"\n"
      "[[event.plan.rule]]\n[[event.plan.rule.answer]]\ndo = \"swallow\"\n";
  const Scenario scenario = parseScenario(head + events, "s");
  ASSERT_EQ(scenario.events.size(), 5u);
  EXPECT_TRUE(scenario.peers);
  EXPECT_EQ(scenario.events[0].group, (std::vector<std::uint32_t>{0, 1, 11}));
  EXPECT_EQ(scenario.events[1].group.size(), 4u);
  EXPECT_EQ(scenario.events[1].group, parseScenario(head + events, "s").events[1].group) << "by the seed";
  EXPECT_EQ(scenario.events[2].to, (std::vector<std::uint32_t>{1, 2}));
  EXPECT_EQ(scenario.events[2].datagrams.loss, 0.3);
  EXPECT_EQ(scenario.events[2].datagrams.delay, 20'000);
  EXPECT_EQ(scenario.events[3].group.size(), 11u);
  EXPECT_EQ(scenario.events[4].group, (std::vector<std::uint32_t>{3}));
}

// Zones go to the regions in turn, so regions may be of unequal size: a third of the sidecars here.
TEST(Scenario, ReadsRegionsAndZonesAndNamesSidecarsByThem) {
  const std::string head =
      "name = \"n\"\nsidecars = 18\npeers = true\nregions = 2\nzones = 3\n[[node]]\n[[class]]\nname = \"a\"\n"
      "effect = \"safe\"\n";
  const Scenario scenario =
      parseScenario(head +
                        "[[event]]\nat = \"1s\"\ndo = \"partition\"\nregion = 2\nfor = \"3s\"\n"
                        "[[event]]\nat = \"2s\"\ndo = \"kill\"\nzone = 3\nfor = \"3s\"\n"
                        "[[event]]\nat = \"3s\"\ndo = \"kill\"\nregion = 1\nshare = 0.5\nfor = \"3s\"\n"
                        "[[event]]\nat = \"4s\"\ndo = \"reload\"\ngroup = [1, 4]\nnew_region = 2\n"
                        "[[event]]\nat = \"5s\"\ndo = \"fault\"\nnode = 1\nregion = 2\nfor = \"1s\"\n"
                        "[[event.plan.rule]]\n[[event.plan.rule.answer]]\ndo = \"swallow\"\n",
                    "s");
  const std::vector<std::uint32_t> second = {1, 4, 7, 10, 13, 16}, third = {2, 5, 8, 11, 14, 17};
  ASSERT_EQ(scenario.events.size(), 5u);
  EXPECT_EQ(scenario.events[4].group, second);
  EXPECT_EQ(scenario.events[0].group, second);
  EXPECT_EQ(scenario.events[1].group, third);
  EXPECT_EQ(scenario.events[2].group.size(), 6u);
  for (const auto n : scenario.events[2].group) EXPECT_EQ(scenario.regionOf(n), 1u) << n;
  EXPECT_EQ(scenario.events[3].group, (std::vector<std::uint32_t>{0, 3}));
  EXPECT_EQ(scenario.events[3].region, 2u);
  EXPECT_EQ(parseScenario(kLeast, "s").regionOf(2), 0u);
}

TEST(Scenario, ReadsPartsOfACoreAndOneTenantsLoad) {
  const Scenario scenario =
      parseScenario("cores = 0.1\noperator = \"op.toml\"\nconnections = 500\n" + kLeast +
                        "[[tenant]]\nname = \"nalon\"\n[[event]]\ndo = \"load\"\nfactor = 5\n"
                        "tenant = \"nalon\"\nfor = \"1s\"",
                    "s");
  EXPECT_EQ(scenario.cores, 0.1);
  EXPECT_EQ(scenario.operatorFile, "op.toml");
  EXPECT_EQ(scenario.connections, 500u);
  EXPECT_EQ(scenario.events[0].tenant, "nalon");
}

TEST(Scenario, RefusesABadOneWithOneLine) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "s:1: the key 'name' is missing"},
      {"name = \"n\"", "s:1: no [[node]]"},
      {"name = \"n\"\n[[node]]", "s:1: no [[class]]"},
      {kLeast + "[[class]]\nname = \"a\"\neffect = \"safe\"",
       "s:7: class[2].name: a class of this name is there already"},
      {"cores = 0\n" + kLeast, "s:1: cores: 0 is out of range; allowed is 0.01 to 1"},
      {kLeast + "[[event]]\ndo = \"load\"\nfactor = 2\ntenant = \"x\"\nfor = \"1s\"",
       "s:9: event[1].tenant: there is no [[tenant]] of this name"},
      {kLeast + "[[event]]\ndo = \"hang\"\nnode = 2\nfor = \"1s\"",
       "s:8: event[1].node: 2 is out of range; allowed is 1 to 1"},
      {kLeast + "[[event]]\ndo = \"deafen\"\nshare = 0.5\nfor = \"1s\"",
       "s:7: event[1].do: sidecars say nothing to each other; set peers = true"},
      {"peers = true\n" + kLeast + "[[event]]\ndo = \"partition\"\ngroup = [4]\nfor = \"1s\"",
       "s:9: event[1].group: 4 is not allowed in the list; allowed is 1 to 3"},
      {"peers = true\n" + kLeast + "[[event]]\ndo = \"partition\"\nfor = \"1s\"",
       "s:7: event[1].group: no sidecar is named, by 'sidecar', 'share', 'zone', 'region' or a list of "
       "numbers"},
      {"peers = true\nregions = 3\nzones = 2\n" + kLeast,
       "s:3: zones: fewer zones than regions, and each region has one at least; set zones = 3 or more, or "
       "fewer "
       "regions"},
      {"peers = true\nregions = 4\n" + kLeast, "s:2: regions: more than sidecars; set sidecars = 4 or more"},
      {"zones = 4\n" + kLeast, "s:1: zones: more than sidecars; set sidecars = 4 or more"},
      {"regions = 2\n" + kLeast, "s:1: regions: sidecars say nothing to each other; set peers = true"},
      {"regions = 0\n" + kLeast, "s:1: regions: 0 is out of range; allowed is 1 to 64"},
      {kLeast + "[[event]]\ndo = \"kill\"\nzone = 1\nfor = \"1s\"",
       "s:8: event[1].zone: the scenario has none; set zones"},
      {"zones = 2\n" + kLeast + "[[event]]\ndo = \"kill\"\nregion = 1\nfor = \"1s\"",
       "s:9: event[1].region: the scenario has none; set regions"},
      {"zones = 2\n" + kLeast + "[[event]]\ndo = \"kill\"\nzone = 3\nfor = \"1s\"",
       "s:9: event[1].zone: 3 is out of range; allowed is 1 to 2"},
      {kLeast + "[[event]]\ndo = \"reload\"\nsidecar = 1\nnew_region = 1",
       "s:7: event[1].do: the scenario has no regions to change; set regions"},
      {"peers = true\nregions = 2\n" + kLeast + "[[event]]\ndo = \"reload\"\nsidecar = 1\nnew_region = 3",
       "s:11: event[1].new_region: 3 is out of range; allowed is 0 to 2"},
      {kLeast + "[[event]]\ndo = \"hang\"\nnode = 1", "s:6: event[1]: the key 'for' is missing"},
      {kLeast + "[[event]]\ndo = \"drain\"\nnode = 1\nfor = \"1s\"",
       "s:9: event[1].for: there is no such key; did you mean 'do'?"},
      {kLeast + "[[event]]\nat = \"31s\"\ndo = \"drain\"\nnode = 1", "s:7: event[1].at: out of range"},
      {kLeast + "[[event]]\ndo = \"fault\"\nnode = 1\nfor = \"1s\"\n[event.plan]\nlistener = \"x\"",
       "s:11: event[1].plan.listener: \"x\" is not allowed; allowed is accept, refuse, full"},
      {"name = \"n\"\n[[node]]\ncount = 200\n[[node]]\ncount = 57\n[[class]]\nname = \"a\"\neffect = "
       "\"safe\"",
       "s:2: node: over 256 nodes in all"},
      {"name = \"n\"\n[[node]]\n[[class]]\nname = \"a b\"\neffect = \"safe\"",
       "s:4: class[1].name: a class's name is one word and part of paths"},
  };
  for (const auto& [text, expected] : cases) {
    try {
      parseScenario(text, "s");
      ADD_FAILURE() << "accepted: " << text;
    } catch (const configuration::Error& error) {
      EXPECT_EQ(std::string(error.what()), expected);
    }
  }
}

// What the sidecar reads of it is what the scenario says: no key of the settings is misspelt here.
TEST(Scenario, GivesSettingsThatTheSidecarReads) {
  const Scenario scenario = parseScenario(
      "name = \"n\"\nsidecars = 4\nkey_window = \"600ms\"\nfall_multiple = 3\n"
      "[[node]]\nkind = \"slow\"\ncold_share = 0.25\nwarm = \"6s\"\n[[node]]\nkind = \"fast\"\n"
      "[[class]]\nname = \"a\"\neffect = \"keyed\"\nworth = 5\n[[class]]\nname = \"b\"\neffect = "
      "\"unsafe\"\n",
      "s");
  const nlohmann::json settings = settingsOf(scenario, 2);
  // The dotted form of the sidecar's configuration, as config.cpp makes it.
  std::string line = "settings";
  const std::function<void(const nlohmann::json&, const std::string&)> flatten =
      [&](const nlohmann::json& value, const std::string& path) {
        const std::string below = path.empty() ? "" : path + ".";
        if (value.is_object()) {
          for (const auto& [key, item] : value.items()) flatten(item, below + key);
        } else if (value.is_array() && value.front().is_structured()) {
          line += " " + below + "count=" + std::to_string(value.size());
          for (std::size_t n = 0; n < value.size(); ++n) flatten(value[n], below + std::to_string(n));
        } else if (value.is_array()) {
          std::string joined;
          for (const auto& item : value) joined += (joined.empty() ? "" : ",") + item.get<std::string>();
          line += " " + path + "=" + joined;
        } else {
          line += " " + path + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
      };
  flatten(settings, "");
  const auto site = settings::readSite(settings::Line(line));
  EXPECT_EQ(site.settings.sidecars, 4u);
  EXPECT_EQ(site.settings.kinds, 2u);
  EXPECT_EQ(site.settings.classes[0].semantics, balancer::Semantics::Keyed);
  EXPECT_EQ(site.settings.classes[0].group, balancer::RetryGroup::Cell);
  EXPECT_EQ(site.settings.classes[0].retryWindow, 600'000);
  EXPECT_EQ(site.settings.classes[0].weight, 5);
  EXPECT_EQ(site.settings.classes[1].semantics, balancer::Semantics::Unsafe);
  EXPECT_EQ(site.settings.startCapacity, 0.25);
  EXPECT_EQ(site.settings.slowStartWindow, 6'000'000);
  EXPECT_EQ(site.settings.fallMultiple, 3);
  EXPECT_EQ(site.settings.drainGrace, 2'000'000);
  EXPECT_TRUE(site.settings.mayProbe);
  EXPECT_TRUE(site.settings.mayCancel);
  EXPECT_EQ(site.settings.maxAttempts, 3u);
  EXPECT_EQ(site.settings.reportSource, balancer::ReportSource::Probes);
}

}  // namespace
}  // namespace ivypost::fleet
