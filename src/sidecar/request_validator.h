// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Checks the head of a client's request by the platform's settings. A pure function of the message, the
// settings and the time: no I/O, no clock and no state.
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

/// Why a request is rejected.
struct RequestError {
  /// The HTTP status of the answer. 503 states that the request has not run, so that a retry is safe; it gets
  /// Retry-After.
  unsigned status = 400;
  /// One line for the client, without a line end; static text.
  std::string_view reason;
};

/// Why a request is rejected whose X-Trace-Id is in use.
inline constexpr std::string_view kTraceIdInUse = "X-Trace-Id is or was lately another request's";

/// The request's X-Trace-Id; 0 if it is missing or malformed.
[[nodiscard]] std::uint64_t traceIdOf(const RequestHead& head);

/// What the head of a request states before its body has been read.
struct RequestHint {
  /// The index of its class.
  std::uint32_t requestClass = 0;
  /// Microseconds until its client gives up; negative if that time has passed.
  Micros remaining = 0;
};

/// Parses and checks heads of requests. Stateless; the site must outlive it.
class RequestValidator {
 public:
  /// Whether no open or recently closed request has this X-Trace-Id.
  using IsTraceIdFree = std::function<bool(std::uint64_t)>;

  /// `site`: the platform's settings; held by reference.
  explicit RequestValidator(const settings::Site& site) : site_(site) {}

  /// Parses a head whose target is in origin-form; returns its first error if it has one. The caller sets the
  /// request's id and message. `unread`: the time since the request's last byte was received; `time`: now.
  [[nodiscard]] std::variant<ClientRequest, RequestError> validate(const RequestHead& head,
                                                                   std::chrono::milliseconds unread,
                                                                   Clock::time_point time,
                                                                   const IsTraceIdFree& isTraceIdFree) const;

  /// The class and the remaining time, if the head states both without an error; otherwise none, and
  /// validate() reports the error.
  [[nodiscard]] std::optional<RequestHint> hintOf(const RequestHead& head,
                                                  std::chrono::milliseconds unread) const;

 private:
  using Error = std::optional<RequestError>;

  // `firstSegment`: the path's first segment; none if it has no segment or the target is not a path.
  Error readClass(const RequestHead& head, std::optional<std::string_view> firstSegment,
                  ClientRequest& request) const;
  Error checkMethod(const RequestHead& head, std::uint32_t requestClass) const;
  Error readTenant(const RequestHead& head, ClientRequest& request) const;

  const settings::Site& site_;
};

}  // namespace ivypost

#endif  // IVYPOST_REQUEST_VALIDATOR_H_
