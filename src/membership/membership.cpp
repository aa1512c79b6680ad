// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "membership/membership.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace ivypost::membership {
namespace {

// A source that is to take over and whose call failed is asked again between so soon and so late: nothing
// hangs on it, as the old one still counts, and a whole fleet may have been told to change at once.
constexpr double kRetry = 500'000, kLongestRetry = 8'000'000;

}  // namespace

Membership::Membership(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks)
    : io_(io), callbacks_(std::move(callbacks)), again_(io), random_(seed) {}

Source& Membership::begin(const Make& make) {
  Handover tried = handover_;
  const Handover::Number number = tried.begin();
  auto source = make({[this, number](InstanceList list) { told(number, std::move(list)); },
                      [this, number] { failed(number); }});
  handover_ = tried;
  if (!current_) {
    current_ = std::move(source);
    return *current_;
  }
  dropNext();
  next_ = std::move(source);
  next_->watch();
  return *next_;
}

void Membership::abandonNext() {
  handover_.abandon();
  dropNext();
}

void Membership::dropNext() {
  again_.cancel();
  wait_.reset();
  drop(std::move(next_));
}

void Membership::platformMoved(const Endpoint& address) {
  current_->platformMoved(address);
  if (next_) next_->platformMoved(address);
}

void Membership::told(Handover::Number from, InstanceList list) {
  switch (handover_.told(from, list.whole)) {
    case Handover::Verdict::Leave:
      return;
    case Handover::Verdict::TakeOver:
      drop(std::exchange(current_, std::move(next_)));
      dropNext();
      break;
    case Handover::Verdict::Take:
      break;
  }
  callbacks_.told(std::move(list));
}

void Membership::failed(Handover::Number from) {
  if (from == handover_.current()) return callbacks_.failed();
  if (from != handover_.next()) return;
  const double uniform = static_cast<double>(random_() >> 11) * 0x1p-53;
  const auto wait = static_cast<Micros>(wait_.next(kRetry, kLongestRetry, uniform));
  again_.expires_after(std::chrono::microseconds(wait));
  again_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && next_) next_->watch();
  });
}

// Not at once: it may be the one that is calling.
void Membership::drop(std::unique_ptr<Source> source) {
  if (!source) return;
  boost::asio::post(io_, [gone = std::shared_ptr<Source>(std::move(source))] {});
}

}  // namespace ivypost::membership
