// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Between the server and the decision module: carries out what src/admission decides on requests that have
// been read. Where the operator has not switched the queue on, each goes on at once and nothing is kept.
#ifndef IVYPOST_GATE_H_
#define IVYPOST_GATE_H_

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

class Gate {
 public:
  struct Callbacks {
    std::function<void(ClientRequest)> handOn;
    std::function<void(balancer::RequestId, admission::Outcome)> refuse;
  };

  // Throws settings::FormatError for an order with a class that the platform doesn't have.
  Gate(boost::asio::io_context& io, const Config& config, const op::File& file, Callbacks callbacks);
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;
  ~Gate();

  // Throws as the constructor does, for a file that adopt() could not take over; changes nothing.
  void check(const op::File& file) const;
  // What waits stays, in the new order.
  void adopt(const op::File& file);
  void reduce(const degradation::Restrictions& restrictions);

  // Takes a request on, or one after the other refuses and hands on, from within the call or later.
  // `crowded`: there is no place for one more, so the least worthy is refused for it.
  void offer(ClientRequest request, bool crowded);
  // Its client left or was answered. False if it does not wait here.
  bool withdraw(balancer::RequestId id);
  // Since it was handed on.
  void served(Micros took) { answer_.add(took, now()); }

  bool refusesFromHead() const { return restrictions_.rejectsBeforeBody; }
  bool queues() const { return queue_ != nullptr; }
  // Whether a request of this class with so much time left can't be served, so that its body need not be
  // read.
  bool hopeless(std::uint32_t requestClass, Micros left) const;
  // When to come again, for a client that is refused now.
  Micros comeAgain() const;
  double beyondShare();
  std::size_t waiting() const { return queue_ ? queue_->size() : 0; }
  std::uint64_t count(admission::Outcome outcome) const {
    return counts_.at(static_cast<std::size_t>(outcome));
  }

 private:
  std::vector<double> worthBy(const op::File& file) const;
  void carryOut(const admission::Decision& decision);
  void turn();
  void turnLater();

  boost::asio::io_context& io_;
  const Config& config_;
  Callbacks callbacks_;
  std::vector<double> worth_;  // by class
  std::int64_t perTurn_;
  std::unique_ptr<admission::AdmissionQueue> queue_;  // none: off
  admission::TenantQuotas shares_;
  bool counting_ = false;  // shares are of use to somebody
  struct Held {
    ClientRequest request;
    admission::QueuedRequest waiting;
  };
  std::unordered_map<balancer::RequestId, Held> held_;
  degradation::Restrictions restrictions_;
  std::int64_t handedOn_ = 0;  // in this turn of the loop
  bool turnSet_ = false;
  admission::ExpiringAverage wait_, answer_;  // of those handed on: in the queue, and until they were served
  std::array<std::uint64_t, admission::kOutcomes> counts_{};
  std::shared_ptr<bool> alive_;  // for handlers that outlive this
};

}  // namespace ivypost

#endif  // IVYPOST_GATE_H_
