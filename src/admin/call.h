// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The calls of the admin API: maps the method and target of a request to a call, or to the error reply of an
// invalid one. Performs no I/O. The paths are a public interface and must not change.
#ifndef IVYPOST_ADMIN_CALL_H_
#define IVYPOST_ADMIN_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace ivypost::admin {

/// A call of the operators' admin API.
struct Call {
  /// The operation.
  enum class Kind : std::uint8_t {
    Ready,     ///< GET /api/ready: whether the sidecar is ready.
    Exclude,   ///< POST /api/exclude/ID: sends no more requests to this upstream.
    Include,   ///< POST /api/include/ID: ends the exclusion.
    Evacuate,  ///< POST /api/evacuate: drains the sidecar.
    Rejoin,    ///< POST /api/rejoin: ends the drain.
  };
  Kind kind = Kind::Ready;  ///< The operation.
  std::string upstream;     ///< For Exclude and Include the decoded upstream id, not empty. Otherwise empty.
};

/// The HTTP status of a successful call.
constexpr unsigned kOk = 200;

/// The answer to a call.
struct Reply {
  unsigned status = kOk;  ///< HTTP status: 2xx is success, all others are failures.
  std::string text;       ///< One line, without a line break.
};

/// The call that a request makes, or the error reply to an invalid request: 404 for an unknown path or an id
/// that is empty, contains a slash or is wrongly percent-encoded (RFC 3986, 2.1); 405 for a wrong method.
/// `target`: as in the request line; its query is ignored.
[[nodiscard]] std::variant<Call, Reply> route(std::string_view method, std::string_view target);

}  // namespace ivypost::admin

#endif  // IVYPOST_ADMIN_CALL_H_
