// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/exclusion_call.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "exclusion/error.h"

namespace ivypost {
namespace {

using exclusion::Outcome;
using Kind = admin::Call::Kind;

constexpr exclusion::WallTime kNow{std::chrono::milliseconds(1'700'000'000'000)};

TEST(ExclusionCall, BecomesAChangeWithTheListedState) {
  settings::Site site;
  EndpointTable endpoints(site, 0, 1, true);
  discovery::EndpointList list;
  discovery::Instance instance;
  instance.id = "a";
  instance.address = parseEndpoint("10.0.0.1:80");
  instance.startedAt = exclusion::WallTime(std::chrono::milliseconds(7));
  list.instances = {instance};
  const auto update = endpoints.apply(list, balancer::MembershipUpdate::Kind::Full, {}, 1);
  ASSERT_EQ(update.entries.size(), 1u);
  const exclusion::Change known = changeOf({Kind::Exclude, "a"}, endpoints, kNow);
  EXPECT_EQ(known.kind, exclusion::Change::Kind::Exclude);
  EXPECT_EQ(known.endpoint, "a");
  EXPECT_TRUE(known.isListed);
  EXPECT_EQ(known.listedStart, exclusion::WallTime(std::chrono::milliseconds(7)));
  EXPECT_EQ(known.now, kNow);
  const exclusion::Change unknown = changeOf({Kind::Include, "b"}, endpoints, kNow);
  EXPECT_EQ(unknown.kind, exclusion::Change::Kind::Include);
  EXPECT_FALSE(unknown.isListed);
}

TEST(ExclusionCall, AnswersEachOutcome) {
  struct Row {
    exclusion::Result<Outcome> outcome;
    bool isExcluded;
    unsigned status;
    std::string text;
  };
  const std::vector<Row> table = {
      {Outcome::Changed, true, 200, "excluded"},
      {Outcome::Changed, false, 200, "included"},
      {Outcome::Unchanged, true, 200, "already excluded"},
      {Outcome::Unchanged, false, 200, "already included"},
      {Outcome::UnknownEndpoint, false, 404, "no upstream has this id"},
      {Outcome::Full, false, 503, "too many upstreams are out, or the id is too long"},
      {exclusion::Error::NoFolder, false, 503, "TMPDIR is not set, so it can't be kept"},
      {std::make_error_code(std::errc::no_space_on_device), false, 503,
       "it can't be kept: No space left on device"},
  };
  for (const Row& row : table) {
    const auto reply = replyTo(row.outcome, row.isExcluded);
    ASSERT_TRUE(reply) << row.text;
    EXPECT_EQ(reply->status, row.status) << row.text;
    EXPECT_EQ(reply->text, row.text);
  }
}

TEST(ExclusionCall, TriesAgainWhileTheFileIsLocked) {
  EXPECT_FALSE(replyTo(exclusion::Error::Locked, false));
}

}  // namespace
}  // namespace ivypost
