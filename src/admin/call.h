// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What operators may ask at the second address: method and target to a call, or to the answer that a wrong
// one gets. No I/O.
#ifndef IVYPOST_ADMIN_CALL_H_
#define IVYPOST_ADMIN_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace ivypost::admin {

struct Call {
  enum class Kind : std::uint8_t { Ready, Exclude, Include, Evacuate, Rejoin };
  Kind kind = Kind::Ready;
  std::string upstream;  // of Exclude and Include, decoded
};

// 2xx is yes, all else no. One line of text.
struct Reply {
  unsigned status = 200;
  std::string text;
};

// The target's query is passed over. 404 for an unknown path or an id that is empty, holds a slash or is
// wrongly percent-encoded (RFC 3986, 2.1); 405 for another method.
std::variant<Call, Reply> route(std::string_view method, std::string_view target);

}  // namespace ivypost::admin

#endif  // IVYPOST_ADMIN_CALL_H_
