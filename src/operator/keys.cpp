// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "operator/keys.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

#include "configfile/units.h"

namespace ivypost::op {
namespace {

using configfile::Table;
using degradation::Signal;

// How far a threshold of a part of something may go, and the longest time that means anything here.
constexpr double kMostPart = 10;
constexpr std::int64_t kMostTime = 3'600'000'000;
constexpr std::size_t kMostClasses = 64;

template <class Value>
using Field = Value& (*)(File&);

template <class Value>
Value valueOf(Field<Value> field, const File& file) {
  File copy = file;
  return field(copy);
}

std::string shown(double number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", number);
  std::string digits = text.data();
  return digits.find_first_of(".e") == std::string::npos ? digits + ".0" : digits;
}

std::string quoted(const std::string& text) {
  std::string out(1, '"');
  return out.append(text).append(1, '"');
}

std::string shownTime(std::int64_t micros) {
  return quoted(configfile::formatDuration(micros));
}

Key flag(std::string path, std::string text, Field<bool> field) {
  return {std::move(path), std::move(text),
          [field](File& file, Table& table, std::string_view leaf) {
            field(file) = table.flag(leaf, field(file));
          },
          [field](const File& file) { return valueOf(field, file) ? "true" : "false"; }};
}

Key part(std::string path, std::string text, double low, Field<double> field) {
  return {std::move(path), std::move(text),
          [field, low](File& file, Table& table, std::string_view leaf) {
            field(file) = table.number(leaf, low, 1, field(file));
          },
          [field](const File& file) { return shown(valueOf(field, file)); }};
}

template <class Number>
Key whole(std::string path, std::string text, std::int64_t low, std::int64_t high, Field<Number> field) {
  return {std::move(path), std::move(text),
          [field, low, high](File& file, Table& table, std::string_view leaf) {
            const auto fallback = static_cast<std::int64_t>(field(file));
            field(file) = static_cast<Number>(table.integer(leaf, low, high, fallback));
          },
          [field](const File& file) { return std::to_string(valueOf(field, file)); }};
}

std::int64_t readTime(Table& table, std::string_view leaf, std::int64_t low) {
  const std::int64_t micros = table.duration(leaf);
  if (micros < low || micros > kMostTime)
    table.fail(leaf, "out of range; allowed is " + configfile::formatDuration(low) + " to 1h");
  return micros;
}

Key time(std::string path, std::string text, std::int64_t low, Field<std::int64_t> field) {
  return {std::move(path), std::move(text),
          [field, low](File& file, Table& table, std::string_view leaf) {
            if (table.has(leaf)) field(file) = readTime(table, leaf, low);
          },
          [field](const File& file) { return shownTime(valueOf(field, file)); }};
}

Key time(std::string path, std::string text, std::int64_t low, Field<std::chrono::microseconds> field) {
  return {std::move(path), std::move(text),
          [field, low](File& file, Table& table, std::string_view leaf) {
            if (table.has(leaf)) field(file) = std::chrono::microseconds(readTime(table, leaf, low));
          },
          [field](const File& file) { return shownTime(valueOf(field, file).count()); }};
}

bool isTime(Signal signal) {
  return degradation::unitOf(signal) == degradation::Unit::Microseconds;
}

std::string keyOf(Signal signal) {
  std::string name(nameOf(signal));
  std::replace(name.begin(), name.end(), ' ', '_');
  return name;
}

Key smoothing(Signal signal) {
  return {"levels.smoothing." + keyOf(signal), "",
          [signal](File& file, Table& table, std::string_view leaf) {
            if (table.has(leaf))
              file.degradation.settings.smoothingTimes[signal] =
                  std::chrono::microseconds(readTime(table, leaf, 0));
          },
          [signal](const File& file) {
            return shownTime(file.degradation.settings.smoothingTimes[signal].count());
          }};
}

Key threshold(degradation::Level level, Signal signal) {
  const auto at = [=](auto& file) -> auto& {
    return file.degradation.settings.thresholds.at(level, signal);
  };
  return {"levels." + std::string(nameOf(level)) + "." + keyOf(signal), "",
          [=](File& file, Table& table, std::string_view leaf) {
            if (table.isText(leaf)) {
              table.choice(leaf, {"never"});
              at(file).reset();
              return;
            }
            auto pair = table.table(leaf);
            if (!pair) return;
            degradation::Threshold one;
            for (const auto& [name, value] : {std::pair("enter", &one.enter), std::pair("exit", &one.exit)}) {
              *value = isTime(signal) ? static_cast<double>(readTime(*pair, name, 0))
                                      : pair->number(name, 0, kMostPart);
            }
            pair->finish();
            at(file) = one;
          },
          [=](const File& file) -> std::string {
            const auto& one = at(file);
            if (!one) return {};
            const auto value = [&](double number) {
              return isTime(signal) ? shownTime(static_cast<std::int64_t>(number)) : shown(number);
            };
            return "{ enter = " + value(one->enter) + ", exit = " + value(one->exit) + " }";
          }};
}

constexpr std::size_t kMostText = 4096;

Key text(std::string path, std::string what, Field<std::string> field) {
  return {std::move(path), std::move(what),
          [field](File& file, Table& table, std::string_view leaf) {
            std::string value = table.text(leaf, field(file));
            if (value.size() > kMostText) table.fail(leaf, "over 4096 bytes");
            field(file) = std::move(value);
          },
          [field](const File& file) { return quoted(valueOf(field, file)); }};
}

std::string shownList(const std::vector<std::string>& texts) {
  std::string list(1, '[');
  for (const auto& one : texts) list.append(list.size() == 1 ? "" : ", ").append(quoted(one));
  return list.append(1, ']');
}

Key source() {
  return {"membership.source",
          "Where the list of upstreams comes from: \"platform\", its discovery, or \"etcd\" (needs "
          "ivypost-etcd).\n"
          "Changed at SIGHUP, the old source counts until the new one has its first whole list.",
          [](File& file, Table& table, std::string_view leaf) {
            file.membership.source =
                static_cast<File::Membership::Source>(table.choice(leaf, {"platform", "etcd"}, 0));
          },
          [](const File& file) {
            return quoted(file.membership.source == File::Membership::Source::Etcd ? "etcd" : "platform");
          }};
}

Key endpoints() {
  return {"membership.etcd.endpoints",
          "The members' client addresses, as \"https://10.0.0.4:2379\"; 16 at the most.",
          [](File& file, Table& table, std::string_view leaf) {
            file.membership.etcd.endpoints = table.texts(leaf, etcd::kMaxEndpoints);
          },
          [](const File& file) { return shownList(file.membership.etcd.endpoints); }};
}

Key seeds() {
  return {
      "peers.seeds",
      "Where others may be found, as \"10.0.0.5:7946\", 64 at the most; a few that rarely move are enough.\n"
      "Empty: the platform's peers.",
      [](File& file, Table& table, std::string_view leaf) {
        file.peers.seeds = table.texts(leaf, peers::kMaxSeeds);
      },
      [](const File& file) { return shownList(file.peers.seeds); }};
}

// A number of sidecars. Not to be shown at its default, which is no number that may stand there.
Key members(std::string path, Field<std::int64_t> field) {
  return {std::move(path), "",
          [field](File& file, Table& table, std::string_view leaf) {
            if (table.has(leaf))
              field(file) = table.integer(leaf, 1, static_cast<std::int64_t>(peers::kMaxMembers));
          },
          [](const File&) { return std::string(); }};
}

void addPeers(std::vector<Key>& all) {
  all.push_back(flag("peers.on", "Sidecars find each other over UDP and share what they find of upstreams.",
                     [](File& f) -> bool& { return f.peers.on; }));
  all.push_back(text("peers.address",
                     "Where the others reach this one, as \"10.0.0.4:7946\". Empty: as the platform says.",
                     [](File& f) -> std::string& { return f.peers.address; }));
  all.push_back(text("peers.listen", "Where it listens, if that is another address.",
                     [](File& f) -> std::string& { return f.peers.listen; }));
  all.push_back(seeds());
  all.push_back(
      text("peers.key_file",
           "A file of 64 hexadecimal digits, the same at all sidecars; who has it can speak as any of them.",
           [](File& f) -> std::string& { return f.peers.keyFile; }));
  all.push_back(members("peers.sidecars", [](File& f) -> std::int64_t& { return f.peers.sidecars; }));
  all.push_back(whole<std::int64_t>(
      "peers.region",
      "The region that this sidecar is in, 1 to 63; 0: not told. With one, deaf is judged by the\n"
      "sidecars of the region alone, and region_sidecars has to say how many there should be.",
      0, peers::kMaxRegion, [](File& f) -> std::int64_t& { return f.peers.region; }));
  all.push_back(
      members("peers.region_sidecars", [](File& f) -> std::int64_t& { return f.peers.regionSidecars; }));
  all.push_back(whole<std::int64_t>(
      "peers.bytes_per_second", "Sent to others in any second at the most, with the headers of IPv4 and UDP.",
      peers::kLeastBytes, peers::kMostBytes,
      [](File& f) -> std::int64_t& { return f.peers.bytesPerSecond; }));
  all.push_back(time("peers.period",
                     "Between two probes of others; 1 to 2 kB a second are sent at 250ms, in any fleet.",
                     10'000, [](File& f) -> std::int64_t& { return f.peers.period; }));
  all.push_back(time("peers.timeout", "A probe's answer, before others are asked to try; over a round trip.",
                     1000, [](File& f) -> std::int64_t& { return f.peers.timeout; }));
  all.push_back(
      time("peers.deaf_after",
           "With no answer for so long, or with fewer than deaf_part of the sidecars heard, this one is\n"
           "deaf: it decides as without peers.",
           40'000, [](File& f) -> std::int64_t& { return f.peers.deafAfter; }));
  all.push_back(part("peers.deaf_part", "", 0.01, [](File& f) -> double& { return f.peers.deafPart; }));
}

Key order() {
  return {"admission.order",
          "Classes in the order in which they are favoured under overload, the worthiest first. Those that\n"
          "are not named follow in the order of the worth that the platform gives them.",
          [](File& file, Table& table, std::string_view leaf) {
            file.admission.order = table.texts(leaf, kMostClasses);
            auto sorted = file.admission.order;
            std::sort(sorted.begin(), sorted.end());
            if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
              table.fail(leaf, "a class stands there twice");
          },
          [](const File& file) { return shownList(file.admission.order); }};
}

void addMembership(std::vector<Key>& all) {
  const std::string at = "membership.etcd.";
  all.push_back(source());
  all.push_back(endpoints());
  all.push_back(flag(at + "names", "The platform can look names up; else endpoints are addresses.",
                     [](File& f) -> bool& { return f.membership.etcd.names; }));
  all.push_back(text(at + "prefix",
                     "The keys are <prefix>/<service>/<instanceId>, each the JSON of an instance.",
                     [](File& f) -> std::string& { return f.membership.etcd.prefix; }));
  all.push_back(text(at + "service", "", [](File& f) -> std::string& { return f.membership.etcd.service; }));
  all.push_back(text(at + "user", "Empty: no authentication.",
                     [](File& f) -> std::string& { return f.membership.etcd.user; }));
  all.push_back(text(at + "password_file", "Its password, the file's first and only line.",
                     [](File& f) -> std::string& { return f.membership.etcd.passwordFile; }));
  all.push_back(text(at + "ca", "PEM files, for endpoints with https://. Empty: the system's authorities ...",
                     [](File& f) -> std::string& { return f.membership.etcd.ca; }));
  all.push_back(text(at + "certificate", "... and no certificate of one's own.",
                     [](File& f) -> std::string& { return f.membership.etcd.certificate; }));
  all.push_back(text(at + "key", "", [](File& f) -> std::string& { return f.membership.etcd.key; }));
  all.push_back(text(at + "server_name",
                     "The name in the servers' certificates, where it is not the endpoint's.",
                     [](File& f) -> std::string& { return f.membership.etcd.serverName; }));
  all.push_back(time(at + "call_timeout", "Of each call.", 10'000,
                     [](File& f) -> std::int64_t& { return f.membership.etcd.callTimeout; }));
  all.push_back(
      time(at + "audit",
           "Between two looks whether the watch has withheld something. A removal that a stalled watch\n"
           "hides is noticed after this and one or two call_timeout.",
           50'000, [](File& f) -> std::int64_t& { return f.membership.etcd.audit; }));
  all.push_back(time(at + "backoff", "After a failure: up to this, then longer and longer ...", 1000,
                     [](File& f) -> std::int64_t& { return f.membership.etcd.backoff; }));
  all.push_back(time(at + "max_backoff", "... up to this.", 1000,
                     [](File& f) -> std::int64_t& { return f.membership.etcd.maxBackoff; }));
  all.push_back(flag(at + "progress", "The members answer progress requests (3.4 and later).",
                     [](File& f) -> bool& { return f.membership.etcd.progress; }));
  all.push_back(whole<std::int64_t>(at + "page", "Keys of one call for the list.", 1, 10'000,
                                    [](File& f) -> std::int64_t& { return f.membership.etcd.page; }));
  all.push_back(whole<std::int64_t>(at + "max_keys", "A list of more is not taken.", 1, 100'000,
                                    [](File& f) -> std::int64_t& { return f.membership.etcd.maxKeys; }));
}

std::vector<Key> build() {
  std::vector<Key> all = {
      flag("status.level",
           "GET /status/level on the listening address: the level, its signals and what was refused.",
           [](File& f) -> bool& { return f.status.level; }),
      flag("status.peers", "GET /status/peers likewise: whom this sidecar hears, and what they have found.",
           [](File& f) -> bool& { return f.status.peers; }),
      part("door.keep_any",
           "An answer ends its connection when more than this part of the places for clients is taken ...", 0,
           [](File& f) -> double& { return f.door.keepAny; }),
      part("door.keep_used",
           "... and up to this part not if its client has used it again within 2 s. 1: never.", 0,
           [](File& f) -> double& { return f.door.keepUsed; }),
      part("door.work", "With more than this part of the places at work, new requests are refused at once.",
           0.05, [](File& f) -> double& { return f.door.work; }),
      flag("admission.queue", "Requests queue for the core, and overload is told from a burst.",
           [](File& f) -> bool& { return f.admission.queue; }),
      order(),
      whole<std::size_t>("admission.most",
                         "Requests that wait at the most; the least worthy is refused beyond it.", 1, 65536,
                         [](File& f) -> std::size_t& { return f.admission.figures.maxRequests; }),
      part("admission.school_share", "The part of them that one school's may be.", 0.01,
           [](File& f) -> double& { return f.admission.figures.maxTenantFraction; }),
      time("admission.target",
           "Under overload what has waited longer is refused, but in the worthiest class ...", 1000,
           [](File& f) -> std::int64_t& { return f.admission.figures.targetDelay; }),
      time("admission.interval",
           "... where it may wait so long. A queue that was not empty for so long is overload.", 1000,
           [](File& f) -> std::int64_t& { return f.admission.figures.interval; }),
      time("admission.answer_time", "With less of its time left than this, a request is refused.", 0,
           [](File& f) -> std::int64_t& { return f.admission.figures.minRemainingTime; }),
      whole<std::int64_t>("admission.per_turn",
                          "Requests handed on before the loop sees to everything else that is ready.", 1,
                          1024, [](File& f) -> std::int64_t& { return f.admission.perTurn; }),
      flag("levels.on", "The ladder of reduced service: normal, thrifty, protect, shed, cutoff.",
           [](File& f) -> bool& { return f.degradation.on; }),
      time("levels.step_down", "Between two reductions of service.", 1000,
           [](File& f) -> std::chrono::microseconds& { return f.degradation.settings.escalationInterval; }),
      time("levels.calm",
           "All signals below their exits for so long, before service is restored by one level.", 1000,
           [](File& f) -> std::chrono::microseconds& { return f.degradation.settings.recoveryDelay; }),
      time("levels.max_calm", "The calm doubles up to this with each restoration that did not hold ...", 1000,
           [](File& f) -> std::chrono::microseconds& { return f.degradation.settings.maxRecoveryDelay; }),
      time("levels.probation", "... for so long.", 1000,
           [](File& f) -> std::chrono::microseconds& { return f.degradation.settings.probationPeriod; }),
  };
  addMembership(all);
  addPeers(all);
  for (const Signal signal : degradation::kSignals) all.push_back(smoothing(signal));
  for (const degradation::Level level : degradation::kLevels) {
    if (level == degradation::Level::Normal) continue;
    for (const Signal signal : degradation::kSignals) all.push_back(threshold(level, signal));
  }
  return all;
}

}  // namespace

std::string_view Key::section() const {
  return std::string_view(path).substr(0, path.rfind('.'));
}
std::string_view Key::leaf() const {
  return std::string_view(path).substr(path.rfind('.') + 1);
}

const std::vector<Key>& keys() {
  static const std::vector<Key> kKeys = build();
  return kKeys;
}

}  // namespace ivypost::op
