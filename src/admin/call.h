// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What operators may ask: method and target to a call, or to the answer that a wrong one gets. No I/O. Paths
// are spoken: they stay letter for letter.
#ifndef IVYPOST_ADMIN_CALL_H_
#define IVYPOST_ADMIN_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace ivypost::admin {

/// A call of the operators' admin API.
struct Call {
  /// What is asked.
  enum class Kind : std::uint8_t {
    Ready,     ///< GET /api/ready: whether the sidecar is ready.
    Exclude,   ///< POST /api/exclude/ID: no more requests to this upstream.
    Include,   ///< POST /api/include/ID: that ends.
    Evacuate,  ///< POST /api/evacuate: the sidecar drains.
    Rejoin,    ///< POST /api/rejoin: that ends.
  };
  Kind kind = Kind::Ready;  ///< What is asked.
  std::string upstream;  ///< Of Exclude and Include: the upstream's id, decoded, not empty. Otherwise empty.
};

/// HTTP's status of a call that is granted.
constexpr unsigned kOk = 200;

/// The answer to a call.
struct Reply {
  unsigned status = kOk;  ///< HTTP's: 2xx is yes, all else no.
  std::string text;       ///< One line, without its end.
};

/// The call that a request makes, or the reply to one that makes none: 404 for an unknown path or an id that
/// is empty, holds a slash or is wrongly percent-encoded (RFC 3986, 2.1); 405 for another method. `target`:
/// as in the request line; its query is passed over.
[[nodiscard]] std::variant<Call, Reply> route(std::string_view method, std::string_view target);

}  // namespace ivypost::admin

#endif  // IVYPOST_ADMIN_CALL_H_
