// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_SETTINGS_H_
#define IVYPOST_GOSSIP_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gossip/message.h"

namespace ivypost::gossip {

// The numbers are default values.
// NOLINTBEGIN(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
/// The configuration of Members. Times are microseconds of this process's monotonic clock.
struct Settings {
  PeerId self = 0;                ///< this sidecar's id
  Address address;                ///< this sidecar's address for the others
  std::uint64_t incarnation = 1;  ///< must be higher than in earlier runs; Unix time in ms is
  std::vector<Address> seeds;     ///< addresses to join at; this sidecar's address is allowed
  /// SWIM's protocol period: one member is probed per period. Lifeguard stretches it while the process is
  /// slow. At least one millisecond.
  Micros period = 250'000;
  /// The time-out of a direct probe, after which indirect probes begin; less than the period.
  Micros timeout = 80'000;
  std::uint32_t relayCount = 3;      ///< relays asked for an indirect probe (SWIM's k)
  Micros isolatedAfter = 2'000'000;  ///< time without an answered ping, or without quorum, until isolated
  double quorumFraction = 0.5;       ///< fraction of the expected sidecars that is a quorum; 0 to 1
  /// The number of sidecars in the fleet according to the platform; it may be wrong by a factor of
  /// kExpectedTolerance.
  std::uint32_t expected = 1;
  Micros deadRetention = 60'000'000;  ///< time for which dead members are kept, and pinged occasionally
  /// The region of this sidecar, 1 to kMaxRegion; 0: not set. With a region the quorum counts the sidecars of
  /// that region only.
  std::uint8_t region = 0;
  std::uint32_t regionExpected = 0;  ///< expected number of sidecars in the region
  /// The maximum of bytes sent in any second, including kDatagramOverhead for each datagram.
  std::uint32_t bytesPerSecond = 6000;
  /// Whether this sidecar takes part in anti-entropy. If not, it behaves like sidecars that predate it.
  bool antiEntropy = true;
};
// NOLINTEND(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)

/// The size of the IPv4 header without options and the UDP header (RFC 791, RFC 768), in bytes.
constexpr std::size_t kDatagramOverhead = 28;

/// The maximum number of members in a table, without this sidecar; further ones are not added.
constexpr std::size_t kMaxMembers = 4096;
/// The expected number of sidecars is divided by this before the quorum is computed from it, so that a wrong
/// expected number isolates no sidecar.
constexpr std::uint32_t kExpectedTolerance = 4;
/// The maximum of Lifeguard's local health multiplier (LHM, section 3.1, S = 8); the minimum is 0.
constexpr int kMaxLocalHealth = 8;
/// The shortest suspicion lasts kSuspicionFactor x log10(members) periods (Lifeguard, section 3.2, alpha).
constexpr double kSuspicionFactor = 5;
/// The longest suspicion as a multiple of the shortest (Lifeguard, section 3.2, beta).
constexpr double kMaxSuspicionFactor = 6;
/// The number of confirming witnesses that reduces a suspicion to the shortest (Lifeguard, section 3.2, K).
constexpr std::uint32_t kConfirmations = 3;
/// Each change of a member is sent kTransmissionFactor x log2(members + 1) times (SWIM, section 4.1, lambda).
constexpr double kTransmissionFactor = 3;
/// The number of members that an announcement is sent to; a receiver to which the payload is new announces it
/// in turn.
constexpr std::uint32_t kAnnouncementFanOut = 3;
/// The maximum number of announcements per second.
constexpr double kAnnouncementsPerSecond = 8;
/// The duration of suspicions grows with the logarithm of the fleet size, up to a size of 10 to this power.
/// In larger fleets refutations still arrive in time, because rumours are sent every kGossipInterval instead
/// of every period.
constexpr double kMaxFleetSizeLog10 = 2;
/// The expected number of sidecars that, on learning of a suspicion, probe the suspect out of turn, so that
/// the time to further witnesses or a refutation does not grow with the fleet.
constexpr double kExpectedSuspectProbers = 6;
/// The interval between rounds of rumours and pulls, while there are any to send; microseconds.
constexpr Micros kGossipInterval = 100'000;
/// The number of members that rumours are sent to in one round.
constexpr std::uint32_t kGossipFanOut = 2;
/// All but one of a round's rumours go to members heard from within this time, in microseconds: in a
/// partition, rumours to members on the other side would be lost.
constexpr Micros kRecentContact = 1'500'000;
/// The maximum number of pages that answer one pull.
constexpr std::uint32_t kPagesPerPull = 4;
/// The maximum number of received pulls that wait for an answer; further ones are dropped, and their senders
/// retry.
constexpr std::size_t kMaxPendingAnswers = 8;
/// The maximum number of this sidecar's pulls whose answers are incomplete.
constexpr std::size_t kMaxOutstandingPulls = 3;
/// The time-out of a pull, in microseconds, at both its sender and its receiver.
constexpr Micros kPullTimeout = 500'000;
/// The refill rate of the byte budget per second, as a fraction of Settings::bytesPerSecond. The sum of this,
/// kDepthFraction and kDebtFraction is 1, so that at most bytesPerSecond are sent in any second.
constexpr double kRateFraction = 0.85;
/// The depth of the byte budget, as a fraction of Settings::bytesPerSecond.
constexpr double kDepthFraction = 0.1;
/// The debt of the byte budget that required messages may use, as a fraction of Settings::bytesPerSecond.
constexpr double kDebtFraction = 0.05;
/// The share of Settings::bytesPerSecond that pulls may use, so that some is left for answers.
constexpr double kPullFraction = 0.25;
/// The share of Settings::bytesPerSecond that rumours may use, so that some is left for answers.
constexpr double kGossipFraction = 0.4;
/// The interval from a productive pull to the next, in microseconds; after each unproductive pull the
/// interval doubles, up to kMaxPullInterval.
constexpr Micros kPullInterval = 100'000;
/// The longest interval between pulls while tables differ, in microseconds.
constexpr Micros kMaxPullInterval = 1'000'000;
/// A sidecar that has just started is joining: it pulls the table and sends no probes yet. Otherwise, when a
/// fleet starts at once, all sidecars would probe the few members that they know, mainly the seeds. Joining
/// ends when the sidecar reaches this fraction of the members that others report.
constexpr double kJoinedFraction = 0.8;
/// The minimum duration of joining, in microseconds.
constexpr Micros kMinJoiningTime = 1'000'000;
/// The maximum duration of joining, in microseconds.
constexpr Micros kMaxJoiningTime = 8'000'000;
/// The maximum number of members recorded as having a differing table; beyond it the oldest record is
/// dropped.
constexpr std::size_t kMaxDifferingTables = 8;
/// How long a record of a differing table is kept, in microseconds.
constexpr Micros kDifferingTableLifetime = 2'000'000;
/// The maximum number of addresses kept of dead members that were forgotten. They are pinged occasionally, so
/// that the sides of a long partition find each other again. Beyond this number a random address is dropped.
constexpr std::size_t kMaxForgottenAddresses = 32;
/// A gap between two ticks of more than this many periods counts as a pause of this process.
constexpr double kMinPausePeriods = 4;

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_SETTINGS_H_
