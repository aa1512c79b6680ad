// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_CALL_ERROR_H_
#define IVYPOST_DISCOVERY_CALL_ERROR_H_

#include <boost/system/error_code.hpp>
#include <string>
#include <variant>

namespace ivypost::discovery {

/// The connection broke or was not made, or what came over it is no HTTP response.
struct TransportError {
  boost::system::error_code code;  ///< why
};
/// The response has another status than 200.
struct ErrorStatus {
  unsigned status = 0;  ///< the response's
};
/// No complete response came in time.
struct CallTimeout {};

/// Why a call of the platform's discovery came to nothing.
using CallError = std::variant<TransportError, ErrorStatus, CallTimeout>;

/// A few words for the log, without a line end: "Connection refused", "status 503", "no answer in time".
[[nodiscard]] std::string describe(const CallError& error);

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_CALL_ERROR_H_
