// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A multi-version store in memory with etcd's revisions: each change is one revision of the whole store, and
// a transaction is one. Requests and responses are the API's own messages. No I/O and no clock; copyable, so
// that a copy is a backup or what a member that lags has.
#ifndef IVYPOST_STANDINS_ETCD_STORE_H_
#define IVYPOST_STANDINS_ETCD_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "etcd.pb.h"

namespace ivypost::standins::etcd {

namespace pb = etcdserverpb;

// How a call fails; the texts are etcd's, as clients look at them.
enum class Failure : std::uint8_t {
  None,
  Compacted,
  FutureRevision,
  KeyEmpty,
  DuplicateKey,
  LeaseNotFound,
  Invalid
};

// Whether a key lies in the range, in etcd's sense: an empty end means the key alone, "\0" all from it on.
bool inRange(const std::string& candidate, const std::string& key, const std::string& end);

class Store {
 public:
  // All events of one revision.
  struct Change {
    std::int64_t revision = 0;
    std::vector<mvccpb::Event> events;  // with prev_kv, where there was one
  };

  std::int64_t revision() const { return revision_; }
  std::int64_t compacted() const { return compacted_; }

  // Each fills `response` but for its header, and changes nothing where it fails. Leases are not checked
  // here.
  Failure range(const pb::RangeRequest& request, pb::RangeResponse& response) const;
  Failure put(const pb::PutRequest& request, pb::PutResponse& response);
  Failure deleteRange(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse& response);
  Failure txn(const pb::TxnRequest& request, pb::TxnResponse& response);
  Failure compact(const pb::CompactionRequest& request);

  // Deletes these keys in one revision, as the end of a lease does; those that are not there are left out.
  void remove(const std::vector<std::string>& keys);

  // The changes from this revision on, oldest first; only for revisions over compacted().
  std::vector<const Change*> changesFrom(std::int64_t revision) const;
  // The lease that the key is attached to; 0: none, or no such key.
  std::int64_t leaseOf(const std::string& key) const;

 private:
  struct Version {
    mvccpb::KeyValue kv;
    bool deleted = false;
  };
  using Versions = std::vector<Version>;  // of a key, oldest first

  const mvccpb::KeyValue* at(const Versions& versions, std::int64_t revision) const;
  const mvccpb::KeyValue* now(const std::string& key) const;
  Failure check(const pb::TxnRequest& request, std::vector<std::string>& puts, int depth) const;
  bool holds(const pb::Compare& compare) const;
  Failure run(const pb::TxnRequest& request, pb::TxnResponse& response, Change& change);
  void put(const pb::PutRequest& request, pb::PutResponse& response, Change& change);
  void erase(const std::string& key, Change& change);
  void deleteRange(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse& response, Change& change);
  Failure range(const pb::RangeRequest& request, pb::RangeResponse& response, std::int64_t newest) const;
  void commit(Change change);

  std::int64_t revision_ = 1, compacted_ = 0;
  std::map<std::string, Versions> keys_;
  std::deque<Change> changes_;  // since the compacted revision
};

}  // namespace ivypost::standins::etcd

#endif  // IVYPOST_STANDINS_ETCD_STORE_H_
