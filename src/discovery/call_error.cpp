// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/call_error.h"

namespace ivypost::discovery {
namespace {

struct Description {
  std::string operator()(const TransportError& error) const { return error.code.message(); }
  std::string operator()(const ErrorStatus& error) const { return "status " + std::to_string(error.status); }
  std::string operator()(const CallTimeout& /*timeout*/) const { return "no answer in time"; }
};

}  // namespace

std::string describe(const CallError& error) {
  return std::visit(Description{}, error);
}

}  // namespace ivypost::discovery
