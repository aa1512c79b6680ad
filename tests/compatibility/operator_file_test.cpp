// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The keys of the operator's file, as 7c357c1 wrote and read them. A rename of a field touches valuesOf()
// alone.
#include "configuration/operator_file.h"

#include <gtest/gtest.h>

#include <array>
#include <sstream>

#include "compatibility/support.h"

namespace compatibility {
namespace {

constexpr std::array<const char*, 8> kSignals = {"cpu_share", "loop_lag",   "open_share",  "descriptor_share",
                                                 "bad_share", "over_share", "retry_share", "list_age"};
constexpr std::array<const char*, 4> kLevels = {"thrifty", "protect", "shed", "cutoff"};

std::string joined(const std::vector<std::string>& texts) {
  std::string line;
  for (const auto& one : texts) line.append(line.empty() ? "" : ",").append(one);
  return line;
}

// Each key with the value that the program works with; times in microseconds.
std::string valuesOf(const ivypost::configuration::OperatorFile& file) {
  std::ostringstream out;
  const auto put = [&](const char* key, const auto& value) { out << key << " = " << value << "\n"; };
  put("status.level", file.status.level);
  put("status.peers", file.status.peers);
  put("door.keep_any", file.connectionLimit.keepAnyFraction);
  put("door.keep_used", file.connectionLimit.keepReusedFraction);
  put("door.work", file.connectionLimit.activeFraction);
  put("admission.queue", file.admission.queue);
  put("admission.order", joined(file.admission.order));
  put("admission.most", file.admission.queueSettings.maxRequests);
  put("admission.school_share", file.admission.queueSettings.maxTenantFraction);
  put("admission.target", file.admission.queueSettings.targetDelay);
  put("admission.interval", file.admission.queueSettings.interval);
  put("admission.answer_time", file.admission.queueSettings.minRemainingTime);
  put("admission.per_turn", file.admission.maxForwardsPerTurn);
  const auto& degradation = file.degradation.settings;
  put("levels.on", file.degradation.on);
  put("levels.step_down", degradation.escalationInterval.count());
  put("levels.calm", degradation.recoveryDelay.count());
  put("levels.max_calm", degradation.maxRecoveryDelay.count());
  put("levels.probation", degradation.probationPeriod.count());
  const auto& etcd = file.membership.etcd;
  put("membership.source",
      file.membership.source == ivypost::configuration::OperatorFile::Membership::Source::Etcd ? "etcd"
                                                                                               : "platform");
  put("membership.etcd.endpoints", joined(etcd.endpoints));
  put("membership.etcd.names", etcd.names);
  put("membership.etcd.prefix", etcd.prefix);
  put("membership.etcd.service", etcd.service);
  put("membership.etcd.user", etcd.user);
  put("membership.etcd.password_file", etcd.passwordFile);
  put("membership.etcd.ca", etcd.ca);
  put("membership.etcd.certificate", etcd.certificate);
  put("membership.etcd.key", etcd.key);
  put("membership.etcd.server_name", etcd.serverName);
  put("membership.etcd.call_timeout", etcd.callTimeout);
  put("membership.etcd.audit", etcd.audit);
  put("membership.etcd.backoff", etcd.backoff);
  put("membership.etcd.max_backoff", etcd.maxBackoff);
  put("membership.etcd.progress", etcd.progress);
  put("membership.etcd.page", etcd.page);
  put("membership.etcd.max_keys", etcd.maxKeys);
  const auto& peers = file.peers;
  put("peers.on", peers.on);
  put("peers.address", peers.address);
  put("peers.listen", peers.listen);
  put("peers.seeds", joined(peers.seeds));
  put("peers.key_file", peers.keyFile);
  put("peers.sidecars", peers.sidecars);
  put("peers.region", peers.region);
  put("peers.region_sidecars", peers.regionSidecars);
  put("peers.bytes_per_second", peers.bytesPerSecond);
  put("peers.period", peers.period);
  put("peers.timeout", peers.timeout);
  put("peers.deaf_after", peers.isolatedAfter);
  put("peers.deaf_part", peers.quorumFraction);
  for (std::size_t n = 0; n < kSignals.size(); ++n)
    put((std::string("levels.smoothing.") + kSignals.at(n)).c_str(),
        degradation.smoothingTimes[ivypost::degradation::kSignals.at(n)].count());
  for (std::size_t level = 0; level < kLevels.size(); ++level) {
    for (std::size_t n = 0; n < kSignals.size(); ++n) {
      const auto& threshold = degradation.thresholds.at(static_cast<ivypost::degradation::Level>(level + 1),
                                                        ivypost::degradation::kSignals.at(n));
      out << "levels." << kLevels.at(level) << "." << kSignals.at(n) << " = ";
      if (threshold) out << threshold->enter << " / " << threshold->exit << "\n";
      if (!threshold) out << "never\n";
    }
  }
  return out.str();
}

TEST(OperatorFile, ExampleIsUnchanged) {
  Process program({IVYPOST_PROGRAM, "--operator-example"}, {});
  EXPECT_EQ(program.wait(), 0);
  expectGolden(program.out(), "operator-example.toml");
}

TEST(OperatorFile, EveryKeyIsReadIntoItsField) {
  const auto file =
      ivypost::configuration::parseOperatorFile(golden("operator-all-set.toml"), "all-set.toml");
  expectGolden(valuesOf(file), "operator-all-set.values.txt");
}

TEST(OperatorFile, EveryKeyHasItsDefault) {
  expectGolden(valuesOf(ivypost::configuration::parseOperatorFile("", "empty.toml")),
               "operator-defaults.values.txt");
}

// Of every key: a wrong type, so that the line names the key, what it got and what is allowed.
TEST(OperatorFile, ErrorLinesOfEveryKeyAreUnchanged) {
  std::ostringstream lines;
  std::istringstream values(golden("operator-all-set.values.txt"));
  for (std::string line; std::getline(values, line);) {
    const std::string key = line.substr(0, line.find(' '));
    try {
      ivypost::configuration::parseOperatorFile(key + " = 1979-05-27", "op.toml");
      lines << key << " was accepted\n";
    } catch (const std::exception& error) {
      lines << error.what() << "\n";
    }
  }
  expectGolden(lines.str(), "operator-errors.txt");
}

// The program's own line and exit code.
TEST(OperatorFile, UnknownKeyEndsTheStart) {
  const Folder folder;
  const std::string settings =
      R"({"classes":[{"name":"a","aim":100000,"deadline":200000,"semantics":"free"}]})";
  const std::string config =
      folder.write("config.json",
                   R"({"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"5","settings":)" +
                       settings + "}");
  const std::string file = folder.write("op.toml", "[door]\nkeep_eny = 0.5\n");
  Process program({IVYPOST_PROGRAM, "--operator", file}, {{"GW_CONFIG", config}});
  EXPECT_EQ(program.wait(), 1);
  EXPECT_EQ(program.errors(),
            "ivypost: " + file + ":2: door.keep_eny: there is no such key; did you mean 'keep_any'?\n");
}

}  // namespace
}  // namespace compatibility
