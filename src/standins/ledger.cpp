// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/ledger.h"

#include <algorithm>
#include <cstdio>

namespace ivypost::standins {
namespace {

std::string millis(Micros span) {
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.1f ms", static_cast<double>(span) / 1000);
  return {text.data(), static_cast<std::size_t>(size)};
}

const char* nameOf(Effect effect) {
  switch (effect) {
    case Effect::Safe:
      return "safe";
    case Effect::Keyed:
      return "keyed";
    case Effect::Unsafe:
      return "unsafe";
  }
  return "";
}

}  // namespace

Ledger::Story* Ledger::find(const std::string& id) {
  const auto found = stories_.find(id);
  return found == stories_.end() ? nullptr : &found->second;
}

Ledger::Arrival* Ledger::arrival(std::uint64_t number, Story** story) {
  const auto found = arrivals_.find(number);
  if (found == arrivals_.end()) return nullptr;
  Story* const whole = find(found->second);
  if (story != nullptr) *story = whole;
  if (whole == nullptr) return nullptr;
  for (Arrival& one : whole->arrivals) {
    if (one.number == number) return &one;
  }
  return nullptr;
}

void Ledger::note(Story& story, Micros now, const std::string& what) {
  if (story.lines.size() < kMaxStory) story.lines.push_back("+" + millis(now - story.sentAt) + " " + what);
}

void Ledger::breach(int rule, const std::string& id, const Story* story, const std::string& what) {
  ++tally_.breaches.at(static_cast<std::size_t>(rule));
  if (breaches_.size() >= kMaxBreaches) return;
  breaches_.push_back({rule, id, what, story != nullptr ? story->lines : std::vector<std::string>{}});
}

bool Ledger::mayHaveRun(const Story& story) {
  return std::any_of(story.arrivals.begin(), story.arrivals.end(),
                     [](const Arrival& one) { return !one.neverRan; });
}

void Ledger::over(Story& story, Micros now) {
  story.over = true;
  story.overAt = now;
}

// ---- Clients ----------------------------------------------------------------------------------------------

void Ledger::sent(const std::string& id, Effect effect, Micros deadline, Micros now) {
  Story& story = stories_[id];
  if (story.sentAt == 0) ++tally_.sent;
  story.over = false;
  story.effect = effect;
  story.sentAt = now;
  story.deadline = deadline;
  note(story, now, std::string("sent, ") + nameOf(effect) + ", answer wanted by +" + millis(deadline - now));
}

void Ledger::answered(const std::string& id, unsigned status, const std::string& body, Micros now) {
  Story* const story = find(id);
  if (story == nullptr) return breach(1, id, nullptr, "an answer to a request that nobody sent");
  note(*story, now, "client got " + std::to_string(status));
  if (++story->answers > 1) return breach(1, id, story, "a second final answer");
  if (story->lost) return;  // told already
  const bool wasOver = story->over;
  over(*story, now);
  if (wasOver) return;
  if (now > story->deadline + rules_.slack) breach(1, id, story, "the answer came after the client's time");
  if (status == 200) {
    ++tally_.served;
    tally_.latencies.push_back(now - story->sentAt);
    const bool real = std::any_of(story->arrivals.begin(), story->arrivals.end(),
                                  [&](const Arrival& one) { return one.body == body; });
    if (!real) breach(1, id, story, "served with what no upstream made for it");
  } else if (status == 429 || status == 503) {
    ++tally_.refused;
    judgeRefusal(id, *story, status);
  } else {
    ++tally_.failed;
  }
}

void Ledger::judgeRefusal(const std::string& id, Story& story, unsigned status) {
  if (story.effect == Effect::Safe || !mayHaveRun(story)) return;
  breach(2, id, &story,
         "refused with " + std::to_string(status) +
             ", which promises that trying again is harmless, though it may have run");
}

void Ledger::cut(const std::string& id, bool untold, Micros now) {
  Story* const story = find(id);
  if (story == nullptr || story->over) return;
  note(*story, now, "client's connection ended with no whole answer");
  ++tally_.unanswered;
  over(*story, now);
  if (untold && story->arrivals.empty()) return;
  story->lost = true;
  breach(1, id, story, "lost: its connection ended with no whole answer");
}

void Ledger::left(const std::string& id, Micros now) {
  Story* const story = find(id);
  if (story == nullptr || story->over) return;
  note(*story, now, "client left");
  ++tally_.left;
  story->left = true;
  over(*story, now);
}

void Ledger::surplus(const std::string& id, Micros now) {
  Story* const story = find(id);
  if (story != nullptr) note(*story, now, "more bytes than the answer came");
  breach(1, id, story, "more than its answer was sent");
}

// ---- Nodes ------------------------------------------------------------------------------------------------

void Ledger::touched(const std::string& id, const std::string& node, const std::string& sidecar, Micros now) {
  const auto drain = drains_.find({sidecar, node});
  if (drain == drains_.end() || now <= drain->second + rules_.drainGrace + rules_.slack) return;
  Story* const story = find(id);
  if (story != nullptr) note(*story, now, node + " got its first byte from " + sidecar);
  breach(3, id, story,
         "sent to " + node + " " + millis(now - drain->second) + " after " + sidecar +
             " was told that it drains or is gone");
}

std::uint64_t Ledger::arrived(const std::string& id, const std::string& node, const std::string& group,
                              Micros work, Micros now) {
  ++tally_.arrivals;
  const std::uint64_t number = ++lastArrival_;
  judgeCold(node, work, now);
  Story* const story = find(id);
  if (story == nullptr) {
    breach(2, id, nullptr, node + " got a request that nobody sent, or that was over long ago");
    return number;
  }
  note(*story, now, "arrived at " + node);
  Arrival arrival{node, group, now, number, false, std::nullopt};
  if (!story->arrivals.empty()) ++tally_.repeats;
  judgeArrival(id, *story, arrival);
  story->arrivals.push_back(std::move(arrival));
  arrivals_.emplace(number, id);
  return number;
}

void Ledger::judgeArrival(const std::string& id, Story& story, const Arrival& arrival) {
  // When the client left, a copy that was on its way may still arrive; when it was told the outcome, none
  // may.
  if (story.over && !story.left && arrival.at > story.overAt + rules_.slack && story.effect != Effect::Safe)
    return breach(2, id, &story, "sent on after its final answer");
  if (story.effect == Effect::Safe || !mayHaveRun(story)) return;
  if (story.effect == Effect::Unsafe)
    return breach(2, id, &story, "an unsafe request arrived again, and may have run before");
  for (const Arrival& earlier : story.arrivals) {
    if (earlier.neverRan) continue;
    if (earlier.group != arrival.group)
      return breach(2, id, &story, "a keyed request arrived again outside the group that drops its repeats");
    if (arrival.at > earlier.at + rules_.keyWindow + rules_.keyWindowSlack)
      return breach(2, id, &story,
                    "a keyed request arrived again " + millis(arrival.at - earlier.at) +
                        " after one that may have run");
  }
}

void Ledger::turnedAway(std::uint64_t number, Micros now) {
  Story* story = nullptr;
  Arrival* const one = arrival(number, &story);
  if (one == nullptr) return;
  one->neverRan = true;
  note(*story, now, one->node + " turned it away: never ran");
}

void Ledger::made(std::uint64_t number, const std::string& body, Micros now) {
  Story* story = nullptr;
  Arrival* const one = arrival(number, &story);
  if (one == nullptr) return;
  one->body = body;
  note(*story, now, one->node + " served it");
}

void Ledger::noted(std::uint64_t number, const std::string& what, Micros now) {
  Story* story = nullptr;
  const Arrival* const one = arrival(number, &story);
  if (one != nullptr) note(*story, now, one->node + " " + what);
}

// ---- Discovery and cold nodes -----------------------------------------------------------------------------

void Ledger::told(const std::string& sidecar, const std::string& node, bool up, Micros now) {
  if (up) {
    drains_.erase({sidecar, node});
  } else {
    drains_.emplace(std::pair(sidecar, node), now);  // the first time counts
  }
}

void Ledger::started(const std::string& node, double cores, double share, Micros warm, Micros now) {
  Cold cold;
  cold.cores = cores;
  cold.share = share;
  cold.startedAt = now;
  cold.warm = warm;
  cold_[node] = cold;
}

// A budget: what was sent within the last window against multiple x what the node can do now x the window.
void Ledger::judgeCold(const std::string& node, Micros work, Micros now) {
  const auto found = cold_.find(node);
  if (found == cold_.end() || rules_.fallMultiple <= 0) return;
  Cold& cold = found->second;
  if (now >= cold.startedAt + cold.warm) {
    cold_.erase(found);
    return;
  }
  cold.sent.emplace_back(now, work);
  cold.total += work;
  while (cold.sent.front().first <= now - rules_.fallWindow) {
    cold.total -= cold.sent.front().second;
    cold.sent.pop_front();
  }
  const double warmth = static_cast<double>(now - cold.startedAt) / static_cast<double>(cold.warm);
  const double capacity = cold.cores * (cold.share + (1 - cold.share) * warmth);
  const double budget = rules_.fallMultiple * capacity * static_cast<double>(rules_.fallWindow);
  if (cold.reported || static_cast<double>(cold.total) <= budget) return;
  cold.reported = true;
  breach(4, "", nullptr,
         node + " got " + millis(cold.total) + " of work within " + millis(rules_.fallWindow) + ", " +
             millis(now - cold.startedAt) + " after its start; " + millis(static_cast<Micros>(budget)) +
             " are allowed");
}

void Ledger::settle(Micros now) {
  for (auto at = stories_.begin(); at != stories_.end();) {
    Story& story = at->second;
    if (!story.over && now > story.deadline + rules_.slack) {
      note(story, now, "time is up");
      ++tally_.unanswered;
      over(story, story.deadline + rules_.slack);
      story.lost = true;
      breach(1, at->first, &story, "lost: no answer before the client's time ran out");
    }
    if (!story.over || now < story.overAt + kKeep) {
      ++at;
      continue;
    }
    for (const Arrival& one : story.arrivals) arrivals_.erase(one.number);
    at = stories_.erase(at);
  }
}

}  // namespace ivypost::standins
