// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// etcd's messages as far as a watcher needs them, apart from the wire: names and meanings are those of the
// packages etcdserverpb and mvccpb of its v3 API.
#ifndef IVYPOST_ETCD_MESSAGES_H_
#define IVYPOST_ETCD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ivypost::etcd {

using Revision = std::int64_t;  // of the whole store, from 1 up; 0: none

struct KeyValue {
  std::string key, value;
  Revision createRevision = 0, modRevision = 0;
  std::int64_t version = 0, lease = 0;
};

struct Event {
  enum class Type : std::uint8_t { Put, Delete };
  Type type = Type::Put;
  KeyValue kv;  // of a delete: only key and modRevision
};

struct Header {
  std::uint64_t cluster = 0, member = 0;
  Revision revision = 0;
};

// How a call or a stream ended, as far as it makes a difference.
enum class Code : std::uint8_t {
  Ok,
  Unavailable,      // no connection, no leader, the stream was cut
  Timeout,          // no answer within the call's deadline
  Compacted,        // the revision asked for is no longer kept
  FutureRevision,   // ... or not there yet: this member's store is another or an older one
  Unauthenticated,  // also after the token was renewed
  Denied,
  Other,
};
const char* nameOf(Code code);

// The end of the range that holds all keys with this prefix: the prefix with its last byte raised by one;
// "\0", all keys from the prefix on, where it has no byte that can be raised.
std::string prefixEnd(std::string prefix);

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_MESSAGES_H_
