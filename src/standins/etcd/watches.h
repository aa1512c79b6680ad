// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The watches of one stream over a store: what is to be sent next, in the API's messages. No I/O and no
// clock.
#ifndef IVYPOST_STANDINS_ETCD_WATCHES_H_
#define IVYPOST_STANDINS_ETCD_WATCHES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/etcd/store.h"

namespace ivypost::standins::etcd {

class Watches {
 public:
  // A response to one that asked for fragments holds so many events at the most; 0: all of a revision.
  std::size_t fragmentEvents = 0;

  // What a request is answered by; headers hold only the revision. Progress that was asked for is answered by
  // all watches at once, with the id -1.
  std::vector<pb::WatchResponse> request(const pb::WatchRequest& request, const Store& store);
  // What has come since, one response a revision and watch, or its fragments; a watch whose next revision was
  // compacted is canceled.
  std::vector<pb::WatchResponse> poll(const Store& store);
  // Ends all of them, as the end of a token does.
  std::vector<pb::WatchResponse> cancelAll(const std::string& reason, const Store& store);
  std::size_t size() const { return watches_.size(); }

 private:
  struct Watch {
    pb::WatchCreateRequest wanted;
    std::int64_t next = 0;  // revision
  };
  void poll(std::int64_t id, Watch& watch, const Store& store, std::vector<pb::WatchResponse>& out) const;

  std::map<std::int64_t, Watch> watches_;  // by id
};

}  // namespace ivypost::standins::etcd

#endif  // IVYPOST_STANDINS_ETCD_WATCHES_H_
