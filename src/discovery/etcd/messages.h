// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_MESSAGES_H_
#define IVYPOST_DISCOVERY_ETCD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ivypost::discovery::etcd {

// The messages of etcdserverpb and mvccpb in etcd's v3 API, limited to the fields that are used, as types
// that do not depend on gRPC. The names are the API's.

/// A revision of the whole store, from 1 up; 0: none.
using Revision = std::int64_t;

/// A key and its value and metadata in the store.
struct KeyValue {
  std::string key;              ///< arbitrary bytes, without an encoding
  std::string value;            ///< arbitrary bytes
  Revision createRevision = 0;  ///< revision at which the key was created
  Revision modRevision = 0;     ///< revision of the last change of the key
  std::int64_t version = 0;     ///< number of changes since the key was created, from 1 up
  std::int64_t lease = 0;       ///< id of the lease that the key is attached to; 0: none
};

/// A change of a key.
struct Event {
  /// What has changed.
  enum class Type : std::uint8_t {
    Put,     ///< the key was created or its value was replaced
    Delete,  ///< the key was deleted, by a client or at the end of its lease
  };
  Type type = Type::Put;  ///< what has changed
  KeyValue kv;            ///< for a deletion only `key` and `modRevision` are set
};

/// The header of a response: which member answered, and at which revision of the store.
struct Header {
  std::uint64_t cluster = 0;  ///< the id of the cluster; restoring a backup assigns a new one
  std::uint64_t member = 0;   ///< the member's id
  Revision revision = 0;      ///< revision of the store when the member answered
};

/// Result of a call or stream, as far as the watcher distinguishes results.
enum class StatusCode : std::uint8_t {
  Ok,               ///< a response was received
  Unavailable,      ///< no connection, no leader, or the stream was cut
  Timeout,          ///< no response within the call's deadline
  Compacted,        ///< the requested revision has been compacted
  FutureRevision,   ///< the requested revision is beyond the member's store, which lags behind or belongs to
                    ///< another cluster
  Unauthenticated,  ///< the credentials were rejected, also with a renewed token
  Denied,           ///< the user may not read the prefix
  Other,            ///< any other error
};
/// A short description for the log.
[[nodiscard]] const char* nameOf(StatusCode code);

/// Returns the end of the range of all keys with this prefix: the prefix with its last byte incremented,
/// after trailing 0xff bytes are removed. If no byte is left, the result is "\0", which means all keys from
/// the start of the range on.
[[nodiscard]] std::string prefixEnd(std::string prefix);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_MESSAGES_H_
