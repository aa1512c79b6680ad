// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Who else is there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017). Free of
// I/O, clock and chance of its own: handle() is told everything, its random numbers come from a seed.
//
// What holds always: nobody is taken for heard on another's word alone beyond the time that a suspicion
// takes; nobody is dead but by an incarnation that it can outbid; the table, the messages of a period and the
// bytes of a message are bounded, whatever is sent to it.
// By whose clock: its own monotonic one. No time that another tells is compared with it.
// Who hears nothing: is deaf() by its own clock after Settings::deafAfter at the latest, also right after a
// stop of the process, before the first message is read: it is computed from the time, not from an event.
#ifndef IVYPOST_PEERS_MEMBERS_H_
#define IVYPOST_PEERS_MEMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peers/message.h"
#include "peers/replay_window.h"

namespace ivypost::peers {

struct Settings {
  PeerId self = 0;
  Address address;                // where the others reach this sidecar
  std::uint64_t incarnation = 1;  // higher than in any earlier life; Unix time in ms does
  std::vector<Address> seeds;     // where others may be; its own address among them does no harm
  // SWIM's protocol period: one member is probed in each. Lifeguard stretches it for a slow process.
  Micros period = 250'000;
  Micros timeout = 80'000;   // a direct probe's answer, before others are asked to probe; under the period
  std::uint32_t relays = 3;  // others that are asked to (SWIM's k)
  Micros deafAfter = 2'000'000;  // nothing heard, or too few, for so long
  double deafPart = 0.5;         // fewer than this part of the known sidecars heard is too few
  // How many sidecars there should be, as the platform says; it may be wrong by kWrongBy either way.
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

constexpr std::uint8_t kMaxRegion = 63;
// Of IPv4 without options and UDP (RFC 791, RFC 768).
constexpr std::size_t kDatagramOverhead = 28;

constexpr std::size_t kMaxMembers = 4096;
constexpr std::uint32_t kWrongBy = 4;
// Lifeguard's local health multiplier goes from 0 to this (LHM, section 3.1, S = 8).
constexpr int kMaxHealth = 8;
// Suspicion lasts kSuspicion x log10(members) periods at the least, kLongest times that at the most, and
// comes down to the least with kConfirm independent witnesses (Lifeguard, 3.2: alpha 5, beta 6, K 3).
constexpr double kSuspicion = 5, kLongest = 6;
constexpr std::uint32_t kConfirm = 3;
// Each change is told so many times log2(members + 1) (SWIM, 4.1: lambda log n).
constexpr double kTold = 3;
// News go to so many at once, and those who learn of them pass them on; so often a second at the most.
constexpr std::uint32_t kFanOut = 3;
constexpr double kNewsPerSecond = 8;
// A gap between two ticks of so many periods is a stop of this process, not of the others.
constexpr double kStopped = 4;

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
  Micros next() const;
  // This sidecar ends: the others need not find out. Nothing is sent after it.
  void leave(std::vector<Outgoing>& out);
  // There is news that others should not wait a period for: a few are told to ask, as far as kNewsPerSecond
  // allows.
  void announce(Micros now, std::vector<Outgoing>& out);
  // A message whose seal was right. False if it is dropped: its own, a replay, or there is no room for it.
  bool receive(const Message& message, Micros now, std::vector<Outgoing>& out);

  // The ping that this ack answers was written so long ago; none: it answers none of ours. Call it ahead of
  // receive(): all that the ack tells is at least not younger than told by this much.
  std::optional<Micros> asked(const Message& ack, Micros now) const;

  // ---- What is known, as of now ----
  // No answer to what was asked within deafAfter, or too few of those known for as long, or another process
  // under this one's name. A sidecar that knows of no other is deaf too.
  bool deaf(Micros now) const;
  // Another process goes by this one's name: seen within deafAfter.
  bool twin(Micros now) const { return twinSeen_ && now - *twinSeen_ <= settings_.deafAfter; }
  // Members believed alive, this one among them.
  std::size_t heard() const { return alive_ + 1; }
  // Against all that are known or should be there, from 0 to 1.
  double part() const;
  bool isHeard(PeerId id) const;
  // Of those heard, whose turn it is at this thing (rendezvous hashing, Thaler and Ravishankar 1998): the
  // same for all who hear the same ones, and handed on when that one is not heard any more.
  PeerId turnAt(std::uint64_t thing) const;
  std::size_t order() const { return order_.size(); }  // probes that are queued; kMaxMembers at the most
  std::size_t known() const;                           // but this one and those that have left
  int health() const { return health_; }
  const Settings& settings() const { return settings_; }
  std::uint64_t incarnation() const { return settings_.incarnation; }
  std::vector<Update> all() const;  // but this one, in the order of their ids
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Update update;
    Micros since = 0;               // its state
    Micros deadline = 0;            // of a suspicion
    std::vector<PeerId> witnesses;  // of it, independent; kConfirm at the most beside the first
    std::uint32_t tellings = 0;     // of its state that are still owed to others
    ReplayWindow window;
    std::uint64_t windowOf = 0;  // the incarnation that the window is of
    Micros correctedAt = 0;      // told last that it speaks with an incarnation of an earlier life
    bool left() const { return update.state == State::Dead && update.witness == update.id; }
  };
  struct Probe {
    PeerId target = 0;
    Address address;
    std::uint32_t nonce = 0;
    Micros at = 0, relayAt = 0;
    bool relayed = false, acked = false;
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
  struct Asked {
    std::uint32_t nonce = 0;
    Micros at = 0;
  };

  Message make(Kind kind, std::uint32_t nonce);
  void send(const Address& to, Message message, std::vector<Outgoing>& out) const;
  std::uint32_t ping(const Address& to, PeerId about, Micros now, std::vector<Outgoing>& out);
  void beginProbe(Micros now, std::vector<Outgoing>& out);
  void endProbe(Micros now);
  void lookAround(Micros now, std::vector<Outgoing>& out);
  void apply(Update update, Micros now);
  void refute(std::uint64_t incarnation);
  void become(Member& member, State state, Micros now);
  void suspect(Member& member, PeerId witness, Micros now);
  void piggyback(Message& message, PeerId about);
  Micros period() const { return settings_.period * (health_ + 1); }
  Micros timeout() const { return settings_.timeout * (health_ + 1); }
  Micros suspicionFor(std::size_t confirmations) const;
  std::uint32_t tellings() const;
  void worse(int by);
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  void judgePart(Micros now);
  static bool takeToken(double& credit, Micros& at, double perSecond, Micros now);
  std::vector<const Member*> someAlive(std::uint32_t most, PeerId butNot);
  void answerRelay(Relayed& relayed, Kind kind, std::vector<Outgoing>& out);
  void heardAnswer(const Message& message, Micros now, std::vector<Outgoing>& out);
  bool takeSequence(Member& member, const Message& message, Micros now, std::vector<Outgoing>& out);

  Settings settings_;
  std::mt19937_64 random_;
  std::map<PeerId, Member> members_;  // but this one
  std::size_t alive_ = 0;             // of them; the suspected count until they are dead
  std::vector<PeerId> order_;         // to be probed, in turn; shuffled anew at its end (SWIM, 4.3)
  std::size_t nextInOrder_ = 0;
  std::optional<Probe> probe_;
  std::vector<Relayed> relayed_;
  std::vector<Asked> asked_;  // pings written lately
  std::uint64_t sequence_ = 0;
  std::uint32_t lastNonce_;
  int health_ = 0;
  Micros lastTick_, nextPeriod_;
  std::optional<Micros> lastHeard_;  // when the last ping that was answered was written
  std::optional<Micros> twinSeen_;   // another process under this one's name
  std::optional<Micros> fewSince_;   // too few are heard
  std::uint64_t periods_ = 0;
  double newsCredit_ = kNewsPerSecond, asksCredit_ = kFanOut * kNewsPerSecond;  // token buckets of a second
  Micros newsAt_, asksAt_;
  PeerId lastTold_ = 0;  // whose state went out last without being news
  std::vector<Change> changes_;
};

}  // namespace ivypost::peers

#endif  // IVYPOST_PEERS_MEMBERS_H_
