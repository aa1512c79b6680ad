// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/tcp_state.h"

#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace ivypost::admission {

bool hasPeerClosed(int socket) {
  pollfd descriptor{socket, POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::chrono::milliseconds timeSinceLastData(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool isReceiveBufferFull(int socket) {
  std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
  socklen_t size = sizeof memory;
  if (getsockopt(socket, SOL_SOCKET, SO_MEMINFO, memory.data(), &size) != 0) return false;
  return memory[SK_MEMINFO_RMEM_ALLOC] >= memory[SK_MEMINFO_RCVBUF] / 2;
}

bool isAllAcknowledged(int socket) {
  int unacknowledged = 0;
  return ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

bool hasUnacknowledgedData(int socket) {
  int unacknowledged = 0;
  return ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

}  // namespace ivypost::admission
