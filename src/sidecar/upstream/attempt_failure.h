// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Why an attempt ended without a complete answer, for the log.
#ifndef IVYPOST_UPSTREAM_ATTEMPT_FAILURE_H_
#define IVYPOST_UPSTREAM_ATTEMPT_FAILURE_H_

#include <cstdint>

namespace ivypost {

/// The cause of an attempt's end. The outcome for the decision module follows from what had been sent.
enum class AttemptFailure : std::uint8_t {
  None,             ///< the answer is complete
  NoConnection,     ///< no connection could be opened, or the limit of connections is reached
  ConnectFailed,    ///< the connection was refused or not established in time
  EndpointChanged,  ///< the endpoint was removed, replaced or drained before anything was written
  ClientGone,       ///< the client had left before the attempt was written
  NoTimeLeft,       ///< the time for writing it was over before it began
  WriteFailed,      ///< the connection broke while the request was written
  UploadFailed,     ///< the request's body was not received completely, or the upstream did not read it
  TimedOut,         ///< the deadline passed
  Cancelled,        ///< the decision module or the client's side withdrew it
  ConnectionEnded,  ///< the upstream closed or reset the connection
  MalformedAnswer,  ///< the answer is no valid HTTP/1.1, or over a limit
  OutOfBudget,      ///< the byte budget had no memory for the answer
  AnswerToAnother,  ///< the only answer that came repeats that of another request
};

/// The cause as the log names it.
[[nodiscard]] constexpr const char* nameOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::None:
      return "the upstream's answer is an error";
    case AttemptFailure::NoConnection:
      return "no connection could be opened";
    case AttemptFailure::ConnectFailed:
      return "the upstream could not be connected to";
    case AttemptFailure::EndpointChanged:
      return "the upstream was changed or removed";
    case AttemptFailure::ClientGone:
      return "the client had left";
    case AttemptFailure::NoTimeLeft:
      return "no time was left to write the request";
    case AttemptFailure::WriteFailed:
      return "the connection broke while the request was written";
    case AttemptFailure::UploadFailed:
      return "the request's body could not be sent";
    case AttemptFailure::TimedOut:
      return "no complete answer in time";
    case AttemptFailure::Cancelled:
      return "cancelled";
    case AttemptFailure::ConnectionEnded:
      return "the upstream ended the connection";
    case AttemptFailure::MalformedAnswer:
      return "the answer is malformed or over a limit";
    case AttemptFailure::OutOfBudget:
      return "the byte budget is used up";
    case AttemptFailure::AnswerToAnother:
      return "the answer repeats that of another request";
  }
  return "";
}

}  // namespace ivypost

#endif  // IVYPOST_UPSTREAM_ATTEMPT_FAILURE_H_
