// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/exclusion_call.h"

#include <chrono>
#include <system_error>

#include "exclusion/error.h"

namespace ivypost {
namespace {

// HTTP status codes of the answers to operators' calls.
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

std::optional<admin::Reply> replyToError(const std::error_code& error) {
  if (error == exclusion::Error::Locked) return std::nullopt;
  if (error == exclusion::Error::NoFolder)
    return admin::Reply{kUnavailable, "TMPDIR is not set, so it can't be kept"};
  return admin::Reply{kUnavailable, "it can't be kept: " + error.message()};
}

}  // namespace

exclusion::Change changeOf(const admin::Call& call, const EndpointTable& endpoints, exclusion::WallTime now) {
  using Kind = exclusion::Change::Kind;
  exclusion::Change change;
  change.kind = call.kind == admin::Call::Kind::Exclude ? Kind::Exclude : Kind::Include;
  change.endpoint = call.upstream;
  change.now = now;
  if (const auto number = endpoints.find(call.upstream)) {
    const EndpointRecord& endpoint = endpoints[*number];
    change.isListed = endpoint.isListed;
    change.listedStart = exclusion::WallTime(std::chrono::milliseconds(endpoint.startedAtMs));
  }
  return change;
}

std::optional<admin::Reply> replyTo(const exclusion::Result<exclusion::Outcome>& outcome, bool isExcluded) {
  if (!outcome) return replyToError(outcome.error());
  switch (outcome.value()) {
    case exclusion::Outcome::UnknownEndpoint:
      return admin::Reply{kNotFound, "no upstream has this id"};
    case exclusion::Outcome::Full:
      return admin::Reply{kUnavailable, "too many upstreams are out, or the id is too long"};
    case exclusion::Outcome::Unchanged:
      return admin::Reply{kOk, isExcluded ? "already excluded" : "already included"};
    case exclusion::Outcome::Changed:
      return admin::Reply{kOk, isExcluded ? "excluded" : "included"};
  }
  return std::nullopt;
}

}  // namespace ivypost
