// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Why the sidecar closed a client's connection, for the log.
#ifndef IVYPOST_CLOSE_REASON_H_
#define IVYPOST_CLOSE_REASON_H_

#include <cstdint>

namespace ivypost {

/// The cause of a client connection's end.
enum class CloseReason : std::uint8_t {
  ClientLeft,        ///< the client closed, half-closed or reset the connection
  ReadFailed,        ///< reading from the client failed
  WriteFailed,       ///< writing to the client failed
  RequestTimeout,    ///< the client did not send a complete request in time
  ResponseTimeout,   ///< the client did not read its answer in time
  AnswerIncomplete,  ///< the rest of a streamed answer can't be received
  Lingered,          ///< the time for acknowledging the last answer is over
  Evicted,           ///< the slot is needed for another connection
  Idle,              ///< no request is pending; the connection is idle
  Exit,              ///< the process exits
};

/// The cause as the log names it.
[[nodiscard]] constexpr const char* nameOf(CloseReason reason) {
  switch (reason) {
    case CloseReason::ClientLeft:
      return "the client left";
    case CloseReason::ReadFailed:
      return "reading from the client failed";
    case CloseReason::WriteFailed:
      return "writing to the client failed";
    case CloseReason::RequestTimeout:
      return "the request was not complete in time";
    case CloseReason::ResponseTimeout:
      return "the client did not read its answer in time";
    case CloseReason::AnswerIncomplete:
      return "the rest of the answer can't be received";
    case CloseReason::Lingered:
      return "the client did not acknowledge its answer";
    case CloseReason::Evicted:
      return "its slot was needed";
    case CloseReason::Idle:
      return "idle";
    case CloseReason::Exit:
      return "the process exits";
  }
  return "";
}

}  // namespace ivypost

#endif  // IVYPOST_CLOSE_REASON_H_
