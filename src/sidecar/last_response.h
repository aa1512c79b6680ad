// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The last answer on a client's connection that is closed at once.
#ifndef IVYPOST_LAST_RESPONSE_H_
#define IVYPOST_LAST_RESPONSE_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace ivypost {

/// Writes `text` to a non-blocking socket, closes its sending side and reads what is unread: closing the
/// socket over unread bytes would reset the connection, and the client could lose the answer. Writes as much
/// as the kernel accepts at once. An empty text: writes nothing.
void sendLastResponse(boost::asio::ip::tcp::socket& socket, const std::string& text);

}  // namespace ivypost

#endif  // IVYPOST_LAST_RESPONSE_H_
