// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "simulator/wire.h"

#include <gtest/gtest.h>

namespace ivypost::simulator {
namespace {

using namespace ivypost::balancer;
using settings::Line;

const std::string kCreate =
    "create i=3 entropy=8565319633688438 balancers=4 classes.count=2 classes.0.aim=250000 "
    "classes.0.deadline=500000 classes.0.group=all classes.0.name=look classes.0.semantics=free "
    "classes.1.aim=400000 classes.1.deadline=1500000 classes.1.group=cell classes.1.name=book "
    "classes.1.repeatWindow=7500000 classes.1.semantics=guarded classes.1.value=8.0 "
    "contract.askWithin=10000000 "
    "contract.cold=8400000 contract.extraFloor=3.0 contract.furtherRatio=0.03 contract.hangUpWithin=800000 "
    "contract.lookBack=2000000 contract.fall=1500000 contract.fallMultiple=4.0 contract.startCapacity=0.31 "
    "contract.stopSendingWithin=2000000 limits.maxAttempts=6 limits.maxStreams=100 limits.mayCancel=true "
    "limits.probing=false "
    "locality=north membershipMode=subscribe projects.count=1 projects.0.name=office "
    "projects.0.quotaPerS=92.0 "
    "projects.0.share=1.0 report.columns=cpu_share,something_new,busy_reqs report.how=answers "
    "resolution=5000 "
    "skus=fast,slow unheard.of=1 zones=south,north";

std::vector<SheetEntry> sheetOf(std::string_view line) {
  return {parseSheetEntry(Line(line))};
}

TEST(WireTest, ReadsTheSettingsAndSkipsUnknownKeys) {
  const Wire wire{Line(kCreate)};
  const Settings& s = wire.settings();
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[1].semantics, Semantics::Keyed);
  EXPECT_EQ(s.classes[1].group, RetryGroup::Cell);
  EXPECT_EQ(s.classes[1].retryWindow, 7'500'000);
  EXPECT_EQ(s.zones, 2u);
  EXPECT_EQ(s.zone, 1u);
  EXPECT_EQ(s.kinds, 2u);
  EXPECT_TRUE(s.mustSubscribe);
  EXPECT_TRUE(s.mayCancel);
  EXPECT_FALSE(s.mayProbe);
  EXPECT_EQ(s.reportSource, ReportSource::Answers);
  EXPECT_DOUBLE_EQ(s.fallMultiple, 4);
  EXPECT_EQ(s.retryBudgetWindow, 2'000'000);
  EXPECT_EQ(s.maxStreamsPerConnection, 100u);
  EXPECT_DOUBLE_EQ(s.retryBudgetFloor, 3);
  EXPECT_DOUBLE_EQ(s.retryBudgetRatio, 0.03);
  EXPECT_EQ(s.closeDrainingWithin, 800'000);
  EXPECT_DOUBLE_EQ(s.tenants.at(0).quotaPerSecond, 92);
  EXPECT_EQ(wire.seed(), 8565319633688438u);
}

TEST(WireTest, EventsAndActionsRoundTrip) {
  Wire wire{Line(kCreate)};
  const auto sheet =
      sheetOf("entry upstream=10.1.1.1:9 locality=south hw=slow group=2 mode=SERVING size=1.5 launched=7");
  const auto list = wire.parse(Line("registry i=3 mode=SAVED generation=41 sheet=0"), &sheet);
  const auto& update = std::get<MembershipUpdate>(*list);
  ASSERT_EQ(update.entries.size(), 1u);
  EXPECT_EQ(update.entries[0].zone, 0u);
  EXPECT_EQ(update.entries[0].kind, 1u);
  EXPECT_EQ(update.entries[0].cell, 2u);
  EXPECT_DOUBLE_EQ(update.entries[0].size, 1.5);
  EXPECT_EQ(update.entries[0].launchedAt, 7);

  const std::string text =
      "ingress i=3 job=0bb5b98e5d3a91c4 category=book project=office targetKey=9 expiresIn=240000 work=12";
  const auto request = std::get<NewRequest>(*wire.parse(Line(text), nullptr));
  EXPECT_EQ(request.request, 0x0bb5b98e5d3a91c4u);
  EXPECT_EQ(request.requestClass, 1u);
  EXPECT_EQ(request.key, 9u);
  EXPECT_EQ(request.work, 12);

  std::string out;
  wire.print(3, Send{request.request, 0, 80000}, out);
  wire.print(3, Send{1, 0, 0}, out);
  wire.print(3, Cancel{1, 2}, out);
  wire.print(3, Reject{1, 5}, out);
  wire.print(3, Reject{1, 0}, out);
  wire.print(3, Fail{0xffffffffffffffff}, out);
  wire.print(3, SetTimer{9}, out);
  wire.print(3, Probe{0}, out);
  wire.print(3, Subscribe{}, out);
  wire.print(3, Fetch{}, out);
  wire.print(3, CloseIdle{0}, out);
  wire.print(3, Log{"two servers known"}, out);
  EXPECT_EQ(out,
            "call_out i=3 job=0bb5b98e5d3a91c4 upstream=10.1.1.1:9 limit=80000\n"
            "call_out i=3 job=0000000000000001 upstream=10.1.1.1:9\n"
            "cancel i=3 job=0000000000000001 go=2\n"
            "deny i=3 job=0000000000000001 retryAfter=5\n"
            "deny i=3 job=0000000000000001\n"
            "fail i=3 job=ffffffffffffffff\n"
            "timer i=3 nonce=wake delay=9\n"
            "inspect i=3 upstream=10.1.1.1:9\n"
            "tail i=3 active=1\n"
            "refresh i=3\n"
            "free_links i=3 upstream=10.1.1.1:9\n"
            "emit i=3 words=two servers known\n");
}

TEST(WireTest, OutcomesCarryReportsByColumn) {
  Wire wire{Line(kCreate)};
  const auto sheet = sheetOf("entry upstream=a:1 mode=SERVING");
  wire.parse(Line("registry i=3 mode=FULL generation=1 sheet=0"), &sheet);
  const auto outcome = std::get<AttemptOutcome>(*wire.parse(
      Line("response i=3 job=0bb5b98e5d3a91c4 lag=18500 last=1 upstream=a:1 go=1 status=reset gauge=0.5,3,7"),
      nullptr));
  EXPECT_EQ(outcome.outcome, Outcome::Reset);
  EXPECT_EQ(outcome.attempt, 1u);
  EXPECT_TRUE(outcome.endsRequest);
  ASSERT_TRUE(outcome.report.has_value());
  EXPECT_EQ(outcome.report->cpuShare, 0.5);
  EXPECT_EQ(outcome.report->busyRequests, 7);
  EXPECT_FALSE(outcome.report->queued.has_value());
  const auto probe =
      std::get<ProbeResult>(*wire.parse(Line("health i=3 status=timeout lag=5 upstream=a:1"), nullptr));
  EXPECT_FALSE(probe.ok);
  EXPECT_FALSE(wire.parse(Line("mail i=3 who=1 data=00"), nullptr).has_value());
}

TEST(WireTest, RejectsWhatItCannotRead) {
  Wire wire{Line(kCreate)};
  for (const char* text :
       {"response i=3 job=0bb5b98e5d3a91c4 upstream=b:2 go=0 status=ok", "withdrawn i=3 job=0BB5B98E5D3A91C4",
        "withdrawn i=3", "tick_due i=3", "registry i=3 mode=FULL sheet=2", "registry i=3 mode=NEW sheet=2",
        "surprise i=3", "ingress i=3 job=0bb5b98e5d3a91c4 category=look expiresIn=1e5",
        "ingress i=3 job=0bb5b98e5d3a91c4 category=look expiresIn=99999999999999999999",
        "ingress i=3 job=0bb5b98e5d3a91c4 category=look expiresIn=1 project=nobody"}) {
    EXPECT_THROW(wire.parse(Line(text), nullptr), WireError) << text;
  }
  EXPECT_THROW(parseSheetEntry(Line("entry upstream=a:1 mode=ASLEEP")), WireError);
  EXPECT_THROW(parseSheetEntry(Line("entry upstream=a:1 mode=SERVING size=nan")), WireError);
  EXPECT_THROW(parseSheetEntry(Line("entry upstream=a:1 mode=SERVING size=-1")), WireError);
  EXPECT_THROW(Line(""), WireError);
  EXPECT_THROW(Line("mark now"), WireError);
  EXPECT_THROW(Line("mark  now=5"), WireError);
}

}  // namespace
}  // namespace ivypost::simulator
