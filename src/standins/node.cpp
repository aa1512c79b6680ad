// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/node.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace ivypost::standins {
namespace {

// Of what has the same text, the same: a request costs the same at each node and at each repeat.
std::uint64_t hashOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return hash ^ (hash >> 29);
}

}  // namespace

Node::Node(boost::asio::io_context& io, Settings settings, Ledger& ledger, KeyMemory& keys)
    : settings_(std::move(settings)),
      ledger_(ledger),
      keys_(keys),
      model_(settings_.model, settings_.seed),
      timer_(io),
      server_(
          io, [this](Exchange exchange) { handle(std::move(exchange)); }, settings_.idle) {
  model_.start(nowMicros() - settings_.model.warm);  // it has been there for long
}

void Node::start() {
  const Micros now = nowMicros();
  model_.start(now);
  if (settings_.model.warm > 0)
    ledger_.started(settings_.id, settings_.model.cores * settings_.model.speed, settings_.model.coldShare,
                    settings_.model.warm, now);
  server_.listenAgain();
}

void Node::drain() {
  model_.drain();
}

void Node::die() {
  server_.stopListening();
  server_.dropAll(true);
  jobs_.clear();
}

void Node::hang(bool on) {
  model_.hang(on, nowMicros());
  hung_ = on;
  run();
}

std::uint32_t Node::arrivalsOf(const std::string& trace) const {
  const auto found = seen_.find(trace);
  return found == seen_.end() ? 0 : found->second;
}

std::uint32_t Node::arrivalsOfKey(const std::string& key) const {
  const auto found = seenKeys_.find(key);
  return found == seenKeys_.end() ? 0 : found->second;
}

void Node::handle(Exchange exchange) {
  const std::string target(exchange->request.target());
  if (target == "/health" || target == "/status/load") return probe(exchange);
  const std::string trace = exchange->header("X-Trace-Id");
  if (trace.empty()) return exchange->reply(404, "no id\n");
  ++arrivals_;
  arrivalsWhileHung_ += hung_ ? 1 : 0;
  ++seen_[trace];
  if (const std::string key = exchange->header("Idempotency-Key"); !key.empty()) ++seenKeys_[key];
  const std::string requestClass = target.substr(1, target.find('/', 1) - 1);
  const Micros work = workOf(requestClass, trace), now = nowMicros();
  ledger_.touched(trace, settings_.id, exchange->tag, exchange->firstByteAt);
  const std::uint64_t arrival = ledger_.arrived(trace, settings_.id, settings_.group, work, now);
  if (answerOnce(exchange, arrival)) return;
  if (server_.connections() > settings_.maxConnections) return turnAway(exchange, arrival, 503);
  switch (model_.submit(arrival, work, now)) {
    case NodeModel::Verdict::Full:
    case NodeModel::Verdict::Draining:
      return turnAway(exchange, arrival, 503);
    case NodeModel::Verdict::Down:
      ledger_.noted(arrival, "fell over", now);
      return die();
    case NodeModel::Verdict::Taken:
      break;
  }
  exchange->onClosed = [this, arrival] {
    if (jobs_.erase(arrival) == 0) return;
    ledger_.noted(arrival, "saw its connection end", nowMicros());
    model_.cancel(arrival, nowMicros());
    run();
  };
  jobs_.emplace(arrival, Job{std::move(exchange), arrival});
  run();
}

bool Node::answerOnce(const Exchange& exchange, std::uint64_t arrival) {
  if (once_.empty()) return false;
  const Once what = once_.front();
  once_.pop_front();
  switch (what) {
    case Once::TurnAway503:
      turnAway(exchange, arrival, 503);
      return true;
    case Once::TurnAway504:
      turnAway(exchange, arrival, 504);
      return true;
    case Once::Error:
      exchange->reply(500, "error\n");
      break;
    case Once::Bare503:
      exchange->reply(503, "busy\n");
      break;
    case Once::Bare504:
      exchange->reply(504, "late\n");
      break;
    case Once::Reset:
      exchange->drop(true);
      break;
    case Once::Close:
      exchange->drop(false);
      break;
  }
  ledger_.noted(arrival, "failed it on purpose", nowMicros());
  return true;
}

void Node::turnAway(const Exchange& exchange, std::uint64_t arrival, unsigned status) {
  ledger_.turnedAway(arrival, nowMicros());
  exchange->reply(status, "not now\n", "X-Never-Ran: 1\r\n");
}

void Node::probe(const Exchange& exchange) {
  if (!settings_.probes) return exchange->reply(404, "no probes\n");
  if (model_.hanging()) {
    exchange->onClosed = [] {};
    return;  // never answered
  }
  ++probes_;
  exchange->reply(model_.up() ? 200 : 503,
                  std::string(exchange->request.target()) == "/health" ? "ok\n" : figures());
}

std::string Node::figures() const {
  const LoadFigures load = model_.figures(nowMicros());
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(),
                "TEXT eps=%.2f, latency_ms=%.2f, qps=%.2f, inflight=%zu, queue=%zu, util=%.2f", load.eps,
                load.latencyMs, load.qps, load.inflight, load.queue, load.utilisation);
  return text.data();
}

// Does what has ended, and sets the timer for what ends next.
void Node::run() {
  for (const auto& [id, error] : model_.advance(nowMicros())) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    const Job job = found->second;
    jobs_.erase(found);
    const std::string key = job.exchange->header("Idempotency-Key");
    const bool effect = key.empty() || keys_.run(key, nowMicros());
    if (error) {
      ledger_.noted(job.arrival, "answered 500", nowMicros());
      job.exchange->reply(500, "error\n");
      continue;
    }
    // A body of its own for each answer, so that one given to the wrong request is noticed.
    const std::string body = settings_.id + " did " + job.exchange->header("X-Trace-Id") + " as number " +
                             std::to_string(job.arrival) + (effect ? "\n" : ", a repeat\n");
    ledger_.made(job.arrival, body, nowMicros());
    job.exchange->reply(200, body,
                        settings_.reportsInAnswers ? "Endpoint-Load-Metrics: " + figures() + "\r\n" : "");
  }
  const auto next = model_.next();
  if (!next) return;
  timer_.expires_at(timeOf(*next));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) run();
  });
}

// Exponential about the class's mean, cut at five times of it.
Micros Node::workOf(const std::string& requestClass, const std::string& trace) const {
  const auto found = settings_.work.find(requestClass);
  const auto mean =
      static_cast<double>(found == settings_.work.end() ? settings_.defaultWork : found->second);
  const double unit = static_cast<double>(hashOf(trace) >> 11) * 0x1p-53;
  return static_cast<Micros>(mean * std::min(5.0, -std::log(1 - unit)));
}

}  // namespace ivypost::standins
