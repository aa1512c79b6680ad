// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The smallest sidecar: one list, one request, one answer.
#include <ivypost/balancer.h>

#include <cstdio>

int main() {
  ivypost::balancer::Settings settings;
  ivypost::balancer::RequestClass lookups;
  lookups.latencyObjective = 200'000;  // microseconds
  lookups.deadline = 500'000;
  lookups.semantics = ivypost::balancer::Semantics::Idempotent;
  settings.classes = {lookups};
  settings.maxAttempts = 3;

  ivypost::balancer::Micros now = 1'000'000;  // your clock
  ivypost::balancer::Balancer balancer(settings, /*seed=*/42, now);
  std::vector<ivypost::balancer::Action> actions;

  ivypost::balancer::MembershipUpdate list{ivypost::balancer::MembershipUpdate::Kind::Saved, {}};
  list.entries.push_back({.upstream = 0});
  list.entries.push_back({.upstream = 1});
  balancer.handle(list, now, actions);

  ivypost::balancer::NewRequest request;
  request.request = 7;
  request.expiresIn = 500'000;
  balancer.handle(request, now, actions);

  bool sent = false;
  for (const ivypost::balancer::Action& action : actions) {
    if (const auto* send = std::get_if<ivypost::balancer::Send>(&action)) {
      std::printf("request %llu goes to upstream %u\n", static_cast<unsigned long long>(send->request),
                  send->upstream);
      sent = true;
    }
  }
  return sent ? 0 : 1;
}
