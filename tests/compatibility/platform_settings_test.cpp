// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The platform's file and environment, as 7c357c1 read them. A rename of a field touches valuesOf() alone.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

#include "compatibility/support.h"
#include "config.h"

namespace compatibility {
namespace {

using ivypost::Config;

const std::string kSettings =
    R"("settings":{"classes":[{"name":"a","aim":100000,"deadline":200000,"semantics":"free"}]})";

class Printer {
 public:
  template <class Value>
  void put(const std::string& key, const Value& value) {
    out_ << key << " = " << value << "\n";
  }
  template <class Names>
  void names(const std::string& key, const Names& names) {
    for (const auto& [name, number] : names) put(key + "[" + name + "]", number);
  }
  std::string text() const { return out_.str(); }

 private:
  std::ostringstream out_;
};

void printInstances(const ivypost::discovery::EndpointList& list, Printer& to) {
  to.put("known.generation", list.generation);
  to.put("known.reset", list.isComplete);
  for (std::size_t n = 0; n < list.instances.size(); ++n) {
    const auto& one = list.instances.at(n);
    const std::string at = "known.instances." + std::to_string(n) + ".";
    to.put(at + "instanceId", one.id);
    to.put(at + "zone", one.zone);
    to.put(at + "machineType", one.kind);
    to.put(at + "cell", one.cell ? std::to_string(*one.cell) : "none");
    to.put(at + "lifecycle", static_cast<int>(one.state));
    to.put(at + "hostPort", one.address);
    to.put(at + "weight", one.weight);
    to.put(at + "startedAtMs", one.startedAt.time_since_epoch().count());
  }
}

void printSettings(const ivypost::balancer::Settings& settings, Printer& to) {
  for (std::size_t n = 0; n < settings.classes.size(); ++n) {
    const auto& one = settings.classes.at(n);
    const std::string at = "classes." + std::to_string(n) + ".";
    to.put(at + "aim", one.latencyObjective);
    to.put(at + "aimStretch", one.objectiveStretch);
    to.put(at + "deadline", one.deadline);
    to.put(at + "semantics", static_cast<int>(one.semantics));
    to.put(at + "group", static_cast<int>(one.group));
    to.put(at + "repeatWindow", one.retryWindow);
    to.put(at + "lateWorth", one.lateWeight);
    to.put(at + "value", one.weight);
    to.put(at + "stream", one.stream);
  }
  for (std::size_t n = 0; n < settings.tenants.size(); ++n) {
    to.put("projects." + std::to_string(n) + ".quotaPerS", settings.tenants.at(n).quotaPerSecond);
    to.put("projects." + std::to_string(n) + ".share", settings.tenants.at(n).share);
  }
  to.put("zones", settings.zones);
  to.put("locality", settings.zone);
  to.put("skus", settings.kinds);
  to.put("balancers", settings.sidecars);
  to.put("index", settings.sidecar);
  to.put("membershipMode", settings.mustSubscribe);
  to.put("resolution", settings.resolution);
  to.put("limits.connectTimeout", settings.connectTimeout);
  to.put("limits.idleClose", settings.idleTimeout);
  to.put("limits.maxStreams", settings.maxStreamsPerConnection);
  to.put("limits.maxAttempts", settings.maxAttempts);
  to.put("limits.maxOpen", settings.maxOpen);
  to.put("limits.maxRetryAfter", settings.maxRetryAfter);
  to.put("limits.retryAfter", settings.retryAfter);
  to.put("limits.mayCancel", settings.mayCancel);
  to.put("limits.probing", settings.mayProbe);
  to.put("limits.secondCopies", settings.mayHedge);
  to.put("familyInfo.warmKeys", settings.hasKeyAffinity);
  to.put("worthBy", settings.weightByWork);
  to.put("overShareWorth", settings.overShareWeight);
  to.put("prices.crossZone", settings.crossZoneCost);
  to.put("prices.probe", settings.probeCost);
  to.put("prices.waste", settings.wasteCost);
  to.put("report.how", static_cast<int>(settings.reportSource));
  to.put("report.columns holds busy_reqs", settings.reportsBusyRequests);
  to.put("contract.answerSlack", settings.answerSlack);
  to.put("contract.askWithin", settings.pollWithin);
  to.put("contract.startCapacity", settings.startCapacity);
  to.put("contract.cold", settings.slowStartWindow);
  to.put("contract.stopSendingWithin", settings.drainGrace);
  to.put("contract.fallMultiple", settings.fallMultiple);
  to.put("contract.fall", settings.fallWindow);
  to.put("contract.lookBack", settings.retryBudgetWindow);
  to.put("contract.extraFloor", settings.retryBudgetFloor);
  to.put("contract.furtherRatio", settings.retryBudgetRatio);
  to.put("contract.hangUpWithin", settings.closeDrainingWithin);
}

// Each key with the value that the program works with.
std::string valuesOf(const Config& config) {
  Printer to;
  to.put("name", config.name);
  to.put("listen", config.listen);
  to.put("discovery", config.discovery);
  if (config.console) to.put("console", *config.console);
  to.put("seed", config.seed);
  if (config.peerListen) to.put("peer_listen", ivypost::gossip::format(*config.peerListen));
  for (const auto& one : config.peers) to.put("peers", ivypost::gossip::format(one));
  to.put("limits.sockets", config.sockets);
  to.put("limits.memory_mb", config.memoryMb);
  to.put("limits.cores", config.cores);
  if (config.known) printInstances(*config.known, to);
  to.names("name of class", config.site.classes);
  to.names("name of project", config.site.tenants);
  to.names("name of zone", config.site.zones);
  to.names("name of sku", config.site.kinds);
  for (const auto& one : config.site.columns) to.put("column", one ? static_cast<int>(*one) : -1);
  for (const auto& one : config.site.remarks) to.put("remark", one);
  printSettings(config.site.settings, to);
  return to.text();
}

TEST(PlatformSettings, EveryKeyIsReadIntoItsField) {
  expectGolden(valuesOf(ivypost::parseConfig(golden("platform-all-set.json"))),
               "platform-all-set.values.txt");
}

TEST(PlatformSettings, EveryKeyHasItsDefault) {
  const std::string least =
      R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a",)" + kSettings + "}";
  expectGolden(valuesOf(ivypost::parseConfig(least)), "platform-defaults.values.txt");
}

// Of each key that is read: what the program says at a value of the wrong type. A key that were no longer
// read would be accepted.
TEST(PlatformSettings, ErrorLinesAreUnchanged) {
  std::string lines;
  const std::string all = golden("platform-all-set.json");
  std::istringstream text(all);
  for (std::string line; std::getline(text, line);) {
    const auto from = line.find('"'), to = line.find("\": ");
    if (from == std::string::npos || to == std::string::npos || line[from - 1] == '{') continue;
    const std::string key = line.substr(from + 1, to - from - 1);
    const auto value = all.find("\"" + key + "\": ") + key.size() + 4;
    std::string bad = all;
    bad.insert(value, "\"not,as it,has to be\", \"the former value\": ");
    try {
      const Config config = ivypost::parseConfig(bad);
      lines += key + ": accepted";
      for (const auto& remark : config.site.remarks) lines += "; " + remark;
      lines += "\n";
    } catch (const std::exception& error) {
      lines += key + ": " + error.what() + "\n";
    }
  }
  expectGolden(lines, "platform-errors.txt");
}

// The environment gives what the file lacks, and the file goes first.
TEST(Environment, NamesAddressesAndNameOfTheSidecar) {
  const HttpServer discovery([](const std::string& request) {
    const bool first = request.find("index=") == std::string::npos;
    return first ? response("200 OK", "", R"({"generation":1,"reset":true,"instances":[]})") : std::string();
  });
  const Folder folder;
  const std::string file = folder.write("config.json", R"({"seed":"5",)" + kSettings + "}");
  const std::string operators = folder.write("op.toml", "[status]\nlevel = true\n");
  const unsigned port = freePort(), console = freePort();
  Process program({IVYPOST_PROGRAM, "--operator", operators},
                  {{"GW_CONFIG", file},
                   {"GW_NAME", "by-environment"},
                   {"GW_LISTEN", "127.0.0.1:" + std::to_string(port)},
                   {"GW_DISCOVERY", discovery.address()},
                   {"GW_CONSOLE", "127.0.0.1:" + std::to_string(console)}});
  ASSERT_TRUE(program.says("ready on port " + std::to_string(port) + "\n"));
  EXPECT_NE(
      roundTrip(port, "GET /status/level HTTP/1.1\r\nHost: x\r\n\r\n").find(R"("name":"by-environment")"),
      std::string::npos);
  EXPECT_NE(roundTrip(console, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n").find("ready"),
            std::string::npos);
}

TEST(Environment, GwFdIsTheListeningSocket) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  ASSERT_EQ(::bind(socket, reinterpret_cast<const sockaddr*>(&address), size), 0);
  ASSERT_EQ(::listen(socket, 4), 0);
  ASSERT_EQ(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size), 0);
  const std::string port = std::to_string(ntohs(address.sin_port));
  const Folder folder;
  const std::string file =
      folder.write("config.json", R"({"name":"n","discovery":"127.0.0.1:1","seed":"5","listen":"127.0.0.1:)" +
                                      port + "\"," + kSettings + "}");
  Process program({IVYPOST_PROGRAM}, {{"GW_CONFIG", file}, {"GW_FD", std::to_string(socket)}});
  EXPECT_TRUE(program.says("ready on port " + port + "\n"));
  EXPECT_EQ(program.errors().find("GW_FD"), std::string::npos) << program.errors();
  ::close(socket);
}

TEST(Environment, GwFdThatIsNoneIsTold) {
  const Folder folder;
  const std::string file = folder.write(
      "config.json",
      R"({"name":"n","discovery":"127.0.0.1:1","seed":"5","listen":"127.0.0.1:0",)" + kSettings + "}");
  Process program({IVYPOST_PROGRAM}, {{"GW_CONFIG", file}, {"GW_FD", "seven"}});
  EXPECT_TRUE(program.says("GW_FD seven is no descriptor's number; a socket of our own is listened on\n"));
}

}  // namespace
}  // namespace compatibility
