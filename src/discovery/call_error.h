// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_CALL_ERROR_H_
#define IVYPOST_DISCOVERY_CALL_ERROR_H_

#include <boost/system/error_code.hpp>
#include <string>
#include <variant>

namespace ivypost::discovery {

/// The connection failed or could not be established, or the peer sent bytes that are not an HTTP response.
struct TransportError {
  boost::system::error_code code;  ///< the error of the system call or of the HTTP parser
};
/// The response has a status other than 200.
struct ErrorStatus {
  unsigned status = 0;  ///< the status of the response
};
/// No complete response arrived within the call's timeout.
struct CallTimeout {};

/// Why a call to the platform's discovery failed.
using CallError = std::variant<TransportError, ErrorStatus, CallTimeout>;

/// A short description for the log, without a line end: "Connection refused", "status 503", "no answer in
/// time".
[[nodiscard]] std::string describe(const CallError& error);

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_CALL_ERROR_H_
