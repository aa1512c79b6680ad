// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/etcd/store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ivypost::standins::etcd {
namespace {

// Transactions within transactions go so deep at the most.
constexpr int kMaxDepth = 8;

bool passes(std::int64_t value, std::int64_t least, std::int64_t most) {
  return (least == 0 || value >= least) && (most == 0 || value <= most);
}

bool before(const mvccpb::KeyValue& a, const mvccpb::KeyValue& b, pb::RangeRequest::SortTarget target) {
  switch (target) {
    case pb::RangeRequest::VERSION:
      return a.version() < b.version();
    case pb::RangeRequest::CREATE:
      return a.create_revision() < b.create_revision();
    case pb::RangeRequest::MOD:
      return a.mod_revision() < b.mod_revision();
    case pb::RangeRequest::VALUE:
      return a.value() < b.value();
    default:
      return a.key() < b.key();
  }
}

template <class Value>
bool compares(const Value& ours, const Value& theirs, pb::Compare::CompareResult result) {
  switch (result) {
    case pb::Compare::EQUAL:
      return ours == theirs;
    case pb::Compare::GREATER:
      return ours > theirs;
    case pb::Compare::LESS:
      return ours < theirs;
    case pb::Compare::NOT_EQUAL:
      return ours != theirs;
    default:
      return false;
  }
}

}  // namespace

bool inRange(const std::string& candidate, const std::string& key, const std::string& end) {
  if (end.empty()) return candidate == key;
  if (end == std::string(1, '\0')) return candidate >= key;
  return candidate >= key && candidate < end;
}

// ---- Reading ----------------------------------------------------------------------------------------------

// None: it was not there at that revision.
const mvccpb::KeyValue* Store::at(const Versions& versions, std::int64_t revision) const {
  const auto after = std::upper_bound(
      versions.begin(), versions.end(), revision,
      [](std::int64_t wanted, const Version& version) { return wanted < version.kv.mod_revision(); });
  if (after == versions.begin() || std::prev(after)->deleted) return nullptr;
  return &std::prev(after)->kv;
}

const mvccpb::KeyValue* Store::now(const std::string& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() || found->second.back().deleted ? nullptr : &found->second.back().kv;
}

std::int64_t Store::leaseOf(const std::string& key) const {
  const auto* kv = now(key);
  return kv != nullptr ? kv->lease() : 0;
}

Failure Store::range(const pb::RangeRequest& request, pb::RangeResponse& response) const {
  return range(request, response, revision_);
}

// `newest`: the revision that "the latest" means; one further within a transaction that has changed
// something.
Failure Store::range(const pb::RangeRequest& request, pb::RangeResponse& response,
                     std::int64_t newest) const {
  if (request.key().empty()) return Failure::KeyEmpty;
  if (request.revision() > newest) return Failure::FutureRevision;
  const std::int64_t revision = request.revision() > 0 ? request.revision() : newest;
  if (revision < compacted_) return Failure::Compacted;
  std::vector<const mvccpb::KeyValue*> found;
  for (auto key = keys_.lower_bound(request.key());
       key != keys_.end() && inRange(key->first, request.key(), request.range_end()); ++key) {
    if (const auto* kv = at(key->second, revision)) found.push_back(kv);
  }
  response.set_count(static_cast<std::int64_t>(found.size()));
  if (request.count_only()) return Failure::None;
  std::erase_if(found, [&](const mvccpb::KeyValue* kv) {
    return !passes(kv->mod_revision(), request.min_mod_revision(), request.max_mod_revision()) ||
           !passes(kv->create_revision(), request.min_create_revision(), request.max_create_revision());
  });
  if (request.sort_order() != pb::RangeRequest::NONE || request.sort_target() != pb::RangeRequest::KEY) {
    const bool falls = request.sort_order() == pb::RangeRequest::DESCEND;
    std::stable_sort(found.begin(), found.end(), [&](const auto* a, const auto* b) {
      return falls ? before(*b, *a, request.sort_target()) : before(*a, *b, request.sort_target());
    });
  }
  const auto limit = static_cast<std::size_t>(std::max<std::int64_t>(0, request.limit()));
  if (limit > 0 && found.size() > limit) {
    found.resize(limit);
    response.set_more(true);
  }
  for (const auto* kv : found) {
    *response.add_kvs() = *kv;
    if (request.keys_only()) response.mutable_kvs(response.kvs_size() - 1)->clear_value();
  }
  return Failure::None;
}

// ---- Changing ---------------------------------------------------------------------------------------------

void Store::put(const pb::PutRequest& request, pb::PutResponse& response, Change& change) {
  const auto* old = now(request.key());
  mvccpb::Event event;
  event.set_type(mvccpb::Event::PUT);
  mvccpb::KeyValue& kv = *event.mutable_kv();
  kv.set_key(request.key());
  kv.set_value(request.ignore_value() && old != nullptr ? old->value() : request.value());
  kv.set_lease(request.ignore_lease() && old != nullptr ? old->lease() : request.lease());
  kv.set_mod_revision(change.revision);
  kv.set_create_revision(old != nullptr ? old->create_revision() : change.revision);
  kv.set_version(old != nullptr ? old->version() + 1 : 1);
  if (old != nullptr) {
    *event.mutable_prev_kv() = *old;
    if (request.prev_kv()) *response.mutable_prev_kv() = *old;
  }
  keys_[request.key()].push_back({kv, false});
  change.events.push_back(std::move(event));
}

void Store::erase(const std::string& key, Change& change) {
  mvccpb::Event event;
  event.set_type(mvccpb::Event::DELETE);
  *event.mutable_prev_kv() = *now(key);
  event.mutable_kv()->set_key(key);
  event.mutable_kv()->set_mod_revision(change.revision);
  keys_[key].push_back({event.kv(), true});
  change.events.push_back(std::move(event));
}

void Store::deleteRange(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse& response,
                        Change& change) {
  std::vector<std::string> gone;
  for (auto key = keys_.lower_bound(request.key());
       key != keys_.end() && inRange(key->first, request.key(), request.range_end()); ++key) {
    const auto* kv = now(key->first);
    if (kv == nullptr) continue;
    if (request.prev_kv()) *response.add_prev_kvs() = *kv;
    gone.push_back(key->first);
  }
  for (const std::string& key : gone) erase(key, change);
  response.set_deleted(static_cast<std::int64_t>(gone.size()));
}

void Store::commit(Change change) {
  if (change.events.empty()) return;  // nothing was changed: no revision
  revision_ = change.revision;
  changes_.push_back(std::move(change));
}

Failure Store::put(const pb::PutRequest& request, pb::PutResponse& response) {
  if (request.key().empty()) return Failure::KeyEmpty;
  if ((request.ignore_value() || request.ignore_lease()) && now(request.key()) == nullptr)
    return Failure::Invalid;
  Change change{revision_ + 1, {}};
  put(request, response, change);
  commit(std::move(change));
  return Failure::None;
}

Failure Store::deleteRange(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse& response) {
  if (request.key().empty()) return Failure::KeyEmpty;
  Change change{revision_ + 1, {}};
  deleteRange(request, response, change);
  commit(std::move(change));
  return Failure::None;
}

void Store::remove(const std::vector<std::string>& keys) {
  Change change{revision_ + 1, {}};
  for (const std::string& key : keys) {
    if (now(key) != nullptr) erase(key, change);
  }
  commit(std::move(change));
}

bool Store::holds(const pb::Compare& compare) const {
  const auto one = [&](const std::string& key) {
    const auto* kv = now(key);
    static const mvccpb::KeyValue kNone;
    // A key that is not there compares as zero, but for its value, which compares as nothing.
    if (kv == nullptr && compare.target() == pb::Compare::VALUE) return false;
    const mvccpb::KeyValue& ours = kv != nullptr ? *kv : kNone;
    switch (compare.target()) {
      case pb::Compare::VERSION:
        return compares(ours.version(), compare.version(), compare.result());
      case pb::Compare::CREATE:
        return compares(ours.create_revision(), compare.create_revision(), compare.result());
      case pb::Compare::MOD:
        return compares(ours.mod_revision(), compare.mod_revision(), compare.result());
      case pb::Compare::VALUE:
        return compares(ours.value(), compare.value(), compare.result());
      case pb::Compare::LEASE:
        return compares(ours.lease(), compare.lease(), compare.result());
      default:
        return false;
    }
  };
  if (compare.range_end().empty()) return one(compare.key());
  for (auto key = keys_.lower_bound(compare.key());
       key != keys_.end() && inRange(key->first, compare.key(), compare.range_end()); ++key) {
    if (now(key->first) != nullptr && !one(key->first)) return false;
  }
  return true;
}

// Before anything is changed: etcd takes no key twice in one transaction's puts, nor a put of what is
// deleted.
Failure Store::check(const pb::TxnRequest& request, std::vector<std::string>& puts, int depth) const {
  if (depth > kMaxDepth) return Failure::Invalid;
  for (const auto* branch : {&request.success(), &request.failure()}) {
    std::vector<std::string> own;
    std::vector<const pb::DeleteRangeRequest*> deletes;
    for (const pb::RequestOp& op : *branch) {
      if (op.has_request_put()) {
        if (op.request_put().key().empty()) return Failure::KeyEmpty;
        own.push_back(op.request_put().key());
      } else if (op.has_request_range()) {
        if (op.request_range().key().empty()) return Failure::KeyEmpty;
        if (op.request_range().revision() > revision_) return Failure::FutureRevision;
        if (op.request_range().revision() > 0 && op.request_range().revision() < compacted_)
          return Failure::Compacted;
      } else if (op.has_request_delete_range()) {
        if (op.request_delete_range().key().empty()) return Failure::KeyEmpty;
        deletes.push_back(&op.request_delete_range());
      } else if (op.has_request_txn()) {
        if (const Failure failure = check(op.request_txn(), own, depth + 1); failure != Failure::None)
          return failure;
      }
    }
    std::set<std::string> seen;
    for (const std::string& key : own) {
      if (!seen.insert(key).second) return Failure::DuplicateKey;
      for (const auto* gone : deletes) {
        if (inRange(key, gone->key(), gone->range_end())) return Failure::DuplicateKey;
      }
    }
    puts.insert(puts.end(), own.begin(), own.end());
  }
  return Failure::None;
}

Failure Store::run(const pb::TxnRequest& request, pb::TxnResponse& response, Change& change) {
  const bool holds = std::all_of(request.compare().begin(), request.compare().end(),
                                 [this](const pb::Compare& compare) { return this->holds(compare); });
  response.set_succeeded(holds);
  for (const pb::RequestOp& op : holds ? request.success() : request.failure()) {
    pb::ResponseOp& result = *response.add_responses();
    if (op.has_request_range()) {
      const std::int64_t newest = change.events.empty() ? revision_ : change.revision;
      if (const Failure failure = range(op.request_range(), *result.mutable_response_range(), newest);
          failure != Failure::None)
        return failure;
    } else if (op.has_request_put()) {
      put(op.request_put(), *result.mutable_response_put(), change);
    } else if (op.has_request_delete_range()) {
      deleteRange(op.request_delete_range(), *result.mutable_response_delete_range(), change);
    } else if (op.has_request_txn()) {
      if (const Failure failure = run(op.request_txn(), *result.mutable_response_txn(), change);
          failure != Failure::None)
        return failure;
    }
  }
  return Failure::None;
}

Failure Store::txn(const pb::TxnRequest& request, pb::TxnResponse& response) {
  std::vector<std::string> puts;
  if (const Failure failure = check(request, puts, 0); failure != Failure::None) return failure;
  Change change{revision_ + 1, {}};
  const Failure failure = run(request, response, change);
  commit(std::move(change));
  return failure;
}

Failure Store::compact(const pb::CompactionRequest& request) {
  if (request.revision() <= compacted_) return Failure::Compacted;
  if (request.revision() > revision_) return Failure::FutureRevision;
  compacted_ = request.revision();
  while (!changes_.empty() && changes_.front().revision <= compacted_) changes_.pop_front();
  for (auto key = keys_.begin(); key != keys_.end();) {
    Versions& versions = key->second;
    const auto after = std::find_if(versions.begin(), versions.end(), [this](const Version& version) {
      return version.kv.mod_revision() > compacted_;
    });
    // Of what is not newer, only the last version is still seen.
    if (after != versions.begin()) {
      const bool dead = std::prev(after)->deleted;
      versions.erase(versions.begin(), dead ? after : std::prev(after));
    }
    key = versions.empty() ? keys_.erase(key) : std::next(key);
  }
  return Failure::None;
}

std::vector<const Store::Change*> Store::changesFrom(std::int64_t revision) const {
  std::vector<const Change*> found;
  const auto first =
      std::lower_bound(changes_.begin(), changes_.end(), revision,
                       [](const Change& change, std::int64_t wanted) { return change.revision < wanted; });
  for (auto change = first; change != changes_.end(); ++change) found.push_back(&*change);
  return found;
}

}  // namespace ivypost::standins::etcd
