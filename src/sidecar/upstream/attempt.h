// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// What the sidecar asks of the connections to upstreams, and what comes of it.
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

namespace ivypost {

/// Names one attempt of a request for as long as the request is known.
struct AttemptId {
  balancer::RequestId request = 0;  ///< the sidecar's own id
  std::uint32_t number = 0;         ///< of the request's attempts, from 0 on
  /// By request, and by number among one request's.
  // NOLINTNEXTLINE(modernize-use-nullptr): the checker mistakes the comparison with a literal 0.
  auto operator<=>(const AttemptId&) const = default;
};

/// An attempt that is to be made.
struct AttemptOrder {
  AttemptId id;                            ///< never given twice
  EndpointId upstream = 0;                 ///< where it goes
  std::shared_ptr<const Message> message;  ///< shared by all attempts of a request
  std::shared_ptr<Upload> upload;  ///< the body, if it comes in pieces; none: it stands in the message
  Clock::time_point deadline;      ///< the answer is not waited for any longer
  /// Its last byte is not sent any later: the upstream would no longer know it for a repeat.
  Clock::time_point writeBy;
};

/// How an attempt has ended; each ends once.
struct AttemptEnd {
  AttemptId id;                                       ///< as ordered
  balancer::Outcome outcome = balancer::Outcome::Ok;  ///< what the end proves
  Clock::duration lag{};                              ///< since it was ordered
  std::string body;                                   ///< of an Ok that was not streamed
  std::string contentType;                            ///< of an Ok; empty: it named none
  bool spent = false;                                 ///< some of the body has gone out and can't go again
  Clock::duration transfer{};                         ///< of the lag, the time of bodies that came in pieces
  std::optional<balancer::LoadReport> report;         ///< what came along with the answer
};

/// An answer of status 200 that is too large to be read whole has begun; the rest comes by the pipe.
struct StreamBegin {
  AttemptId id;                         ///< as ordered
  std::string contentType;              ///< empty: it named none
  std::optional<std::uint64_t> length;  ///< bytes; none: it comes in chunks, or ends with its connection
  std::shared_ptr<streaming::Pipe>
      body;  ///< the consumer's side is the receiver's; it fails if the rest is lost
};

/// How a probe has ended; each ends once.
struct ProbeEnd {
  EndpointId upstream = 0;                     ///< that was probed
  bool ok = false;                             ///< whether it answered 200
  Clock::duration lag{};                       ///< since it was asked for
  std::optional<balancer::LoadReport> report;  ///< what the answer said; none: nothing that can be read
};

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_ATTEMPT_H_
