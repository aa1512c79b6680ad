// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What the kernel knows of the other end of a TCP connection. One system call each, none waits. Linux only;
// where the kernel doesn't say, the answer is the one that changes nothing.
#ifndef IVYPOST_ADMISSION_TCP_STATE_H_
#define IVYPOST_ADMISSION_TCP_STATE_H_

#include <chrono>

namespace ivypost::admission {

// It has ended its sending, or the connection has broken; data that came before may still stand unread.
bool hasPeerClosed(int socket);

// Since data last came, in whole milliseconds, rounded down; 0 where unknown (tcp(7), TCP_INFO:
// tcpi_last_data_recv). What stood in a queue was received by then, whenever it is read.
std::chrono::milliseconds timeSinceLastData(int socket);

// All that was sent, and the end of sending, has been acknowledged: closing can cost the peer nothing that it
// has not got (tcp(7), SIOCOUTQ).
bool isAllAcknowledged(int socket);

// Something that was sent, or the end of sending, is known to be on its way still.
bool hasUnacknowledgedData(int socket);

}  // namespace ivypost::admission

#endif  // IVYPOST_ADMISSION_TCP_STATE_H_
