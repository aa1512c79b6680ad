// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/endpoint_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace ivypost {
namespace {

using balancer::EndpointState;
using balancer::MembershipUpdate;
using Kind = MembershipUpdate::Kind;

constexpr Micros kUnixTime = 1'700'000'000'000'000;
constexpr Micros kNow = 1'000'000'000;
constexpr std::int64_t kStart = kUnixTime / 1000 - 60'000;  // a minute ago

class EndpointTableTest : public testing::Test {
 protected:
  static discovery::Instance instance(const std::string& id, const std::string& address,
                                      EndpointState state = EndpointState::Serving,
                                      std::int64_t startedAtMs = kStart) {
    discovery::Instance made;
    made.id = id;
    made.address = parseEndpoint(address);
    made.state = state;
    made.startedAt = exclusion::WallTime(std::chrono::milliseconds(startedAtMs));
    return made;
  }
  MembershipUpdate apply(std::vector<discovery::Instance> instances, Kind kind = Kind::Changes) {
    discovery::EndpointList list;
    list.instances = std::move(instances);
    return table_.apply(list, kind, exclusions_, kNow);
  }

  settings::Site site_;
  exclusion::ExclusionSet exclusions_;
  EndpointTable table_{site_, kUnixTime, kNow, true};
};

TEST_F(EndpointTableTest, ConvertsAListIntoAnUpdate) {
  site_.zones["z"] = 3;
  site_.kinds["k"] = 4;
  discovery::Instance listed = instance("a", "10.0.0.1:80", EndpointState::Draining);
  listed.zone = "z";
  listed.kind = "k";
  listed.cell = 5;
  listed.weight = 2;
  const MembershipUpdate update = apply({listed}, Kind::Full);
  EXPECT_EQ(update.kind, Kind::Full);
  ASSERT_EQ(update.entries.size(), 1u);
  const balancer::EndpointEntry& entry = update.entries[0];
  EXPECT_EQ(entry.zone, 3u);
  EXPECT_EQ(entry.kind, 4u);
  EXPECT_EQ(entry.cell, std::optional<std::uint32_t>(5));
  EXPECT_EQ(entry.size, 2);
  EXPECT_EQ(entry.state, EndpointState::Draining);
  EXPECT_EQ(entry.identity, settings::identity("a"));
  EXPECT_EQ(entry.launchedAt, kNow - 60'000'000);
  EXPECT_EQ(table_.find("a"), std::optional(entry.upstream));
  EXPECT_EQ(table_[entry.upstream].address, listed.address);
}

TEST_F(EndpointTableTest, IgnoresAnUnknownEndpointThatIsGone) {
  EXPECT_TRUE(apply({instance("a", "10.0.0.1:80", EndpointState::Gone)}).entries.empty());
  EXPECT_EQ(table_.size(), 0u);
}

TEST_F(EndpointTableTest, UnlistsAnEndpointMissingFromACompleteList) {
  apply({instance("a", "10.0.0.1:80"), instance("b", "10.0.0.2:80")});
  const EndpointId b = *table_.find("b");
  apply({instance("a", "10.0.0.1:80")}, Kind::Full);
  EXPECT_TRUE(table_[*table_.find("a")].isListed);
  EXPECT_EQ(table_.unlisted(), std::vector<EndpointId>{b});
}

TEST_F(EndpointTableTest, FreesANumberWhenNothingRefersToIt) {
  apply({instance("a", "10.0.0.1:80")});
  const EndpointId a = *table_.find("a");
  table_.addUse(a);
  apply({}, Kind::Full);
  table_.freeIfUnused(a);
  EXPECT_EQ(table_.find("a"), std::optional(a)) << "freed while an attempt is in flight";
  apply({instance("b", "10.0.0.2:80")});
  EXPECT_NE(table_.find("b"), std::optional(a));
  table_.dropUse(a);
  EXPECT_EQ(table_.find("a"), std::nullopt);
  apply({instance("c", "10.0.0.3:80")});
  EXPECT_EQ(table_.find("c"), std::optional(a));
  EXPECT_EQ(table_.size(), 2u);
}

TEST_F(EndpointTableTest, KeepsTheNumberOfAnEndpointThatIsListed) {
  apply({instance("a", "10.0.0.1:80")});
  const EndpointId a = *table_.find("a");
  table_.addUse(a);
  table_.dropUse(a);
  EXPECT_EQ(table_.find("a"), std::optional(a));
}

TEST_F(EndpointTableTest, GivesAnAddressToTheProcessThatStartedLast) {
  apply({instance("old", "10.0.0.1:80", EndpointState::Serving, kStart)});
  const EndpointId old = *table_.find("old");
  const MembershipUpdate update = apply({instance("new", "10.0.0.1:80", EndpointState::Serving, kStart + 1)});
  ASSERT_EQ(update.entries.size(), 2u);
  EXPECT_EQ(update.entries[0].upstream, old);
  EXPECT_EQ(update.entries[0].state, EndpointState::Gone);
  EXPECT_EQ(update.entries[1].state, EndpointState::Serving);
  EXPECT_FALSE(table_[old].isListed);
  // A later list that still names the old endpoint does not assign the address to it again.
  const MembershipUpdate again = apply({instance("old", "10.0.0.1:80", EndpointState::Serving, kStart)});
  ASSERT_EQ(again.entries.size(), 1u);
  EXPECT_EQ(again.entries[0].state, EndpointState::Gone);
  EXPECT_TRUE(table_[*table_.find("new")].isListed);
}

TEST_F(EndpointTableTest, ReportsAnExcludedEndpointAsDraining) {
  exclusion::Change change;
  change.kind = exclusion::Change::Kind::Exclude;
  change.endpoint = "a";
  change.isListed = true;
  ASSERT_EQ(exclusions_.apply(change), exclusion::Outcome::Changed);
  const MembershipUpdate update = apply({instance("a", "10.0.0.1:80")});
  ASSERT_EQ(update.entries.size(), 1u);
  EXPECT_EQ(update.entries[0].state, EndpointState::Draining);
  // received() returns the entry as discovery sent it, without the exclusion, so that it can be applied when
  // the endpoint is included again.
  const std::vector<discovery::Instance> received = table_.received({"a", "unknown"});
  ASSERT_EQ(received.size(), 1u);
  EXPECT_EQ(received[0].state, EndpointState::Serving);
}

}  // namespace
}  // namespace ivypost
