// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// PrefixWatcher in simulated time: tests of single faults, a property test over random sequences of faults,
// and a test with many watchers.
#include "discovery/etcd/prefix_watcher.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "discovery/etcd/instance_entry.h"
#include "discovery/etcd/simulation.h"
#include "settings/format_error.h"

namespace ivypost::discovery::etcd {
namespace {

using Ports = std::map<std::string, int>;

// A removed node must have stopped getting requests within this time, whatever fault hides the removal.
constexpr Micros kGrace = 2 * kSecond;

class PrefixWatcherTest : public testing::Test {
 protected:
  explicit PrefixWatcherTest(std::size_t members = 3) : simulation(members) {
    for (int n = 1; n <= 5; ++n) simulation.put("n" + std::to_string(n), instanceJson(9000 + n));
  }
  void settle() {
    simulation.start();
    ASSERT_TRUE(simulation.until(5 * kSecond, [&] {
      return isCurrent() && simulation.firstSidecar().watcher.freshness(simulation.now).isConfirmed;
    }));
  }
  // Whether the list equals the store's content; false if a value in the store is not a valid instance.
  bool isCurrent() {
    Ports expected;
    for (const auto& [key, value] : simulation.content()) {
      try {
        const std::string id = *instanceIdOf("/ivypost/nodes/", key);
        expected[id] = parseInstance(id, value).address.port();
      } catch (const settings::FormatError&) {
        return false;
      }
    }
    return Simulation::ports(simulation.list()) == expected;
  }
  std::size_t member() { return simulation.firstSidecar().member; }
  const PrefixWatcher::Counts& counts() { return simulation.firstSidecar().watcher.counts(); }
  void expectCurrentWithin(Micros span, const char* what) {
    const auto took = simulation.until(span, [&] { return isCurrent(); });
    EXPECT_TRUE(took) << what;
  }

  Simulation simulation;
};

class OneMemberTest : public PrefixWatcherTest {
 protected:
  OneMemberTest() : PrefixWatcherTest(1) {}
};

TEST_F(PrefixWatcherTest, ListsThenWatchesFromTheNextRevision) {
  settle();
  EXPECT_EQ(counts().lists, 1u);
  simulation.put("n6", instanceJson(9006));
  simulation.remove("n1");
  expectCurrentWithin(20 * kMs, "events arrive immediately");
  EXPECT_EQ(counts().lists, 1u) << "no second list was read";
  EXPECT_TRUE(simulation.firstSidecar().published.front().isComplete);
}

// ---- Stalls -----------------------------------------------------------------------------------------------

struct Hidden {
  const char* what;
  void (*hide)(Simulation&, std::size_t);
};
void PrintTo(const Hidden& hidden, std::ostream* out) {
  *out << hidden.what;
}
const Hidden kHidden[] = {
    {"stalled", [](Simulation& simulation, std::size_t member) { simulation.stall(member, true); }},
    {"withheld", [](Simulation& simulation, std::size_t member) { simulation.withhold(member, true); }},
    {"behind", [](Simulation& simulation, std::size_t member) { simulation.members[member].behind = true; }},
    {"down", [](Simulation& simulation, std::size_t member) { simulation.down(member, true); }},
};

class HiddenTest : public PrefixWatcherTest, public testing::WithParamInterface<Hidden> {};

// A member hides a removal, at various times between two audits; the watcher notices it in time through
// another member.
TEST_P(HiddenTest, ARemovalIsNoticedInTime) {
  for (Micros offset = 0; offset < simulation.options.audit; offset += 50 * kMs) {
    Simulation other(3, 1, static_cast<std::uint64_t>(offset) + 7);
    for (int n = 1; n <= 5; ++n) other.put("n" + std::to_string(n), instanceJson(9000 + n));
    other.start();
    ASSERT_TRUE(other.until(5 * kSecond,
                            [&] { return other.firstSidecar().watcher.freshness(other.now).isConfirmed; }));
    other.run(offset);
    GetParam().hide(other, other.firstSidecar().member);
    other.remove("n3");
    EXPECT_TRUE(other.until(kGrace, [&] { return other.list().count("n3") == 0; })) << offset;
    EXPECT_EQ(other.list().size(), 4u);
  }
}

INSTANTIATE_TEST_SUITE_P(Hard, HiddenTest, testing::ValuesIn(kHidden));

TEST_F(OneMemberTest, AWithheldRemovalIsNoticedWhereThereIsNoOther) {
  settle();
  simulation.withhold(0, true);
  simulation.remove("n3");
  expectCurrentWithin(kGrace, "the audit detects it, and the list is read again");
  EXPECT_GE(counts().withheld, 1u);
}

// A stall without changes loses nothing, but no audit verifies the list, so its age grows.
TEST_F(OneMemberTest, AStalledMemberLeavesTheListAndItsAgeGrows) {
  settle();
  simulation.stall(0, true);
  simulation.run(10 * kSecond);
  EXPECT_EQ(simulation.list().size(), 5u);
  const auto fresh = simulation.firstSidecar().watcher.freshness(simulation.now);
  EXPECT_GT(fresh.age.count(), 9 * kSecond);
  EXPECT_FALSE(fresh.isConfirmed);
  EXPECT_TRUE(simulation.reported("can't be proved"));
  simulation.remove("n3");
  simulation.stall(0, false);
  expectCurrentWithin(simulation.options.maxBackoff + kSecond, "the member responds again");
  ASSERT_TRUE(simulation.until(
      2 * kSecond, [&] { return simulation.firstSidecar().watcher.freshness(simulation.now).isConfirmed; }));
  EXPECT_TRUE(simulation.reported("proved again"));
}

// A silent stream needs no new list: the watch resumes at another member from the next revision.
TEST_F(PrefixWatcherTest, ASilentWatchIsResumedElsewhereWithoutAList) {
  settle();
  const std::size_t before = member();
  simulation.stall(before, true);
  ASSERT_TRUE(simulation.until(kGrace, [&] { return member() != before; }));
  simulation.put("n7", instanceJson(9007));
  expectCurrentWithin(kGrace, "watched through the other member");
  EXPECT_EQ(counts().lists, 1u);
}

// ---- Compaction -------------------------------------------------------------------------------------------

TEST_F(PrefixWatcherTest, CompactionWhileCutOff) {
  settle();
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, true);
  simulation.remove("n2");
  simulation.put("n6", instanceJson(9006));
  simulation.compact();
  simulation.run(kSecond);
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, false);
  expectCurrentWithin(simulation.options.maxBackoff + kSecond, "the list is read again");
  EXPECT_EQ(counts().compactions, 1u);
  EXPECT_EQ(counts().lists, 2u);
}

TEST_F(PrefixWatcherTest, CompactionBetweenListAndWatchFiveTimesOver) {
  int left = 5;
  simulation.onList = [&](std::size_t) {
    if (left-- <= 0) return;
    simulation.after(0, [&] {
      simulation.put("n6", instanceJson(9100 + left));
      simulation.put("n6", instanceJson(9200 + left));
      simulation.compact();
    });
  };
  simulation.start();
  ASSERT_TRUE(simulation.until(30 * kSecond, [&] {
    return left <= 0 && isCurrent() &&
           simulation.firstSidecar().watcher.freshness(simulation.now).isConfirmed;
  }));
  EXPECT_EQ(counts().compactions, 5u);
  EXPECT_EQ(counts().lists, 6u);
}

// All pages of a list have the same revision; if that revision is compacted between two pages, the list is
// read again.
TEST_F(PrefixWatcherTest, CompactionBetweenTwoPages) {
  simulation.options.page = 2;
  simulation.all.front() = std::make_unique<Simulation::Sidecar>(simulation.options, 3);
  int left = 2;
  simulation.onList = [&](std::size_t) {
    if (left-- <= 0) return;
    simulation.after(0, [&] {
      simulation.put("n5", instanceJson(9500));
      simulation.compact();
    });
  };
  simulation.start();
  ASSERT_TRUE(simulation.until(10 * kSecond, [&] { return isCurrent(); }));
  EXPECT_EQ(counts().lists, 3u);
}

// A matching audit advances the revision from which the watch resumes, so the compaction of revisions that
// changed other keys does not force a new list.
TEST_F(PrefixWatcherTest, AQuietPrefixIsNotRelistedAfterACompaction) {
  settle();
  for (int n = 0; n < 50; ++n) simulation.txn({}, {{"/other/" + std::to_string(n), "x"}});
  simulation.run(2 * kSecond);
  simulation.compact();
  simulation.dropStreams(member());
  simulation.run(2 * kSecond);
  EXPECT_EQ(counts().compactions, 0u);
  EXPECT_EQ(counts().lists, 1u);
}

// ---- Responses --------------------------------------------------------------------------------------------

TEST_F(PrefixWatcherTest, ATransactionIsOneChange) {
  settle();
  const auto before = simulation.firstSidecar().published.size();
  simulation.txn({Simulation::key("n1")}, {{Simulation::key("n9"), instanceJson(9009)}});
  expectCurrentWithin(20 * kMs, "events arrive immediately");
  ASSERT_EQ(simulation.firstSidecar().published.size(), before + 1);
  EXPECT_EQ(simulation.firstSidecar().published.back().instances.size(), 2u);
}

TEST_F(PrefixWatcherTest, AResponseInFragmentsIsOneChangeAndHalfOfOneIsNone) {
  simulation.fragmentEvents = 1;
  settle();
  std::vector<std::pair<std::string, std::string>> puts;
  for (int n = 10; n < 20; ++n)
    puts.push_back({Simulation::key("n" + std::to_string(n)), instanceJson(9000 + n)});
  const auto before = simulation.firstSidecar().published.size();
  simulation.members[member()].cutFragment = true;
  simulation.txn({Simulation::key("n1")}, puts);
  expectCurrentWithin(kGrace, "the interrupted response is received again completely");
  ASSERT_EQ(simulation.firstSidecar().published.size(), before + 1);
  EXPECT_EQ(simulation.firstSidecar().published.back().instances.size(), 11u);
  EXPECT_EQ(counts().lists, 1u);
}

TEST_F(PrefixWatcherTest, TooManyFragmentsAskForTheListAnew) {
  settle();
  WatchResult part;
  part.stream = simulation.firstSidecar().stream;
  part.header = {7, 1, simulation.store.revision() + 1};
  part.isFragment = true;
  part.events.resize(PrefixWatcher::kMaxFragments / 2 + 1);
  simulation.handle(simulation.firstSidecar(), part);
  EXPECT_FALSE(simulation.reported("too many events"));
  simulation.handle(simulation.firstSidecar(), part);
  EXPECT_TRUE(simulation.reported("too many events"));
  simulation.run(kSecond);
  EXPECT_EQ(counts().lists, 2u);
  EXPECT_EQ(simulation.list().size(), 5u);
}

// A watch progress notification that arrives before its events must not advance the revision from which the
// watch resumes.
TEST_F(PrefixWatcherTest, ProgressAheadOfItsEventsDoesNotAdvanceTheRevision) {
  settle();
  const std::size_t at = member();
  simulation.members[at].progressAhead = true;
  simulation.withhold(at, true);
  simulation.remove("n1");
  WatchResult progress;
  progress.stream = simulation.firstSidecar().stream;
  progress.header = {7, 1, simulation.store.revision()};
  simulation.handle(simulation.firstSidecar(), progress);
  EXPECT_LT(simulation.firstSidecar().watcher.revision(), simulation.store.revision());
  simulation.members[at].withheld = false;
  simulation.dropStreams(at);
  expectCurrentWithin(kGrace, "the resumed watch still includes the event");
  EXPECT_EQ(counts().lists, 1u);
}

TEST_F(PrefixWatcherTest, EventsThatComeTwiceChangeNothing) {
  settle();
  simulation.members[member()].repeated = true;
  simulation.remove("n1");
  simulation.put("n1", instanceJson(9111));
  simulation.run(100 * kMs);
  EXPECT_TRUE(isCurrent());
  EXPECT_GE(counts().duplicates, 2u);
  EXPECT_EQ(counts().lists, 1u);
}

TEST_F(PrefixWatcherTest, EventsOutOfOrderAskForTheListAnew) {
  settle();
  WatchResult unexpected;
  unexpected.stream = simulation.firstSidecar().stream;
  unexpected.header = {7, 1, 100};
  for (const Revision revision : {100, 99}) {
    Event event;
    event.type = Event::Type::Delete;
    event.kv.key = Simulation::key("n" + std::to_string(revision - 98));
    event.kv.modRevision = revision;
    unexpected.events.push_back(event);
  }
  simulation.handle(simulation.firstSidecar(), unexpected);
  simulation.run(kSecond);
  EXPECT_TRUE(isCurrent());
  EXPECT_EQ(counts().lists, 2u);
}

TEST_F(PrefixWatcherTest, AnEventOutsideOfThePrefixIsReportedAndLeftOut) {
  settle();
  WatchResult unexpected;
  unexpected.stream = simulation.firstSidecar().stream;
  unexpected.header = {7, 1, simulation.store.revision() + 1};
  Event event;
  event.kv.key = "/elsewhere/n9";
  event.kv.value = instanceJson(9009);
  event.kv.modRevision = simulation.store.revision() + 1;
  unexpected.events.push_back(event);
  simulation.handle(simulation.firstSidecar(), unexpected);
  EXPECT_TRUE(simulation.reported("outside of /ivypost/nodes/"));
  EXPECT_EQ(simulation.list().size(), 5u);
}

// An invalid value leaves its entry unchanged; all other changes apply, also those of the same transaction.
TEST_F(PrefixWatcherTest, InvalidValuesAreReportedAndLeaveTheEntry) {
  settle();
  const char* const kBad[] = {"",
                              "no JSON",
                              "[]",
                              "5",
                              R"({"hostPort":"127.0.0.1:1"})",
                              R"({"hostPort":"nowhere","lifecycle":"up"})",
                              R"({"hostPort":"127.0.0.1:99999","lifecycle":"up"})",
                              R"({"hostPort":"127.0.0.1:1","lifecycle":"removed"})",
                              R"({"hostPort":"127.0.0.1:1","lifecycle":"up","weight":-1})",
                              R"({"instanceId":"other","hostPort":"127.0.0.1:1","lifecycle":"up"})",
                              "{\"hostPort\":\"\x01\n"};
  for (const char* const bad : kBad) {
    const auto reports = simulation.firstSidecar().reports.size();
    simulation.txn({}, {{Simulation::key("n1"), bad}, {Simulation::key("n2"), instanceJson(9222)}});
    simulation.run(50 * kMs);
    EXPECT_EQ(simulation.list().at("n1").address.port(), 9001) << bad;
    EXPECT_EQ(simulation.list().at("n2").address.port(), 9222) << bad;
    ASSERT_EQ(simulation.firstSidecar().reports.size(), reports + 1) << bad;
    EXPECT_EQ(simulation.firstSidecar().reports.back().find('\n'), std::string::npos);
    simulation.put("n2", instanceJson(9002));
    simulation.run(50 * kMs);
  }
  simulation.run(3 * kSecond);
  EXPECT_EQ(counts().lists, 1u) << "audits also count the key with an invalid value";
  // The next list also keeps the entry; a key that is created again with an invalid value has no entry to
  // keep.
  simulation.handle(simulation.firstSidecar(), Fetch{});
  simulation.run(kSecond);
  EXPECT_EQ(simulation.list().at("n1").address.port(), 9001);
  simulation.remove("n1");
  simulation.put("n1", "no JSON");
  simulation.run(kSecond);
  EXPECT_EQ(simulation.list().count("n1"), 0u);
  // The number of log lines for a transaction of invalid values is bounded.
  std::vector<std::pair<std::string, std::string>> many;
  for (int n = 0; n < 100; ++n) many.push_back({Simulation::key("bad" + std::to_string(n)), "{"});
  const auto reports = simulation.firstSidecar().reports.size();
  simulation.txn({}, many);
  simulation.run(kSecond);
  EXPECT_LE(simulation.firstSidecar().reports.size(), reports + 6);
  EXPECT_TRUE(simulation.reported("95 more values"));
}

TEST_F(PrefixWatcherTest, DeletedAndPutAgainElsewhere) {
  settle();
  simulation.remove("n1");
  simulation.run(300 * kMs);
  simulation.put("n1", instanceJson(9901, 1'700'000'000'000));
  expectCurrentWithin(20 * kMs, "listed with its new address");
  EXPECT_EQ(simulation.list().at("n1").startedAt.time_since_epoch().count(), 1'700'000'000'000);
  // A deletion and a new put within one response.
  simulation.members[member()].withheld = true;
  simulation.remove("n2");
  simulation.put("n2", instanceJson(9902, 1'700'000'000'001));
  simulation.members[member()].withheld = false;
  simulation.changed();
  expectCurrentWithin(20 * kMs, "the last event applies");
}

TEST_F(PrefixWatcherTest, EachChangeOfAFlappingLeaseIsApplied) {
  settle();
  for (int n = 0; n < 40; ++n) {
    n % 2 == 0 ? simulation.remove("n4") : simulation.put("n4", instanceJson(9004));
    expectCurrentWithin(20 * kMs, "events arrive immediately");
  }
  EXPECT_EQ(counts().lists, 1u);
}

// ---- Other histories --------------------------------------------------------------------------------------

TEST_F(PrefixWatcherTest, AListOfAStaleMemberIsRejected) {
  settle();
  const std::size_t fresh = member();
  const std::size_t stale = (fresh + 1) % 3;
  simulation.members[stale].lagging = simulation.store;
  simulation.remove("n1");
  simulation.run(50 * kMs);
  ASSERT_EQ(simulation.list().size(), 4u);
  simulation.down(fresh, true);
  for (int n = 0; n < 100; ++n) {
    simulation.run(50 * kMs);
    ASSERT_EQ(simulation.list().size(), 4u) << "the older list is not applied";
  }
  EXPECT_TRUE(simulation.firstSidecar().watcher.freshness(simulation.now).isConfirmed)
      << "the third member is used";
}

class RestoreTest : public PrefixWatcherTest, public testing::WithParamInterface<bool> {};

// A restored backup is an older history, under the same or another cluster id. It is accepted only when a
// majority of the members has returned it.
TEST_P(RestoreTest, IsAcceptedFromAMajorityOfMembers) {
  const Store backup = simulation.store;
  settle();
  simulation.put("n6", instanceJson(9006));
  simulation.remove("n1");
  simulation.run(100 * kMs);
  // A single member with another history is not accepted.
  const std::size_t restoredMember = member();
  if (GetParam()) simulation.members[restoredMember].cluster = 99;
  simulation.members[restoredMember].lagging = backup;
  simulation.dropStreams(restoredMember);
  simulation.run(5 * kSecond);
  EXPECT_TRUE(isCurrent());
  simulation.store = backup;
  for (std::size_t n = 0; n < 3; ++n) {
    simulation.members[n].lagging.reset();
    if (GetParam()) simulation.members[n].cluster = 99;
    simulation.dropStreams(n);
  }
  ASSERT_TRUE(simulation.until(10 * kSecond, [&] { return isCurrent(); }));
  EXPECT_TRUE(simulation.reported("told again"));
  simulation.remove("n2");
  expectCurrentWithin(kGrace, "the new history is watched");
}

INSTANTIATE_TEST_SUITE_P(Cluster, RestoreTest, testing::Bool());

// Members that are not a majority cannot make the watcher accept another cluster.
TEST_F(PrefixWatcherTest, AnotherClusterIsRejectedWithoutAMajority) {
  settle();
  simulation.down(1, true);
  simulation.down(2, true);
  simulation.members[0].cluster = 99;
  simulation.members[0].lagging = Store{};
  simulation.dropStreams(0);
  simulation.run(20 * kSecond);
  EXPECT_EQ(simulation.list().size(), 5u);
  EXPECT_FALSE(simulation.firstSidecar().watcher.freshness(simulation.now).isConfirmed);
}

// An empty list after a list with keys may be a deleted prefix or the fault of one member; it is accepted
// when it is received a second time, within the grace.
TEST_F(PrefixWatcherTest, AnEmptyListIsAcceptedWhenItIsRepeated) {
  settle();
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, true);
  std::vector<std::string> gone;
  for (int n = 1; n <= 5; ++n) gone.push_back(Simulation::key("n" + std::to_string(n)));
  simulation.txn(gone, {});
  simulation.compact();
  simulation.run(100 * kMs);
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, false);
  const auto isContradicted = [&] { return counts().contradictions > 0; };
  ASSERT_TRUE(simulation.until(10 * kSecond, isContradicted));
  EXPECT_EQ(simulation.list().size(), 5u) << "the first empty list is not accepted";
  const auto took = simulation.until(kGrace, [&] { return simulation.list().empty(); });
  ASSERT_TRUE(took);
  EXPECT_LT(*took, kSecond);
}

TEST_F(PrefixWatcherTest, AnEmptyListThatIsNotRepeatedIsRejected) {
  settle();
  const std::size_t at = member();
  // This member's store has no keys of the prefix, but its revision is not behind the others'.
  Store empty;
  while (empty.revision() < simulation.store.revision() + 5) {
    pb::PutRequest put;
    put.set_key("/other");
    pb::PutResponse response;
    empty.put(put, response);
  }
  simulation.members[at].lagging = empty;
  simulation.handle(simulation.firstSidecar(), Fetch{});
  simulation.run(2 * kSecond);
  EXPECT_EQ(simulation.list().size(), 5u);
  EXPECT_EQ(counts().contradictions, 1u);
}

TEST_F(PrefixWatcherTest, AnEmptyPrefixIsAListToo) {
  for (int n = 1; n <= 5; ++n) simulation.remove("n" + std::to_string(n));
  simulation.start();
  simulation.run(2 * kSecond);
  ASSERT_EQ(simulation.firstSidecar().published.size(), 1u);
  EXPECT_TRUE(simulation.firstSidecar().published[0].isComplete);
  simulation.put("n1", instanceJson(9001));
  expectCurrentWithin(20 * kMs, "the empty prefix is watched");
}

// ---- Size, bounds, calls ----------------------------------------------------------------------------------

TEST_F(PrefixWatcherTest, TenThousandNodesComeInPages) {
  std::vector<std::pair<std::string, std::string>> puts;
  for (int n = 0; n < 10'000; ++n) {
    puts.push_back({Simulation::key("m" + std::to_string(n)), instanceJson(1 + n % 60'000)});
  }
  simulation.txn({}, puts);
  simulation.start();
  simulation.run(kSecond);
  EXPECT_EQ(simulation.list().size(), 10'005u);
  EXPECT_EQ(counts().lists, 1u);
  simulation.remove("m77");
  simulation.run(20 * kMs);
  EXPECT_EQ(simulation.list().size(), 10'004u);
}

TEST_F(PrefixWatcherTest, AListWithMoreKeysThanMaxKeysIsRejected) {
  settle();
  simulation.options.maxKeys = 6;
  simulation.all.push_back(std::make_unique<Simulation::Sidecar>(simulation.options, 5));
  auto& small = *simulation.all.back();
  simulation.handle(small, Start{});
  simulation.run(kSecond);
  ASSERT_EQ(small.list.size(), 5u);
  simulation.put("n6", instanceJson(9006));
  simulation.put("n7", instanceJson(9007));
  simulation.handle(small, Fetch{});
  simulation.run(kSecond);
  EXPECT_EQ(small.fetchFailed, 1);
  EXPECT_GE(small.list.size(), 5u);
  EXPECT_TRUE(std::any_of(small.reports.begin(), small.reports.end(),
                          [](const auto& line) { return line.find("max_keys") != std::string::npos; }));
}

TEST_F(PrefixWatcherTest, AllMembersDownForAMinuteAtTheStartAndLater) {
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, true);
  simulation.start();
  simulation.run(60 * kSecond);
  EXPECT_TRUE(simulation.firstSidecar().published.empty());
  EXPECT_LE(simulation.calls.size(), 60u) << "at most one call a second while no member responds";
  EXPECT_LE(simulation.firstSidecar().reports.size(), 10u);
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, false);
  ASSERT_TRUE(simulation.until(simulation.options.maxBackoff + kSecond, [&] { return isCurrent(); }));
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, true);
  simulation.run(60 * kSecond);
  EXPECT_EQ(simulation.list().size(), 5u) << "a failed call removes no instance";
  EXPECT_GT(simulation.firstSidecar().watcher.freshness(simulation.now).age.count(), 59 * kSecond);
  simulation.remove("n1");
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, false);
  expectCurrentWithin(simulation.options.maxBackoff + kSecond, "the members respond again");
}

// Without changes and faults, each audit interval costs one Range call and one progress request.
TEST_F(PrefixWatcherTest, CallsWhileIdleStayUnderTheStatedBound) {
  settle();
  const auto calls = simulation.calls.size();
  const auto progress = simulation.progressRequests;
  simulation.run(60 * kSecond);
  EXPECT_LE(simulation.calls.size() - calls,
            60 * kSecond / static_cast<std::size_t>(simulation.options.audit) + 1);
  EXPECT_LE(simulation.progressRequests - progress,
            60 * kSecond / static_cast<std::size_t>(simulation.options.audit) + 1);
}

TEST_F(PrefixWatcherTest, AFetchIsAnsweredByAListOrItsFailure) {
  settle();
  const auto before = simulation.firstSidecar().published.size();
  simulation.handle(simulation.firstSidecar(), Fetch{});
  simulation.run(100 * kMs);
  ASSERT_EQ(simulation.firstSidecar().published.size(), before + 1);
  EXPECT_TRUE(simulation.firstSidecar().published.back().isComplete);
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, true);
  simulation.handle(simulation.firstSidecar(), Fetch{});
  simulation.run(10 * kSecond);
  EXPECT_EQ(simulation.firstSidecar().fetchFailed, 1);
}

// After an outage, 500 sidecars must not overload etcd: in each second it gets at most two calls per
// sidecar, and every sidecar has the current list within 10 s.
TEST(Fleet, ReconnectsWithoutAStampede) {
  constexpr std::size_t kSidecars = 500;
  Simulation simulation(3, kSidecars);
  for (int n = 1; n <= 50; ++n) simulation.put("n" + std::to_string(n), instanceJson(9000 + n));
  simulation.options.audit = 5 * kSecond;
  for (std::size_t n = 0; n < kSidecars; ++n)
    simulation.all[n] = std::make_unique<Simulation::Sidecar>(simulation.options, 100 + n);
  simulation.start();
  simulation.run(10 * kSecond);
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, true);
  simulation.run(30 * kSecond);
  simulation.remove("n7");
  simulation.compact();
  const Micros back = simulation.now;
  for (std::size_t n = 0; n < 3; ++n) simulation.down(n, false);
  simulation.run(10 * kSecond);
  std::map<Micros, std::size_t> bySecond;
  for (const Micros at : simulation.calls) {
    if (at >= back - 20 * kSecond) ++bySecond[(at - back) / kSecond];
  }
  for (const auto& [second, calls] : bySecond) EXPECT_LE(calls, 2 * kSidecars) << "second " << second;
  for (const auto& sidecar : simulation.all) EXPECT_EQ(sidecar->list.size(), 49u);
}

// ---- Random sequences of faults ---------------------------------------------------------------------------

// After any sequence of faults and a quiet period, the list equals the store's, and it never held an
// instance that was not put.
RC_GTEST_PROP(PrefixWatcherProperty, EndsWithTheStoresList, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, 1000)));
  Simulation simulation(3, 1, seed % 100'000);
  simulation.fragmentEvents = 1 + seed % 3;
  std::optional<Store> backup;
  simulation.start();
  for (const auto& [what, number] : steps) {
    const auto member = static_cast<std::size_t>(number) % 3;
    const std::string id = "n" + std::to_string(number % 7);
    switch (what) {
      case 0:
      case 1:
        simulation.put(id, instanceJson(1000 + number));
        break;
      case 2:
        simulation.remove(id);
        break;
      case 3:
        simulation.txn({Simulation::key(id)}, {{Simulation::key("r" + id), instanceJson(2000 + number)},
                                               {Simulation::key("s" + id), instanceJson(2000 + number)}});
        break;
      case 4:
        simulation.compact();
        break;
      case 5:
        simulation.dropStreams(member);
        break;
      case 6:
        simulation.stall(member, !simulation.members[member].stalled);
        break;
      case 7:
        simulation.withhold(member, !simulation.members[member].withheld);
        break;
      case 8:
        simulation.down(member, !simulation.members[member].down);
        break;
      case 9:
        simulation.members[member].behind = !simulation.members[member].behind;
        break;
      case 10:
        simulation.members[member].cutFragment = true;
        break;
      case 11:
        simulation.members[member].progressAhead = !simulation.members[member].progressAhead;
        simulation.members[member].repeated = !simulation.members[member].repeated;
        break;
      case 12:
        backup = simulation.store;
        break;
      case 13:
        if (!backup) break;
        // A restore: the members restart under another cluster id, as with etcd's own tool. (A restore
        // under the same id that has reached the known revision when it is first seen can't be detected;
        // see the design page.)
        simulation.store = *backup;
        for (std::size_t n = 0; n < 3; ++n) {
          simulation.members[n].lagging.reset();
          ++simulation.members[n].cluster;
          simulation.dropStreams(n);
        }
        break;
      default:
        break;
    }
    simulation.run(static_cast<Micros>(number) * 3 * kMs);
  }
  for (std::size_t n = 0; n < 3; ++n) {
    simulation.stall(n, false);
    simulation.withhold(n, false);
    simulation.down(n, false);
    const std::uint64_t cluster = simulation.members[n].cluster;
    simulation.members[n] = Simulation::Member{};
    simulation.members[n].cluster = cluster;
  }
  simulation.run(30 * kSecond);
  Ports expected;
  for (const auto& [key, value] : simulation.content()) {
    const std::string id = key.substr(std::string("/ivypost/nodes/").size());
    expected[id] = parseInstance(id, value).address.port();
  }
  RC_ASSERT(Simulation::ports(simulation.list()) == expected);
  RC_ASSERT(Simulation::ports(simulation.firstSidecar().watcher.instances()) == expected);
  std::set<std::pair<std::string, int>> ever;
  for (const auto& [key, value] : simulation.everPut) {
    const std::string id = key.substr(std::string("/ivypost/nodes/").size());
    ever.insert({id, parseInstance(id, value).address.port()});
  }
  for (const auto& publish : simulation.firstSidecar().published) {
    for (const auto& instance : publish.instances)
      RC_ASSERT(ever.count({instance.id, instance.address.port()}) > 0);
  }
}

}  // namespace
}  // namespace ivypost::discovery::etcd
