// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/etcd/watches.h"

#include <algorithm>
#include <utility>

namespace ivypost::standins::etcd {

std::vector<pb::WatchResponse> Watches::request(const pb::WatchRequest& request, const Store& store) {
  std::vector<pb::WatchResponse> out;
  pb::WatchResponse response;
  response.mutable_header()->set_revision(store.revision());
  if (request.has_create_request()) {
    const pb::WatchCreateRequest& wanted = request.create_request();
    std::int64_t id = wanted.watch_id();
    // 0 means that the server chooses.
    if (id == 0) {
      while (watches_.count(id) > 0) ++id;
    }
    response.set_created(true);
    if (wanted.key().empty() || watches_.count(id) > 0) {
      response.set_watch_id(-1);
      response.set_canceled(true);
      response.set_cancel_reason(wanted.key().empty()
                                     ? "etcdserver: key is not provided"
                                     : "mvcc: duplicate watch ID provided on the WatchStream");
      return {response};
    }
    response.set_watch_id(id);
    out.push_back(response);
    Watch& watch = watches_[id];
    watch.wanted = wanted;
    watch.next = wanted.start_revision() > 0 ? wanted.start_revision() : store.revision() + 1;
    poll(id, watch, store, out);
    if (out.back().canceled()) watches_.erase(id);
  } else if (request.has_cancel_request()) {
    const std::int64_t id = request.cancel_request().watch_id();
    if (watches_.erase(id) == 0) return {};
    response.set_watch_id(id);
    response.set_canceled(true);
    out.push_back(response);
  } else if (request.has_progress_request()) {
    response.set_watch_id(-1);
    out.push_back(response);
  }
  return out;
}

void Watches::poll(std::int64_t id, Watch& watch, const Store& store,
                   std::vector<pb::WatchResponse>& out) const {
  if (watch.next <= store.compacted()) {
    pb::WatchResponse response;
    response.mutable_header()->set_revision(store.revision());
    response.set_watch_id(id);
    response.set_canceled(true);
    response.set_compact_revision(store.compacted());
    out.push_back(response);
    return;
  }
  const auto& filters = watch.wanted.filters();
  const auto filtered = [&](const mvccpb::Event& event) {
    const auto filter =
        event.type() == mvccpb::Event::PUT ? pb::WatchCreateRequest::NOPUT : pb::WatchCreateRequest::NODELETE;
    return std::find(filters.begin(), filters.end(), filter) != filters.end();
  };
  for (const Store::Change* change : store.changesFrom(watch.next)) {
    watch.next = change->revision + 1;
    std::vector<const mvccpb::Event*> events;
    for (const mvccpb::Event& event : change->events) {
      if (inRange(event.kv().key(), watch.wanted.key(), watch.wanted.range_end()) && !filtered(event))
        events.push_back(&event);
    }
    const std::size_t most = watch.wanted.fragment() && fragmentEvents > 0
                                 ? fragmentEvents
                                 : std::max<std::size_t>(1, events.size());
    for (std::size_t n = 0; n < events.size(); n += most) {
      pb::WatchResponse response;
      response.mutable_header()->set_revision(change->revision);
      response.set_watch_id(id);
      response.set_fragment(n + most < events.size());
      for (std::size_t i = n; i < std::min(n + most, events.size()); ++i) {
        mvccpb::Event& event = *response.add_events();
        event = *events[i];
        if (!watch.wanted.prev_kv()) event.clear_prev_kv();
      }
      out.push_back(std::move(response));
    }
  }
}

std::vector<pb::WatchResponse> Watches::poll(const Store& store) {
  std::vector<pb::WatchResponse> out;
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    poll(watch->first, watch->second, store, out);
    const bool ended = !out.empty() && out.back().canceled() && out.back().watch_id() == watch->first;
    watch = ended ? watches_.erase(watch) : std::next(watch);
  }
  return out;
}

std::vector<pb::WatchResponse> Watches::cancelAll(const std::string& reason, const Store& store) {
  std::vector<pb::WatchResponse> out;
  for (const auto& [id, watch] : std::exchange(watches_, {})) {
    pb::WatchResponse response;
    response.mutable_header()->set_revision(store.revision());
    response.set_watch_id(id);
    response.set_canceled(true);
    response.set_cancel_reason(reason);
    out.push_back(response);
  }
  return out;
}

}  // namespace ivypost::standins::etcd
