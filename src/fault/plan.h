// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A fault plan: what goes wrong between two sockets, on which connections, in which direction and when. Plain
// data, built by a test or read from TOML (plan_reader.h) and carried out by Connection (connection.h).
//
// Directions are named by what flows in them: `Request` from the client to the server, `Answer` back.
#ifndef IVYPOST_FAULT_PLAN_H_
#define IVYPOST_FAULT_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivypost::fault {

// All times and durations are microseconds.
using Micros = std::int64_t;

enum class Direction : std::uint8_t { Request, Answer };
constexpr Direction opposite(Direction d) {
  return d == Direction::Request ? Direction::Answer : Direction::Request;
}

// ---- Triggers: when a step is done ------------------------------------------------------------------------

// Messages are HTTP/1.1 ones, counted from 1 in their direction; an informational answer (1xx) counts as one.
// Number 0 stands for each message. A step that is not for each message is done once.
struct AtConnect {};
// Before the byte behind the first `count` bytes of the direction.
struct AtBytes {
  std::uint64_t count = 0;
  auto operator<=>(const AtBytes&) const = default;
};
// Before the head's byte number `offset` (from 0).
struct AtHead {
  std::uint64_t number = 1, offset = 0;
};
// Before byte number `offset` of all that follows the head, with a chunked body's sizes and line ends.
struct AtBody {
  std::uint64_t number = 1, offset = 0;
};
// Right after the message's last byte. Never, where a body ends with its connection.
struct AtLast {
  std::uint64_t number = 1;
};
// So long after the connection was accepted.
struct AtTime {
  Micros after = 0;
};
// When told so by this name.
struct AtCommand {
  std::string name;
};

struct Trigger {
  std::variant<AtConnect, AtBytes, AtHead, AtBody, AtLast, AtTime, AtCommand> when;
  // Whose bytes and messages are meant; none: those of the step's own direction.
  std::optional<Direction> of;
};

// ---- Actions: what is done to the direction that the step stands in ---------------------------------------

// What comes from now on goes out so much later, each piece that was read by up to `jitter` more; the order
// stays.
struct Delay {
  Micros fixed = 0, jitter = 0;
};
struct Throttle {
  std::uint64_t bytesPerSecond = 1;  // 1 at least
};
// Reads no more, so that the sender's buffers fill up.
struct StopReading {};
// Reads all and passes on nothing, not even the end.
struct Swallow {};
// Ends Delay, Throttle, StopReading, Swallow, Garble and Split.
struct Pass {};
// What was read before goes out; then the named sockets are reset, and the other one is closed.
enum class Side : std::uint8_t { Both, Client, Server };
struct Reset {
  Side side = Side::Both;
};
// What was read before goes out; then both sockets get their FIN.
struct End {};
// What was read before goes out; then this direction gets its FIN and the other goes on. What still comes is
// dropped.
struct HalfClose {};
// Changes the next `count` bytes, kMaxGarbled at most.
struct Garble {
  enum class How : std::uint8_t {
    Flip,     // one bit or more of each, by seed
    Insert,   // `bytes`, or `count` bytes by seed, go out ahead of them
    Drop,     // they don't go out
    Repeat,   // they go out twice
    Replace,  // `bytes` go out in their place, as many
  };
  How how = How::Flip;
  std::uint64_t count = 1;
  std::string bytes;
};
// Pieces of these sizes, over and over, each written by itself and `gap` after the one before.
struct Split {
  std::vector<std::uint32_t> sizes{1};  // each 1 at least
  Micros gap = 0;
};
// Only at connect, and for the whole connection. TCP knows no refusal of a single connection by a listener,
// so this one is accepted and reset before a byte has gone either way; Listener::Reject refuses.
struct Reject {};
// Accepted, never connected on, never read.
struct Silent {};

using Action = std::variant<Delay, Throttle, StopReading, Swallow, Pass, Reset, End, HalfClose, Garble, Split,
                            Reject, Silent>;

// The word that plans and logs use for it.
const char* nameOf(const Action& action);
const char* nameOf(Direction direction);

struct Step {
  Direction direction = Direction::Request;
  Trigger trigger;
  Action action;
};

// ---- Connections ------------------------------------------------------------------------------------------

// Which connections a rule is for. They are counted from 1 in the order in which they were accepted.
struct Selector {
  std::vector<std::uint64_t> numbers;  // these, if there are any
  std::uint64_t from = 1;              // otherwise from this one on
  double share = 1;                    // and of those this share, by seed; 0 to 1
};

struct Rule {
  Selector connections;
  std::vector<Step> steps;  // those of one moment are done in this order
};

// What becomes of connections that are not accepted yet.
enum class Listener : std::uint8_t {
  Accept,
  Reject,  // the address is kept, and refuses: nobody listens
  Full,    // the backlog is full: a connect gets no answer
};

struct Plan {
  std::vector<Rule> rules;  // the first that fits a connection is its own
  Listener listener = Listener::Accept;
};

constexpr std::uint64_t kMaxGarbled = 64UL * 1024;
constexpr std::size_t kMaxRules = 256, kMaxSteps = 256;  // of a plan, and of a rule; for the reader

// The rule for this connection; none: it passes unharmed.
const Rule* ruleFor(const Plan& plan, std::uint64_t seed, std::uint64_t connection);

// Steele, Lea and Flood, "Fast splittable pseudorandom number generators" (2014): small, and the same on
// every machine, as the distributions of <random> are not.
class SplitMix {
 public:
  explicit SplitMix(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  double unit() { return static_cast<double>(next() >> 11) * 0x1p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_PLAN_H_
