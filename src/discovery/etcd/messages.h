// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_MESSAGES_H_
#define IVYPOST_DISCOVERY_ETCD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ivypost::discovery::etcd {

// What etcd says, with no more of gRPC than the names: the types are those of the messages of etcdserverpb
// and mvccpb in its v3 API, as far as they are used.

/// A version of the whole store, from 1 up; 0: none.
using Revision = std::int64_t;

/// A key as the store has it.
struct KeyValue {
  std::string key;              ///< bytes; no encoding
  std::string value;            ///< likewise
  Revision createRevision = 0;  ///< at which the key came to be
  Revision modRevision = 0;     ///< at which it was changed last
  std::int64_t version = 0;     ///< changes since it came to be, from 1 up
  std::int64_t lease = 0;       ///< the id of the lease that it ends with; 0: none
};

/// A change of one key.
struct Event {
  /// What has changed.
  enum class Type : std::uint8_t {
    Put,     ///< the key has this value now
    Delete,  ///< it has gone, by hand or with its lease
  };
  Type type = Type::Put;  ///< what has changed
  KeyValue kv;            ///< of a delete: only `key` and `modRevision`
};

/// Who answers, and from which state of the store.
struct Header {
  std::uint64_t cluster = 0;  ///< the cluster's id, made anew by a restore
  std::uint64_t member = 0;   ///< the member's id
  Revision revision = 0;      ///< the store's when it answered
};

/// How a call or a stream ended, as far as it makes a difference.
enum class StatusCode : std::uint8_t {
  Ok,               ///< with a response
  Unavailable,      ///< no connection, no leader, or the stream was cut
  Timeout,          ///< no answer within the call's deadline
  Compacted,        ///< the revision asked for is no longer kept
  FutureRevision,   ///< ... or not there yet: this member's store is another or an older one
  Unauthenticated,  ///< also after the token was renewed
  Denied,           ///< the user may not read the prefix
  Other,            ///< anything else
};
/// A few words for the log.
[[nodiscard]] const char* nameOf(StatusCode code);

/// The end of the range that holds all keys with this prefix: the prefix with its last byte raised by one;
/// "\0", all keys from the prefix on, where it has no byte that can be raised.
[[nodiscard]] std::string prefixEnd(std::string prefix);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_MESSAGES_H_
