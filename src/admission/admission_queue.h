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
//   turn in kFairTurnInterval goes to the lane that was served longest ago, so that none starves;
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
#ifndef IVYPOST_ADMISSION_ADMISSION_QUEUE_H_
#define IVYPOST_ADMISSION_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ivypost::admission {

using Micros = std::int64_t;
using RequestId = std::uint64_t;

struct AdmissionQueueSettings {
  std::size_t maxRequests = 256;   // requests that wait; at least 1
  double maxTenantFraction = 0.5;  // of `most`, for the requests of one school; 1: no bound of its own
  // Under overload the longest wait in all lanes but the worthiest. More than a pause of a sidecar that may
  // use a tenth of a core (its scheduler's period is 100 ms), little against the shortest latencyObjective of
  // 500 ms.
  Micros targetDelay = 50'000;
  Micros interval = 150'000;  // at least `target`
  Micros minRemainingTime =
      5'000;  // of a request's time, that has to be left when it is handed on; less: refused
};

struct QueuedRequest {
  RequestId id = 0;
  std::uint32_t requestClass = 0;
  std::optional<std::uint32_t> tenant;
  bool isBeyondQuota = false;
  Micros arrived = 0;   // its last byte
  Micros deadline = 0;  // its client's
};

enum class Outcome : std::uint8_t {
  Forward,
  TooLate,     // its time does not suffice any more
  Overload,    // waited too long
  QueueFull,   // the least worthy when the queue is full
  TenantFull,  // the least worthy of a school that has filled its part
};
constexpr std::size_t kOutcomes = 5;
const char* nameOf(Outcome outcome);

struct Decision {
  RequestId id = 0;
  Outcome outcome = Outcome::Forward;
};

class AdmissionQueue {
 public:
  // `worth`: by class; the worthiest goes first under overload.
  AdmissionQueue(const AdmissionQueueSettings& settings, const std::vector<double>& priorityWeights);

  // Queues one. When that is one too many, the decision says who is refused for it, perhaps itself. Its
  // number not in the queue already.
  std::optional<Decision> push(const QueuedRequest& request, Micros now);
  // The next decision; none: nobody waits.
  std::optional<Decision> next(Micros now);
  // Refuses the least worthy to make room elsewhere; none: nobody waits.
  std::optional<Decision> evict();
  // Its client left. False if it does not wait.
  bool withdraw(RequestId id);

  // Order by worth from now on, overload or not.
  void setPriorityOrder(bool always) { alwaysByPriority_ = always; }

  bool isOverloaded(Micros now) const {
    return !laneById_.empty() && now - nonEmptySince_ >= settings_.interval;
  }
  std::size_t size() const { return laneById_.size(); }

  static constexpr std::uint32_t kFairTurnInterval = 8;

 private:
  struct Lane {                          // of one class, within or beyond shares
    std::deque<QueuedRequest> requests;  // in the order of arrival
    std::uint64_t servedAt = 0;          // the turn
  };

  std::size_t laneOf(const QueuedRequest& request) const;
  std::optional<std::size_t> oldestLane() const;
  std::optional<std::size_t> highestPriorityLane();
  QueuedRequest take(std::size_t lane, std::size_t position);
  std::optional<Decision> evictFrom(std::optional<std::uint32_t> tenant, Outcome outcome);
  std::optional<Decision> rejectLate(Micros now);

  const AdmissionQueueSettings settings_;
  std::size_t classCount_;
  std::vector<std::size_t> laneOfClass_;  // by class: 0 is worth most
  std::vector<Lane> lanes_;  // the worthiest first: within shares by rank, then beyond them by rank
  std::unordered_map<RequestId, std::size_t> laneById_;           // and its lane
  std::unordered_map<std::uint32_t, std::size_t> countByTenant_;  // how many wait
  bool alwaysByPriority_ = false;
  std::uint64_t turn_ = 0;
  Micros nonEmptySince_ = 0;  // when it was last empty; meaningless while it is
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_ADMISSION_QUEUE_H_
