// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_SETTINGS_H_
#define IVYPOST_GOSSIP_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gossip/message.h"

namespace ivypost::gossip {

// The numbers are the table of defaults.
// NOLINTBEGIN(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
/// What a sidecar's membership goes by. Times are microseconds of the own monotonic clock.
struct Settings {
  PeerId self = 0;                ///< this sidecar's id
  Address address;                ///< where the others reach this sidecar
  std::uint64_t incarnation = 1;  ///< higher than in any earlier life; Unix time in ms does
  std::vector<Address> seeds;     ///< where others may be; its own address among them does no harm
  /// SWIM's protocol period: one member is probed in each. Lifeguard stretches it for a slow process. At
  /// least a millisecond.
  Micros period = 250'000;
  /// A direct probe has to be answered within it, before others are asked to probe; under the period.
  Micros timeout = 80'000;
  std::uint32_t relays = 3;          ///< others that are asked to probe (SWIM's k)
  Micros isolatedAfter = 2'000'000;  ///< nobody reachable, or no quorum, for so long
  double quorumFraction = 0.5;       ///< fewer than this fraction of the expected are no quorum; 0 to 1
  /// How many sidecars there should be, as the platform says; it may be wrong by kExpectedTolerance either
  /// way.
  std::uint32_t expected = 1;
  Micros forget = 60'000'000;  ///< the dead are remembered, and now and then tried, for so long
  /// The region that this sidecar is in, 1 to kMaxRegion; 0: not set. With a region the quorum is of the
  /// sidecars of the same region alone.
  std::uint8_t region = 0;
  std::uint32_t regionExpected = 0;  ///< how many sidecars should be in the region
  /// Sent in any second at the most, with kDatagramOverhead a datagram.
  std::uint32_t bytesPerSecond = 6000;
  /// Compares its table with others' and fetches what differs; off: sends and understands as before that.
  bool antiEntropy = true;
};
// NOLINTEND(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)

/// Of IPv4 without options and UDP (RFC 791, RFC 768), in bytes.
constexpr std::size_t kDatagramOverhead = 28;

/// Members that a table holds beside the own one; those beyond are not added.
constexpr std::size_t kMaxMembers = 4096;
/// The quorum is of what should be there divided by this, so that a wrong number isolates nobody.
constexpr std::uint32_t kExpectedTolerance = 4;
/// Lifeguard's local health multiplier goes from 0 to this (LHM, section 3.1, S = 8).
constexpr int kMaxLocalHealth = 8;
/// A suspicion lasts this times log10(members) periods at the least (Lifeguard, section 3.2, alpha).
constexpr double kSuspicionFactor = 5;
/// The longest suspicion in shortest ones (Lifeguard, section 3.2, beta).
constexpr double kMaxSuspicionFactor = 6;
/// A suspicion comes down to the shortest with so many independent witnesses (Lifeguard, section 3.2, K).
constexpr std::uint32_t kConfirmations = 3;
/// Each change is sent so many times log2(members + 1) (SWIM, section 4.1, lambda).
constexpr double kTransmissionFactor = 3;
/// An announcement goes to so many at once, and those who learn something pass it on.
constexpr std::uint32_t kFanOut = 3;
/// Announcements that are sent in a second at the most.
constexpr double kAnnouncementsPerSecond = 8;
/// A suspicion's time grows with the members up to 10 to this power. Beyond, the refutation still comes in
/// time: rumours go out each kGossipEvery, not each period.
constexpr double kMaxMagnitude = 2;
/// Of those who learn of a suspicion so many probe the suspect out of turn, so that its witnesses or its
/// refutation come in a time that does not grow with the fleet.
constexpr double kSuspectProbers = 6;
/// Between two turns of rumours and pulls, while there is something to send or to fetch; microseconds.
constexpr Micros kGossipEvery = 100'000;
/// Rumours of one turn.
constexpr std::uint32_t kGossipFanOut = 2;
/// All rumours of a turn but one go to who has spoken within this time, in microseconds: in a partition the
/// others' half would be lost.
constexpr Micros kRecentContact = 1'500'000;
/// Pages that answer one pull at the most.
constexpr std::uint32_t kPagesPerPull = 4;
/// Pulls of others that wait to be answered; those beyond are dropped, and asked again by who needs them.
constexpr std::size_t kMaxPending = 8;
/// Own pulls that are not answered completely yet.
constexpr std::size_t kMaxPulls = 3;
/// A pull is answered within this time, in microseconds, or not at all.
constexpr Micros kPullTimeout = 500'000;
/// Of Settings::bytesPerSecond: what comes back each second. With kDepthFraction and kDebtFraction it adds up
/// to 1, which is what goes out in any second at the most.
constexpr double kRateFraction = 0.85;
/// Of Settings::bytesPerSecond: what may be saved up.
constexpr double kDepthFraction = 0.1;
/// Of Settings::bytesPerSecond: what may be overdrawn by what the protocol can't do without.
constexpr double kDebtFraction = 0.05;
/// Of Settings::bytesPerSecond: what pulls may cost, so that there is room for answers.
constexpr double kPullFraction = 0.25;
/// Of Settings::bytesPerSecond: what rumours may cost, likewise.
constexpr double kGossipFraction = 0.4;
/// Between a pull that brought something and the next, in microseconds; after one that brought nothing the
/// next waits twice as long as before, up to kMaxPullGap.
constexpr Micros kPullGap = 100'000;
/// The longest time between two pulls while tables differ, in microseconds.
constexpr Micros kMaxPullGap = 1'000'000;
/// Who has started fetches the table first, and probes nobody meanwhile: while all start at once each would
/// probe the few that it knows, the seeds above all. It ends with this fraction of what others know.
constexpr double kJoinedFraction = 0.8;
/// Who has started fetches the table first for so long at the least, in microseconds.
constexpr Micros kMinJoining = 1'000'000;
/// Who has started fetches the table first for so long at the most, in microseconds.
constexpr Micros kMaxJoining = 8'000'000;
/// Others whose tables were seen to differ; the oldest is left out beyond it.
constexpr std::size_t kMaxDiffering = 8;
/// That a table was seen to differ is believed for so long, in microseconds.
constexpr Micros kDiffersFor = 2'000'000;
/// Addresses of those that were forgotten while dead, to be tried now and then: after a long partition two
/// sides find each other by them. A random one is left out beyond it.
constexpr std::size_t kMaxForgottenAddresses = 32;
/// A gap between two ticks of so many periods is a pause of this process, not of the others.
constexpr double kPausedPeriods = 4;

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_SETTINGS_H_
