// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Table of the endpoints, by the number that identifies each in the decision module. No I/O and no clock.
#ifndef IVYPOST_CONTROL_ENDPOINT_TABLE_H_
#define IVYPOST_CONTROL_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config.h"
#include "control/start_time_estimator.h"
#include "discovery/endpoint_list.h"
#include "exclusion/exclusion_set.h"
#include "ivypost/balancer.h"
#include "settings/site.h"

namespace ivypost {

/// The table's entry for one endpoint.
struct EndpointRecord {
  std::string id;                  ///< id in endpoint lists; empty: the number is free
  Endpoint address;                ///< from the last list that named the endpoint
  std::int64_t startedAtMs = 0;    ///< start in Unix time, after applying the exclusions; 0: long ago
  Micros launchedAt = 0;           ///< the same start in monotonic time; 0: long ago
  discovery::Instance asReceived;  ///< before applying the exclusions; only set if the table keeps it
  bool isListed = false;           ///< the list names it, and no process that started later has its address
  std::uint32_t uses = 0;          ///< attempts of requests that are not erased yet, and probes in flight
};

/// Assigns endpoints the numbers that identify them in the decision module, and converts endpoint lists into
/// membership updates for it.
///
/// Invariant: a number is reused once no list names its endpoint and no attempt or probe refers to it, so
/// that endpoint churn does not make the table grow. An address belongs to at most one listed endpoint: the
/// one that started last. The table reflects the last list that this process received and does not change
/// while no list arrives.
class EndpointTable {
 public:
  /// \param site maps the names of zones and kinds to numbers; must outlive this object.
  /// \param unixTime wall-clock time at `now`, in microseconds.
  /// \param now monotonic time in microseconds.
  /// \param keepsReceived whether received() will be used.
  EndpointTable(const settings::Site& site, Micros unixTime, Micros now, bool keepsReceived)
      : site_(site), startTimes_(unixTime, now), keepsReceived_(keepsReceived) {}

  /// Applies a complete list or a list of changes to the records.
  /// \param list with `Kind::Full`, all endpoints; otherwise those that have changed.
  /// \param kind whether the list is complete; also the kind of the update.
  /// \param exclusions endpoints that operators have excluded, which the update reports as draining.
  /// \param now monotonic time in microseconds.
  /// \return the update for the decision module, in the list's order. It also reports as gone each endpoint
  ///     whose address a process that started later has taken over.
  [[nodiscard]] balancer::MembershipUpdate apply(const discovery::EndpointList& list,
                                                 balancer::MembershipUpdate::Kind kind,
                                                 const exclusion::ExclusionSet& exclusions, Micros now);

  /// The listed endpoints among `ids` as the last lists described them, without the exclusions.
  /// \param ids ids in endpoint lists; unknown and unlisted ones are skipped.
  [[nodiscard]] std::vector<discovery::Instance> received(const std::vector<std::string>& ids) const;

  /// The number of the endpoint with this id; empty if the table has none. Valid until the number is freed.
  [[nodiscard]] std::optional<EndpointId> find(const std::string& id) const;
  /// The record of an endpoint; `upstream` must be below size().
  [[nodiscard]] const EndpointRecord& operator[](EndpointId upstream) const { return records_[upstream]; }
  /// The count of numbers, both in use and free.
  [[nodiscard]] std::size_t size() const { return records_.size(); }

  /// Adds a reference to the endpoint, to be removed by dropUse(). The endpoint's number is not freed before
  /// that.
  void addUse(EndpointId upstream) { ++records_[upstream].uses; }
  /// Removes a reference. Frees the number if it was the last one and no list names the endpoint.
  void dropUse(EndpointId upstream);
  /// The endpoints that are no longer listed and whose numbers are not free yet.
  [[nodiscard]] std::vector<EndpointId> unlisted() const;
  /// Frees the number if the endpoint is not listed and has no references.
  void freeIfUnused(EndpointId upstream);

 private:
  void applyInstance(const discovery::Instance& instance, const discovery::Instance& asReceived,
                     balancer::MembershipUpdate& update);
  EndpointId findOrAddNumber(const std::string& id);
  bool claimAddress(EndpointId upstream, balancer::MembershipUpdate& update);
  void releaseAddress(EndpointId upstream);

  const settings::Site& site_;
  StartTimeEstimator startTimes_;
  bool keepsReceived_;
  std::vector<EndpointRecord> records_;  // by number
  std::unordered_map<std::string, EndpointId> numbers_;
  std::vector<EndpointId> freeNumbers_;
  std::map<Endpoint, EndpointId> holders_;  // by address, the endpoint that was last listed there
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_ENDPOINT_TABLE_H_
