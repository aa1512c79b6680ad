// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Requests that have been read and wait for their turn on the core. No I/O and no clock: it is told what
// came, and says what is handed on and what is refused.
//
// While the core keeps up, requests go in the order in which they came and hardly wait. A queue that has not
// been empty for `interval` is overload and not a burst; then
// - the order is that of worth: requests within their school's share before those beyond it, then the
// worthier
//   class, then the last that came (the others have less time left, and their clients less patience). One
//   turn in kTurnsOfOthers goes to the lane that was served longest ago, so that none starves;
// - what has waited for longer than `target` is refused, the least worthy first; in the worthiest lane what
// has
//   waited for longer than `interval`.
// This is the controlled delay of "Fail at Scale" (B. Maurer, ACM Queue 13-8, 2015), with its adaptive order
// by the last that came. CoDel's own pace (RFC 8289, 5.3: interval / sqrt(count)) was weighed and left: it is
// made for flows that slow down when they lose a packet, and takes ten seconds to reach 500 refusals a
// second.
//
// Guards against a core that is busy with requests whose time runs out in the queue, and against a class or a
// school that crowds out the others.
#ifndef IVYPOST_ADMISSION_QUEUE_H_
#define IVYPOST_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ivypost::admission {

using Micros = std::int64_t;
using RequestId = std::uint64_t;

struct QueueSettings {
  std::size_t most = 256;    // requests that wait; at least 1
  double schoolShare = 0.5;  // of `most`, for the requests of one school; 1: no bound of its own
  // Under overload the longest wait in all lanes but the worthiest. More than a pause of a sidecar that may
  // use a tenth of a core (its scheduler's period is 100 ms), little against the shortest latencyObjective of
  // 500 ms.
  Micros target = 50'000;
  Micros interval = 150'000;  // at least `target`
  Micros answerTime = 5'000;  // of a request's time, that has to be left when it is handed on; less: refused
};

struct Waiting {
  RequestId id = 0;
  std::uint32_t requestClass = 0;
  std::optional<std::uint32_t> school;
  bool beyondShare = false;
  Micros arrived = 0;   // its last byte
  Micros deadline = 0;  // its client's
};

enum class Verdict : std::uint8_t {
  HandOn,
  TooLate,     // its time does not suffice any more
  Overload,    // waited too long
  QueueFull,   // the least worthy when the queue is full
  SchoolFull,  // the least worthy of a school that has filled its part
};
constexpr std::size_t kVerdicts = 5;
const char* nameOf(Verdict verdict);

struct Decision {
  RequestId id = 0;
  Verdict verdict = Verdict::HandOn;
};

class Queue {
 public:
  // `worth`: by class; the worthiest goes first under overload.
  Queue(const QueueSettings& settings, const std::vector<double>& worth);

  // Queues one. When that is one too many, the decision says who is refused for it, perhaps itself. Its
  // number not in the queue already.
  std::optional<Decision> push(const Waiting& request, Micros now);
  // The next decision; none: nobody waits.
  std::optional<Decision> next(Micros now);
  // Refuses the least worthy to make room elsewhere; none: nobody waits.
  std::optional<Decision> evict();
  // Its client left. False if it does not wait.
  bool withdraw(RequestId id);

  // Order by worth from now on, overload or not.
  void worthFirst(bool always) { worthFirst_ = always; }

  bool overloaded(Micros now) const { return !waiting_.empty() && now - busySince_ >= settings_.interval; }
  std::size_t size() const { return waiting_.size(); }

  static constexpr std::uint32_t kTurnsOfOthers = 8;

 private:
  struct Lane {                   // of one class, within or beyond shares
    std::deque<Waiting> waiting;  // in the order of arrival
    std::uint64_t servedAt = 0;   // the turn
  };

  std::size_t laneOf(const Waiting& request) const;
  std::optional<std::size_t> first() const;
  std::optional<std::size_t> worthiest();
  Waiting take(std::size_t lane, std::size_t place);
  std::optional<Decision> evictOf(std::optional<std::uint32_t> school, Verdict verdict);
  std::optional<Decision> refuseLate(Micros now);

  const QueueSettings settings_;
  std::size_t classes_;
  std::vector<std::size_t> rank_;  // by class: 0 is worth most
  std::vector<Lane> lanes_;        // the worthiest first: within shares by rank, then beyond them by rank
  std::unordered_map<RequestId, std::size_t> waiting_;       // and its lane
  std::unordered_map<std::uint32_t, std::size_t> bySchool_;  // how many wait
  bool worthFirst_ = false;
  std::uint64_t turn_ = 0;
  Micros busySince_ = 0;  // when it was last empty; meaningless while it is
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_QUEUE_H_
