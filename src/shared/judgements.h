// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What sidecars have found of upstreams and tell each other. Free of I/O and clock.
//
// What holds always: a judgement counts for kLives after the evidence behind it at the most, by elapsed time
// that is never taken for less than it was; it counts only for the life of the upstream that it was made of
// (its start time), and only while its witness is heard. The table is bounded, whatever is told.
// By whose clock: the witness's from the evidence to each telling, each teller's own while it is kept, and
// the receiver's from before it asked. So delays on the way make a judgement older, never younger. Who hears
// nothing: has no judgements but its own after kLives.
//
// The merge is commutative, associative and idempotent: of one witness's judgements of one life the highest
// version counts, and of one version the oldest age.
#ifndef IVYPOST_SHARED_JUDGEMENTS_H_
#define IVYPOST_SHARED_JUDGEMENTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "peers/message.h"

namespace ivypost::shared {

using peers::Micros;
using peers::PeerId;

enum class Finding : std::uint8_t {
  Well = 0,     // it serves
  Failing = 1,  // it answers with errors, or breaks connections
  Silent = 2,   // it takes requests and does not answer
};
constexpr std::uint8_t kFindings = 3;
const char* nameOf(Finding finding);

// An upstream in one of its lives.
struct Life {
  std::uint64_t upstream = 0;    // a hash of its id, the same at every sidecar
  std::int64_t startedAtMs = 0;  // Unix time as the list tells it; 0: long ago
  auto operator<=>(const Life&) const = default;
};

struct Judgement {
  Life life;
  PeerId witness = 0;
  std::uint64_t version = 0;  // counts up over all that one witness says, its restarts included
  Finding finding = Finding::Well;
  std::uint16_t attempts = 0, failures = 0;  // behind it, of the witness's own
  Micros age = 0;                            // since the evidence
};

// A judgement counts for so long after its evidence. Longer than the longest pause between two trials of an
// ejected upstream by whoever has the turn, so that the turn does not lapse between them.
constexpr Micros kLives = 12'000'000;
constexpr std::size_t kMaxLives = 512, kMaxWitnesses = 16;  // upstreams, and witnesses of each
constexpr std::size_t kJudgementBytes = 37;
// Of one witness, so that one that lies can't fill the table: a quarter of the table.
constexpr std::size_t kMaxOfWitness = kMaxLives / 4;

// What this sidecar's own attempts say of an upstream: the outcomes of the last kEvidence.
class Evidence {
 public:
  static constexpr Micros kWindow = 5'000'000;
  static constexpr std::size_t kMost = 16;  // outcomes remembered
  // So many, and more than half of all, have failed: chance and one bad moment do not. One attempt without an
  // answer is enough where nothing was served since it was sent: it took the client's whole time.
  static constexpr std::uint16_t kFailures = 2;
  // And the last so many were served: it is well again, whatever was before. Of one that fails four in five,
  // three in a row are served once in 125 times.
  static constexpr std::uint16_t kServed = 3;

  enum class Outcome : std::uint8_t { Served, Failed, Silent };
  // `lag`: since the attempt was sent.
  void take(Outcome outcome, Micros lag, Micros now);
  // As of its last outcome; attempts 0: nothing.
  Judgement judge(Micros now) const;
  Micros last() const { return last_; }

 private:
  std::vector<std::pair<Micros, Outcome>> outcomes_;
  Micros last_ = 0;
  std::optional<Micros> servedAt_;
  bool silent_ = false;  // it has served nothing since an attempt was sent that got no answer
};

class Judgements {
 public:
  // `version`: higher than any that this witness told in an earlier life; Unix time in microseconds does. If
  // it is not, since the wall clock was set back, it is outbid as soon as others tell what they hold.
  Judgements(PeerId self, std::uint64_t version) : self_(self), version_(version) {}

  // The end of an own attempt. What it changes is told; true: this sidecar finds otherwise than before.
  bool attempted(const Life& life, Evidence::Outcome outcome, Micros lag, Micros now);

  // Takes what was told. `late`: the time on the way, at the most. Whether a witness was new or finds
  // otherwise than before; none for bytes that are no judgements, and those ahead of the flaw count.
  std::optional<bool> take(std::span<const std::uint8_t> facts, Micros late, Micros now);
  bool take(const Judgement& told, Micros late, Micros now);
  // Judgements for one message of so many bytes: the news first, then the others in turn.
  std::vector<std::uint8_t> tell(std::size_t room, Micros now);
  // How often news are told, from the number of sidecars: as members' changes are.
  void fleetIs(std::size_t sidecars);

  // What the others who are heard say of it.
  struct Hearsay {
    std::uint32_t bad = 0;                     // witnesses that find it failing or silent
    std::uint32_t well = 0;                    // and well, by later evidence than any of these
    std::uint32_t attempts = 0, failures = 0;  // behind the bad ones
    Micros age = 0;                            // of the latest
  };
  Hearsay ask(const Life& life, const std::function<bool(PeerId)>& heard, Micros now) const;
  // Drops what counts no more: too old, of a life that is over, of a witness not heard.
  void forget(const std::function<bool(const Life&)>& lives, const std::function<bool(PeerId)>& heard,
              Micros now);

  // All that counts, this sidecar's own too, with their ages.
  std::vector<Judgement> all(Micros now) const;
  // Those that anybody judges.
  std::vector<Life> judged() const;
  std::size_t size() const { return held_.size(); }

 private:
  struct Held {
    std::uint64_t version = 0;
    Finding finding = Finding::Well;
    std::uint16_t attempts = 0, failures = 0;
    Micros bornAt = 0;  // by this process's clock, never later than it was
    std::uint32_t tellings = 0;
  };
  using Key = std::pair<Life, PeerId>;

  void outbid(std::uint64_t version);
  bool hasRoom(const Judgement& told) const;
  std::size_t witnessesOf(const Life& life) const;
  std::size_t heldOf(PeerId witness) const;

  PeerId self_;
  std::uint64_t version_;
  std::uint32_t tellings_ = 4;
  std::map<Key, Held> held_;
  std::map<Life, Evidence> own_;
  Key lastTold_;
};

}  // namespace ivypost::shared

#endif  // IVYPOST_SHARED_JUDGEMENTS_H_
