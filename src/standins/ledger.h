// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The judge of the four rules. It is told what clients sent and heard, what nodes got and answered, and what
// discovery told whom; it says which rule broke, with the request's whole story. No sockets, no clock:
// whoever saw something tells when, and events are told in the order of their times.
//
// The rules are those of the platform's protocol page, with its times and its allowance of 50 ms on each:
//
//   R1  A request that was taken gets exactly one final answer before its client's time runs out, made by an
//       upstream for it, or by the sidecar as a refusal or a failure; then nothing more.
//   R2  An unsafe request is sent again, or refused, only when every earlier attempt never ran. A keyed one
//   that
//       may have run is sent again only within its group and window, and is not refused either.
//   R3  Nothing new to a node later than the grace after its sidecar was told that it drains or is gone.
//   R4  What is sent to a cold node, by all sidecars together, stays within multiple x present capacity x
//   window.
//
// Memory: a request's story is kept until settled() says that it can't change any more, then only counted.
#ifndef IVYPOST_STANDINS_LEDGER_H_
#define IVYPOST_STANDINS_LEDGER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ivypost::standins {

using Micros = std::int64_t;  // any one clock, the same for all who tell

enum class Effect : std::uint8_t { Safe, Keyed, Unsafe };

struct Rules {
  Micros slack = 50'000;  // on each limit
  Micros drainGrace = 2'000'000;
  Micros keyWindow = 600'000;  // from the first arrival that may have run
  Micros keyWindowSlack = 0;   // by which a repeat may arrive after the window's end
  double fallMultiple = 2.5;   // R4; 0: not judged
  Micros fallWindow = 1'000'000;
};

struct Breach {
  int rule = 1;         // 1 to 4
  std::string request;  // its id; empty where the breach is a node's
  std::string what;     // one line
  std::vector<std::string> story;
};

struct Tally {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0;
  std::uint64_t unanswered = 0;  // the connection ended, or time ran out, where that is allowed or not
  std::uint64_t left = 0;        // the client left first
  std::uint64_t arrivals = 0, repeats = 0;  // at nodes; those that were not a request's first
  std::array<std::uint64_t, 5> breaches{};  // by rule; [0] unused
  std::vector<Micros> latencies;            // of served requests
};

class Ledger {
 public:
  explicit Ledger(Rules rules = {}) : rules_(rules) {}
  Micros slack() const { return rules_.slack; }

  // ---- What clients see ----
  // The last byte of the request is out, on a connection that the sidecar accepted. `id` is new, or that of a
  // request that was cut() untold and goes once more.
  void sent(const std::string& id, Effect effect, Micros deadline, Micros now);
  // A whole answer with this status has come. `body`: of a 200.
  void answered(const std::string& id, unsigned status, const std::string& body, Micros now);
  // The connection ended with no whole answer. `untold`: nothing had come of it, and the protocol lets a
  // sidecar close between requests, so that the client sends the same once more: not a loss by itself.
  void cut(const std::string& id, bool untold, Micros now);
  // The client closed its connection, and owes the sidecar nothing more.
  void left(const std::string& id, Micros now);
  // More bytes than the answer have come on its connection.
  void surplus(const std::string& id, Micros now);

  // ---- What nodes see ----
  // The request's first byte has come; `sidecar`: whose. For R3.
  void touched(const std::string& id, const std::string& node, const std::string& sidecar, Micros now);
  // Its last byte has come: it has arrived, and may run from now on. `work`: what it costs the node in
  // microseconds of a core, for R4. Returns the arrival's number at the ledger, for the calls below.
  std::uint64_t arrived(const std::string& id, const std::string& node, const std::string& group, Micros work,
                        Micros now);
  // The node turned it away, and said that it never ran.
  void turnedAway(std::uint64_t arrival, Micros now);
  // The node made this 200 for it.
  void made(std::uint64_t arrival, const std::string& body, Micros now);
  // Some other event in the arrival's story, as "answered 500" or "connection closed".
  void noted(std::uint64_t arrival, const std::string& what, Micros now);

  // ---- What discovery tells ----
  // This sidecar was told that the node is up, or that it drains or is gone.
  void told(const std::string& sidecar, const std::string& node, bool up, Micros now);

  // ---- Cold nodes ----
  // The node started now. Its capacity in cores rises evenly from share x cores to cores over `warm`.
  void started(const std::string& node, double cores, double share, Micros warm, Micros now);

  // Judges what time alone breaks, and forgets stories that are over. Call it now and then, and at the end
  // with a time at which nothing can still come.
  void settle(Micros now);

  const Tally& tally() const { return tally_; }
  // The first kMaxBreaches; tally() counts them all.
  const std::vector<Breach>& breaches() const { return breaches_; }
  std::size_t openStories() const { return stories_.size(); }

  static constexpr std::size_t kMaxBreaches = 100;
  static constexpr std::size_t kMaxStory = 64;  // lines of one story
  // After its end a story is kept so long, for what comes late.
  static constexpr Micros kKeep = 5'000'000;

 private:
  struct Arrival {
    std::string node, group;
    Micros at = 0;
    std::uint64_t number = 0;
    bool neverRan = false;
    std::optional<std::string> body;  // of the 200 that the node made
  };
  struct Story {
    Effect effect = Effect::Safe;
    Micros sentAt = 0, deadline = 0;
    std::vector<Arrival> arrivals;
    int answers = 0;
    bool over = false, left = false, lost = false;
    Micros overAt = 0;
    std::vector<std::string> lines;
  };
  struct Cold {
    double cores = 1, share = 1;
    Micros startedAt = 0, warm = 0;
    std::deque<std::pair<Micros, Micros>> sent;  // arrivals within the window: when, and how much work
    Micros total = 0;
    bool reported = false;
  };

  Story* find(const std::string& id);
  Arrival* arrival(std::uint64_t number, Story** story = nullptr);
  void note(Story& story, Micros now, const std::string& what);
  void breach(int rule, const std::string& id, const Story* story, const std::string& what);
  void judgeArrival(const std::string& id, Story& story, const Arrival& arrival);
  void judgeRefusal(const std::string& id, Story& story, unsigned status);
  void judgeCold(const std::string& node, Micros work, Micros now);
  static bool mayHaveRun(const Story& story);
  void over(Story& story, Micros now);

  const Rules rules_;
  Tally tally_;
  std::vector<Breach> breaches_;
  std::unordered_map<std::string, Story> stories_;
  std::unordered_map<std::uint64_t, std::string> arrivals_;  // whose request it is
  std::uint64_t lastArrival_ = 0;
  std::map<std::pair<std::string, std::string>, Micros> drains_;  // sidecar and node: told when
  std::unordered_map<std::string, Cold> cold_;
};

}  // namespace ivypost::standins

#endif  // IVYPOST_STANDINS_LEDGER_H_
