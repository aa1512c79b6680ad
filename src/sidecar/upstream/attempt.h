// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The requests of the sidecar to the connection pool, and the results that the pool reports.
#ifndef IVYPOST_UPSTREAM_ATTEMPT_H_
#define IVYPOST_UPSTREAM_ATTEMPT_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "client_request.h"
#include "clock.h"
#include "config.h"
#include "upstream/attempt_failure.h"

namespace ivypost {

/// Identifies one attempt of a request. Unique while the request exists.
struct AttemptId {
  balancer::RequestId request = 0;  ///< the sidecar's id of the request
  std::uint32_t number = 0;         ///< index among the request's attempts, from 0
  /// Orders by request, then by number.
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with a literal 0.
  auto operator<=>(const AttemptId&) const = default;
};

/// The instruction to send an attempt.
struct AttemptOrder {
  AttemptId id;                            ///< never reused
  EndpointId upstream = 0;                 ///< the destination
  std::shared_ptr<const Message> message;  ///< shared by all attempts of a request
  std::shared_ptr<Upload> upload;          ///< the body if it is streamed; null: the message holds the body
  Clock::time_point deadline;              ///< the attempt times out at this time
  /// The last byte must be sent before this time: later the upstream would no longer recognize the request as
  /// a repetition.
  Clock::time_point writeBy;
};

/// The result of an attempt, reported exactly once per attempt.
struct AttemptEnd {
  AttemptId id;                                             ///< of the AttemptOrder
  balancer::Outcome outcome = balancer::Outcome::Ok;        ///< how the attempt ended
  Clock::duration latency{};                                ///< time since the attempt was started
  std::string body;                                         ///< of an Ok whose answer was not streamed
  std::shared_ptr<streaming::ByteBudget::Share> bodyShare;  ///< the budget that `body` has taken; null: none
  std::string contentType;                                  ///< of an Ok; empty: the answer has none
  AttemptFailure failure = AttemptFailure::None;            ///< why there is no complete answer
  std::uint64_t receivedBytes = 0;                          ///< of the answer, its head included
  bool isStreamed = false;                                  ///< a part of the answer was forwarded already
  bool isBodyConsumed = false;  ///< a part of the streamed body has been sent and can't be resent
  Clock::duration transfer{};   ///< the part of `latency` in which bodies were streamed
  std::optional<balancer::LoadReport> report;  ///< from the answer's header; none: absent or invalid
};

/// The start of an answer of status 200 that is too large to be buffered. Its body is streamed through the
/// pipe.
struct StreamBegin {
  AttemptId id;                         ///< of the AttemptOrder
  std::string contentType;              ///< empty: the answer has none
  std::optional<std::uint64_t> length;  ///< bytes; none: chunked, or delimited by the end of the stream
  std::shared_ptr<streaming::Pipe>
      body;  ///< the receiver is its consumer; fails if the rest can't be received
};

/// The result of a probe, reported exactly once per probe.
struct ProbeEnd {
  EndpointId upstream = 0;                     ///< the endpoint that was probed
  bool ok = false;                             ///< whether the upstream answered 200
  Clock::duration latency{};                   ///< time since the probe was started
  std::optional<balancer::LoadReport> report;  ///< none: absent or invalid
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_ATTEMPT_H_
