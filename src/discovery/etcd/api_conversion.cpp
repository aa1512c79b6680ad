// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/api_conversion.h"

namespace ivypost::discovery::etcd {
namespace {

namespace pb = etcdserverpb;

Header headerOf(const pb::ResponseHeader& header) {
  return {header.cluster_id(), header.member_id(), header.revision()};
}

KeyValue keyValueOf(const mvccpb::KeyValue& kv) {
  return {kv.key(), kv.value(), kv.create_revision(), kv.mod_revision(), kv.version(), kv.lease()};
}

}  // namespace

pb::RangeRequest toRequest(const RangeCall& range) {
  pb::RangeRequest request;
  request.set_key(range.key);
  request.set_range_end(range.end);
  request.set_limit(range.limit);
  request.set_revision(range.revision);
  if (range.isAudit) {
    request.set_keys_only(true);
    request.set_sort_order(pb::RangeRequest::DESCEND);
    request.set_sort_target(pb::RangeRequest::MOD);
  }
  return request;
}

pb::WatchRequest toRequest(const WatchCall& watch) {
  pb::WatchRequest request;
  auto& create = *request.mutable_create_request();
  create.set_key(watch.key);
  create.set_range_end(watch.end);
  create.set_start_revision(watch.from);
  create.set_progress_notify(true);
  create.set_fragment(true);
  return request;
}

RangeResult toRangeResult(const pb::RangeResponse& response) {
  RangeResult result;
  result.header = headerOf(response.header());
  result.hasMore = response.more();
  result.count = response.count();
  result.kvs.reserve(static_cast<std::size_t>(response.kvs_size()));
  for (const auto& kv : response.kvs()) result.kvs.push_back(keyValueOf(kv));
  return result;
}

WatchResult toWatchResult(const pb::WatchResponse& response) {
  WatchResult result;
  result.header = headerOf(response.header());
  result.isCreated = response.created();
  result.isCanceled = response.canceled();
  result.compactRevision = response.compact_revision();
  result.reason = response.cancel_reason();
  result.isFragment = response.fragment();
  result.events.reserve(static_cast<std::size_t>(response.events_size()));
  for (const auto& event : response.events()) {
    const bool isDelete = event.type() == mvccpb::Event::DELETE;
    result.events.push_back({isDelete ? Event::Type::Delete : Event::Type::Put, keyValueOf(event.kv())});
  }
  return result;
}

}  // namespace ivypost::discovery::etcd
