// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_CONTRADICTION_H_
#define IVYPOST_DISCOVERY_ETCD_CONTRADICTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "discovery/etcd/messages.h"

namespace ivypost::discovery::etcd {

/// Counts consecutive lists that contradict the known state, and decides when such a list is accepted. No
/// I/O and no clock.
///
/// Invariant: a list without keys is accepted when it was received twice in a row; a list of an older
/// revision or of another cluster is accepted when it was received three times in a row and from a majority
/// of the endpoints, since a single endpoint may be a member that lags or may belong to another cluster. Only
/// a received list can be accepted; time alone changes nothing.
class Contradiction {
 public:
  /// How a list contradicts the known state.
  enum class Kind : std::uint8_t {
    Empty,         ///< it has no keys, although keys were known or no list has been received yet
    Older,         ///< its revision is below the known revision
    OtherCluster,  ///< it has another cluster's id
  };
  /// Result of add().
  struct Outcome {
    bool isNew = false;       ///< the list does not continue the contradiction of the lists before it
    bool isAccepted = false;  ///< the list is to be accepted
  };

  /// Whether a list has contradicted the known state, and none has been accepted since.
  [[nodiscard]] bool isOpen() const { return current_.has_value(); }
  /// Records a list that contradicts the known state. `endpoint` is the index of the endpoint that returned
  /// the list, less than `endpoints`, the number of endpoints.
  [[nodiscard]] Outcome add(Kind kind, const Header& header, std::size_t endpoint, std::size_t endpoints);
  /// Forgets the contradiction, after a list has been accepted.
  void clear() { current_.reset(); }

 private:
  struct Sequence {
    Kind kind = Kind::Empty;
    std::uint64_t cluster = 0;
    Revision revision = 0;
    int lists = 0;
    std::set<std::size_t> endpoints;
  };
  [[nodiscard]] bool isContinuedBy(Kind kind, const Header& header) const;

  std::optional<Sequence> current_;
};

/// Wording for the log: "no key at all", "an older revision than is known", "another cluster's keys".
[[nodiscard]] const char* describe(Contradiction::Kind kind);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_CONTRADICTION_H_
