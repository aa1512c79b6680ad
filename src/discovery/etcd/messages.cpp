// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/messages.h"

namespace ivypost::discovery::etcd {

const char* nameOf(StatusCode code) {
  switch (code) {
    case StatusCode::Ok:
      return "ok";
    case StatusCode::Unavailable:
      return "unavailable";
    case StatusCode::Timeout:
      return "no answer in time";
    case StatusCode::Compacted:
      return "compacted";
    case StatusCode::FutureRevision:
      return "a revision that is not there yet";
    case StatusCode::Unauthenticated:
      return "not authenticated";
    case StatusCode::Denied:
      return "permission denied";
    case StatusCode::Other:
      break;
  }
  return "failed";
}

std::string prefixEnd(std::string prefix) {
  constexpr unsigned char kHighestByte = 0xff;
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == kHighestByte) prefix.pop_back();
  if (prefix.empty()) {
    prefix.push_back('\0');
    return prefix;
  }
  prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix;
}

}  // namespace ivypost::discovery::etcd
