// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Probes, suspicion and local health: SWIM with Lifeguard.
#include <algorithm>
#include <cmath>
#include <utility>

#include "gossip/members.h"

namespace ivypost::gossip {
namespace {

// The maximum number of indirect probes that this sidecar runs for others at once: one for each sidecar whose
// own probe has failed at that moment. Further requests are dropped.
constexpr std::size_t kMaxIndirectProbes = 64;
// A relay sends a nack after this fraction of the probe time-out without an ack.
constexpr double kNackTimeoutFraction = 0.8;
// A further witness of a suspicion is transmitted this many times less often than a change of state.
constexpr std::uint32_t kWitnessDivisor = 4;

}  // namespace

// Guards against suspecting others because this process was paused: the local health multiplier goes to its
// maximum, the running probe is discarded, and suspicions are extended by the pause, during which no
// refutation could be received.
void Members::resumeAfterPause(Micros now) {
  const Micros gap = now - lastTick_;
  lastTick_ = now;
  if (static_cast<double>(gap) <= kMinPausePeriods * static_cast<double>(period())) return;
  adjustLocalHealth(kMaxLocalHealth);
  probe_.reset();
  for (auto& [id, member] : members_) member.deadline += gap;
  nextPeriod_ = now;
}

void Members::receiveAnswer(const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (const auto age = elapsedSincePing(message, now))
    lastAnsweredPingAt_ = std::max(lastAnsweredPingAt_.value_or(now - *age), now - *age);
  std::erase_if(sentPings_, [&](const SentPing& one) { return one.nonce == message.nonce; });
  for (IndirectProbe& one : indirectProbes_) {
    if (one.nonce != message.nonce || message.kind != Kind::Ack) continue;
    one.isAnswered = true;
    answerIndirectProbe(one, Kind::Ack, now, out);
  }
  if (!probe_) return;
  const bool isFromRelay = std::find(probe_->relayNonces.begin(), probe_->relayNonces.end(), message.nonce) !=
                           probe_->relayNonces.end();
  if (message.kind == Kind::Nack) {
    probe_->nacks += isFromRelay ? 1 : 0;
  } else if (isFromRelay || message.nonce == probe_->nonce) {
    probe_->isAcked = true;
    probe_->nacks += isFromRelay ? 1 : 0;
  }
}

void Members::beginIndirectProbe(const Message& message, Micros now, std::vector<Outgoing>& out) {
  if (indirectProbes_.size() >= kMaxIndirectProbes) return;
  IndirectProbe indirect;
  indirect.requestNonce = message.nonce;
  indirect.to = message.address;
  indirect.nackAt = now + static_cast<Micros>(kNackTimeoutFraction * static_cast<double>(settings_.timeout));
  indirect.until = now + settings_.period;
  const auto nonce = ping(message.target->address, message.target->id, Need::Required, now, out);
  if (!nonce) return;
  indirect.nonce = *nonce;
  indirectProbes_.push_back(indirect);
}

void Members::answerIndirectProbe(IndirectProbe& indirect, Kind kind, Micros now,
                                  std::vector<Outgoing>& out) {
  send(indirect.to, makeMessage(kind, indirect.requestNonce), Need::Required, now, out);
}

void Members::sweepIndirectProbes(Micros now, std::vector<Outgoing>& out) {
  for (IndirectProbe& one : indirectProbes_) {
    if (one.isAnswered || now < one.nackAt) continue;
    one.isAnswered = true;
    answerIndirectProbe(one, Kind::Nack, now, out);
  }
  std::erase_if(indirectProbes_, [&](const IndirectProbe& one) { return now >= one.until; });
}

void Members::beginProbe(Micros now, std::vector<Outgoing>& out) {
  const Member* const target = nextProbeTarget();
  if (target == nullptr) return;
  Probe probe;
  probe.isSuspected = settings_.antiEntropy && target->update.state == State::Suspect;
  probe.target = target->update.id;
  probe.address = target->update.address;
  probe.at = now;
  probe.askRelaysAt = now + timeout();
  const auto nonce = ping(probe.address, probe.target, Need::Required, now, out);
  if (!nonce) return;
  probe.nonce = *nonce;
  probe_ = std::move(probe);
}

const Members::Member* Members::nextProbeTarget() {
  for (std::size_t tries = 0; tries < 2 * members_.size() + 1; ++tries) {
    if (nextInProbeOrder_ >= probeOrder_.size()) shuffleProbeOrder();
    if (probeOrder_.empty()) return nullptr;
    const auto found = members_.find(probeOrder_[nextInProbeOrder_++]);
    if (found == members_.end() || found->second.update.state == State::Dead) continue;
    const bool isSuspected = settings_.antiEntropy && found->second.update.state == State::Suspect;
    // With more than kConfirmations witnesses a further one does not shorten the suspicion.
    if (isSuspected && found->second.witnesses.size() > kConfirmations) continue;
    return &found->second;
  }
  return nullptr;
}

void Members::shuffleProbeOrder() {
  probeOrder_.clear();
  for (const auto& [id, member] : members_)
    if (member.update.state != State::Dead) probeOrder_.push_back(id);
  std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
  nextInProbeOrder_ = 0;
}

void Members::requestIndirectProbes(Micros now, std::vector<Outgoing>& out) {
  if (!probe_ || probe_->isAcked || probe_->areRelaysAsked || now < probe_->askRelaysAt) return;
  probe_->areRelaysAsked = true;
  const auto target = members_.find(probe_->target);
  // A member that others already suspect is probed to add a witness, for which a direct probe is enough.
  if (target == members_.end() || probe_->isSuspected) return;
  for (const Member* other : pickRandomAlive(settings_.relayCount, probe_->target)) {
    Message message = makeMessage(Kind::Relay, ++lastNonce_);
    message.target = target->second.update;
    const std::uint32_t nonce = message.nonce;
    if (!send(other->update.address, std::move(message), Need::Required, now, out)) continue;
    probe_->relayNonces.push_back(nonce);
    sentPings_.push_back({nonce, now});
  }
}

void Members::endProbe(Micros now) {
  if (!probe_) return;
  const Probe probe = std::move(*probe_);
  probe_.reset();
  if (probe.isAcked) return adjustLocalHealth(-1);
  // Lifeguard, 3.1: a failed probe raises the multiplier, and missing nacks raise it further, but only if all
  // are missing: in a partition half of the relays don't answer, which does not mean that this process is
  // slow. With anti-entropy a failed probe with at least one nack does not raise it (as in
  // hashicorp/memberlist): with half of the fleet cut off, all sidecars would probe more slowly and detect
  // the partition late.
  const bool isExonerated = settings_.antiEntropy && (probe.isSuspected || probe.nacks > 0);
  if (!isExonerated) adjustLocalHealth(!probe.relayNonces.empty() && probe.nacks == 0 ? 2 : 1);
  const auto found = members_.find(probe.target);
  if (found != members_.end()) suspect(found->second, settings_.self, now);
}

// Sends one more ping per period, to a member of this sidecar's region (without regions, to any member),
// while no ping of the last quarter of isolatedAfter was answered. Without this ping a small region that is
// cut off would count as isolated, since most of its probes go to unreachable regions. The member is random,
// so a sidecar that reaches few remains isolated.
void Members::pingOwnRegion(Micros now, std::vector<Outgoing>& out) {
  if (lastAnsweredPingAt_ && now - *lastAnsweredPingAt_ < settings_.isolatedAfter / 4) return;
  std::vector<const Member*> inRegion;
  for (const auto& [id, member] : members_)
    if (member.update.state != State::Dead && member.update.region == settings_.region)
      inRegion.push_back(&member);
  if (inRegion.empty()) return;
  const Update& one =
      inRegion[static_cast<std::size_t>(uniform() * static_cast<double>(inRegion.size()))]->update;
  ping(one.address, one.id, Need::Required, now, out);
}

void Members::reconnect(Micros now, std::vector<Outgoing>& out) {
  const std::vector<ReconnectCandidate> candidates = reconnectCandidates();
  if (candidates.empty()) return;
  const ReconnectCandidate& one =
      candidates[static_cast<std::size_t>(uniform() * static_cast<double>(candidates.size()))];
  ping(one.address, one.id, Need::Required, now, out);
}

// The addresses to ping in order to reconnect: those of dead members that have not left, and seeds and
// addresses of forgotten members at which no member is reachable.
std::vector<Members::ReconnectCandidate> Members::reconnectCandidates() {
  std::vector<ReconnectCandidate> candidates;
  std::vector<Address> reachable = {settings_.address};
  for (const auto& [id, member] : members_) {
    if (member.update.state != State::Dead) {
      reachable.push_back(member.update.address);
    } else if (!member.hasLeft()) {
      candidates.push_back({member.update.address, id});
    }
  }
  std::sort(reachable.begin(), reachable.end());
  const auto isReachableAt = [&](const Address& one) {
    return std::binary_search(reachable.begin(), reachable.end(), one);
  };
  std::erase_if(forgottenAddresses_, isReachableAt);
  for (const auto* from : {&settings_.seeds, &forgottenAddresses_})
    for (const Address& one : *from)
      if (!isReachableAt(one)) candidates.push_back({one, 0});
  return candidates;
}

// The protocol period stretched by the local health multiplier (Lifeguard). With anti-entropy it is limited
// to a third of isolatedAfter: otherwise a slow process would send too few pings to avoid isolation.
Micros Members::period() const {
  const Micros stretched = settings_.period * (localHealth_ + 1);
  if (!settings_.antiEntropy) return stretched;
  return std::min(stretched, std::max(settings_.period, settings_.isolatedAfter / 3));
}

Micros Members::timeout() const {
  return settings_.timeout * period() / settings_.period;
}

void Members::adjustLocalHealth(int by) {
  localHealth_ = std::clamp(localHealth_ + by, 0, kMaxLocalHealth);
}

// Starts a suspicion, or adds a witness to it: each independent witness shortens it (Lifeguard, 3.2). True if
// the member became a suspect or the witness is new.
bool Members::suspect(Member& member, PeerId witness, Micros now) {
  if (member.update.state == State::Dead) return false;
  if (member.update.state == State::Alive) {
    changeState(member, State::Suspect, now);
    member.update.witness = witness;
    member.witnesses = {witness};
    member.deadline = now + suspicionTimeout(0);
    if (settings_.antiEntropy && witness != settings_.self &&
        uniform() * static_cast<double>(aliveCount_) < kExpectedSuspectProbers &&
        probeOrder_.size() < kMaxMembers)
      enqueueProbe(member.update.id, nextInProbeOrder_);
    return true;
  }
  const auto& witnesses = member.witnesses;
  if (witnesses.size() > kConfirmations ||
      std::find(witnesses.begin(), witnesses.end(), witness) != witnesses.end())
    return false;
  member.witnesses.push_back(witness);
  member.update.witness = witness;
  // The suspicion has been disseminated already. A further witness need reach only a few sidecars, which then
  // declare the member dead earlier and disseminate that.
  member.transmissionsLeft = settings_.antiEntropy
                                 ? std::max(member.transmissionsLeft, transmissionLimit() / kWitnessDivisor)
                                 : transmissionLimit();
  hasPendingUpdates_ = true;
  member.deadline =
      std::min(member.deadline, member.stateSince + suspicionTimeout(member.witnesses.size() - 1));
  return true;
}

Micros Members::suspicionTimeout(std::size_t confirmations) const {
  double fleetSizeLog10 = std::max(1.0, std::log10(static_cast<double>(members_.size() + 1)));
  if (settings_.antiEntropy) fleetSizeLog10 = std::min(fleetSizeLog10, kMaxFleetSizeLog10);
  const double shortest = kSuspicionFactor * fleetSizeLog10 * static_cast<double>(settings_.period);
  const double longest = kMaxSuspicionFactor * shortest;
  const double part = std::log(static_cast<double>(confirmations) + 1) / std::log(kConfirmations + 1.0);
  return static_cast<Micros>(std::max(shortest, longest - (longest - shortest) * part));
}

}  // namespace ivypost::gossip
