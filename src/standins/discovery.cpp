// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/discovery.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace ivypost::standins {
namespace {

using nlohmann::json;

const char* nameOf(Discovery::State state) {
  switch (state) {
    case Discovery::State::Up:
      return "up";
    case Discovery::State::Draining:
      return "draining";
    case Discovery::State::Removed:
      return "removed";
  }
  return "";
}

// The number behind `name=` in a target's query; `missing` if it isn't there or no number.
std::int64_t parameter(std::string_view target, std::string_view name, std::int64_t missing) {
  const std::string wanted = std::string(name) + "=";
  for (std::size_t at = target.find(wanted); at != std::string_view::npos; at = target.find(wanted, at + 1)) {
    if (at == 0 || (target[at - 1] != '?' && target[at - 1] != '&')) continue;
    const std::string_view rest = target.substr(at + wanted.size());
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), number);
    return error == std::errc() ? number : missing;
  }
  return missing;
}

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, Ledger& ledger)
    : io_(io), ledger_(ledger), server_(io, [this](Exchange exchange) { handle(std::move(exchange)); }) {}

void Discovery::put(Entry entry, Micros delay) {
  if (delay <= 0) return apply(std::move(entry));
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::microseconds(delay));
  timer->async_wait(
      [this, timer, entry = std::move(entry)](const boost::system::error_code& cancelled) mutable {
        if (!cancelled) apply(std::move(entry));
      });
}

void Discovery::apply(Entry entry) {
  ++generation_;
  const std::string id = entry.id;
  entries_[id] = {std::move(entry), generation_};
  release();
}

// Answers the watches that have something to tell.
void Discovery::release() {
  if (silent_) return;
  for (auto at = watches_.begin(); at != watches_.end();) {
    if (at->after >= generation_) {
      ++at;
      continue;
    }
    const Watch watch = *at;
    at = watches_.erase(at);
    watch.timer->cancel();
    answer(watch.exchange, watch.after, false);
  }
}

void Discovery::handle(Exchange exchange) {
  ++calls_;
  const std::string target(exchange->request.target());
  if (target.substr(0, target.find('?')) != "/v1/endpoints") return exchange->reply(404, "no such path\n");
  if (status != 0) return exchange->reply(status, "not now\n");
  const std::int64_t after = parameter(target, "index", -1);
  const Micros wait = std::clamp<std::int64_t>(parameter(target, "wait", 0), 0, kMaxWait / 1000) * 1000;
  const bool whole = after < 0;
  if (!silent_ && (whole || after < generation_ || wait == 0)) return answer(exchange, after, whole);
  watches_.push_back({std::move(exchange), after, std::make_shared<boost::asio::steady_timer>(io_)});
  const auto at = std::prev(watches_.end());
  at->exchange->onClosed = [this, waiting = at->exchange.get()] {
    const auto found = std::find_if(watches_.begin(), watches_.end(),
                                    [waiting](const Watch& one) { return one.exchange.get() == waiting; });
    if (found == watches_.end()) return;
    found->timer->cancel();
    watches_.erase(found);
  };
  if (silent_) return;
  at->timer->expires_after(std::chrono::microseconds(wait));
  at->timer->async_wait([this, waiting = at->exchange](const boost::system::error_code& cancelled) {
    if (cancelled || silent_) return;
    const auto found = std::find_if(watches_.begin(), watches_.end(),
                                    [&](const Watch& one) { return one.exchange == waiting; });
    if (found == watches_.end()) return;
    const std::int64_t since = found->after;
    watches_.erase(found);
    answer(waiting, since, false);
  });
}

void Discovery::answer(const Exchange& exchange, std::int64_t after, bool whole) {
  const std::string text = list(exchange->tag, after, whole).dump();
  if (tamper) return exchange->reply(200, tamper(text), "Content-Type: application/json\r\n");
  tell(exchange->tag, whole ? -1 : after);
  exchange->reply(200, text, "Content-Type: application/json\r\n");
}

json Discovery::list(const std::string& sidecar, std::int64_t after, bool whole) const {
  json instances = json::array();
  for (const auto& [id, known] : entries_) {
    const Entry& entry = known.entry;
    if (whole ? entry.state == State::Removed : known.generation <= after) continue;
    auto address = entry.addresses.find(sidecar);
    if (address == entry.addresses.end()) address = entry.addresses.find("");
    json item = {{"instanceId", id},
                 {"zone", entry.zone},
                 {"machineType", entry.kind},
                 {"cell", entry.cell},
                 {"lifecycle", nameOf(entry.state)},
                 {"weight", entry.weight},
                 {"startedAtMs", entry.startedAtMs}};
    if (address != entry.addresses.end())
      item["hostPort"] = address->second.address().to_string() + ":" + std::to_string(address->second.port());
    instances.push_back(std::move(item));
  }
  return {{"generation", generation_}, {"reset", whole}, {"instances", instances}};
}

void Discovery::tell(const std::string& sidecar, std::int64_t after) {
  for (const auto& [id, known] : entries_) {
    if (known.generation > after) ledger_.told(sidecar, id, known.entry.state == State::Up, nowMicros());
  }
}

json Discovery::whole(const std::string& sidecar) {
  tell(sidecar, -1);
  return list(sidecar, -1, true);
}

void Discovery::silent(bool on) {
  silent_ = on;
  if (on) return;
  // Whoever still waits hears what there is.
  const auto waiting = std::exchange(watches_, {});
  for (const Watch& watch : waiting) {
    watch.timer->cancel();
    answer(watch.exchange, watch.after, watch.after < 0);
  }
}

void Discovery::down() {
  server_.stopListening();
  server_.dropAll(true);
}

void Discovery::up() {
  server_.listenAgain();
}

}  // namespace ivypost::standins
