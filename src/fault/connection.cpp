// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/connection.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace ivypost::fault {
namespace {

constexpr Micros kSecond = 1'000'000;
// Throttled bytes go out in steps of this time, so that a piece is worth a write.
constexpr Micros kThrottleStep = 1000;
// Bytes of one write, at the most.
constexpr std::size_t kMaxWrite = 64UL * 1024;
// Pieces that wait to be written in one direction: room() is 0 at so many, whatever they hold.
constexpr std::size_t kMaxItems = 4096;

template <class... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

bool meant(std::uint64_t wanted, std::uint64_t number) {
  return wanted == 0 || wanted == number;
}

bool repeats(const Trigger& trigger) {
  return std::visit(Overloaded{[](const AtHead& at) { return at.number == 0; },
                               [](const AtBody& at) { return at.number == 0; },
                               [](const AtLast& at) { return at.number == 0; },
                               [](const AtCommand&) { return true; }, [](const auto&) { return false; }},
                    trigger.when);
}

Direction watched(const Step& step) {
  return step.trigger.of.value_or(step.direction);
}

}  // namespace

Connection::Connection(const Rule* rule, std::uint64_t seed, std::uint64_t number, Micros now)
    : random_(seed ^ (number * 0xd1342543de82ef95u)), acceptedAt_(now) {
  for (Flow& f : flows_) f.chance = SplitMix(random_.next());
  arm(rule, now);
}

void Connection::replace(const Rule* rule, Micros now) {
  for (Flow& f : flows_) startOver(f);
  silent_ = false;
  arm(rule, now);
}

void Connection::arm(const Rule* rule, Micros now) {
  armed_.clear();
  if (rule != nullptr) {
    for (const Step& step : rule->steps) armed_.push_back({step, false});
  }
  fire(now, [](const Step& step) { return std::holds_alternative<AtConnect>(step.trigger.when); });
}

void Connection::startOver(Flow& f) {
  f.delay = {};
  f.throttle = 0;
  f.stopped = f.swallowing = false;
  f.garbleLeft = 0;
  f.repeated.clear();
  f.sizes.clear();
  f.inPiece = 0;
  f.gap = 0;
}

// Does all steps that fit, in the rule's order. A step that waits for a passed point stays armed for nothing.
template <class Fits>
void Connection::fire(Micros now, Fits fits) {
  for (Armed& armed : armed_) {
    if (armed.done || !fits(armed.step)) continue;
    armed.done = !repeats(armed.step.trigger);
    apply(armed.step, now);
  }
  scans_ = std::any_of(armed_.begin(), armed_.end(), [](const Armed& a) {
    const auto& when = a.step.trigger.when;
    return !a.done && (std::holds_alternative<AtHead>(when) || std::holds_alternative<AtBody>(when) ||
                       std::holds_alternative<AtLast>(when));
  });
}

void Connection::apply(const Step& step, Micros now) {
  Flow& f = flow(step.direction);
  if (f.over) return;
  log_.push_back({step.direction, f.read, now, nameOf(step.action)});
  std::visit(Overloaded{
                 [&](const Delay& a) { f.delay = a; },
                 [&](const Throttle& a) { f.throttle = std::max<std::uint64_t>(1, a.bytesPerSecond); },
                 [&](const StopReading&) { f.stopped = true; },
                 [&](const Swallow&) { f.swallowing = true; },
                 [&](const Pass&) { startOver(f); },
                 [&](const Reset& a) {
                   emitEnd(f, {Output::Kind::Reset, {}, a.side}, now);
                   flow(opposite(step.direction)).over = true;
                 },
                 [&](const End&) {
                   for (Flow& one : flows_) {
                     if (!one.over) emitEnd(one, {Output::Kind::Fin, {}, Side::Both}, now);
                   }
                 },
                 [&](const HalfClose&) {
                   emitEnd(f, {Output::Kind::Fin, {}, Side::Both}, now);
                 },
                 [&](const Garble& a) {
                   f.garble = a;
                   f.repeated.clear();
                   f.garbleLeft =
                       std::min(a.how == Garble::How::Replace ? a.bytes.size() : a.count, kMaxGarbled);
                   if (a.how != Garble::How::Insert) return;
                   const std::uint64_t count = a.bytes.empty() ? f.garbleLeft : a.bytes.size();
                   f.garbleLeft = 0;
                   for (std::uint64_t n = 0; n < count; ++n)
                     emit(f, a.bytes.empty() ? static_cast<char>(f.chance.next()) : a.bytes[n], now, 0);
                 },
                 [&](const Split& a) {
                   f.sizes = a.sizes;
                   f.piece = 0;
                   f.inPiece = 0;
                   f.gap = a.gap;
                   if (!f.queue.empty()) f.queue.back().joins = false;
                 },
                 [&](const Reject&) { refused_ = true; },
                 [&](const Silent&) { silent_ = true; },
             },
             step.action);
}

std::size_t Connection::room(Direction direction) const {
  const Flow& f = flow(direction);
  if (f.stopped || silent_ || f.held >= kMaxHeld || f.queue.size() >= kMaxItems) return 0;
  return kMaxHeld - f.held;
}

// So many of the next bytes can be passed on in one go: no step waits for one of them, and nothing is done to
// them one by one.
std::size_t Connection::quietRun(Direction direction, std::string_view bytes) const {
  const Flow& f = flow(direction);
  if (scans_ || f.garbleLeft > 0 || !f.sizes.empty() || f.throttle > 0) return 0;
  std::size_t most = f.scanner.plainBytes(bytes);
  for (const Armed& armed : armed_) {
    const auto* const at = std::get_if<AtBytes>(&armed.step.trigger.when);
    if (at == nullptr || armed.done || watched(armed.step) != direction || at->count < f.read) continue;
    most = static_cast<std::size_t>(std::min<std::uint64_t>(most, at->count - f.read));
  }
  return most;
}

void Connection::feed(Direction direction, std::string_view bytes, Micros now) {
  Flow& f = flow(direction);
  const Micros jitter =
      f.delay.jitter > 0 ? static_cast<Micros>(random_.below(static_cast<std::uint64_t>(f.delay.jitter) + 1))
                         : 0;
  while (!bytes.empty()) {
    const std::uint64_t at = f.read;
    if (!armed_.empty()) {
      fire(now, [&](const Step& step) {
        const auto* const wanted = std::get_if<AtBytes>(&step.trigger.when);
        return wanted != nullptr && watched(step) == direction && wanted->count == at;
      });
    }
    if (const std::size_t run = quietRun(direction, bytes); run > 0) {
      emitRun(f, bytes.substr(0, run), now, jitter);
      f.scanner.skip(bytes.substr(0, run));
      f.read += run;
      bytes.remove_prefix(run);
      continue;
    }
    const MessageScanner::Place place = f.scanner.next();
    if (scans_) {
      fire(now, [&](const Step& step) {
        if (watched(step) != direction) return false;
        const auto& when = step.trigger.when;
        if (place.part == MessageScanner::Part::Head) {
          const auto* const head = std::get_if<AtHead>(&when);
          return head != nullptr && meant(head->number, place.number) && head->offset == place.offset;
        }
        const auto* const body = std::get_if<AtBody>(&when);
        return body != nullptr && meant(body->number, place.number) && body->offset == place.offset;
      });
    }
    pass(f, bytes.front(), now, jitter);
    const bool last = f.scanner.take(bytes.front());
    ++f.read;
    bytes.remove_prefix(1);
    if (last && scans_) {
      fire(now, [&](const Step& step) {
        const auto* const wanted = std::get_if<AtLast>(&step.trigger.when);
        return wanted != nullptr && watched(step) == direction && meant(wanted->number, place.number);
      });
    }
  }
}

// One byte through Garble.
void Connection::pass(Flow& f, char byte, Micros now, Micros jitter) {
  if (f.garbleLeft == 0) return emit(f, byte, now, jitter);
  const Garble& garble = f.garble;
  switch (garble.how) {
    case Garble::How::Flip:
      emit(f, static_cast<char>(byte ^ (1 << f.chance.below(8))), now, jitter);
      break;
    case Garble::How::Replace:
      emit(f, garble.bytes[garble.bytes.size() - f.garbleLeft], now, jitter);
      break;
    case Garble::How::Repeat:
      emit(f, byte, now, jitter);
      f.repeated += byte;
      break;
    case Garble::How::Drop:
    case Garble::How::Insert:
      break;
  }
  if (--f.garbleLeft > 0) return;
  for (const char again : std::exchange(f.repeated, {})) emit(f, again, now, jitter);
}

void Connection::emit(Flow& f, char byte, Micros now, Micros jitter) {
  emitRun(f, {&byte, 1}, now, jitter);
  if (f.sizes.empty() || f.over || f.swallowing) return;
  if (++f.inPiece < f.sizes[f.piece]) return;
  f.inPiece = 0;
  f.piece = (f.piece + 1) % f.sizes.size();
  f.queue.back().joins = false;
  f.lastDue += f.gap;
}

// Appends bytes that go out together. Their time never lies before that of what went ahead of them.
void Connection::emitRun(Flow& f, std::string_view bytes, Micros now, Micros jitter) {
  if (f.over || f.swallowing) return;
  f.lastDue = std::max(f.lastDue, now + f.delay.fixed + jitter);
  Micros due = f.lastDue;
  if (f.throttle > 0) {
    const std::uint64_t owed = bytes.size() * static_cast<std::uint64_t>(kSecond) + f.owed;
    f.lastDue += static_cast<Micros>(owed / f.throttle);
    f.owed = owed % f.throttle;
    due = (f.lastDue + kThrottleStep - 1) / kThrottleStep * kThrottleStep;
  }
  f.held += bytes.size();
  if (!f.queue.empty()) {
    Item& last = f.queue.back();
    if (last.joins && last.due == due && last.output.bytes.size() + bytes.size() <= kMaxWrite) {
      last.output.bytes.append(bytes);
      return;
    }
  }
  f.queue.push_back({due, {Output::Kind::Write, std::string(bytes), Side::Both}, true});
}

void Connection::emitEnd(Flow& f, Output output, Micros now) {
  f.lastDue = std::max(f.lastDue, now);
  Micros due = f.lastDue;
  if (!f.queue.empty()) due = std::max(due, f.queue.back().due);
  f.queue.push_back({due, std::move(output), false});
  f.over = true;
}

void Connection::end(Direction direction, Micros now) {
  Flow& f = flow(direction);
  f.ended = true;
  if (f.over || f.swallowing) return;
  emitEnd(f, {Output::Kind::Fin, {}, Side::Both}, now + f.delay.fixed);
}

void Connection::broken(Direction direction, Micros now) {
  for (Flow& f : flows_) f.ended = true;
  Flow& f = flow(direction);
  f.over = false;  // a reset overtakes a FIN
  emitEnd(f, {Output::Kind::Reset, {}, Side::Both}, now);
  flow(opposite(direction)).over = true;
}

bool Connection::finished() const {
  return std::all_of(flows_.begin(), flows_.end(),
                     [](const Flow& f) { return f.queue.empty() && (f.over || f.ended); });
}

void Connection::command(std::string_view name, Micros now) {
  fire(now, [&](const Step& step) {
    const auto* const wanted = std::get_if<AtCommand>(&step.trigger.when);
    return wanted != nullptr && wanted->name == name;
  });
}

void Connection::advance(Micros now) {
  fire(now, [&](const Step& step) {
    const auto* const wanted = std::get_if<AtTime>(&step.trigger.when);
    return wanted != nullptr && acceptedAt_ + wanted->after <= now;
  });
}

std::optional<Output> Connection::take(Direction direction, Micros now) {
  Flow& f = flow(direction);
  if (f.queue.empty() || f.queue.front().due > now) return std::nullopt;
  Output output = std::move(f.queue.front().output);
  f.queue.pop_front();
  f.held -= output.bytes.size();
  return output;
}

std::optional<Micros> Connection::due(Direction direction) const {
  const Flow& f = flow(direction);
  return f.queue.empty() ? std::nullopt : std::optional(f.queue.front().due);
}

std::optional<Micros> Connection::nextStep() const {
  std::optional<Micros> at;
  for (const Armed& armed : armed_) {
    const auto* const time = std::get_if<AtTime>(&armed.step.trigger.when);
    if (time == nullptr || armed.done) continue;
    const Micros when = acceptedAt_ + time->after;
    at = std::min(at.value_or(when), when);
  }
  return at;
}

std::optional<Micros> Connection::next() const {
  std::optional<Micros> at = nextStep();
  for (const Direction d : {Direction::Request, Direction::Answer}) {
    if (const auto when = due(d)) at = std::min(at.value_or(*when), *when);
  }
  return at;
}

std::vector<Done> Connection::takeLog() {
  return std::exchange(log_, {});
}

}  // namespace ivypost::fault
