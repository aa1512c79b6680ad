// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Who else is there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017). Free of
// I/O, clock and chance of its own: handle() is told everything, its random numbers come from a seed.
//
// Rumours make a change known fast and may miss somebody; anti-entropy (Demers et al. 1987) is what makes all
// agree: each ping and ack carries digests of the sender's table, and who sees another's differ from its own
// pulls what it lacks. anti_entropy.cpp has it; docs/design/fleet-size.md what was weighed.
//
// What holds always: nobody is taken for heard on another's word alone beyond the time that a suspicion
// takes; nobody is dead but by an incarnation that it can outbid; what one believes of another only ever
// rises in (incarnation, state), whichever way it came; the table, the bytes of a message and the bytes sent
// in any second are bounded, whatever is sent to it. By whose clock: its own monotonic one. No time that
// another tells is compared with it. Who hears nothing: is isIsolated() by its own clock after
// Settings::isolatedAfter at the latest, also right after a stop of the process, before the first message is
// read: it is computed from the time, not from an event.
#ifndef IVYPOST_GOSSIP_MEMBERS_H_
#define IVYPOST_GOSSIP_MEMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gossip/bloom_filter.h"
#include "gossip/byte_budget.h"
#include "gossip/message.h"
#include "gossip/replay_window.h"

namespace ivypost::gossip {

struct Settings {
  PeerId self = 0;
  Address address;                // where the others reach this sidecar
  std::uint64_t incarnation = 1;  // higher than in any earlier life; Unix time in ms does
  std::vector<Address> seeds;     // where others may be; its own address among them does no harm
  // SWIM's protocol period: one member is probed in each. Lifeguard stretches it for a slow process.
  Micros period = 250'000;
  Micros timeout = 80'000;   // a direct probe's answer, before others are asked to probe; under the period
  std::uint32_t relays = 3;  // others that are asked to (SWIM's k)
  Micros isolatedAfter = 2'000'000;  // nothing heard, or too few, for so long
  double quorumFraction = 0.5;       // fewer than this part of the known sidecars heard is too few
  // How many sidecars there should be, as the platform says; it may be wrong by kExpectedTolerance either
  // way.
  std::uint32_t expected = 1;
  Micros forget = 60'000'000;  // the dead are remembered, and now and then tried, for so long
  // The region that this sidecar is in, 1 to kMaxRegion; 0: not told. With a region, what is too few is
  // judged by the sidecars of the same region alone, and how many of them there should be is told besides.
  std::uint8_t region = 0;
  std::uint32_t regionExpected = 0;
  // Sent in any second at the most, with kDatagramOverhead a datagram.
  std::uint32_t bytesPerSecond = 6000;
  // Compares its table with others' and fetches what differs; off: speaks and understands as before that.
  bool antiEntropy = true;
};

// Of IPv4 without options and UDP (RFC 791, RFC 768).
constexpr std::size_t kDatagramOverhead = 28;

constexpr std::size_t kMaxMembers = 4096;
constexpr std::uint32_t kExpectedTolerance = 4;
// Lifeguard's local health multiplier goes from 0 to this (LHM, section 3.1, S = 8).
constexpr int kMaxLocalHealth = 8;
// Suspicion lasts kSuspicionFactor x log10(members) periods at the least, kMaxSuspicionFactor times that at
// the most, and comes down to the least with kConfirmations independent witnesses (Lifeguard, 3.2: alpha 5,
// beta 6, K 3).
constexpr double kSuspicionFactor = 5, kMaxSuspicionFactor = 6;
constexpr std::uint32_t kConfirmations = 3;
// Each change is told so many times log2(members + 1) (SWIM, 4.1: lambda log n).
constexpr double kTransmissionFactor = 3;
// News go to so many at once, and those who learn of them pass them on; so often a second at the most.
constexpr std::uint32_t kFanOut = 3;
constexpr double kAnnouncementsPerSecond = 8;
// A suspicion's time grows with the members up to 10 to this power. Beyond, the refutation still comes in
// time: rumours go out each kGossipEvery, not each period.
constexpr double kMaxMagnitude = 2;
// Of those who hear of a suspicion so many probe the suspect out of turn, so that its witnesses or its
// refutation come in a time that does not grow with the fleet.
constexpr double kSuspectProbers = 6;
// While there is something to tell or to fetch: between two turns of it.
constexpr Micros kGossipEvery = 100'000;
constexpr std::uint32_t kGossipFanOut = 2;
// All but one of them go to who has spoken within this time: in a cut the others' half would be lost.
constexpr Micros kRecentContact = 1'500'000;
// Pages that answer one pull, pulls that wait to be answered, and for how long, and pulls that are out.
constexpr std::uint32_t kPagesPerPull = 4;
constexpr std::size_t kMaxPending = 8, kMaxPulls = 3;
constexpr Micros kPullTimeout = 500'000;
// Of Settings::bytesPerSecond: what comes back each second, what may be saved up, and what may be overdrawn
// by what the protocol can't do without. Their sum is what goes out in any second at the most.
constexpr double kRateFraction = 0.85, kDepthFraction = 0.1, kDebtFraction = 0.05;
// And what asking and telling may cost of it, so that there is room for answers.
constexpr double kPullFraction = 0.25, kGossipFraction = 0.4;
// After a pull that brought nothing new the next waits twice as long, from the first up to the second.
constexpr Micros kPullGap = 100'000, kMaxPullGap = 1'000'000;
// Who has started fetches the table first, and probes nobody meanwhile: while all start at once each would
// probe the few that it knows, the seeds above all. It ends with this part of what others know, and by
// kMaxJoining.
constexpr double kJoinedFraction = 0.8;
constexpr Micros kMinJoining = 1'000'000, kMaxJoining = 8'000'000;
// Others whose tables were seen to differ, and for how long that is believed.
constexpr std::size_t kMaxDiffering = 8;
constexpr Micros kDiffersFor = 2'000'000;
// Addresses of those that were forgotten while dead, to be tried now and then: after a long cut two sides
// find each other by them.
constexpr std::size_t kMaxForgottenAddresses = 32;
// A gap between two ticks of so many periods is a stop of this process, not of the others.
constexpr double kPausedPeriods = 4;

// To be written to this address.
struct Outgoing {
  Address to;
  Message message;
};

// Someone's state has changed, for the log.
struct Change {
  PeerId id = 0;
  Address address;
  State state = State::Alive;
};

class Members {
 public:
  Members(Settings settings, std::uint64_t seed, Micros now);

  // Call it at next() or a little later.
  void tick(Micros now, std::vector<Outgoing>& out);
  Micros nextTick() const;
  // This sidecar ends: the others need not find out. Nothing is sent after it.
  void leave(Micros now, std::vector<Outgoing>& out);
  // So many bytes of facts were put into what it gave out; they count for bytesPerSecond too.
  void charge(std::size_t bytes, Micros now);
  // There is news that others should not wait a period for: a few are told to ask, as far as
  // kAnnouncementsPerSecond allows.
  void announce(Micros now, std::vector<Outgoing>& out);
  // A message whose seal was right. False if it is dropped: its own, a replay, or there is no room for it.
  bool receive(const Message& message, Micros now, std::vector<Outgoing>& out);

  // The ping that this ack answers was written so long ago; none: it answers none of ours. Call it ahead of
  // receive(): all that the ack tells is at least not younger than told by this much.
  std::optional<Micros> elapsedSincePing(const Message& ack, Micros now) const;

  // ---- What is known, as of now ----
  // No answer to what was asked within isolatedAfter, or too few of those known for as long, or another
  // process under this one's name. A sidecar that knows of no other is deaf too.
  bool isIsolated(Micros now) const;
  // Another process goes by this one's name: seen within isolatedAfter.
  bool hasNameConflict(Micros now) const {
    return nameConflictAt_ && now - *nameConflictAt_ <= settings_.isolatedAfter;
  }
  // Members believed alive, this one among them.
  std::size_t reachableCount() const { return aliveCount_ + 1; }
  // Against all that are known or should be there, from 0 to 1; with a region, of that region.
  double reachableFraction() const;
  // Somebody was not taken in since kMaxMembers are known.
  bool isFull() const { return isFull_; }
  bool isReachable(PeerId id) const;
  // Of those heard, whose turn it is at this thing (rendezvous hashing, Thaler and Ravishankar 1998): the
  // same for all who hear the same ones, and handed on when that one is not heard any more.
  PeerId ownerOf(std::uint64_t thing) const;
  std::size_t probeQueueSize() const {
    return probeOrder_.size();
  }                                // probes that are queued; kMaxMembers at the most
  std::size_t knownCount() const;  // but this one and those that have left
  int localHealth() const { return localHealth_; }
  const Settings& settings() const { return settings_; }
  std::uint64_t incarnation() const { return settings_.incarnation; }
  std::vector<Update> updates() const;  // but this one, in the order of their ids
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Update update;
    Micros stateSince = 0;                // its state
    Micros deadline = 0;                  // of a suspicion
    std::vector<PeerId> witnesses;        // of it, independent; kConfirmations at the most beside the first
    std::uint32_t transmissionsLeft = 0;  // of its state that are still owed to others
    ReplayWindow window;
    std::uint64_t windowIncarnation = 0;  // the incarnation that the window is of
    Micros lastMessageAt = 0;             // a message of its own came last
    Micros correctedAt = 0;               // told last that it speaks with an incarnation of an earlier life
    bool hasLeft() const { return update.state == State::Dead && update.witness == update.id; }
  };
  struct Probe {
    PeerId target = 0;
    Address address;
    std::uint32_t nonce = 0;
    Micros at = 0, relayAt = 0;
    bool relayed = false, acked = false;
    bool suspected = false;             // by others, when it began
    std::vector<std::uint32_t> relays;  // nonces of those asked to probe
    std::uint32_t nacks = 0;            // of them that have said that they are there
  };
  // Somebody's ping that this one was asked to pass on.
  struct Relayed {
    std::uint32_t nonce = 0, theirs = 0;
    Address to;
    Micros until = 0, nackAt = 0;
    bool nacked = false;
  };
  struct SentPing {
    std::uint32_t nonce = 0;
    Micros at = 0;
  };

  // A pull of this one's that is not answered whole yet.
  struct OutstandingPull {
    std::uint32_t nonce = 0;
    PeerId from = 0;
    Micros at = 0;
    std::uint32_t pages = 0;
    std::size_t gained = 0;
  };
  // Another's pull that waits for bytes to be answered with.
  struct PendingAnswer {
    std::uint32_t nonce = 0;
    PeerId who = 0;
    Address to;
    Micros until = 0;
    std::vector<PeerId> missing;  // in the order in which they are told
    std::size_t sent = 0;
    bool isTruncated = false;
  };
  struct DifferingTable {
    PeerId id = 0;
    std::uint8_t ranges = 0;  // a bit each
    Micros at = 0;
  };
  // What can be left out, and what the protocol can't do without.
  enum class Need : std::uint8_t { Optional, Required };

  Message make(Kind kind, std::uint32_t nonce);
  bool send(const Address& to, Message message, Need need, Micros now, std::vector<Outgoing>& out);
  std::optional<std::uint32_t> ping(const Address& to, PeerId about, Need need, Micros now,
                                    std::vector<Outgoing>& out);
  // ---- anti_entropy.cpp ----
  Table table();
  Update ownUpdate() const;
  bool usesAntiEntropy(PeerId id) const;
  void addEntries(Message& message, PeerId receiver, std::size_t room);
  bool inRange(PeerId id, const Range& range) const;
  void compareTables(const Message& message, Micros now);
  bool hasAntiEntropyWork() const;
  bool isJoining(Micros now) const;
  void runAntiEntropy(Micros now, std::vector<Outgoing>& out);
  void sendRumours(Micros now, std::vector<Outgoing>& out);
  void sendPull(Micros now, std::vector<Outgoing>& out);
  void beginPages(const Message& pull, Micros now, std::vector<Outgoing>& out);
  void sendPages(Micros now, std::vector<Outgoing>& out);
  void receivePage(const Message& page, Micros now, std::vector<Outgoing>& out);
  std::size_t mergeEntries(const Message& message, Micros now, std::vector<Outgoing>& out);
  void halveTransmissions();
  void beginProbe(Micros now, std::vector<Outgoing>& out);
  void endProbe(Micros now);
  void pingOwnRegion(Micros now, std::vector<Outgoing>& out);
  void reconnect(Micros now, std::vector<Outgoing>& out);
  bool apply(Update update, Micros now);  // whether it was news
  void refute(std::uint64_t incarnation);
  void changeState(Member& member, State state, Micros now);
  bool suspect(Member& member, PeerId witness, Micros now);
  void piggyback(Message& message, PeerId about, bool isNewcomer, Micros now);
  Micros period() const;
  Micros timeout() const;
  Micros suspicionTimeout(std::size_t confirmations) const;
  std::uint32_t transmissionLimit() const;
  void adjustLocalHealth(int by);
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void updateQuorum(Micros now);
  static bool takeToken(double& credit, Micros& at, double perSecond, Micros now);
  std::vector<const Member*> pickAlive(std::uint32_t most, PeerId butNot, Micros heardNoEarlierThan = 0);
  void answerRelay(Relayed& relayed, Kind kind, Micros now, std::vector<Outgoing>& out);
  void receiveAnswer(const Message& message, Micros now, std::vector<Outgoing>& out);
  bool acceptSequence(Member& member, const Message& message, Micros now, std::vector<Outgoing>& out);

  Settings settings_;
  std::mt19937_64 random_;
  std::map<PeerId, Member> members_;  // but this one
  std::size_t aliveCount_ = 0;        // of them; the suspected count until they are dead
  std::vector<PeerId> probeOrder_;    // to be probed, in turn; shuffled anew at its end (SWIM, 4.3)
  std::size_t nextInProbeOrder_ = 0;
  std::optional<Probe> probe_;
  std::vector<Relayed> relayed_;
  std::vector<SentPing> sentPings_;  // pings written lately
  std::uint64_t sequence_ = 0;
  std::uint32_t lastNonce_;
  int localHealth_ = 0;
  Micros lastTick_, nextPeriod_;
  std::optional<Micros> lastAnsweredPingAt_;  // when the last ping that was answered was written
  std::optional<Micros> nameConflictAt_;      // another process under this one's name
  std::optional<Micros> belowQuorumSince_;    // too few are heard
  std::uint64_t periods_ = 0;
  double announcementCredit_ = kAnnouncementsPerSecond,
         announcementAnswerCredit_ = kFanOut * kAnnouncementsPerSecond;  // token buckets of a second
  Micros announcementAt_, announcementAnswerAt_;
  PeerId lastFiller_ = 0;  // whose state went out last without being news
  ByteBudget budget_, pullBudget_, gossipBudget_;
  Micros nextAntiEntropy_, nextPull_, pullGap_ = kPullGap;
  Micros startedAt_;                // or when somebody was heard of after nobody was
  std::uint16_t mostReported_ = 0;  // members that another has said it hears
  bool hasPendingUpdates_ = false;  // somebody's tellings may be owed
  mutable bool tableChanged_ = true;
  mutable Table table_;
  std::vector<OutstandingPull> outstandingPulls_;
  std::vector<PendingAnswer> pendingAnswers_;
  std::vector<DifferingTable> differingTables_;
  std::vector<Address> forgottenAddresses_;
  bool isFull_ = false;
  std::vector<Change> changes_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_MEMBERS_H_
