// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// What the kernel knows of a TCP connection and its other end. One system call each, which does not wait.
/// Linux only. Where the kernel gives an error, each returns what has its caller change nothing.
#ifndef IVYPOST_ADMISSION_TCP_STATE_H_
#define IVYPOST_ADMISSION_TCP_STATE_H_

#include <chrono>

namespace ivypost::admission {

/// Whether the other end has ended its sending, or the connection is broken; data that came before that may
/// be unread (poll(2), POLLRDHUP). False on an error.
[[nodiscard]] bool hasPeerClosed(int socket);

/// The time since data last came, in whole milliseconds, rounded down (tcp(7), TCP_INFO:
/// tcpi_last_data_recv). What stood in a queue had been received by then, whenever it is read. 0 on an error.
[[nodiscard]] std::chrono::milliseconds timeSinceLastData(int socket);

/// Whether all that was sent, and the end of sending, has been acknowledged (tcp(7), SIOCOUTQ): closing can
/// lose nothing that the other end has not got. False on an error.
[[nodiscard]] bool isAllAcknowledged(int socket);

/// Whether something that was sent, or the end of sending, is not acknowledged. False on an error, so this is
/// not the contrary of isAllAcknowledged().
[[nodiscard]] bool hasUnacknowledgedData(int socket);

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TCP_STATE_H_
