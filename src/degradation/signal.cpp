// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "degradation/signal.h"

#include <cstdlib>

namespace ivypost::degradation {

std::string_view nameOf(Signal signal) {
  switch (signal) {
    case Signal::CpuUtilization:
      return "cpu share";
    case Signal::EventLoopLag:
      return "loop lag";
    case Signal::OpenRequestFraction:
      return "open share";
    case Signal::BusyConnectionFraction:
      return "descriptor share";
    case Signal::FailedAttemptFraction:
      return "bad share";
    case Signal::OverQuotaFraction:
      return "over share";
    case Signal::RetryFraction:
      return "retry share";
    case Signal::EndpointListAge:
      return "list age";
  }
  std::abort();  // Not an enumerator.
}

Unit unitOf(Signal signal) {
  switch (signal) {
    case Signal::EventLoopLag:
    case Signal::EndpointListAge:
      return Unit::Microseconds;
    case Signal::CpuUtilization:
    case Signal::OpenRequestFraction:
    case Signal::BusyConnectionFraction:
    case Signal::FailedAttemptFraction:
    case Signal::OverQuotaFraction:
    case Signal::RetryFraction:
      return Unit::Fraction;
  }
  std::abort();  // Not an enumerator.
}

}  // namespace ivypost::degradation
