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

/// Between the server and the decision module: executes what src/admission decides on requests that have been
/// read. Where the operator has not switched the queue on, each is forwarded at once and nothing is kept.
///
/// Invariant: each request that is submitted is forwarded or rejected once, or withdrawn. The queue is
/// bounded by the operator's settings; the controller holds the requests that are in it and no others.
class AdmissionController {
 public:
  /// What becomes of requests, called from within the event loop; also from within submit() and apply().
  struct Callbacks {
    /// Takes a request on.
    std::function<void(ClientRequest)> forward;
    /// The request of this id will not run; the outcome says why.
    std::function<void(balancer::RequestId, admission::Outcome)> reject;
  };

  /// Throws settings::FormatError for an order with a class that the platform doesn't have. `io` and `config`
  /// have to outlive it.
  AdmissionController(boost::asio::io_context& io, const Config& config,
                      const configuration::OperatorFile& file, Callbacks callbacks);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;
  ~AdmissionController();

  /// Throws as the constructor does, for a file that apply() could not go by; changes nothing.
  void validate(const configuration::OperatorFile& file) const;
  /// Goes by another operator's file from now on. Queued requests stay in the queue, in the new order, or are
  /// forwarded where there is no queue any more. Throws as the constructor does.
  void apply(const configuration::OperatorFile& file);
  /// Goes by the restrictions of another degradation level from now on.
  void restrict(const degradation::Restrictions& restrictions);

  /// Takes a request over, whose id was never submitted: forwards, queues or rejects it. `isOverloaded`:
  /// there is no capacity for one more, so one of the lowest priority is rejected for it.
  void submit(ClientRequest request, bool isOverloaded);
  /// The client of a request has left or has its response. False if the request is not in the queue.
  bool withdraw(balancer::RequestId id);
  /// A request was served; `duration`: microseconds since it had come.
  void recordResponseTime(Micros duration) { responseTime_.add(duration, now()); }

  /// Whether requests that can't be served are to be rejected before their body is read.
  [[nodiscard]] bool rejectsBeforeBody() const { return restrictions_.rejectsBeforeBody; }
  /// Whether the operator has switched the queue on.
  [[nodiscard]] bool hasQueue() const { return queue_ != nullptr; }
  /// Whether a request of this class with so many microseconds left can't be served: the degradation level
  /// excludes its class, or recent requests took longer.
  [[nodiscard]] bool isTooLate(std::uint32_t requestClass, Micros remaining) const;
  /// Microseconds after which a client that is rejected now may come again; 0: the platform wants no advice.
  [[nodiscard]] Micros retryAfter() const;
  /// The fraction of recent requests that were beyond their tenant's quota; 0 to 1. 0 where neither the queue
  /// nor degradation is on.
  [[nodiscard]] double beyondQuotaFraction();
  /// Requests in the queue.
  [[nodiscard]] std::size_t queueSize() const { return queue_ ? queue_->size() : 0; }
  /// Requests that had this outcome since the process started; none is counted while there is no queue.
  [[nodiscard]] std::uint64_t count(admission::Outcome outcome) const {
    return counts_.at(static_cast<std::size_t>(outcome));
  }

 private:
  struct Queued {
    ClientRequest request;
    admission::QueuedRequest entry;
  };

  // By class. The operator's order first, each above all weights that the platform gives; then by the
  // platform's.
  [[nodiscard]] std::vector<double> priorityWeightsOf(const configuration::OperatorFile& file) const;
  void execute(const admission::Decision& decision);
  // Forwards and rejects as much as one turn of the event loop may take.
  void runTurn();
  // Runs a turn behind everything that is ready now: all requests that have come by then have been read.
  void scheduleTurn();

  boost::asio::io_context& io_;
  const Config& config_;
  Callbacks callbacks_;
  std::vector<double> priorityWeights_;  // by class
  std::int64_t perTurn_;
  std::unique_ptr<admission::AdmissionQueue> queue_;  // none: off
  admission::TenantQuotas quotas_;
  bool countsArrivals_ = false;  // quotas count: the queue or degradation is on
  std::unordered_map<balancer::RequestId, Queued> queued_;
  degradation::Restrictions restrictions_;
  std::int64_t forwardedInTurn_ = 0;  // of the event loop
  bool isTurnScheduled_ = false;
  admission::ExpiringAverage queueTime_;     // of forwarded requests, since they had come
  admission::ExpiringAverage responseTime_;  // of served requests, since they had come
  std::array<std::uint64_t, admission::kOutcomes> counts_{};
  std::shared_ptr<bool> isAlive_;  // for handlers that outlive this
};

}  // namespace ivypost

#endif  // IVYPOST_ADMISSION_CONTROLLER_H_
