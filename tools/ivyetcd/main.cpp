// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A stand-in of an etcd cluster on loopback, for tests and for trying things out: commands come on standard
// input, one a line, and each is answered; the end of the input ends it.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <utility>

#include "standins/etcd/cluster.h"
#include "standins/etcd/commands.h"

namespace {

std::string readFile(const std::string& path) {
  if (path.empty()) return "";
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file || text.empty()) throw std::runtime_error(path + " can't be read or is empty");
  return text;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11's own set-up may throw, and then ends the program.
int main(int argc, char** argv) {
  using namespace ivypost::standins::etcd;
  CLI::App app("A stand-in of an etcd cluster on 127.0.0.1. Commands on standard input:\n" + commandHelp());
  Cluster::Settings settings;
  std::string certificate, key, ca;
  app.add_option("--members", settings.members, "how many members")->check(CLI::Range(1, 16));
  app.add_option("--port", settings.ports,
                 "the members' ports, in their order; others are the system's choice");
  app.add_option("--user", settings.user, "with it, calls need a token");
  app.add_option("--password", settings.password, "the user's password");
  app.add_option("--certificate", certificate, "PEM file; with it and --key the members serve TLS");
  app.add_option("--key", key, "PEM file");
  app.add_option("--ca", ca, "PEM file; with it clients need a certificate of this authority");
  app.add_option("--fragment-events", settings.fragmentEvents, "events of a response in fragments; 0: all");
  CLI11_PARSE(app, argc, argv);
  try {
    settings.certificate = readFile(certificate);
    settings.key = readFile(key);
    settings.ca = readFile(ca);
    const std::size_t members = settings.members;
    Cluster cluster(std::move(settings));
    for (std::size_t n = 0; n < members; ++n)
      std::printf("member %zu on 127.0.0.1:%u\n", n + 1, static_cast<unsigned>(cluster.port(n)));
    std::fflush(stdout);
    for (std::string line; std::getline(std::cin, line);) {
      if (line.empty() || line.front() == '#') continue;
      if (line == "quit") break;
      try {
        std::printf("%s\n", command(cluster, members, line).c_str());
      } catch (const std::exception& error) {
        std::printf("error: %s\n", error.what());
      }
      std::fflush(stdout);
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivyetcd: %s\n", error.what());
    return 1;
  }
}
