// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_GOSSIP_MEMBERS_H_
#define IVYPOST_GOSSIP_MEMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "gossip/bloom_filter.h"
#include "gossip/byte_budget.h"
#include "gossip/message.h"
#include "gossip/replay_window.h"
#include "gossip/settings.h"

namespace ivypost::gossip {

/// A message that has to be written to an address.
struct Outgoing {
  Address to;       ///< the receiver's
  Message message;  ///< without payload and seal
};

/// A member's state has changed, for the log.
struct Change {
  PeerId id = 0;               ///< the member's
  Address address;             ///< where it was reached last
  State state = State::Alive;  ///< what it is believed to be now
};

/// Which other sidecars there are: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey
/// 2017), and anti-entropy (Demers et al. 1987). Free of I/O; the time is a parameter, random numbers come
/// from a seed, and the same calls give the same messages.
///
/// Rumours make a change known fast and may miss somebody; anti-entropy is what makes all agree: each ping
/// and ack carries digests of the sender's table, and who sees another's differ from its own pulls what it
/// lacks. docs/design/fleet-size.md has what was weighed.
///
/// Invariant: nobody is taken for reachable on another's word alone beyond the time that a suspicion takes;
/// nobody is dead but by an incarnation that it can outbid; what one believes of another only ever rises in
/// (incarnation, state), whichever way it came; the table, the bytes of a message and the bytes sent in any
/// second are bounded, whatever is sent to it.
/// Clock: the own monotonic one, in microseconds. No time that another sends is compared with it.
/// Who hears nothing: isIsolated() holds by the own clock after Settings::isolatedAfter at the latest, also
/// right after a pause of the process, before the first message is read: it is computed from the time, not
/// from an event.
class Members {
 public:
  /// A sidecar that has just started and knows its seeds alone. Out-of-range times of `settings` are clamped.
  Members(Settings settings, std::uint64_t seed, Micros now);

  /// Does what is due, and appends what has to be sent. To be called at nextTick() or a little later.
  void tick(Micros now, std::vector<Outgoing>& out);
  /// When tick() has to be called next; it changes with each call of tick() and receive().
  [[nodiscard]] Micros nextTick() const;
  /// This sidecar ends: the others need not find out. Nothing is sent after it.
  void leave(Micros now, std::vector<Outgoing>& out);
  /// So many bytes of payload were put into what it gave out; they count for bytesPerSecond too.
  void charge(std::size_t bytes, Micros now);
  /// There is a new payload that others should not wait a period for: kFanOut of them are asked to ping, as
  /// far as kAnnouncementsPerSecond allows.
  void announce(Micros now, std::vector<Outgoing>& out);
  /// Takes in a message whose seal was right, and appends the answers. False if it is dropped: its own, a
  /// replay, or there is no room for its sender.
  bool receive(const Message& message, Micros now, std::vector<Outgoing>& out);

  /// How long ago the ping was written that this ack answers; none: it answers none of ours. To be called
  /// ahead of receive(): what the ack carries is not younger than reported by more than this.
  [[nodiscard]] std::optional<Micros> elapsedSincePing(const Message& ack, Micros now) const;

  /// Whether this sidecar must not go by what it knows: no ping was answered within isolatedAfter, or there
  /// was no quorum for as long, or another process has this one's name. True also while it knows nobody.
  [[nodiscard]] bool isIsolated(Micros now) const;
  /// Whether another process under this one's name was seen within isolatedAfter.
  [[nodiscard]] bool hasNameConflict(Micros now) const {
    return nameConflictAt_ && now - *nameConflictAt_ <= settings_.isolatedAfter;
  }
  /// Members that are not believed dead, this one among them.
  [[nodiscard]] std::size_t reachableCount() const { return aliveCount_ + 1; }
  /// The reachable against all that are known or should be there, from 0 to 1; with a region, of that region.
  [[nodiscard]] double reachableFraction() const;
  /// Whether somebody was not added since kMaxMembers are known.
  [[nodiscard]] bool isFull() const { return isFull_; }
  /// Whether this member is known and not believed dead; true for this one itself.
  [[nodiscard]] bool isReachable(PeerId id) const;
  /// Which reachable member this key is the duty of (rendezvous hashing, Thaler and Ravishankar 1998): the
  /// same for all who reach the same ones, and another one once it is dead.
  [[nodiscard]] PeerId ownerOf(std::uint64_t key) const;
  /// Probes that are queued; kMaxMembers at the most.
  [[nodiscard]] std::size_t probeQueueSize() const { return probeOrder_.size(); }
  /// Members that are known but this one and those that have left; the dead count until they are forgotten.
  [[nodiscard]] std::size_t knownCount() const;
  /// Lifeguard's local health multiplier: 0 for a healthy process, kMaxLocalHealth at the most.
  [[nodiscard]] int localHealth() const { return localHealth_; }
  /// As given, but for the incarnation, which rises with each refutation.
  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// The own incarnation, as the others are told.
  [[nodiscard]] std::uint64_t incarnation() const { return settings_.incarnation; }
  /// What is believed of each member but this one, in the order of their ids.
  [[nodiscard]] std::vector<Update> updates() const;
  /// The changes since the last call; beyond a bound they are left out.
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Update update;
    Micros stateSince = 0;
    Micros deadline = 0;                  // of a suspicion
    std::vector<PeerId> witnesses;        // of it, independent; kConfirmations at the most beside the first
    std::uint32_t transmissionsLeft = 0;  // of its state to others
    ReplayWindow window;
    std::uint64_t windowIncarnation = 0;  // the incarnation that the window is of; 0: it has not spoken
    Micros lastMessageAt = 0;             // of its own
    Micros correctedAt = 0;               // answered last that it speaks with an earlier incarnation
    [[nodiscard]] bool hasLeft() const { return update.state == State::Dead && update.witness == update.id; }
  };
  struct Probe {
    PeerId target = 0;
    Address address;
    std::uint32_t nonce = 0;
    Micros at = 0;
    Micros relayAt = 0;
    bool relayed = false;
    bool acked = false;
    bool suspected = false;             // by others, when it began
    std::vector<std::uint32_t> relays;  // nonces of those asked to probe
    std::uint32_t nacks = 0;            // of them that have answered that they are there
  };
  // Another's ping that this one was asked to pass on.
  struct Relayed {
    std::uint32_t nonce = 0;
    std::uint32_t theirs = 0;
    Address to;
    Micros until = 0;
    Micros nackAt = 0;
    bool nacked = false;
  };
  struct SentPing {
    std::uint32_t nonce = 0;
    Micros at = 0;
  };
  // A pull of this one's that is not answered completely yet.
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
    std::vector<PeerId> missing;  // in the order in which they are sent
    std::size_t sent = 0;
    bool isTruncated = false;
  };
  struct DifferingTable {
    PeerId id = 0;
    std::uint8_t ranges = 0;  // a bit each
    Micros at = 0;
  };
  // Where somebody might be; id 0: not known who.
  struct Candidate {
    Address address;
    PeerId id = 0;
  };
  // What can be left out, and what the protocol can't do without.
  enum class Need : std::uint8_t { Optional, Required };

  // ---- members.cpp ----
  void beginPeriod(Micros now, std::vector<Outgoing>& out);
  void dispatch(const Message& message, Micros now, std::vector<Outgoing>& out);
  void answerPing(const Message& message, Micros now, std::vector<Outgoing>& out);
  bool acceptSequence(Member& member, const Message& message, Micros now, std::vector<Outgoing>& out);
  Message make(Kind kind, std::uint32_t nonce);
  bool send(const Address& to, Message message, Need need, Micros now, std::vector<Outgoing>& out);
  // The nonce; none: there were no bytes for it.
  std::optional<std::uint32_t> ping(const Address& to, PeerId about, Need need, Micros now,
                                    std::vector<Outgoing>& out);
  std::vector<const Member*> pickAlive(std::uint32_t most, PeerId butNot, Micros heardNoEarlierThan = 0);
  static bool takeToken(double& credit, Micros& at, double perSecond, Micros now);
  // From 0 to below 1: the upper 53 bits, as many as a double holds.
  double uniform() {
    constexpr int kDroppedBits = 11;
    constexpr double kStep = 0x1p-53;
    return static_cast<double>(random_() >> kDroppedBits) * kStep;
  }
  bool isHeads() {
    constexpr double kHalf = 0.5;
    return uniform() < kHalf;
  }
  void updateQuorum(Micros now);
  // ---- member_table.cpp; those that are bool: whether it changed what is believed ----
  bool apply(const Update& update, Micros now);
  bool applyToSelf(const Update& update, Micros now);
  bool addMember(const Update& update, Micros now);
  bool applyToMember(Member& member, const Update& update, Micros now);
  void refute(std::uint64_t incarnation);
  void changeState(Member& member, State state, Micros now);
  void sweepMembers(Micros now);
  void enqueueProbe(PeerId id, std::size_t at);
  // ---- failure_detector.cpp ----
  void resumeAfterPause(Micros now);
  void receiveAnswer(const Message& message, Micros now, std::vector<Outgoing>& out);
  void beginRelay(const Message& message, Micros now, std::vector<Outgoing>& out);
  void answerRelay(Relayed& relayed, Kind kind, Micros now, std::vector<Outgoing>& out);
  void sweepRelays(Micros now, std::vector<Outgoing>& out);
  void beginProbe(Micros now, std::vector<Outgoing>& out);
  const Member* nextProbeTarget();
  void shuffleProbeOrder();
  void relayProbe(Micros now, std::vector<Outgoing>& out);
  void endProbe(Micros now);
  void pingOwnRegion(Micros now, std::vector<Outgoing>& out);
  void reconnect(Micros now, std::vector<Outgoing>& out);
  std::vector<Candidate> reconnectCandidates();
  [[nodiscard]] Micros period() const;
  [[nodiscard]] Micros timeout() const;
  void adjustLocalHealth(int by);
  bool suspect(Member& member, PeerId witness, Micros now);
  [[nodiscard]] Micros suspicionTimeout(std::size_t confirmations) const;
  // ---- dissemination.cpp ----
  void piggyback(Message& message, PeerId about, bool isNewcomer, Micros now);
  void addUpdates(Message& message, PeerId receiver);
  void addEntries(Message& message, PeerId receiver, std::size_t room);
  std::vector<Member*> pendingFor(PeerId receiver, Kind kind);
  void halveTransmissions();
  void sendRumours(Micros now, std::vector<Outgoing>& out);
  [[nodiscard]] std::uint32_t transmissionLimit() const;
  // ---- anti_entropy.cpp ----
  [[nodiscard]] Update ownUpdate() const;
  [[nodiscard]] bool usesAntiEntropy(PeerId id) const;
  Table table();
  void compareTables(const Message& message, Micros now);
  [[nodiscard]] bool hasAntiEntropyWork() const;
  [[nodiscard]] bool isJoining(Micros now) const;
  void runAntiEntropy(Micros now, std::vector<Outgoing>& out);
  void sendPull(Micros now, std::vector<Outgoing>& out);
  std::optional<DifferingTable> choosePullSource(Micros now);
  Range choosePullRange(std::uint8_t ranges);
  [[nodiscard]] BloomFilter filterOver(const Range& range, std::uint32_t salt) const;
  void beginPages(const Message& pull, Micros now, std::vector<Outgoing>& out);
  void sendPages(Micros now, std::vector<Outgoing>& out);
  // Where in `missing` the page ends.
  std::size_t fillPage(Message& page, const PendingAnswer& pending) const;
  void receivePage(const Message& page, Micros now, std::vector<Outgoing>& out);
  // How many changed what is believed. Who sends an earlier incarnation than is known here is corrected, as
  // far as one datagram holds.
  std::size_t mergeEntries(const Message& message, Micros now, std::vector<Outgoing>& out);
  [[nodiscard]] Update weighDeath(const Update& entry, PeerId sender, Micros now) const;

  Settings settings_;
  std::mt19937_64 random_;
  std::map<PeerId, Member> members_;  // but this one
  std::size_t aliveCount_ = 0;        // of them; the suspected count until they are dead
  std::vector<PeerId> probeOrder_;    // shuffled anew at its end (SWIM, section 4.3)
  std::size_t nextInProbeOrder_ = 0;
  std::optional<Probe> probe_;
  std::vector<Relayed> relayed_;
  std::vector<SentPing> sentPings_;  // lately
  std::uint64_t sequence_ = 0;
  std::uint32_t lastNonce_;
  int localHealth_ = 0;
  Micros lastTick_;
  Micros nextPeriod_;
  std::optional<Micros> lastAnsweredPingAt_;  // when the last ping that was answered was written
  std::optional<Micros> nameConflictAt_;
  std::optional<Micros> belowQuorumSince_;
  std::uint64_t periods_ = 0;
  // Token buckets of a second: announcements, and pings that answer them.
  double announcementCredit_ = kAnnouncementsPerSecond;
  double announcementAnswerCredit_ = kFanOut * kAnnouncementsPerSecond;
  Micros announcementAt_;
  Micros announcementAnswerAt_;
  PeerId lastFiller_ = 0;  // whose state went out last without being pending
  ByteBudget budget_;
  ByteBudget pullBudget_;
  ByteBudget gossipBudget_;
  Micros nextAntiEntropy_;
  Micros nextPull_;
  Micros pullGap_ = kPullGap;
  Micros startedAt_;                // or when somebody became known after nobody was
  std::uint16_t mostReported_ = 0;  // members that another has reported to reach
  bool hasPendingUpdates_ = false;  // somebody's transmissions may be left
  bool tableChanged_ = true;
  Table table_;
  std::vector<OutstandingPull> outstandingPulls_;
  std::vector<PendingAnswer> pendingAnswers_;
  std::vector<DifferingTable> differingTables_;
  std::vector<Address> forgottenAddresses_;
  bool isFull_ = false;
  std::vector<Change> changes_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_MEMBERS_H_
