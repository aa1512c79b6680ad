// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Between the server and the decision module: carries out what src/admission decides on requests that have
// been read. Where the operator has not switched the queue on, each goes on at once and nothing is kept.
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
#include "degradation/restrictions.h"
#include "operator/file.h"

namespace ivypost {

class AdmissionController {
 public:
  struct Callbacks {
    std::function<void(ClientRequest)> forward;
    std::function<void(balancer::RequestId, admission::Outcome)> reject;
  };

  // Throws settings::FormatError for an order with a class that the platform doesn't have.
  AdmissionController(boost::asio::io_context& io, const Config& config, const op::File& file,
                      Callbacks callbacks);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;
  ~AdmissionController();

  // Throws as the constructor does, for a file that apply() could not take over; changes nothing.
  void validate(const op::File& file) const;
  // What waits stays, in the new order.
  void apply(const op::File& file);
  void restrict(const degradation::Restrictions& restrictions);

  // Takes a request on, or one after the other refuses and hands on, from within the call or later.
  // `isOverloaded`: there is no place for one more, so the least worthy is refused for it.
  void submit(ClientRequest request, bool isOverloaded);
  // Its client left or was answered. False if it does not wait here.
  bool withdraw(balancer::RequestId id);
  // Since it was handed on.
  void recordResponseTime(Micros took) { responseTime_.add(took, now()); }

  bool rejectsBeforeBody() const { return restrictions_.rejectsBeforeBody; }
  bool hasQueue() const { return queue_ != nullptr; }
  // Whether a request of this class with so much time left can't be served, so that its body need not be
  // read.
  bool isTooLate(std::uint32_t requestClass, Micros left) const;
  // When to come again, for a client that is refused now.
  Micros retryAfter() const;
  double beyondQuotaFraction();
  std::size_t queueSize() const { return queue_ ? queue_->size() : 0; }
  std::uint64_t count(admission::Outcome outcome) const {
    return counts_.at(static_cast<std::size_t>(outcome));
  }

 private:
  std::vector<double> priorityWeightsOf(const op::File& file) const;
  void execute(const admission::Decision& decision);
  void runTurn();
  void scheduleTurn();

  boost::asio::io_context& io_;
  const Config& config_;
  Callbacks callbacks_;
  std::vector<double> priorityWeights_;  // by class
  std::int64_t perTurn_;
  std::unique_ptr<admission::AdmissionQueue> queue_;  // none: off
  admission::TenantQuotas quotas_;
  bool countsArrivals_ = false;  // shares are of use to somebody
  struct Queued {
    ClientRequest request;
    admission::QueuedRequest entry;
  };
  std::unordered_map<balancer::RequestId, Queued> queued_;
  degradation::Restrictions restrictions_;
  std::int64_t forwardedInTurn_ = 0;  // in this turn of the loop
  bool isTurnScheduled_ = false;
  admission::ExpiringAverage queueTime_,
      responseTime_;  // of those handed on: in the queue, and until they were served
  std::array<std::uint64_t, admission::kOutcomes> counts_{};
  std::shared_ptr<bool> isAlive_;  // for handlers that outlive this
};

}  // namespace ivypost

#endif  // IVYPOST_ADMISSION_CONTROLLER_H_
