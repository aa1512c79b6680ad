// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "config.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string_view>

#include "admin/admin_server.h"
#include "gossip/options.h"

namespace ivypost {
namespace {

using nlohmann::json;
using settings::FormatError;
using settings::throwFormatError;

// Descriptors that the process itself needs: log, event loop, signals, listening sockets, discovery, files.
constexpr double kReservedSockets = 16;
// Descriptors that the operators' console needs, if it is configured.
constexpr double kConsoleSockets = admin::AdminServer::kMaxConnections + 1;
constexpr double kPoolFraction = 0.9;
constexpr double kMaxMemoryMb = 1e6;
constexpr double kBytesPerMb = 1e6;
// The minimum of Config::poolSockets() if the operators' console is configured: one client connection and one
// upstream connection.
constexpr double kMinPoolSockets = 2;
// While a process is replaced, the old one and the new one share the limits, so each uses half of them.
constexpr int kProcessesDuringReplacement = 2;
constexpr int kSeedBase = 16;

// Values become part of a line of name=value pairs, in which a space ends a value and a comma separates
// items.
std::string sanitized(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\n'; }, '_');
  return text;
}

std::string scalar(const json& value) {
  return value.is_string() ? sanitized(value.get<std::string>()) : value.dump();
}

// Writes JSON in the format of the simulator's first message: nested names are joined by dots and lists of
// plain values by commas; a list of objects is written as its count, and each object under its index.
void flatten(const json& value, const std::string& path, std::string& line) {
  const std::string below = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, below + sanitized(key), line);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    line += " " + below + "count=" + std::to_string(value.size());
    for (std::size_t n = 0; n < value.size(); ++n) flatten(value[n], below + std::to_string(n), line);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + scalar(item);
    line += " " + path + "=" + joined;
  } else if (!value.is_null()) {
    line += " " + path + "=" + scalar(value);
  }
}

json parseJson(const std::string& text) {
  try {
    return json::parse(text);
  } catch (const json::exception& error) {
    throwFormatError("not JSON:", error.what());
  }
}

// The last endpoint list is optional: an error in it leaves a remark and does not prevent the start.
std::optional<discovery::EndpointList> parseKnownEndpoints(const json& object,
                                                           std::vector<std::string>& remarks) {
  try {
    return discovery::toEndpointList(object);
  } catch (const std::exception& error) {
    remarks.push_back(std::string("the known list is left out: ") + error.what());
    return std::nullopt;
  }
}

// The platform's peers are optional too: an error leaves a remark. If [peers] of the operator's file needs
// them, that section reports the error.
void readPeers(const json& file, Config& config) {
  const auto address = [](const json& text) {
    const auto read = gossip::parseAddress(text.get<std::string>());
    if (!read) throwFormatError("no IPv4 address and port:", text.dump());
    return *read;
  };
  try {
    if (file.contains("peer_listen")) config.peerListen = address(file["peer_listen"]);
    if (!file.contains("peers")) return;
    for (const json& one : file["peers"]) config.peers.push_back(address(one));
  } catch (const std::exception& error) {
    config.peerListen.reset();
    config.peers.clear();
    config.site.remarks.push_back(std::string("the platform's peers are left out: ") + error.what());
  }
}

std::uint64_t toSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kSeedBase);
  if (error != std::errc() || end != text.data() + text.size())
    throwFormatError("seed is no hexadecimal number:", text);
  return seed;
}

// The file can be replaced while the program runs and the environment can't, so the file takes precedence.
std::string readSetting(const json& file, const char* key, const char* variable) {
  const char* const value = std::getenv(variable);
  if (!file.contains(key) && value != nullptr && *value != '\0') return value;
  return file.at(key).get<std::string>();
}

// The descriptor in GW_FD, if it is a socket that listens on this address. Otherwise adds a remark with the
// reason, and the process opens its own listening socket, as it does without GW_FD.
std::optional<int> inheritedListener(const Endpoint& listen, std::vector<std::string>& remarks) {
  const char* const text = std::getenv("GW_FD");
  if (text == nullptr || *text == '\0') return std::nullopt;
  const std::string_view digits(text);
  const auto reject = [&](const char* why) {
    remarks.push_back(std::string("GW_FD ") + sanitized(std::string(digits)) + " " + why +
                      "; a socket of our own is listened on");
    return std::nullopt;
  };
  int number = -1;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || end != digits.data() + digits.size() || number < 0)
    return reject("is no descriptor's number");
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(number, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0)
    return reject("is no listening socket");
  Endpoint bound;
  size = static_cast<socklen_t>(bound.capacity());
  if (::getsockname(number, bound.data(), &size) != 0) return reject("has no address");
  bound.resize(size);
  if (bound.address() != listen.address() || (listen.port() != 0 && bound.port() != listen.port()))
    return reject("listens at another address");
  return number;
}

}  // namespace

double Config::poolSockets() const {
  const double all = static_cast<double>(sockets) / (listener ? kProcessesDuringReplacement : 1);
  if (!console) return kPoolFraction * all;
  return std::max(kMinPoolSockets, std::min(kPoolFraction * all, all - kReservedSockets - kConsoleSockets));
}

MemoryPlan Config::memoryPlan() const {
  const double memory = std::min(memoryMb, kMaxMemoryMb) * kBytesPerMb;
  return planMemory({memory / (listener ? kProcessesDuringReplacement : 1), poolSockets()});
}

Config parseConfig(const std::string& text) {
  const json file = parseJson(text);
  Config config;
  try {
    config.name = readSetting(file, "name", "GW_NAME");
    config.listen = parseEndpoint(readSetting(file, "listen", "GW_LISTEN"));
    config.discovery = parseEndpoint(readSetting(file, "discovery", "GW_DISCOVERY"));
    const char* const console = std::getenv("GW_CONSOLE");
    if (file.contains("console") || (console != nullptr && *console != '\0'))
      config.console = parseEndpoint(readSetting(file, "console", "GW_CONSOLE"));
    if (const char* const folder = std::getenv("TMPDIR")) config.tempFolder = folder;
    config.seed = toSeed(file.at("seed").get<std::string>());
    if (file.contains("limits")) {
      config.sockets = file["limits"].value("sockets", config.sockets);
      config.memoryMb = file["limits"].value("memory_mb", config.memoryMb);
      if (!(config.memoryMb > 0))
        throwFormatError("limits.memory_mb has to be over 0:", file["limits"]["memory_mb"].dump());
      config.cores = file["limits"].value("cores", config.cores);
      if (!(config.cores > 0))
        throwFormatError("limits.cores has to be over 0:", file["limits"]["cores"].dump());
    }
    std::string line = "settings";
    const json& settings = file.at("settings");
    flatten(settings, "", line);
    config.site = settings::readSite(settings::Line(line));
    config.listener = inheritedListener(config.listen, config.site.remarks);
    readPeers(file, config);
    if (file.contains("known")) config.known = parseKnownEndpoints(file["known"], config.site.remarks);
  } catch (const json::exception& error) {
    throw FormatError(error.what());
  }
  config.classNames.resize(config.site.classes.size());
  for (const auto& [name, number] : config.site.classes) config.classNames.at(number) = name;
  return config;
}

Config readConfig() {
  const char* const path = std::getenv("GW_CONFIG");
  if (path == nullptr || *path == '\0') throw FormatError("GW_CONFIG is not set");
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file) throw FormatError("cannot read the file that GW_CONFIG names");
  return parseConfig(text);
}

}  // namespace ivypost
