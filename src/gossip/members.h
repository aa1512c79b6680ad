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

/// A message to be sent.
struct Outgoing {
  Address to;       ///< the receiver's address
  Message message;  ///< without payload and seal
};

/// A change of a member's state, for the log.
struct Change {
  PeerId id = 0;               ///< the member's id
  Address address;             ///< the member's last known address
  State state = State::Alive;  ///< the new state
};

/// The group membership of sidecars: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips,
/// Currey 2017), and anti-entropy (Demers et al. 1987). It does no I/O; time is a parameter, random numbers
/// come from a seed, and the same calls produce the same messages.
///
/// Rumours disseminate a change quickly but may miss a sidecar; anti-entropy makes all tables converge: each
/// ping and ack carries digests of the sender's table, and a receiver whose own digests differ pulls the
/// entries that it lacks. docs/design/fleet-size.md describes the alternatives.
///
/// Invariant: a member that is not reachable is not kept as reachable on the reports of others for longer
/// than a suspicion lasts; a member is declared dead only in an incarnation that it can refute with a higher
/// one; the (incarnation, state) held of a member never decreases, whichever message changes it; the table,
/// the size of a message and the bytes sent in any second are bounded, whatever is received.
///
/// Clock: this process's monotonic one, in microseconds. It is never compared with a time from another
/// sidecar.
///
/// Isolation: when no message arrives, isIsolated() is true after Settings::isolatedAfter at the latest, also
/// right after a pause of the process, before the first message is read: it is computed from the time, not
/// set by an event.
class Members {
 public:
  /// The membership of a sidecar that has just started and knows only its seeds. Out-of-range times in
  /// `settings` are clamped. `seed` initialises the random numbers.
  Members(Settings settings, std::uint64_t seed, Micros now);

  /// Runs the timers that are due, and appends the messages to send. To be called at nextTick() or shortly
  /// after.
  void tick(Micros now, std::vector<Outgoing>& out);
  /// When tick() has to be called next; each call of tick() or receive() may change it.
  [[nodiscard]] Micros nextTick() const;
  /// Appends the messages that announce this sidecar's departure, so that the others need not detect it. The
  /// caller sends nothing after these.
  void leave(Micros now, std::vector<Outgoing>& out);
  /// Counts the bytes of a payload that the caller added to a message towards Settings::bytesPerSecond.
  void charge(std::size_t bytes, Micros now);
  /// Announces a new payload to kAnnouncementFanOut random members, which then ping to fetch it before their
  /// next probe. Limited to kAnnouncementsPerSecond.
  void announce(Micros now, std::vector<Outgoing>& out);
  /// Processes a message whose seal was verified, and appends the answers. False if the message is dropped:
  /// it is this sidecar's own, a replay, from an earlier incarnation of its sender, or from a sender for
  /// which the table has no room.
  bool receive(const Message& message, Micros now, std::vector<Outgoing>& out);

  /// The time since this sidecar sent the ping that this ack or nack answers; none if it answers no recent
  /// ping. An upper bound for the time that the ack's payload was in transit. To be called before receive().
  [[nodiscard]] std::optional<Micros> elapsedSincePing(const Message& ack, Micros now) const;

  /// Whether this sidecar must not rely on the membership: no ping was answered within isolatedAfter, or
  /// there was no quorum for as long, or another process uses this sidecar's name. Also true while no member
  /// is known.
  [[nodiscard]] bool isIsolated(Micros now) const;
  /// Whether a message of another process with this sidecar's name was received within isolatedAfter.
  [[nodiscard]] bool hasNameConflict(Micros now) const {
    return nameConflictAt_ && now - *nameConflictAt_ <= settings_.isolatedAfter;
  }
  /// The number of members that are not considered dead, this one included.
  [[nodiscard]] std::size_t reachableCount() const { return aliveCount_ + 1; }
  /// The reachable members as a fraction of those known or expected, whichever are more; with a region set,
  /// of that region's members only.
  [[nodiscard]] double reachableFraction() const;
  /// Whether a member could not be added because kMaxMembers are known.
  [[nodiscard]] bool isFull() const { return isFull_; }
  /// Whether this member is known and not considered dead; true for this sidecar itself.
  [[nodiscard]] bool isReachable(PeerId id) const;
  /// The reachable member that owns this key (rendezvous hashing, Thaler and Ravishankar 1998): the same at
  /// all sidecars that reach the same members, and another one once the owner is dead.
  [[nodiscard]] PeerId ownerOf(std::uint64_t key) const;
  /// The length of the probe order; kMaxMembers at the most.
  [[nodiscard]] std::size_t probeQueueSize() const { return probeOrder_.size(); }
  /// The number of known members, without this one and those that have left. Dead ones count until they are
  /// forgotten.
  [[nodiscard]] std::size_t knownCount() const;
  /// Lifeguard's local health multiplier: 0 for a healthy process, kMaxLocalHealth at the most.
  [[nodiscard]] int localHealth() const { return localHealth_; }
  /// The settings as given, except for the incarnation, which rises with each refutation.
  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// This sidecar's current incarnation.
  [[nodiscard]] std::uint64_t incarnation() const { return settings_.incarnation; }
  /// The state held of each member except this one, sorted by id.
  [[nodiscard]] std::vector<Update> updates() const;
  /// Returns and clears the changes since the last call; beyond a bound the latest ones are missing.
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Update update;
    Micros stateSince = 0;
    Micros deadline = 0;            // end of the suspicion
    std::vector<PeerId> witnesses;  // independent witnesses of the suspicion; at most 1 + kConfirmations
    std::uint32_t transmissionsLeft = 0;  // how often the update is still sent to others
    ReplayWindow window;
    std::uint64_t windowIncarnation = 0;  // incarnation that the window tracks; 0: no message received yet
    Micros lastMessageAt = 0;             // when a message from this member last arrived
    Micros correctedAt = 0;               // when a ping of an earlier incarnation was last answered
    [[nodiscard]] bool hasLeft() const { return update.state == State::Dead && update.witness == update.id; }
  };
  struct Probe {
    PeerId target = 0;
    Address address;
    std::uint32_t nonce = 0;
    Micros at = 0;
    Micros askRelaysAt = 0;
    bool areRelaysAsked = false;
    bool isAcked = false;
    bool isSuspected = false;                // others suspected the target when the probe began
    std::vector<std::uint32_t> relayNonces;  // nonces of the requests for indirect probes
    std::uint32_t nacks = 0;                 // relays that have answered, with a nack or an ack
  };
  // An indirect probe that this sidecar performs for another one.
  struct IndirectProbe {
    std::uint32_t nonce = 0;
    std::uint32_t requestNonce = 0;
    Address to;
    Micros until = 0;
    Micros nackAt = 0;
    bool isAnswered = false;
  };
  struct SentPing {
    std::uint32_t nonce = 0;
    Micros at = 0;
  };
  // A pull sent by this sidecar whose last page has not arrived yet.
  struct OutstandingPull {
    std::uint32_t nonce = 0;
    PeerId from = 0;
    Micros at = 0;
    std::uint32_t pages = 0;
    std::size_t gained = 0;
  };
  // A received pull whose pages wait for byte budget.
  struct PendingAnswer {
    std::uint32_t nonce = 0;
    PeerId puller = 0;
    Address to;
    Micros until = 0;
    std::vector<PeerId> missing;  // members that the puller lacks, in the order of sending
    std::size_t sent = 0;
    bool isTruncated = false;
  };
  struct DifferingTable {
    PeerId id = 0;
    std::uint8_t ranges = 0;  // a bit for each range whose digests differ
    Micros at = 0;
  };
  // An address to ping in order to reconnect; id 0: the member there is not known.
  struct ReconnectCandidate {
    Address address;
    PeerId id = 0;
  };
  // Whether a message may be dropped for lack of byte budget, or may use the budget's debt.
  enum class Need : std::uint8_t { Optional, Required };

  // ---- members.cpp ----
  void beginPeriod(Micros now, std::vector<Outgoing>& out);
  void dispatch(const Message& message, Micros now, std::vector<Outgoing>& out);
  void answerPing(const Message& message, Micros now, std::vector<Outgoing>& out);
  bool acceptSequence(Member& member, const Message& message, Micros now, std::vector<Outgoing>& out);
  Message makeMessage(Kind kind, std::uint32_t nonce);
  bool send(const Address& to, Message message, Need need, Micros now, std::vector<Outgoing>& out);
  // Returns the ping's nonce; none if the byte budget did not allow it.
  std::optional<std::uint32_t> ping(const Address& to, PeerId about, Need need, Micros now,
                                    std::vector<Outgoing>& out);
  std::vector<const Member*> pickRandomAlive(std::uint32_t maxCount, PeerId excluded, Micros heardSince = 0);
  static bool takeToken(double& credit, Micros& at, double perSecond, Micros now);
  // A random number in [0, 1) from the upper 53 bits, a double's precision.
  double uniform() {
    constexpr int kDroppedBits = 11;
    constexpr double kStep = 0x1p-53;
    return static_cast<double>(random_() >> kDroppedBits) * kStep;
  }
  bool flipCoin() {
    constexpr double kHalf = 0.5;
    return uniform() < kHalf;
  }
  void updateQuorum(Micros now);
  // ---- member_table.cpp; a returned bool: whether the table or this sidecar's incarnation changed ----
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
  void beginIndirectProbe(const Message& message, Micros now, std::vector<Outgoing>& out);
  void answerIndirectProbe(IndirectProbe& indirect, Kind kind, Micros now, std::vector<Outgoing>& out);
  void sweepIndirectProbes(Micros now, std::vector<Outgoing>& out);
  void beginProbe(Micros now, std::vector<Outgoing>& out);
  const Member* nextProbeTarget();
  void shuffleProbeOrder();
  void requestIndirectProbes(Micros now, std::vector<Outgoing>& out);
  void endProbe(Micros now);
  void pingOwnRegion(Micros now, std::vector<Outgoing>& out);
  void reconnect(Micros now, std::vector<Outgoing>& out);
  std::vector<ReconnectCandidate> reconnectCandidates();
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
  TableSummary table();
  void compareTables(const Message& message, Micros now);
  [[nodiscard]] bool hasAntiEntropyWork() const;
  [[nodiscard]] bool isJoining(Micros now) const;
  void runAntiEntropy(Micros now, std::vector<Outgoing>& out);
  void sendPull(Micros now, std::vector<Outgoing>& out);
  std::optional<DifferingTable> choosePullSource(Micros now);
  Range choosePullRange(std::uint8_t ranges);
  [[nodiscard]] BloomFilter filterOver(const Range& range, std::uint32_t salt) const;
  void answerPull(const Message& pull, Micros now, std::vector<Outgoing>& out);
  void sendPages(Micros now, std::vector<Outgoing>& out);
  // Returns the index in `missing` after the page's last entry.
  std::size_t fillPage(Message& page, const PendingAnswer& pending) const;
  void receivePage(const Message& page, Micros now, std::vector<Outgoing>& out);
  // Returns the number of entries that changed the table. Answers outdated incarnations with the known ones,
  // as far as they fit into one datagram.
  std::size_t mergeEntries(const Message& message, Micros now, std::vector<Outgoing>& out);
  [[nodiscard]] Update treatDeathAsSuspicion(const Update& entry, PeerId sender, Micros now) const;

  Settings settings_;
  std::mt19937_64 random_;
  std::map<PeerId, Member> members_;  // without this sidecar
  std::size_t aliveCount_ = 0;        // members alive or suspect
  std::vector<PeerId> probeOrder_;    // reshuffled after each pass (SWIM, section 4.3)
  std::size_t nextInProbeOrder_ = 0;
  std::optional<Probe> probe_;
  std::vector<IndirectProbe> indirectProbes_;
  std::vector<SentPing> sentPings_;  // recent pings without an answer
  std::uint64_t sequence_ = 0;
  std::uint32_t lastNonce_;
  int localHealth_ = 0;
  Micros lastTick_;
  Micros nextPeriod_;
  std::optional<Micros> lastAnsweredPingAt_;  // when the latest answered ping or pull was sent
  std::optional<Micros> nameConflictAt_;
  std::optional<Micros> belowQuorumSince_;
  std::uint64_t periods_ = 0;
  // Token buckets with a depth of one second: announcements, and the pings that answer them.
  double announcementCredit_ = kAnnouncementsPerSecond;
  double announcementAnswerCredit_ = kAnnouncementFanOut * kAnnouncementsPerSecond;
  Micros announcementAt_;
  Micros announcementAnswerAt_;
  PeerId lastRoundRobin_ = 0;  // the member whose update was last sent in round-robin order
  ByteBudget budget_;
  ByteBudget pullBudget_;
  ByteBudget gossipBudget_;
  Micros nextAntiEntropy_;
  Micros nextPull_;
  Micros pullInterval_ = kPullInterval;
  Micros startedAt_;                        // start, or when a member became reachable after none was
  std::uint16_t maxReportedReachable_ = 0;  // the highest TableSummary::reachable received
  bool hasPendingUpdates_ = false;          // some member may have transmissions left
  bool tableChanged_ = true;
  TableSummary table_;
  std::vector<OutstandingPull> outstandingPulls_;
  std::vector<PendingAnswer> pendingAnswers_;
  std::vector<DifferingTable> differingTables_;
  std::vector<Address> forgottenAddresses_;
  bool isFull_ = false;
  std::vector<Change> changes_;
};

}  // namespace ivypost::gossip

#endif  // IVYPOST_GOSSIP_MEMBERS_H_
