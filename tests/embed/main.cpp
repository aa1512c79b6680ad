// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
//
// The smallest sidecar: one list, one request, one answer.
#include <orchiddrum/balancer.h>

#include <cstdio>

int main() {
  orchiddrum::Settings settings;
  orchiddrum::RequestClass lookups;
  lookups.aim = 200'000;  // microseconds
  lookups.deadline = 500'000;
  lookups.semantics = orchiddrum::Semantics::Idempotent;
  settings.classes = {lookups};
  settings.maxAttempts = 3;

  orchiddrum::Micros now = 1'000'000;  // your clock
  orchiddrum::Balancer balancer(settings, /*seed=*/42, now);
  std::vector<orchiddrum::Action> actions;

  orchiddrum::MembershipUpdate list{orchiddrum::MembershipUpdate::Kind::Saved, {}};
  list.entries.push_back({.upstream = 0});
  list.entries.push_back({.upstream = 1});
  balancer.handle(list, now, actions);

  orchiddrum::NewRequest request;
  request.request = 7;
  request.expiresIn = 500'000;
  balancer.handle(request, now, actions);

  bool sent = false;
  for (const orchiddrum::Action& action : actions) {
    if (const auto* send = std::get_if<orchiddrum::Send>(&action)) {
      std::printf("request %llu goes to upstream %u\n", static_cast<unsigned long long>(send->request),
                  send->upstream);
      sent = true;
    }
  }
  return sent ? 0 : 1;
}
