// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The stand-in's store, watches and leases, method by method as the API's facts have them.
#include "standins/etcd/store.h"

#include <gtest/gtest.h>

#include "standins/etcd/leases.h"
#include "standins/etcd/watches.h"

namespace ivypost::standins::etcd {
namespace {

class StoreTest : public testing::Test {
 protected:
  std::int64_t put(const std::string& key, const std::string& value, std::int64_t lease = 0) {
    pb::PutRequest request;
    request.set_key(key);
    request.set_value(value);
    request.set_lease(lease);
    pb::PutResponse response;
    EXPECT_EQ(store.put(request, response), Failure::None);
    return store.revision();
  }
  std::int64_t erase(const std::string& key, const std::string& end = "") {
    pb::DeleteRangeRequest request;
    request.set_key(key);
    request.set_range_end(end);
    request.set_prev_kv(true);
    erased.Clear();
    EXPECT_EQ(store.deleteRange(request, erased), Failure::None);
    return store.revision();
  }
  static pb::RangeRequest all(const std::string& key = std::string(1, '\0')) {
    pb::RangeRequest request;
    request.set_key(key);
    request.set_range_end(std::string(1, '\0'));
    return request;
  }
  // The keys and values that a range gives, in its order.
  std::string range(const pb::RangeRequest& request) {
    got.Clear();
    failure = store.range(request, got);
    std::string text;
    for (const auto& kv : got.kvs()) text += kv.key() + "=" + kv.value() + " ";
    return text;
  }
  pb::RangeRequest at(std::int64_t revision) {
    auto request = all();
    request.set_revision(revision);
    return request;
  }
  Failure compact(std::int64_t revision) {
    pb::CompactionRequest request;
    request.set_revision(revision);
    return store.compact(request);
  }

  Store store;
  pb::RangeResponse got;
  pb::DeleteRangeResponse erased;
  Failure failure = Failure::None;
};

TEST_F(StoreTest, RevisionsAreTheWholeStores) {
  EXPECT_EQ(store.revision(), 1);
  EXPECT_EQ(put("a", "1"), 2);
  EXPECT_EQ(put("b", "1"), 3);
  EXPECT_EQ(put("a", "2"), 4);
  range(all());
  const auto& a = got.kvs(0);
  EXPECT_EQ(a.create_revision(), 2);
  EXPECT_EQ(a.mod_revision(), 4);
  EXPECT_EQ(a.version(), 2);
  EXPECT_EQ(erase("nobody"), 4) << "what changes nothing is no revision";
  EXPECT_EQ(erase("a"), 5);
  EXPECT_EQ(erased.prev_kvs(0).value(), "2");
  put("a", "3");
  range(all());
  EXPECT_EQ(got.kvs(0).create_revision(), 6) << "a key that comes again is a new one";
  EXPECT_EQ(got.kvs(0).version(), 1);
}

TEST_F(StoreTest, RangesByKeyPrefixAndRevision) {
  put("a", "1"), put("ab", "2"), put("b", "3"), put("a", "4");
  pb::RangeRequest one;
  one.set_key("a");
  EXPECT_EQ(range(one), "a=4 ");
  one.set_range_end("b");
  EXPECT_EQ(range(one), "a=4 ab=2 ");
  EXPECT_EQ(range(all("ab")), "ab=2 b=3 ");
  EXPECT_EQ(range(at(2)), "a=1 ");
  EXPECT_EQ(range(at(4)), "a=1 ab=2 b=3 ");
  range(at(99));
  EXPECT_EQ(failure, Failure::FutureRevision);
  range(pb::RangeRequest{});
  EXPECT_EQ(failure, Failure::KeyEmpty);
}

TEST_F(StoreTest, LimitSortFiltersKeysOnlyCountOnly) {
  put("a", "3"), put("b", "1"), put("c", "2"), put("a", "3");
  auto request = all();
  request.set_limit(2);
  EXPECT_EQ(range(request), "a=3 b=1 ");
  EXPECT_TRUE(got.more());
  EXPECT_EQ(got.count(), 3) << "of all keys in the range";
  request = all();
  request.set_sort_order(pb::RangeRequest::DESCEND);
  request.set_sort_target(pb::RangeRequest::MOD);
  EXPECT_EQ(range(request), "a=3 c=2 b=1 ");
  request.set_sort_target(pb::RangeRequest::VALUE);
  request.set_sort_order(pb::RangeRequest::ASCEND);
  EXPECT_EQ(range(request), "b=1 c=2 a=3 ");
  request = all();
  request.set_keys_only(true);
  EXPECT_EQ(range(request), "a= b= c= ");
  request = all();
  request.set_count_only(true);
  EXPECT_EQ(range(request), "");
  EXPECT_EQ(got.count(), 3);
  request = all();
  request.set_min_mod_revision(4);
  EXPECT_EQ(range(request), "a=3 c=2 ");
  request.set_max_create_revision(2);
  EXPECT_EQ(range(request), "a=3 ");
}

TEST_F(StoreTest, PutKeepsWhatItIsToldToIgnore) {
  put("a", "1", 5);
  pb::PutRequest request;
  request.set_key("a");
  request.set_ignore_value(true);
  request.set_prev_kv(true);
  pb::PutResponse response;
  EXPECT_EQ(store.put(request, response), Failure::None);
  EXPECT_EQ(response.prev_kv().value(), "1");
  EXPECT_EQ(range(all()), "a=1 ");
  EXPECT_EQ(store.leaseOf("a"), 0);
  request.set_key("nobody");
  EXPECT_EQ(store.put(request, response), Failure::Invalid);
}

TEST_F(StoreTest, TransactionsCompareAndAreOneRevision) {
  put("a", "1");
  pb::TxnRequest txn;
  auto& compare = *txn.add_compare();
  compare.set_key("a");
  compare.set_target(pb::Compare::VALUE);
  compare.set_value("1");
  txn.add_success()->mutable_request_delete_range()->set_key("a");
  auto& put = *txn.add_success()->mutable_request_put();
  put.set_key("b");
  put.set_value("2");
  *txn.add_success()->mutable_request_range() = all();
  txn.add_failure()->mutable_request_range()->set_key("b");
  pb::TxnResponse response;
  ASSERT_EQ(store.txn(txn, response), Failure::None);
  EXPECT_TRUE(response.succeeded());
  EXPECT_EQ(response.responses(0).response_delete_range().deleted(), 1);
  ASSERT_EQ(response.responses(2).response_range().kvs_size(), 1) << "it sees what it has changed";
  EXPECT_EQ(store.revision(), 3);
  EXPECT_EQ(store.changesFrom(3).at(0)->events.size(), 2u);
  response.Clear();
  ASSERT_EQ(store.txn(txn, response), Failure::None);
  EXPECT_FALSE(response.succeeded()) << "a is gone";
  EXPECT_EQ(store.revision(), 3);
  // Every kind of comparison, against a key that is not there.
  for (const auto target :
       {pb::Compare::VERSION, pb::Compare::CREATE, pb::Compare::MOD, pb::Compare::LEASE}) {
    pb::TxnRequest absent;
    absent.add_compare()->set_key("nobody");
    absent.mutable_compare(0)->set_target(target);
    response.Clear();
    EXPECT_EQ(store.txn(absent, response), Failure::None);
    EXPECT_TRUE(response.succeeded());
    absent.mutable_compare(0)->set_result(pb::Compare::GREATER);
    response.Clear();
    EXPECT_EQ(store.txn(absent, response), Failure::None);
    EXPECT_FALSE(response.succeeded());
  }
}

TEST_F(StoreTest, ATransactionThatIsRefusedChangesNothing) {
  pb::TxnRequest twice;
  for (int n = 0; n < 2; ++n) twice.add_success()->mutable_request_put()->set_key("a");
  pb::TxnResponse response;
  EXPECT_EQ(store.txn(twice, response), Failure::DuplicateKey);
  pb::TxnRequest both;
  both.add_success()->mutable_request_put()->set_key("a");
  both.add_success()->mutable_request_delete_range()->set_key("a");
  EXPECT_EQ(store.txn(both, response), Failure::DuplicateKey);
  pb::TxnRequest future;
  future.add_success()->mutable_request_put()->set_key("a");
  *future.add_success()->mutable_request_range() = at(50);
  EXPECT_EQ(store.txn(future, response), Failure::FutureRevision);
  EXPECT_EQ(store.revision(), 1);
}

TEST_F(StoreTest, CompactionTakesTheHistoryAndNothingElse) {
  put("a", "1"), put("a", "2"), put("b", "1"), erase("b"), put("c", "1");
  EXPECT_EQ(compact(99), Failure::FutureRevision);
  EXPECT_EQ(compact(5), Failure::None);
  EXPECT_EQ(compact(5), Failure::Compacted);
  EXPECT_EQ(range(all()), "a=2 c=1 ");
  EXPECT_EQ(range(at(5)), "a=2 ");
  range(at(4));
  EXPECT_EQ(failure, Failure::Compacted);
}

// ---- Watches ----------------------------------------------------------------------------------------------

class WatchesTest : public StoreTest {
 protected:
  std::vector<pb::WatchResponse> create(const std::function<void(pb::WatchCreateRequest&)>& change) {
    pb::WatchRequest request;
    auto& wanted = *request.mutable_create_request();
    wanted.set_key("k");
    wanted.set_range_end("l");
    change(wanted);
    return watches.request(request, store);
  }
  static std::string shown(const std::vector<pb::WatchResponse>& responses) {
    std::string text;
    for (const auto& response : responses) {
      text += std::to_string(response.watch_id()) + (response.created() ? "+" : "") +
              (response.canceled() ? "x" : "") + (response.fragment() ? "~" : "") + ":";
      for (const auto& event : response.events())
        text += (event.type() == mvccpb::Event::DELETE ? "-" : "") + event.kv().key() +
                (event.has_prev_kv() ? "<" + event.prev_kv().value() : "") + ",";
      text += " ";
    }
    return text;
  }
  Watches watches;
};

TEST_F(WatchesTest, SeveralOnAStreamEachFromItsRevision) {
  put("k1", "1"), put("k2", "2");
  EXPECT_EQ(shown(create([](auto&) {})), "0+: ");
  EXPECT_EQ(shown(create([](auto& w) { w.set_start_revision(2), w.set_watch_id(7); })), "7+: 7:k1, 7:k2, ");
  EXPECT_EQ(shown(create([](auto& w) { w.set_watch_id(7); })), "-1+x: ") << "the id is taken";
  put("k1", "3"), put("other", "x");
  EXPECT_EQ(shown(watches.poll(store)), "0:k1, 7:k1, ");
  pb::WatchRequest cancel;
  cancel.mutable_cancel_request()->set_watch_id(7);
  EXPECT_EQ(shown(watches.request(cancel, store)), "7x: ");
  erase("k1");
  EXPECT_EQ(shown(watches.poll(store)), "0:-k1, ");
}

TEST_F(WatchesTest, FiltersAndPreviousValues) {
  using Create = pb::WatchCreateRequest;
  create([](auto& w) { w.add_filters(Create::NOPUT), w.set_prev_kv(true); });
  create([](auto& w) { w.add_filters(Create::NODELETE); });
  put("k1", "1"), erase("k1");
  EXPECT_EQ(shown(watches.poll(store)), "0:-k1<1, 1:k1, ");
}

TEST_F(WatchesTest, OneRevisionTogetherOrInFragments) {
  watches.fragmentEvents = 2;
  create([](auto&) {});
  create([](auto& w) { w.set_fragment(true); });
  pb::TxnRequest txn;
  for (const char* key : {"k1", "k2", "k3"}) txn.add_success()->mutable_request_put()->set_key(key);
  pb::TxnResponse response;
  store.txn(txn, response);
  EXPECT_EQ(shown(watches.poll(store)), "0:k1,k2,k3, 1~:k1,k2, 1:k3, ");
}

TEST_F(WatchesTest, CompactionCancelsWhatItOvertakes) {
  put("k1", "1"), put("k1", "2"), put("k1", "3");
  create([](auto&) {});
  EXPECT_EQ(compact(3), Failure::None);
  const auto late = create([](auto& w) { w.set_start_revision(2); });
  EXPECT_EQ(shown(late), "1+: 1x: ");
  EXPECT_EQ(late.back().compact_revision(), 3);
  EXPECT_EQ(shown(create([](auto& w) { w.set_start_revision(4); })), "1+: 1:k1, ");
  put("k1", "4"), put("k1", "5");
  compact(store.revision());
  EXPECT_EQ(shown(watches.poll(store)), "0x: 1x: ") << "behind when it was compacted";
  EXPECT_EQ(watches.size(), 0u);
}

TEST_F(WatchesTest, ProgressIsAnsweredForAll) {
  create([](auto&) {});
  put("other", "1");
  pb::WatchRequest ask;
  ask.mutable_progress_request();
  const auto answer = watches.request(ask, store);
  EXPECT_EQ(shown(answer), "-1: ");
  EXPECT_EQ(answer.at(0).header().revision(), store.revision());
}

// ---- Leases -----------------------------------------------------------------------------------------------

TEST(LeasesTest, EndWithTheirKeysUnlessKeptAlive) {
  Leases leases;
  EXPECT_FALSE(leases.grant(0, 0, 0));
  const auto a = leases.grant(0, 2, 0), b = leases.grant(77, 2, 0);
  EXPECT_EQ(b, 77);
  EXPECT_FALSE(leases.grant(77, 1, 0)) << "taken";
  leases.attach("k1", *a), leases.attach("k2", *a), leases.attach("k2", *b);
  EXPECT_EQ(leases.keepAlive(*b, 1'000'000), 2);
  EXPECT_EQ(leases.keepAlive(5, 0), 0);
  EXPECT_EQ(leases.nextEnd(), 2'000'000);
  EXPECT_TRUE(leases.expire(1'999'999).empty());
  const auto ended = leases.expire(2'000'000);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].keys, std::vector<std::string>{"k1"}) << "the other key has moved on";
  leases.attach("k2", 0);
  EXPECT_EQ(leases.revoke(*b)->size(), 0u);
  EXPECT_FALSE(leases.revoke(*b));
}

}  // namespace
}  // namespace ivypost::standins::etcd
