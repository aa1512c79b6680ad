// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// One connection under a fault plan, as a state machine: it is told what was read from either socket and
// when, and says what is to be written, ended or reset, and when. No sockets, no clock; chance comes from a
// seed.
//
// The same rule, seed and connection number, and the same bytes at the same times, give the same outputs. The
// bytes that come out don't depend on how what went in was cut into pieces, only their times may.
//
// Bounds. room() keeps what a direction holds to kMaxHeld; one Garble may add kMaxGarbled to it at a time.
#ifndef IVYPOST_FAULT_CONNECTION_H_
#define IVYPOST_FAULT_CONNECTION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fault/message_scanner.h"
#include "fault/plan.h"

namespace ivypost::fault {

constexpr std::size_t kMaxHeld = 256UL * 1024;  // bytes read and not written yet, in each direction

struct Output {
  enum class Kind : std::uint8_t {
    Write,  // `bytes`, by a write of their own
    Fin,    // the direction's destination gets its FIN; the connection is over when both have got it
    Reset,  // the connection is over: the named sockets are reset, the other one is closed
  };
  Kind kind = Kind::Write;
  std::string bytes;
  Side side = Side::Both;
};

// A fault as it was done, for logs and tests.
struct Done {
  Direction direction = Direction::Request;
  std::uint64_t offset = 0;  // bytes read in that direction before it
  Micros at = 0;
  const char* action = "";  // nameOf()
};

class Connection {
 public:
  // `rule` none: unharmed. It is copied. `now`: when the connection was accepted; AtConnect steps are done.
  Connection(const Rule* rule, std::uint64_t seed, std::uint64_t number, Micros now);

  // Another rule from here on: what the old one did to bytes to come has ended, what is held goes out at its
  // time. AtConnect steps are done at once; steps for a point that has passed are not.
  void replace(const Rule* rule, Micros now);

  bool refused() const { return refused_; }  // to be reset before anything else
  bool silent() const { return silent_; }    // not to be connected on or read
  // Both directions have ended and nothing is held: both sockets are to be closed.
  bool finished() const;

  // How many bytes may be read now; 0: not to be read.
  std::size_t room(Direction direction) const;
  std::size_t held(Direction direction) const { return flow(direction).held; }
  // Of at most room() bytes.
  void feed(Direction direction, std::string_view bytes, Micros now);
  // The source has sent its FIN.
  void end(Direction direction, Micros now);
  // The source was reset, or failed otherwise: the other side is reset when it has got what is held.
  void broken(Direction direction, Micros now);
  void command(std::string_view name, Micros now);
  // Does the steps whose time has come. Calls of next() and take() before it see the state as it was.
  void advance(Micros now);

  // What is due in this direction, the oldest first; none: nothing yet. Outputs of a direction have to be
  // carried out in their order.
  std::optional<Output> take(Direction direction, Micros now);
  // When take() has something in this direction, when advance() has, and when either has; none: not before
  // another event.
  std::optional<Micros> due(Direction direction) const;
  std::optional<Micros> nextStep() const;
  std::optional<Micros> next() const;

  std::vector<Done> takeLog();

 private:
  struct Item {
    Micros due = 0;
    Output output;
    bool joins = false;  // more bytes of the same time may be added to it
  };
  struct Flow {
    explicit Flow(bool answers) : scanner(answers) {}
    MessageScanner scanner;
    SplitMix chance{0};      // what Garble draws, apart from times: it must not depend on how bytes were cut
    std::uint64_t read = 0;  // bytes, all told
    std::deque<Item> queue;
    std::size_t held = 0;
    Micros lastDue = 0;
    bool over = false;   // its end is in the queue or gone out: what still comes is dropped
    bool ended = false;  // its source has sent its FIN
    // What steps have switched on.
    Delay delay;
    std::uint64_t throttle = 0;  // bytes a second; 0: off
    std::uint64_t owed = 0;      // what rounding left of the throttle's time, in millionths of a byte
    bool stopped = false, swallowing = false;
    Garble garble;
    std::uint64_t garbleLeft = 0;
    std::string repeated;
    std::vector<std::uint32_t> sizes;  // of Split; none: off
    std::size_t piece = 0;             // the one that is being filled
    std::uint32_t inPiece = 0;         // bytes of it
    Micros gap = 0;
  };
  struct Armed {
    Step step;
    bool done = false;
  };

  Flow& flow(Direction d) { return flows_[static_cast<std::size_t>(d)]; }
  const Flow& flow(Direction d) const { return flows_[static_cast<std::size_t>(d)]; }
  void arm(const Rule* rule, Micros now);
  void startOver(Flow& flow);
  template <class Fits>
  void fire(Micros now, Fits fits);
  void apply(const Step& step, Micros now);
  void pass(Flow& flow, char byte, Micros now, Micros jitter);
  void emit(Flow& flow, char byte, Micros now, Micros jitter);
  void emitRun(Flow& flow, std::string_view bytes, Micros now, Micros jitter);
  void emitEnd(Flow& flow, Output output, Micros now);
  std::size_t quietRun(Direction direction, std::string_view bytes) const;

  SplitMix random_;
  const Micros acceptedAt_;
  std::vector<Armed> armed_;
  bool scans_ = false;  // a step waits for a message
  std::array<Flow, 2> flows_{Flow(false), Flow(true)};
  bool refused_ = false, silent_ = false;
  std::vector<Done> log_;
};

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_CONNECTION_H_
