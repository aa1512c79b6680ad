// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admission/tcp_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

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

bool isAllAcknowledged(int socket) {
  int unacknowledged = 0;
  return ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

bool hasUnacknowledgedData(int socket) {
  int unacknowledged = 0;
  return ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

}  // namespace ivypost::admission
