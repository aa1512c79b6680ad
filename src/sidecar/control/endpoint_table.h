// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// What is known of each endpoint, by its id in the decision module. No I/O and no clock.
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

/// What an endpoint id stands for.
struct EndpointRecord {
  std::string id;                  ///< as lists name the endpoint; empty: the number is free
  Endpoint address;                ///< of the last list that named it
  std::int64_t startedAtMs = 0;    ///< Unix time as the module hears of it, with the exclusions; 0: long ago
  Micros launchedAt = 0;           ///< the same by the monotonic clock; 0: long ago
  discovery::Instance asReceived;  ///< as the list has it, without the exclusions; only where they can change
  bool isListed = false;           ///< the list names it, and no later process has its address
  std::uint32_t uses = 0;          ///< attempts of requests that are not forgotten, and probes that are out
};

/// Gives endpoints the numbers by which the decision module knows them, and turns lists into its updates.
///
/// Invariant: a number is free again when no list names its endpoint and nothing of the sidecar refers to it,
/// so that ever new endpoints need no ever new numbers. Each address is that of one listed endpoint at the
/// most: the one that started last. All of it is this process's own view of the last list that it received;
/// without lists it stays as it is.
class EndpointTable {
 public:
  /// \param site the names that the settings give; must outlive this object.
  /// \param unixTime by the wall clock at `now`, in microseconds.
  /// \param now by the monotonic clock, in microseconds.
  /// \param keepsReceived whether received() will be asked for.
  EndpointTable(const settings::Site& site, Micros unixTime, Micros now, bool keepsReceived)
      : site_(site), startTimes_(unixTime, now), keepsReceived_(keepsReceived) {}

  /// Takes a list or a part of one. The records of the endpoints that it names are current when this returns.
  /// \param list with `Kind::Full` all that there are; else what has changed.
  /// \param kind how the module is to take it.
  /// \param exclusions endpoints that are out by hand, which the module hears of as draining.
  /// \param now by the monotonic clock, in microseconds.
  /// \return what the module has to hear, in the list's order. An endpoint that has lost its address to
  /// another
  ///     one is in it as gone.
  [[nodiscard]] balancer::MembershipUpdate apply(const discovery::EndpointList& list,
                                                 balancer::MembershipUpdate::Kind kind,
                                                 const exclusion::ExclusionSet& exclusions, Micros now);

  /// What the last lists said of these, as far as they are listed.
  /// \param ids as lists name them; unknown ones are left out.
  [[nodiscard]] std::vector<discovery::Instance> received(const std::vector<std::string>& ids) const;

  /// The endpoint of this name; none: the table has none. Valid until it is freed.
  [[nodiscard]] std::optional<EndpointId> find(const std::string& id) const;
  /// What is known of an endpoint; `upstream` must be below size().
  [[nodiscard]] const EndpointRecord& operator[](EndpointId upstream) const { return records_[upstream]; }
  /// Numbers in use and free ones.
  [[nodiscard]] std::size_t size() const { return records_.size(); }

  /// Something refers to the endpoint from now on, until dropUse().
  void addUse(EndpointId upstream) { ++records_[upstream].uses; }
  /// It no longer does. The number may be free after this.
  void dropUse(EndpointId upstream);
  /// The endpoints that no list names any more and whose numbers are not free yet.
  [[nodiscard]] std::vector<EndpointId> unlisted() const;
  /// Frees the number if no list names the endpoint and nothing refers to it.
  void freeIfUnused(EndpointId upstream);

 private:
  void applyInstance(const discovery::Instance& instance, const discovery::Instance& asReceived,
                     balancer::MembershipUpdate& update);
  EndpointId numberOf(const std::string& id);
  bool claimAddress(EndpointId upstream, balancer::MembershipUpdate& update);
  void releaseAddress(EndpointId upstream);

  const settings::Site& site_;
  StartTimeEstimator startTimes_;
  bool keepsReceived_;
  std::vector<EndpointRecord> records_;  // by number
  std::unordered_map<std::string, EndpointId> numbers_;
  std::vector<EndpointId> freeNumbers_;
  std::map<Endpoint, EndpointId> holders_;  // of each address, the endpoint that was listed there last
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_ENDPOINT_TABLE_H_
