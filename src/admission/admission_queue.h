// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_ADMISSION_QUEUE_H_
#define IVYPOST_ADMISSION_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/time.h"

namespace ivypost::admission {

/// The caller's number of a request, never given twice.
using RequestId = std::uint64_t;

/// What an AdmissionQueue goes by: the operator's section [admission]. The reasons for the defaults are in
/// docs/design/reduced-service.md.
struct AdmissionQueueSettings {
  // The fields name their defaults.
  // NOLINTBEGIN(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
  /// Requests in the queue; at least 1. Beyond it one of the lowest priority is rejected.
  std::size_t maxRequests = 256;
  /// Of maxRequests, for the requests of one tenant, over 0. 1: no limit of its own.
  double maxTenantFraction = 0.5;
  /// Under overload, the longest wait in all lanes but that of the highest priority. More than a pause of a
  /// sidecar that may use a tenth of a core (its scheduler's period is 100 ms), little against the shortest
  /// latency objective of 500 ms.
  Micros targetDelay = 50'000;
  /// A queue that is not empty for so long is overload; and then the longest wait in the lane of the highest
  /// priority. No less than targetDelay.
  Micros interval = 150'000;
  /// A request with less than this left until its deadline is rejected.
  Micros minRemainingTime = 5'000;
  // NOLINTEND(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
};

/// A request that waits to be forwarded.
struct QueuedRequest {
  /// The caller's number.
  RequestId id = 0;
  /// The number of its class.
  std::uint32_t requestClass = 0;
  /// The number of its tenant; none: it has no tenant.
  std::optional<std::uint32_t> tenant;
  /// Whether it is beyond its tenant's quota (TenantQuotas).
  bool isBeyondQuota = false;
  /// When its last byte came.
  Micros arrived = 0;
  /// When its client gives up.
  Micros deadline = 0;
};

/// What becomes of a request.
enum class Outcome : std::uint8_t {
  Forward,     ///< it is forwarded
  TooLate,     ///< rejected: the time until its deadline is too short
  Overload,    ///< rejected: it has waited too long, under overload
  QueueFull,   ///< rejected: of the lowest priority in a full queue
  TenantFull,  ///< rejected: of the lowest priority of a tenant that has its fraction of the queue
};
/// The number of outcomes, for tables.
inline constexpr std::size_t kOutcomes = 5;
/// The outcome as `GET /status/level` and the reason of a rejection name it. Part of those interfaces.
[[nodiscard]] const char* nameOf(Outcome outcome);

/// One request, and what becomes of it.
struct Decision {
  /// The request; it is in the queue no more.
  RequestId id = 0;
  /// Whether it is forwarded, or why it is rejected.
  Outcome outcome = Outcome::Forward;
};

/// Requests that have been read and wait for the sidecar's core. No I/O and no clock.
///
/// Invariant: each request that is pushed gets exactly one decision, or is withdrawn; the queue holds no more
/// than the settings' maxRequests. The caller's monotonic clock counts.
///
/// While the core keeps up, requests are forwarded in the order of arrival and hardly wait. A queue that has
/// not been empty for the settings' interval is overload and not a burst. Then
/// - the order is that of priority: requests within their tenant's quota before those beyond it, then by the
///   priority weight of the class, then the last that came (the others have less time left, and clients of
///   less patience). One turn in kFairTurnInterval goes to the lane that was served longest ago, so that none
///   starves;
/// - what has waited for longer than targetDelay is rejected, the lowest priority first; in the lane of the
///   highest priority, what has waited for longer than interval.
///
/// This is the controlled delay of "Fail at Scale" (B. Maurer, ACM Queue 13-8, 2015), with its adaptive order
/// by the last that came. CoDel's own rate (RFC 8289, 5.3: interval / sqrt(count)) was weighed and left: it
/// is made for flows that slow down when they lose a packet, and takes ten seconds to reach 500 rejections a
/// second.
///
/// Guards against a core that is busy with requests whose time runs out in the queue, and against a class or
/// a tenant that crowds out the others.
class AdmissionQueue {
 public:
  /// One turn of so many is the lane's that was served longest ago.
  static constexpr std::uint32_t kFairTurnInterval = 8;

  /// `priorityWeights`: by class, at least one; the greatest weight goes first under overload, and of equal
  /// ones the lower class number.
  AdmissionQueue(const AdmissionQueueSettings& settings, const std::vector<double>& priorityWeights);

  /// Queues a request whose id is not in the queue and whose class has a weight (std::out_of_range
  /// otherwise). When that is one too many, returns the decision on the request that is rejected for it,
  /// which may be the same.
  std::optional<Decision> push(const QueuedRequest& request, Micros now);
  /// Decides on the next request, and removes it; none: the queue is empty.
  [[nodiscard]] std::optional<Decision> next(Micros now);
  /// Rejects one of the lowest priority for the sake of a limit elsewhere; none: the queue is empty.
  [[nodiscard]] std::optional<Decision> evict();
  /// Removes a request whose client has left. False if it is not in the queue.
  bool withdraw(RequestId id);

  /// Whether the order is that of priority from now on without overload too.
  void setPriorityOrder(bool always) { alwaysByPriority_ = always; }

  /// Whether the queue has not been empty for the settings' interval.
  [[nodiscard]] bool isOverloaded(Micros now) const {
    return !laneById_.empty() && now - nonEmptySince_ >= settings_.interval;
  }
  /// Requests in the queue.
  [[nodiscard]] std::size_t size() const { return laneById_.size(); }

 private:
  // Requests of one class, within their tenants' quotas or beyond them.
  struct Lane {
    std::deque<QueuedRequest> requests;  // in the order of arrival
    std::uint64_t servedAt = 0;          // the turn
  };

  [[nodiscard]] std::size_t laneOf(const QueuedRequest& request) const;
  [[nodiscard]] std::optional<std::size_t> oldestLane() const;
  [[nodiscard]] std::optional<std::size_t> highestPriorityLane() const;
  QueuedRequest remove(std::size_t lane, std::size_t position);
  std::optional<Decision> evictFrom(std::optional<std::uint32_t> tenant, Outcome outcome);
  std::optional<Decision> rejectLate(Micros now);

  AdmissionQueueSettings settings_;
  std::size_t classCount_;
  std::vector<std::size_t> laneOfClass_;  // of requests within quotas; 0: of the highest priority
  // By priority, the highest first: a lane a class within quotas, then a lane a class beyond them.
  std::vector<Lane> lanes_;
  std::unordered_map<RequestId, std::size_t> laneById_;
  std::unordered_map<std::uint32_t, std::size_t> countByTenant_;  // of requests in the queue
  bool alwaysByPriority_ = false;
  std::uint64_t turn_ = 0;
  Micros nonEmptySince_ = 0;  // only while it is not empty
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_ADMISSION_QUEUE_H_
