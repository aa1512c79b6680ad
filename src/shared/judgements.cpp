// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "shared/judgements.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace ivypost::shared {
namespace {

// Ages travel in milliseconds, rounded up.
constexpr Micros kStep = 1000;
// A judgement that says the same as the last one is told anew so often: it grows younger by that.
constexpr Micros kRenew = 500'000;
// Versions above this are no times: one that tells them must not bring this sidecar's own to overflow.
constexpr std::uint64_t kMostOutbid = std::uint64_t{1} << 62;

std::uint16_t shortened(std::size_t count) {
  return static_cast<std::uint16_t>(std::min<std::size_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

void put(peers::Writer& to, const Judgement& one) {
  to.put(static_cast<std::uint8_t>(one.finding));
  to.put(one.life.upstream);
  to.put(static_cast<std::uint16_t>(one.life.startedAtMs >> 32));
  to.put(static_cast<std::uint32_t>(one.life.startedAtMs));
  to.put(one.witness);
  to.put(one.version);
  to.put(one.attempts);
  to.put(one.failures);
  to.put(shortened(static_cast<std::size_t>((one.age + kStep - 1) / kStep)));
}

std::optional<Judgement> get(peers::Reader& from) {
  Judgement one;
  const auto finding = from.get<std::uint8_t>();
  one.life.upstream = from.get<std::uint64_t>();
  const std::int64_t high = from.get<std::uint16_t>();
  one.life.startedAtMs = high << 32 | from.get<std::uint32_t>();
  one.witness = from.get<PeerId>();
  one.version = from.get<std::uint64_t>();
  one.attempts = from.get<std::uint16_t>();
  one.failures = from.get<std::uint16_t>();
  one.age = from.get<std::uint16_t>() * kStep;
  if (!from.good() || finding >= kFindings || one.witness == 0 || one.failures > one.attempts)
    return std::nullopt;
  one.finding = static_cast<Finding>(finding);
  return one;
}

}  // namespace

const char* nameOf(Finding finding) {
  constexpr std::array<const char*, kFindings> kNames = {"well", "failing", "silent"};
  return kNames.at(static_cast<std::size_t>(finding));
}

// ---- Own evidence -----------------------------------------------------------------------------------------

void Evidence::take(Outcome outcome, Micros lag, Micros now) {
  if (outcomes_.size() == kMost) outcomes_.erase(outcomes_.begin());
  outcomes_.emplace_back(now, outcome);
  last_ = now;
  if (outcome == Outcome::Served) servedAt_ = now;
  if (outcome != Outcome::Silent) silent_ = false;
  if (outcome == Outcome::Silent) silent_ = !servedAt_ || *servedAt_ < now - lag;
}

Judgement Evidence::judge(Micros now) const {
  Judgement judgement;
  std::uint16_t silent = 0, servedInRow = 0;
  for (const auto& [at, outcome] : outcomes_) {
    if (now - at > kWindow) continue;
    const bool served = outcome == Outcome::Served;
    ++judgement.attempts;
    servedInRow = served ? static_cast<std::uint16_t>(servedInRow + 1) : std::uint16_t{0};
    judgement.failures = static_cast<std::uint16_t>(judgement.failures + (served ? 0 : 1));
    silent = static_cast<std::uint16_t>(silent + (outcome == Outcome::Silent ? 1 : 0));
  }
  judgement.age = now - last_;
  const bool most = judgement.failures >= kFailures && 2 * judgement.failures > judgement.attempts;
  if (silent_ && judgement.attempts > 0) {
    judgement.finding = Finding::Silent;
  } else if (most && servedInRow < kServed) {
    judgement.finding = 2 * silent > judgement.failures ? Finding::Silent : Finding::Failing;
  }
  return judgement;
}

bool Judgements::attempted(const Life& life, Evidence::Outcome outcome, Micros lag, Micros now) {
  if (own_.size() >= kMaxLives && own_.count(life) == 0) {
    // Room for what is used: the one that was attempted longest ago gives way.
    own_.erase(std::min_element(own_.begin(), own_.end(), [](const auto& a, const auto& b) {
      return a.second.last() < b.second.last();
    }));
  }
  Evidence& evidence = own_[life];
  evidence.take(outcome, lag, now);
  Judgement judgement = evidence.judge(now);
  const auto held = held_.find({life, self_});
  const bool same = held != held_.end() && held->second.finding == judgement.finding;
  // That it is well is news only where somebody has found otherwise.
  if (judgement.finding == Finding::Well && held == held_.end() && witnessesOf(life) == 0) return false;
  if (same && now - held->second.bornAt < kRenew) return false;
  judgement.life = life;
  judgement.witness = self_;
  judgement.version = ++version_;
  return take(judgement, 0, now) && !same;
}

// ---- Merge ------------------------------------------------------------------------------------------------

std::size_t Judgements::witnessesOf(const Life& life) const {
  std::size_t count = 0;
  for (auto at = held_.lower_bound({life, 0}); at != held_.end() && at->first.first == life; ++at) ++count;
  return count;
}

std::size_t Judgements::heldOf(PeerId witness) const {
  return static_cast<std::size_t>(std::count_if(
      held_.begin(), held_.end(), [&](const auto& one) { return one.first.second == witness; }));
}

// Own judgements always have room; others as far as neither one upstream nor one witness fills the table.
bool Judgements::hasRoom(const Judgement& told) const {
  if (told.witness == self_) return true;
  return held_.size() < kMaxLives * kMaxWitnesses && witnessesOf(told.life) < kMaxWitnesses &&
         heldOf(told.witness) < kMaxOfWitness;
}

bool Judgements::take(const Judgement& told, Micros late, Micros now) {
  const Micros age = std::max<Micros>(0, told.age) + std::max<Micros>(0, late);
  if (age >= kLives) return false;
  const auto found = held_.find({told.life, told.witness});
  if (found == held_.end()) {
    if (!hasRoom(told)) return false;
    held_.emplace(Key{told.life, told.witness},
                  Held{told.version, told.finding, told.attempts, told.failures, now - age, tellings_});
    return true;
  }
  Held& held = found->second;
  if (told.version == held.version) held.bornAt = std::min(held.bornAt, now - age);
  if (told.version <= held.version) return false;
  const bool news = told.finding != held.finding;
  held = {told.version, told.finding, told.attempts, told.failures, now - age, tellings_};
  return news;
}

// Guards against an earlier life whose clock was ahead: others would go by what it said until that lapses.
// What this life has said is told anew.
void Judgements::outbid(std::uint64_t version) {
  if (version <= version_ || version > kMostOutbid) return;
  version_ = version;
  for (auto& [key, held] : held_) {
    if (key.second != self_) continue;
    held.version = ++version_;
    held.tellings = tellings_;
  }
}

std::optional<bool> Judgements::take(std::span<const std::uint8_t> facts, Micros late, Micros now) {
  peers::Reader from(facts);
  bool news = false;
  while (from.left() > 0) {
    const auto told = get(from);
    if (!told) return std::nullopt;
    // What this sidecar said in an earlier life counts no more than that life.
    if (told->witness == self_) outbid(told->version);
    if (told->witness != self_) news = take(*told, late, now) || news;
  }
  return news;
}

std::vector<std::uint8_t> Judgements::tell(std::size_t room, Micros now) {
  std::vector<std::uint8_t> facts;
  const std::size_t most = room / kJudgementBytes;
  if (most == 0 || held_.empty()) return facts;
  std::vector<std::map<Key, Held>::iterator> chosen;
  for (auto at = held_.begin(); at != held_.end(); ++at)
    if (at->second.tellings > 0) chosen.push_back(at);
  const std::size_t news = std::min(most, chosen.size());
  std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(news), chosen.end(),
                    [](const auto& a, const auto& b) { return a->second.tellings > b->second.tellings; });
  chosen.resize(news);
  for (const auto& at : chosen) --at->second.tellings;
  // The others in turn: in time everybody has told everybody of all, whatever was lost.
  auto next = held_.upper_bound(lastTold_);
  for (std::size_t n = 0; n < held_.size() && chosen.size() < most; ++n, ++next) {
    if (next == held_.end()) next = held_.begin();
    lastTold_ = next->first;
    if (std::find(chosen.begin(), chosen.end(), next) == chosen.end()) chosen.push_back(next);
  }
  peers::Writer to(facts);
  for (const auto& at : chosen) {
    const Held& held = at->second;
    const Micros age = now - held.bornAt;
    if (age >= kLives) continue;
    put(to,
        {at->first.first, at->first.second, held.version, held.finding, held.attempts, held.failures, age});
  }
  return facts;
}

void Judgements::fleetIs(std::size_t sidecars) {
  tellings_ = static_cast<std::uint32_t>(std::ceil(3 * std::log2(static_cast<double>(sidecars) + 1))) + 1;
}

// ---- What counts ------------------------------------------------------------------------------------------

Judgements::Hearsay Judgements::ask(const Life& life, const std::function<bool(PeerId)>& heard,
                                    Micros now) const {
  Hearsay said;
  Micros lastBad = std::numeric_limits<Micros>::min();
  const auto counts = [&](const auto& one) {
    return one.first.second != self_ && now - one.second.bornAt < kLives && heard(one.first.second);
  };
  const auto first = held_.lower_bound({life, 0});
  for (auto at = first; at != held_.end() && at->first.first == life; ++at) {
    if (!counts(*at) || at->second.finding == Finding::Well) continue;
    ++said.bad;
    said.attempts += at->second.attempts;
    said.failures += at->second.failures;
    lastBad = std::max(lastBad, at->second.bornAt);
  }
  if (said.bad > 0) said.age = now - lastBad;
  for (auto at = first; at != held_.end() && at->first.first == life; ++at)
    if (counts(*at) && at->second.finding == Finding::Well && at->second.bornAt > lastBad) ++said.well;
  return said;
}

void Judgements::forget(const std::function<bool(const Life&)>& lives,
                        const std::function<bool(PeerId)>& heard, Micros now) {
  std::erase_if(held_, [&](const auto& one) {
    return now - one.second.bornAt >= kLives || !lives(one.first.first) ||
           (one.first.second != self_ && !heard(one.first.second));
  });
  std::erase_if(own_, [&](const auto& one) { return now - one.second.last() > kLives || !lives(one.first); });
}

std::vector<Judgement> Judgements::all(Micros now) const {
  std::vector<Judgement> all;
  for (const auto& [key, held] : held_) {
    if (now - held.bornAt < kLives)
      all.push_back({key.first, key.second, held.version, held.finding, held.attempts, held.failures,
                     now - held.bornAt});
  }
  return all;
}

std::vector<Life> Judgements::judged() const {
  std::vector<Life> lives;
  for (const auto& [key, held] : held_)
    if (lives.empty() || lives.back() != key.first) lives.push_back(key.first);
  return lives;
}

}  // namespace ivypost::shared
