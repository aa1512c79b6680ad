// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_EXCLUSION_SET_H_
#define IVYPOST_EXCLUSION_EXCLUSION_SET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "exclusion/result.h"

namespace ivypost::exclusion {

/// Wall-clock time as in endpoint lists and in the file: Unix time in whole milliseconds; 0: long ago.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// An operator's change, with what is known of the endpoint at that time.
struct Change {
  /// Whether the endpoint is excluded from service or included again.
  enum class Kind : std::uint8_t {
    Exclude,  ///< excluded until the next Include, even across restarts of sidecar and endpoint
    Include,  ///< in service again; counts as started now, so that it gets a slow start
  };
  Kind kind = Kind::Exclude;  ///< the operator's command
  std::string endpoint;       ///< the id of the endpoint
  bool isListed = false;      ///< whether the endpoint list names it now
  WallTime listedStart = {};  ///< when it started according to lists; 0 if unknown
  WallTime now = {};          ///< this process's wall-clock time, which may be wrong
};

/// The outcome of a change.
enum class Outcome : std::uint8_t {
  Changed,          ///< the set has changed
  Unchanged,        ///< the endpoint was in the requested state already
  UnknownEndpoint,  ///< the endpoint is neither listed nor excluded
  Full,             ///< kMaxEntries endpoints are excluded, or the id is longer than kMaxIdLength
};

/// The endpoints that operators have excluded manually, and those that they have included again. The caller
/// applies the set to each endpoint list: excluded endpoints are reported to the decision module as draining,
/// and it handles them like any other drain. No I/O and no clock.
///
/// Invariant: an endpoint is excluded by its id alone, from an exclude to the next include, regardless of the
/// contents of lists and of the number of excludes. After an include it counts as started at that time, since
/// operators restart endpoints while they are excluded, and lists may not state the new start yet. Times are
/// those of the wall clock of the process that received the call. Entries do not expire: a process applies
/// its set until an operator's call or a newer stored set replaces it.
class ExclusionSet {
 public:
  /// Maximum number of excluded ids, and of remembered included ids. Further exclusions are rejected. A
  /// further inclusion evicts the included id with the earliest time, whose endpoint has had the longest time
  /// to warm up.
  static constexpr std::size_t kMaxEntries = 1024;
  /// Maximum length of an id, in bytes.
  static constexpr std::size_t kMaxIdLength = 256;
  /// The latest time that is stored. It is far in the future, and a double still holds it exactly in
  /// microseconds.
  static constexpr WallTime kMaxTime{std::chrono::milliseconds((std::int64_t{1} << 53) / 1000)};

  /// Applies a change; the set stays as it is unless the outcome is Outcome::Changed. An included endpoint
  /// counts as started at `change.now`, or just after `change.listedStart` if that is later, since the clock
  /// may be behind.
  [[nodiscard]] Outcome apply(const Change& change);

  /// Whether the endpoint with this id is excluded; false for unknown ids.
  [[nodiscard]] bool isExcluded(const std::string& endpoint) const { return excluded_.contains(endpoint); }
  /// Whether the set has no entries, so that it changes no list.
  [[nodiscard]] bool isEmpty() const { return excluded_.empty() && included_.empty(); }
  /// The time at which the endpoint counts as started if the list states `listedStart`; never earlier than
  /// that.
  [[nodiscard]] WallTime effectiveStart(const std::string& endpoint, WallTime listedStart) const;
  /// The ids whose state or start differs in `other`, sorted and without duplicates.
  [[nodiscard]] std::vector<std::string> differingEndpoints(const ExclusionSet& other) const;

  bool operator==(const ExclusionSet&) const = default;

  /// Returns one line of JSON with a line end: {"back":{ID:MILLISECONDS},"out":[ID],"version":1}.
  [[nodiscard]] std::string serialize() const;
  /// Reads the output of serialize(). Times out of range are clamped. Errors: those of Error from NotJson to
  /// InvalidTime.
  static Result<ExclusionSet> parse(std::string_view text);

 private:
  Outcome exclude(const std::string& endpoint);
  Outcome include(const std::string& endpoint, WallTime start);

  std::set<std::string> excluded_;
  std::map<std::string, WallTime> included_;  // by id, the time of the inclusion
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_EXCLUSION_SET_H_
