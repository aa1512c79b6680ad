// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_CONTRADICTION_H_
#define IVYPOST_DISCOVERY_ETCD_CONTRADICTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "discovery/etcd/messages.h"

namespace ivypost::discovery::etcd {

/// Counts the lists that contradict what is known, and decides when one has to be believed. No I/O and no
/// clock.
///
/// Invariant: a list without a key is believed when it was received twice in a row, one of an older revision
/// or another cluster when it was received three times in a row and from a majority of the endpoints: one may
/// be a member that lags, or may belong to another cluster. One that hears nothing believes nothing.
class Contradiction {
 public:
  /// What a list says that can't be, by what is known.
  enum class Kind : std::uint8_t {
    Empty,         ///< there is no key, and there were some, or nothing is known yet
    Older,         ///< its revision is below the known one
    OtherCluster,  ///< it is another cluster's
  };
  /// What came of a list.
  struct Outcome {
    bool isNew = false;      ///< it does not continue the contradiction that was there
    bool isSettled = false;  ///< it has to be believed
  };

  /// Whether a list has contradicted and none has settled it yet.
  [[nodiscard]] bool isOpen() const { return open_.has_value(); }
  /// A list that contradicts. `endpoint`: the index of who gave it, below `endpoints`.
  [[nodiscard]] Outcome add(Kind kind, const Header& header, std::size_t endpoint, std::size_t endpoints);
  /// A list has come that is believed.
  void clear() { open_.reset(); }

 private:
  struct Open {
    Kind kind = Kind::Empty;
    std::uint64_t cluster = 0;
    Revision revision = 0;
    int lists = 0;
    std::set<std::size_t> endpoints;
  };
  [[nodiscard]] bool isContinuedBy(Kind kind, const Header& header) const;

  std::optional<Open> open_;
};

/// As the log names it: "no key at all", "an older revision than is known", "another cluster's keys".
[[nodiscard]] const char* describe(Contradiction::Kind kind);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_CONTRADICTION_H_
