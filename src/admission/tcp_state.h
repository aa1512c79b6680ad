// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Queries the kernel's state of a TCP connection. Each function makes one non-blocking system call. Linux
/// only. On an error, each returns the value for which its caller takes no action.
#ifndef IVYPOST_ADMISSION_TCP_STATE_H_
#define IVYPOST_ADMISSION_TCP_STATE_H_

#include <chrono>

namespace ivypost::admission {

/// Whether the peer has closed or half-closed the connection, or the connection is broken; data received
/// before that may still be unread (poll(2), POLLRDHUP). False on an error.
[[nodiscard]] bool hasPeerClosed(int socket);

/// The time since the kernel last received data, in whole milliseconds, rounded down (tcp(7), TCP_INFO:
/// tcpi_last_data_recv). Includes the time that the data has been in a queue unread. 0 on an error.
[[nodiscard]] std::chrono::milliseconds timeSinceLastData(int socket);

/// Whether unread data fills at least half of the memory that the kernel allows for it (SO_MEMINFO,
/// Linux 4.12), so that the peer may be kept from sending. False on an error.
[[nodiscard]] bool isReceiveBufferFull(int socket);

/// Whether the peer has acknowledged all sent data, and the FIN if one was sent (tcp(7), SIOCOUTQ): closing
/// then loses no data. False on an error.
[[nodiscard]] bool isAllAcknowledged(int socket);

/// Whether sent data, or a FIN, is not acknowledged yet. False on an error, so this is not the negation of
/// isAllAcknowledged().
[[nodiscard]] bool hasUnacknowledgedData(int socket);

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TCP_STATE_H_
