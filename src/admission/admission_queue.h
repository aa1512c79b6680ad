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

/// The caller's id of a request, which is never reused.
using RequestId = std::uint64_t;

/// The settings of an AdmissionQueue, from the operator's section [admission]. The reasons for the defaults
/// are in docs/design/reduced-service.md.
struct AdmissionQueueSettings {
  // The fields name their defaults.
  // NOLINTBEGIN(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
  /// The most requests in the queue; at least 1. Beyond it, one of the lowest priority is rejected.
  std::size_t maxRequests = 256;
  /// The fraction of maxRequests that the requests of one tenant may hold; over 0. 1: no limit per tenant.
  double maxTenantFraction = 0.5;
  /// The longest wait under overload, in all lanes except that of the highest priority. Longer than a pause
  /// of a sidecar that may use a tenth of a core (the scheduler's period is 100 ms), and short compared to
  /// the shortest latency objective of 500 ms.
  Micros targetDelay = 50'000;
  /// A queue that has not been empty for this time is overloaded. Under overload, also the longest wait in
  /// the lane of the highest priority. No less than targetDelay.
  Micros interval = 150'000;
  /// A request with less than this left until its deadline is rejected.
  Micros minRemainingTime = 5'000;
  // NOLINTEND(cppcoreguidelines-avoid-magic-numbers,readability-magic-numbers)
};

/// A request that waits to be forwarded.
struct QueuedRequest {
  /// The caller's id.
  RequestId id = 0;
  /// The index of its class.
  std::uint32_t requestClass = 0;
  /// The index of its tenant; none: it has no tenant.
  std::optional<std::uint32_t> tenant;
  /// Whether it is beyond its tenant's quota (TenantQuotas).
  bool isBeyondQuota = false;
  /// When its last byte was received.
  Micros arrived = 0;
  /// When its client gives up.
  Micros deadline = 0;
};

/// The outcome of a request in the queue.
enum class Outcome : std::uint8_t {
  Forward,     ///< it is forwarded
  TooLate,     ///< rejected: the time until its deadline is too short
  Overload,    ///< rejected: it has waited too long under overload
  QueueFull,   ///< rejected: it has the lowest priority in a full queue
  TenantFull,  ///< rejected: it has the lowest priority of a tenant whose fraction of the queue is used up
};
/// The number of outcomes, for tables.
inline constexpr std::size_t kOutcomes = 5;
/// The name of the outcome in `GET /status/level` and in the text of a rejection. Part of those interfaces.
[[nodiscard]] const char* nameOf(Outcome outcome);

/// The decision on one request.
struct Decision {
  /// The request, which is no longer in the queue.
  RequestId id = 0;
  /// Whether it is forwarded, or why it is rejected.
  Outcome outcome = Outcome::Forward;
};

/// The queue of requests that have been read and wait for the sidecar's processor core. No I/O and no clock.
///
/// Invariant: each request that is pushed gets exactly one decision, or is withdrawn; the queue holds no more
/// than the settings' maxRequests. All times are of the caller's monotonic clock.
///
/// While the processor core is not overloaded, requests are forwarded in the order of arrival and hardly
/// wait. A queue that has not been empty for the settings' interval indicates overload and not a burst. Under
/// overload
/// - requests are served by priority: those within their tenant's quota before those beyond it, then by the
///   priority weight of the class, then last in, first out (older requests have less time left, and their
///   clients are more likely to have given up). One turn in kFairTurnInterval goes to the lane that was
///   served longest ago, so that no lane starves;
/// - requests that have waited longer than targetDelay, or longer than interval in the lane of the highest
///   priority, are rejected, those of the lowest priority first.
///
/// This is the controlled delay with adaptive LIFO of "Fail at Scale" (B. Maurer, ACM Queue 13-8, 2015).
/// CoDel's own drop rate (RFC 8289, 5.3: interval / sqrt(count)) is not used: it is made for flows that slow
/// down when they lose a packet, and takes ten seconds to reach 500 rejections a second.
///
/// Prevents the core from working on requests that then time out in the queue, and a class or a tenant from
/// starving the others.
class AdmissionQueue {
 public:
  /// One turn in this many goes to the lane that was served longest ago.
  static constexpr std::uint32_t kFairTurnInterval = 8;

  /// `priorityWeights`: by class, at least one. Under overload the class of the greatest weight is served
  /// first, and of equal weights the class of the lower index.
  AdmissionQueue(const AdmissionQueueSettings& settings, const std::vector<double>& priorityWeights);

  /// Queues a request whose id is not in the queue and whose class has a weight (std::out_of_range
  /// otherwise). If that exceeds a limit, returns the decision on the request that is rejected to keep the
  /// limit, which may be `request` itself.
  std::optional<Decision> push(const QueuedRequest& request, Micros now);
  /// Decides on the next request, and removes it; none: the queue is empty.
  [[nodiscard]] std::optional<Decision> next(Micros now);
  /// Rejects a request of the lowest priority because of a limit outside of the queue; none: the queue is
  /// empty.
  [[nodiscard]] std::optional<Decision> evict();
  /// Removes a request whose client has left. False if it is not in the queue.
  bool withdraw(RequestId id);

  /// Sets whether requests are always served by priority, and not only under overload.
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
    std::uint64_t servedAt = 0;          // the turn in which the lane was last served
  };

  [[nodiscard]] std::size_t laneOf(const QueuedRequest& request) const;
  [[nodiscard]] std::optional<std::size_t> oldestLane() const;
  [[nodiscard]] std::optional<std::size_t> highestPriorityLane() const;
  QueuedRequest remove(std::size_t lane, std::size_t position);
  std::optional<Decision> evictFrom(std::optional<std::uint32_t> tenant, Outcome outcome);
  std::optional<Decision> rejectLate(Micros now);

  AdmissionQueueSettings settings_;
  std::size_t classCount_;
  std::vector<std::size_t> laneOfClass_;  // for requests within quotas; lane 0 has the highest priority
  // By priority, the highest first: one lane per class for requests within quotas, then one per class beyond
  // them.
  std::vector<Lane> lanes_;
  std::unordered_map<RequestId, std::size_t> laneById_;
  std::unordered_map<std::uint32_t, std::size_t> countByTenant_;  // of requests in the queue
  bool alwaysByPriority_ = false;
  std::uint64_t turn_ = 0;
  Micros nonEmptySince_ = 0;  // valid only while the queue is not empty
};

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_ADMISSION_QUEUE_H_
