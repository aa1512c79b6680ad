// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_ADMISSION_CONTROLLER_H_
#define IVYPOST_ADMISSION_CONTROLLER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/expiring_average.h"
#include "admission/tenant_quotas.h"
#include "client_request.h"
#include "configuration/operator_file.h"
#include "degradation/restrictions.h"

namespace ivypost {

/// Stands between the server and the decision module: executes the decisions of src/admission on requests
/// that have been read. If the operator has not enabled the queue, each request is forwarded at once and none
/// is held.
///
/// Invariant: each submitted request is forwarded or rejected exactly once, or withdrawn. The queue is
/// bounded by the operator's settings; the controller holds only the requests in the queue.
class AdmissionController {
 public:
  /// Execute the decisions on requests. Called on the event loop, also from within submit() and apply().
  struct Callbacks {
    /// Takes a request that is admitted.
    std::function<void(ClientRequest)> forward;
    /// The request of this id will not run; the outcome says why.
    std::function<void(balancer::RequestId, admission::Outcome)> reject;
  };

  /// Throws settings::FormatError if the file's priority order names a class that the platform does not have.
  /// `io` and `config` must outlive it.
  AdmissionController(boost::asio::io_context& io, const Config& config,
                      const configuration::OperatorFile& file, Callbacks callbacks);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;
  ~AdmissionController();

  /// Throws as the constructor does for a file that apply() would reject; changes nothing.
  void validate(const configuration::OperatorFile& file) const;
  /// Applies another operator's file. Queued requests stay in the queue, in the new order, or are forwarded
  /// if the queue is now off. Throws as the constructor does.
  void apply(const configuration::OperatorFile& file);
  /// Applies the restrictions of another degradation level.
  void restrict(const degradation::Restrictions& restrictions);

  /// Forwards, queues or rejects a request whose id was not submitted before. `isOverloaded`: there is no
  /// capacity for a further request, so the request is queued, and the queued request of the lowest priority
  /// (possibly this one) is rejected.
  void submit(ClientRequest request, bool isOverloaded);
  /// Removes a request whose client has left or has its response. False if the request is not in the queue.
  bool withdraw(balancer::RequestId id);
  /// Records a served request; `duration`: microseconds since its arrival.
  void recordResponseTime(Micros duration) { responseTime_.add(duration, now()); }

  /// Whether requests that can't be served are rejected before their body is read.
  [[nodiscard]] bool rejectsBeforeBody() const { return restrictions_.rejectsBeforeBody; }
  /// Whether the operator has enabled the queue.
  [[nodiscard]] bool hasQueue() const { return queue_ != nullptr; }
  /// Whether a request of this class with `remaining` microseconds until its deadline can't be served: the
  /// degradation level excludes its class, or `remaining` is less than the recent average queue time plus the
  /// recent average response time.
  [[nodiscard]] bool isTooLate(std::uint32_t requestClass, Micros remaining) const;
  /// Microseconds after which a client that is rejected now may retry; 0: the platform's settings ask for no
  /// Retry-After.
  [[nodiscard]] Micros retryAfter() const;
  /// The fraction of recent requests that were beyond their tenant's quota; 0 to 1. 0 if neither the queue
  /// nor degradation is on.
  [[nodiscard]] double beyondQuotaFraction();
  /// Requests in the queue.
  [[nodiscard]] std::size_t queueSize() const { return queue_ ? queue_->size() : 0; }
  /// Requests that had this outcome since the process started; not counted while the queue is off.
  [[nodiscard]] std::uint64_t count(admission::Outcome outcome) const {
    return counts_.at(static_cast<std::size_t>(outcome));
  }

 private:
  struct Queued {
    ClientRequest request;
    admission::QueuedRequest entry;
  };

  // Returns the priority weight of each class. The classes in the operator's priority order get greater
  // weights than all others, the first one the greatest; the others keep the weights of the platform's
  // settings.
  [[nodiscard]] std::vector<double> priorityWeightsOf(const configuration::OperatorFile& file) const;
  void execute(const admission::Decision& decision);
  // Forwards and rejects as many requests as one turn of the event loop allows.
  void runTurn();
  // Posts runTurn() to the event loop, behind all handlers that are ready now: requests that have already
  // been received are then read before it runs.
  void scheduleTurn();

  boost::asio::io_context& io_;
  const Config& config_;
  Callbacks callbacks_;
  std::vector<double> priorityWeights_;  // by class
  std::int64_t maxForwardsPerTurn_;
  std::unique_ptr<admission::AdmissionQueue> queue_;  // none: off
  admission::TenantQuotas quotas_;
  bool countsArrivals_ = false;  // whether quotas_ records requests: the queue or degradation is on
  std::unordered_map<balancer::RequestId, Queued> queued_;
  degradation::Restrictions restrictions_;
  std::int64_t forwardedInTurn_ = 0;  // of the event loop
  bool isTurnScheduled_ = false;
  admission::ExpiringAverage queueTime_;     // of forwarded requests, since their arrival
  admission::ExpiringAverage responseTime_;  // of served requests, since their arrival
  std::array<std::uint64_t, admission::kOutcomes> counts_{};
  std::shared_ptr<bool> isAlive_;  // for handlers that outlive this
};

}  // namespace ivypost

#endif  // IVYPOST_ADMISSION_CONTROLLER_H_
