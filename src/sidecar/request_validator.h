// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Checks the head of a client's request against the platform's settings. A function of the message, the
// settings and the time: no I/O, no clock of its own, nothing kept.
#ifndef IVYPOST_REQUEST_VALIDATOR_H_
#define IVYPOST_REQUEST_VALIDATOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <variant>

#include "client_request.h"
#include "clock.h"
#include "config.h"
#include "request_parser.h"

namespace ivypost {

/// Why a request is not taken.
struct RequestError {
  /// The HTTP status of the answer. 503 promises that trying again is harmless, and gets Retry-After.
  unsigned status = 400;
  /// One line for the client, without a line end; static text.
  std::string_view reason;
};

/// What the head of a request tells before its body has been read.
struct RequestHint {
  /// The number of its class.
  std::uint32_t requestClass = 0;
  /// Microseconds until its client gives up; negative when that has passed.
  Micros remaining = 0;
};

/// Reads and checks heads of requests. Stateless; the site has to outlive it.
class RequestValidator {
 public:
  /// Whether no other request has this X-Trace-Id.
  using IsTraceIdFree = std::function<bool(std::uint64_t)>;

  /// `site`: the platform's settings; referred to, not copied.
  explicit RequestValidator(const settings::Site& site) : site_(site) {}

  /// What a head in origin-form reads as, or the first error that it has. The request's id and message are
  /// left to the caller. `unread`: time since the request's last byte came; `time`: now.
  [[nodiscard]] std::variant<ClientRequest, RequestError> validate(const RequestHead& head,
                                                                   std::chrono::milliseconds unread,
                                                                   Clock::time_point time,
                                                                   const IsTraceIdFree& isTraceIdFree) const;

  /// Class and remaining time as far as the head tells them without an error in either; none: only validate()
  /// can say what is wrong.
  [[nodiscard]] std::optional<RequestHint> hintOf(const RequestHead& head,
                                                  std::chrono::milliseconds unread) const;

 private:
  using Error = std::optional<RequestError>;

  // `firstSegment`: of the path; none if the path has none or is no path.
  Error readClass(const RequestHead& head, std::optional<std::string_view> firstSegment,
                  ClientRequest& request) const;
  Error checkMethod(const RequestHead& head, std::uint32_t requestClass) const;
  Error readTenant(const RequestHead& head, ClientRequest& request) const;

  const settings::Site& site_;
};

}  // namespace ivypost

#endif  // IVYPOST_REQUEST_VALIDATOR_H_
