// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "standins/etcd/commands.h"

#include <charconv>
#include <chrono>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

namespace ivypost::standins::etcd {
namespace {

constexpr std::int64_t kMostKeys = 1'000'000, kMostRate = 100'000, kMostSeconds = 3'600, kMostMs = 600'000;

class Words {
 public:
  explicit Words(const std::string& line) : in_(line) {}
  std::string word(const char* what) {
    std::string word;
    if (!(in_ >> word)) throw std::runtime_error(std::string("needs ") + what);
    return word;
  }
  std::string rest() {
    std::string rest;
    std::getline(in_ >> std::ws, rest);
    return rest;
  }
  std::int64_t number(const char* what, std::int64_t low, std::int64_t high) {
    const std::string text = word(what);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < low || number > high) {
      throw std::runtime_error(std::string(what) + " has to be " + std::to_string(low) + " to " +
                               std::to_string(high) + ", not '" + text + "'");
    }
    return number;
  }
  bool on() {
    const std::string text = word("on or off");
    if (text != "on" && text != "off") throw std::runtime_error("needs on or off, not '" + text + "'");
    return text == "on";
  }
  void end() {
    std::string more;
    if (in_ >> more) throw std::runtime_error("'" + more + "' is too much");
  }

 private:
  std::istringstream in_;
};

std::string instance(std::int64_t number) {
  return R"({"hostPort":"127.0.0.1:)" + std::to_string(1 + number % 65'535) +
         R"(","zone":"a","machineType":"m2","cell":3,"lifecycle":"up","weight":1.0,"startedAtMs":0})";
}

// So many puts a second for so long, evenly.
void churn(Cluster& cluster, const std::string& prefix, std::int64_t rate, std::int64_t seconds) {
  using std::chrono::steady_clock;
  const auto begin = steady_clock::now();
  for (std::int64_t n = 0; n < rate * seconds; ++n) {
    std::this_thread::sleep_until(begin + std::chrono::microseconds(n * 1'000'000 / rate));
    cluster.put(prefix + std::to_string(n % 100), instance(n));
  }
}

struct Command {
  const char* name;
  const char* words;
  const char* what;
  std::function<std::string(Cluster&, std::size_t, Words&)> run;
};

// One that switches a member's fault on or off.
Command switching(const char* name, const char* what, void (Cluster::*fault)(std::size_t, bool)) {
  return {name, "MEMBER on|off", what, [fault](Cluster& cluster, std::size_t members, Words& words) {
            const auto member = words.number("MEMBER", 1, static_cast<std::int64_t>(members));
            const bool on = words.on();
            words.end();
            (cluster.*fault)(static_cast<std::size_t>(member - 1), on);
            return std::string("ok");
          }};
}

// One that happens once: to a member, or to all of them.
Command once(const char* name, const char* what, void (Cluster::*fault)(std::size_t)) {
  return {name, "MEMBER", what, [fault](Cluster& cluster, std::size_t members, Words& words) {
            const auto member = words.number("MEMBER", 1, static_cast<std::int64_t>(members));
            words.end();
            (cluster.*fault)(static_cast<std::size_t>(member - 1));
            return std::string("ok");
          }};
}
Command once(const char* name, const char* what, void (Cluster::*fault)()) {
  return {name, "", what, [fault](Cluster& cluster, std::size_t, Words& words) {
            words.end();
            (cluster.*fault)();
            return std::string("ok");
          }};
}

const std::vector<Command>& commands() {
  static const std::vector<Command> kCommands = {
      {"put", "KEY VALUE", "the rest of the line is the value",
       [](Cluster& cluster, std::size_t, Words& words) {
         const std::string key = words.word("KEY");
         return "revision " + std::to_string(cluster.put(key, words.rest()));
       }},
      {"del", "KEY", "",
       [](Cluster& cluster, std::size_t, Words& words) {
         const std::string key = words.word("KEY");
         words.end();
         return "revision " + std::to_string(cluster.remove(key));
       }},
      {"fill", "PREFIX COUNT", "so many instances, in transactions of a hundred",
       [](Cluster& cluster, std::size_t, Words& words) {
         const std::string prefix = words.word("PREFIX");
         const std::int64_t count = words.number("COUNT", 1, kMostKeys);
         words.end();
         std::vector<std::pair<std::string, std::string>> puts;
         for (std::int64_t n = 0; n < count; ++n) {
           puts.emplace_back(prefix + std::to_string(n), instance(n));
           if (puts.size() < 100 && n + 1 < count) continue;
           cluster.replace({}, puts);
           puts.clear();
         }
         return "revision " + std::to_string(cluster.revision());
       }},
      {"churn", "PREFIX RATE SECONDS", "so many puts a second over a hundred keys, then ok",
       [](Cluster& cluster, std::size_t, Words& words) {
         const std::string prefix = words.word("PREFIX");
         const std::int64_t rate = words.number("RATE", 1, kMostRate);
         const std::int64_t seconds = words.number("SECONDS", 1, kMostSeconds);
         words.end();
         churn(cluster, prefix, rate, seconds);
         return "revision " + std::to_string(cluster.revision());
       }},
      once("compact", "up to the latest revision", &Cluster::compact),
      once("backup", "keeps a copy of the store", &Cluster::backup),
      {"restore", "same|new", "goes back to the copy, under the same cluster's id or a new one",
       [](Cluster& cluster, std::size_t, Words& words) {
         const std::string id = words.word("same or new");
         words.end();
         if (id != "same" && id != "new") throw std::runtime_error("needs same or new, not '" + id + "'");
         cluster.restore(id == "new");
         return "revision " + std::to_string(cluster.revision());
       }},
      once("expire-tokens", "no token is taken any longer, and open watches are canceled",
           &Cluster::expireTokens),
      once("drop", "ends the member's watch streams", &Cluster::dropStreams),
      once("cut", "ends its streams behind the next fragment that is not the last", &Cluster::cutFragment),
      switching("stall", "takes everything and says nothing", &Cluster::stall),
      switching("withhold", "watches bring no events, all else is answered", &Cluster::withhold),
      switching("lag", "knows nothing newer than now", &Cluster::lag),
      switching("no-leader", "", &Cluster::loseLeader),
      switching("refuse", "every call is unavailable", &Cluster::refuse),
      switching("repeat", "each response with events comes twice", &Cluster::repeatEvents),
      switching("ahead", "progress comes ahead of the events that it covers", &Cluster::progressAhead),
      {"slow", "MEMBER MS", "each answer comes so much later",
       [](Cluster& cluster, std::size_t members, Words& words) {
         const auto member = words.number("MEMBER", 1, static_cast<std::int64_t>(members));
         const std::int64_t ms = words.number("MS", 0, kMostMs);
         words.end();
         cluster.slow(static_cast<std::size_t>(member - 1), ms * 1000);
         return std::string("ok");
       }},
      {"counts", "", "calls so far, and streams that are open",
       [](Cluster& cluster, std::size_t, Words& words) {
         words.end();
         const Cluster::Counts counts = cluster.counts();
         return "ranges " + std::to_string(counts.ranges) + " watches " + std::to_string(counts.watches) +
                " progress " + std::to_string(counts.progress) + " authentications " +
                std::to_string(counts.authentications) + " streams " + std::to_string(counts.openStreams);
       }},
  };
  return kCommands;
}

}  // namespace

std::string command(Cluster& cluster, std::size_t members, const std::string& line) {
  Words words(line);
  const std::string name = words.word("a command; see help");
  if (name == "help") return commandHelp();
  for (const Command& one : commands()) {
    if (one.name != name) continue;
    try {
      return one.run(cluster, members, words);
    } catch (const std::runtime_error& error) {
      std::string why = name;
      why.append(" ").append(error.what()).append("; ").append(name).append(" ").append(one.words);
      throw std::runtime_error(why);
    }
  }
  throw std::runtime_error("'" + name + "' is no command; see help");
}

std::string commandHelp() {
  std::string help;
  for (const Command& one : commands()) {
    std::string line = one.name;
    line.append(" ").append(one.words);
    line.resize(std::max<std::size_t>(line.size() + 1, 32), ' ');
    help.append(help.empty() ? "" : "\n").append(line).append(one.what);
  }
  return help;
}

}  // namespace ivypost::standins::etcd
