// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd/messages.h"

namespace ivypost::etcd {

const char* nameOf(Code code) {
  switch (code) {
    case Code::Ok:
      return "ok";
    case Code::Unavailable:
      return "unavailable";
    case Code::Timeout:
      return "no answer in time";
    case Code::Compacted:
      return "compacted";
    case Code::FutureRevision:
      return "a revision that is not there yet";
    case Code::Unauthenticated:
      return "not authenticated";
    case Code::Denied:
      return "permission denied";
    case Code::Other:
      break;
  }
  return "failed";
}

std::string prefixEnd(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix;
}

}  // namespace ivypost::etcd
