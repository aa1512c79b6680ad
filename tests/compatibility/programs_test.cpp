// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Options, exit codes and the lines that scripts wait for, of all programs; and the adapter's wire. When a
// program gets another name its target changes in tests/CMakeLists.txt, and its own name is masked here.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "compatibility/support.h"

namespace compatibility {
namespace {

// Help and messages without the program's own name and path.
std::string withoutName(const std::string& program, std::string text) {
  const std::string name = program.substr(program.rfind('/') + 1);
  for (const auto& one : {program, name}) {
    for (auto at = text.find(one); at != std::string::npos; at = text.find(one))
      text.replace(at, one.size(), "PROGRAM");
  }
  return text;
}

struct Ended {
  std::optional<int> code;
  std::string out, errors;
};

Ended run(const std::vector<std::string>& command, const std::string& input = "") {
  Process process(command, {}, input);
  const auto code = process.wait();
  return {code, process.out(), process.errors()};
}

std::string shown(const std::vector<std::string>& command, const std::string& input = "") {
  const auto ended = run(command, input);
  std::string line = ">>";
  for (std::size_t n = 1; n < command.size(); ++n) line += " " + command[n];
  return withoutName(command[0], line + "\nexit " + std::to_string(ended.code.value_or(-1)) + "\n" +
                                     ended.out + ended.errors);
}

TEST(Programs, SidecarsOptionsAndExitCodes) {
  expectGolden(shown({IVYPOST_PROGRAM, "--help"}) + shown({IVYPOST_PROGRAM}) +
                   shown({IVYPOST_PROGRAM, "--bogus"}) + shown({IVYPOST_PROGRAM, "--operator"}) +
                   shown({IVYPOST_PROGRAM, "surplus"}),
               "program-sidecar.txt");
}

TEST(Programs, FaultProxysOptionsAndExitCodes) {
  expectGolden(shown({FAULT_PROXY_PROGRAM, "--help"}) + shown({FAULT_PROXY_PROGRAM}) +
                   shown({FAULT_PROXY_PROGRAM, "--listen", "127.0.0.1:0", "--to", "localhost:1"}),
               "program-fault-proxy.txt");
}

TEST(Programs, FleetTestsOptionsAndExitCodes) {
  expectGolden(shown({FLEET_TEST_PROGRAM, "--help"}) + shown({FLEET_TEST_PROGRAM}) +
                   shown({FLEET_TEST_PROGRAM, "/no/such/file.toml"}),
               "program-fleet-test.txt");
}

TEST(Programs, FakeEtcdsOptionsAndExitCodes) {
  expectGolden(shown({FAKE_ETCD_PROGRAM, "--help"}) + shown({FAKE_ETCD_PROGRAM, "--members", "0"}),
               "program-fake-etcd.txt");
}

TEST(Programs, ScaleTestsOptionsAndExitCodes) {
  std::string all = shown({SCALE_TEST_PROGRAM, "--help"}) + shown({SCALE_TEST_PROGRAM});
  for (const char* command : {"simulate", "hollow", "worker"})
    all += shown({SCALE_TEST_PROGRAM, command, "--help"});
  expectGolden(all + shown({SCALE_TEST_PROGRAM, "simulate", "--event", "unheard"}), "program-scale-test.txt");
}

TEST(Programs, FaultProxySaysWhereItListens) {
  Process proxy({FAULT_PROXY_PROGRAM, "--listen", "127.0.0.1:0", "--to", "127.0.0.1:1"}, {});
  EXPECT_TRUE(eventually([&] { return !proxy.out().empty() && proxy.out().back() == '\n'; }));
  EXPECT_EQ(masked(proxy.out(), "127\\.0\\.0\\.1:[0-9]+", "<address>"), "{\"listening\":\"<address>\"}\n");
  proxy.signal(SIGTERM);
  EXPECT_EQ(proxy.wait(), 0);
}

// Guards against a signal handler that is set after the line: who ended the proxy at once saw 143, not 0.
TEST(Programs, FaultProxyEndsInOrderAtASignalThatComesBeforeItsLine) {
  const Folder folder;
  const std::string plan = folder.path() + "/plan.toml";
  ASSERT_EQ(mkfifo(plan.c_str(), S_IRUSR | S_IWUSR), 0);
  Process proxy({FAULT_PROXY_PROGRAM, "--listen", "127.0.0.1:0", "--to", "127.0.0.1:1", "--plan", plan}, {});
  // Open for writing once the proxy reads its plan, and until then it says nothing.
  int writer = -1;
  ASSERT_TRUE(eventually([&] { return (writer = open(plan.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
  proxy.signal(SIGTERM);
  close(writer);
  EXPECT_EQ(proxy.wait(), 0);
}

TEST(Programs, FakeEtcdSaysWhereItListensAndTakesCommands) {
  const auto ended = run({FAKE_ETCD_PROGRAM, "--members", "2"}, "# a comment\nbogus\nquit\n");
  EXPECT_EQ(ended.code, 0);
  expectGolden(masked(ended.out, "127\\.0\\.0\\.1:[0-9]+", "<address>"), "fake-etcd-lines.txt");
}

// Lines that scripts, tests and operators' pages name, in the order in which one start and its reloads bring
// them.
TEST(Programs, SidecarsLinesOnStandardError) {
  const Folder folder;
  const std::string settings =
      R"("seed":"5","settings":{"classes":[{"name":"a","aim":100000,"deadline":200000,"semantics":"free"}],)"
      R"("balancers":0,"index":4}})";
  const auto config = [&](const std::string& discovery) {
    return R"({"name":"n","listen":"127.0.0.1:0","discovery":")" + discovery + "\"," + settings;
  };
  const std::string file = folder.write("config.json", config("127.0.0.1:1"));
  Process program({IVYPOST_PROGRAM}, {{"GW_CONFIG", file}});
  ASSERT_TRUE(program.says("the last list stays\n"));
  folder.write("config.json", "{");
  program.signal(SIGHUP);
  ASSERT_TRUE(program.says("the configuration stays as it was: "));
  folder.write("config.json", config("127.0.0.1:2"));
  ASSERT_TRUE(program.says("the configuration could be read now, and counts\n"));
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
  expectGolden(masked(program.errors(), "ready on port [0-9]+", "ready on port <number>"),
               "sidecar-lines.txt");
}

// ---- The adapter

TEST(Adapter, AnswersTheRecordedDialogueByteForByte) {
  const auto ended = run({ADAPTER_PROGRAM}, golden("adapter-dialogue.in"));
  EXPECT_EQ(ended.code, 0) << ended.errors;
  expectGolden(ended.out, "adapter-dialogue.out");
}

TEST(Adapter, EndsWithOneLineAtBadInput) {
  const std::string create =
      "create i=1 entropy=5 classes.count=1 classes.0.name=a classes.0.aim=100000 classes.0.deadline=200000 "
      "classes.0.semantics=free zones=z locality=z skus=k\n";
  const std::string list =
      "sheet sheet=0 lines=1\nentry upstream=10.0.0.1:90 mode=SERVING\nregistry i=1 mode=SAVED generation=1 "
      "sheet=0\n";
  const std::string begin = "mark now=5\n";
  std::string all;
  for (const std::string& input : {
           std::string("mark\n"),
           std::string("mark now=soon\n"),
           std::string("go\n"),
           begin,
           begin + "hello i=1\n",
           begin + create + "hello i=1\n",
           begin + create + create,
           begin + create + "withdrawn i=1 job=ff\n",
           begin + create + "registry i=1 mode=FULL sheet=3\n",
           begin + create + "registry i=1 mode=NEW sheet=0\n",
           begin + create + list + "ingress i=1 job=00000000000000ff category=b expiresIn=1\n",
           begin + create + "ingress i=1 job=00000000000000ff category=a expiresIn=1\n",
           begin + create + list + "response i=1 job=00000000000000ff go=0 upstream=10.0.0.1:90 status=odd\n",
           begin + create + list + "response i=1 job=00000000000000ff go=0 upstream=10.0.0.2:90 status=ok\n",
           begin + "sheet sheet=0 lines=1\nentry upstream=a:1 mode=ASLEEP\n",
           begin + "create i=1 entropy=5\n",
       }) {
    all += input + shown({ADAPTER_PROGRAM}, input);
  }
  expectGolden(all, "adapter-errors.txt");
}

// Guards against a port that another test's process gets before the sidecar binds it: it ended with "Address
// already in use".
TEST(FreePort, IsKeptForTheProgramThatIsToldIt) {
  const unsigned port = freePort();
  const auto tryToListen = [port](int reuseAddress) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuseAddress, sizeof reuseAddress);
    const bool listens = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                         ::listen(socket, 1) == 0;
    ::close(socket);
    return listens;
  };
  EXPECT_FALSE(tryToListen(0));
  EXPECT_TRUE(tryToListen(1));
}

}  // namespace
}  // namespace compatibility
