// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd/api_conversion.h"

namespace ivypost::etcd {
namespace {

namespace pb = etcdserverpb;

Header headerOf(const pb::ResponseHeader& header) {
  return {header.cluster_id(), header.member_id(), header.revision()};
}

KeyValue keyValueOf(const mvccpb::KeyValue& kv) {
  return {kv.key(), kv.value(), kv.create_revision(), kv.mod_revision(), kv.version(), kv.lease()};
}

}  // namespace

pb::RangeRequest toRequest(const PrefixWatcher::RangeCall& range) {
  pb::RangeRequest request;
  request.set_key(range.key);
  request.set_range_end(range.end);
  request.set_limit(range.limit);
  request.set_revision(range.revision);
  if (range.audit) {
    request.set_keys_only(true);
    request.set_sort_order(pb::RangeRequest::DESCEND);
    request.set_sort_target(pb::RangeRequest::MOD);
  }
  return request;
}

pb::WatchRequest toRequest(const PrefixWatcher::WatchCall& watch) {
  pb::WatchRequest request;
  auto& create = *request.mutable_create_request();
  create.set_key(watch.key);
  create.set_range_end(watch.end);
  create.set_start_revision(watch.from);
  create.set_progress_notify(true);
  create.set_fragment(true);
  return request;
}

PrefixWatcher::RangeResult toRangeResult(const pb::RangeResponse& response) {
  PrefixWatcher::RangeResult ranged;
  ranged.header = headerOf(response.header());
  ranged.more = response.more();
  ranged.count = response.count();
  ranged.kvs.reserve(static_cast<std::size_t>(response.kvs_size()));
  for (const auto& kv : response.kvs()) ranged.kvs.push_back(keyValueOf(kv));
  return ranged;
}

PrefixWatcher::WatchResult toWatchResult(const pb::WatchResponse& response) {
  PrefixWatcher::WatchResult watched;
  watched.header = headerOf(response.header());
  watched.created = response.created();
  watched.canceled = response.canceled();
  watched.compactRevision = response.compact_revision();
  watched.reason = response.cancel_reason();
  watched.fragment = response.fragment();
  watched.events.reserve(static_cast<std::size_t>(response.events_size()));
  for (const auto& event : response.events()) {
    const bool deleted = event.type() == mvccpb::Event::DELETE;
    watched.events.push_back({deleted ? Event::Type::Delete : Event::Type::Put, keyValueOf(event.kv())});
  }
  return watched;
}

}  // namespace ivypost::etcd
