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

/// Wall-clock time as endpoint lists and the file have it: Unix time in whole milliseconds; 0: long ago.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// What an operator asks for, and what is known of the endpoint at that moment.
struct Change {
  /// Whether the endpoint is taken out of service or put back.
  enum class Kind : std::uint8_t {
    Exclude,  ///< out until the next Include, across restarts of sidecar and endpoint
    Include,  ///< back in service, counted as started at this moment, so that it is warmed up
  };
  Kind kind = Kind::Exclude;  ///< set by the operator's command
  std::string endpoint;       ///< its id
  bool isListed = false;      ///< whether an endpoint list names it now
  WallTime listedStart = {};  ///< when it started, as far as is known
  WallTime now = {};          ///< by this process's wall clock, which may be wrong
};

/// What became of a change.
enum class Outcome : std::uint8_t {
  Changed,
  Unchanged,        ///< it was so already
  UnknownEndpoint,  ///< no list names it, nor is it excluded
  Full,             ///< kMaxEntries are excluded, or the id is longer than kMaxIdLength
};

/// The endpoints that operators have excluded by hand, and those they have included again. The caller
/// overlays it on each endpoint list, so that the decision module is told of a drain and decides as for any
/// other. No I/O and no clock.
///
/// Invariant: an endpoint is excluded by its id alone, whatever lists say of it and whether they name it,
/// from an exclude to the next include, however often it was excluded. From then on it counts as started at
/// the include, since operators restart it meanwhile and lists may not tell that yet. Times are by the wall
/// clock of the process that was asked. A process that is told of no change goes on with the set that it has.
class ExclusionSet {
 public:
  /// Of the excluded ids, and of the included ids that are remembered. The former are rejected beyond it; of
  /// the latter the one that was included first is forgotten, as it has had the longest time to warm up.
  static constexpr std::size_t kMaxEntries = 1024;
  /// In bytes.
  static constexpr std::size_t kMaxIdLength = 256;
  /// The latest time that is kept. Far beyond all clocks, and in microseconds still an exact double.
  static constexpr WallTime kMaxTime{std::chrono::milliseconds((std::int64_t{1} << 53) / 1000)};

  /// Leaves the set as it is unless the outcome is Outcome::Changed. An included endpoint counts as started
  /// at `change.now`, but later than at `change.listedStart`: the clock may be behind.
  [[nodiscard]] Outcome apply(const Change& change);

  /// Whether the endpoint of this id is excluded now; false for ids that the set has never met.
  [[nodiscard]] bool isExcluded(const std::string& endpoint) const { return excluded_.contains(endpoint); }
  /// Whether it changes nothing of any list.
  [[nodiscard]] bool isEmpty() const { return excluded_.empty() && included_.empty(); }
  /// When the endpoint counts as started, where the list says `listedStart`: never earlier than that.
  [[nodiscard]] WallTime effectiveStart(const std::string& endpoint, WallTime listedStart) const;
  /// The ids whose state or start differ under `other`, in order, each once.
  [[nodiscard]] std::vector<std::string> differingEndpoints(const ExclusionSet& other) const;

  bool operator==(const ExclusionSet&) const = default;

  /// One line of JSON, ended by a line end: {"back":{ID:MILLISECONDS},"out":[ID],"version":1}.
  [[nodiscard]] std::string serialize() const;
  /// Reads what serialize() writes. Times out of range are taken as the nearest in range. Errors: NotJson to
  /// InvalidTime, of Error.
  static Result<ExclusionSet> parse(std::string_view text);

 private:
  Outcome exclude(const std::string& endpoint);
  Outcome include(const std::string& endpoint, WallTime start);

  std::set<std::string> excluded_;
  std::map<std::string, WallTime> included_;  // when each was included
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_EXCLUSION_SET_H_
