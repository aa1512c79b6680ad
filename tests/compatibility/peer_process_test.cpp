// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The program beside a peer that speaks the bytes of 7c357c1, written out here by hand: that one hears it,
// answers it and takes its judgements.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "compatibility/sidecar_process.h"

namespace compatibility {
namespace {

using nlohmann::json;

constexpr char kPing = 1, kAck = 2;
constexpr std::size_t kSeal = 16;
// FNV-1a of "old" and "node-1", the names of the peer and of the upstream.
std::uint64_t hashOf(const std::string& name) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char one : name) hash = (hash ^ static_cast<unsigned char>(one)) * 0x100000001b3;
  return hash;
}

void put(std::string& to, std::uint64_t number, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) to += static_cast<char>(number >> shift);
}

class OldPeer {
 public:
  OldPeer()
      : socket_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)),
        key_(fromHex(golden("peers.key").substr(0, 64))) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), size), 0);
    EXPECT_EQ(::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size), 0);
    port_ = ntohs(address.sin_port);
  }
  ~OldPeer() { ::close(socket_); }
  OldPeer(const OldPeer&) = delete;
  OldPeer& operator=(const OldPeer&) = delete;

  unsigned port() const { return port_; }

  // The next datagram without its seal, which has to be right. None within 20 s.
  std::optional<std::string> receive() {
    pollfd one{socket_, POLLIN, 0};
    if (::poll(&one, 1, 20'000) <= 0) return std::nullopt;
    std::array<char, 2048> bytes{};
    socklen_t length = sizeof from_;
    const auto size =
        ::recvfrom(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from_), &length);
    const std::string datagram(bytes.data(), static_cast<std::size_t>(size));
    EXPECT_LE(datagram.size(), 256U);
    if (datagram.size() <= kSeal) return std::nullopt;
    const std::string message = datagram.substr(0, datagram.size() - kSeal);
    EXPECT_EQ(toHex(datagram.substr(message.size())), toHex(sealOf(message)));
    return message;
  }

  // To who sent the last datagram.
  void send(char kind, const std::string& nonce, const std::string& sections) {
    std::string message;
    put(message, 1, 1);
    message += kind;
    put(message, hashOf("old"), 8);
    put(message, 1'790'000'000'000, 8);
    put(message, 0x7f000001, 4);
    put(message, port_, 2);
    put(message, ++sequence_, 8);
    message += nonce + sections;
    sendBytes(message + sealOf(message));
  }
  // With the seal of a message that it is not.
  void sendForged(std::string message) {
    const std::string seal = sealOf(message);
    message.back() = static_cast<char>(message.back() + 1);
    sendBytes(message + seal);
  }
  void sendSealed(const std::string& message) { sendBytes(message + sealOf(message)); }

 private:
  void sendBytes(const std::string& datagram) {
    ::sendto(socket_, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&from_),
             sizeof from_);
  }

  std::string sealOf(const std::string& message) const {
    std::string seal(kSeal, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(seal.data()), seal.size(),
                       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
                       reinterpret_cast<const unsigned char*>(key_.data()), key_.size());
    return seal;
  }

  int socket_;
  std::string key_;
  unsigned port_ = 0;
  std::uint64_t sequence_ = 0;
  sockaddr_in from_{};
};

std::string judgementOfNode1() {
  std::string facts;
  put(facts, 1, 1);  // failing
  put(facts, hashOf("node-1"), 8);
  put(facts, 0, 6);  // its start: long ago
  put(facts, hashOf("old"), 8);
  put(facts, 1'790'000'000'000'000, 8);
  put(facts, 9, 2);   // attempts
  put(facts, 7, 2);   // failures
  put(facts, 20, 2);  // age in milliseconds
  std::string section;
  put(section, 3, 1);
  put(section, facts.size(), 1);
  return section + facts;
}

class PeerProcess : public testing::Test {
 protected:
  std::string operatorsFile() {
    return "[status]\npeers = true\n[peers]\non = true\naddress = \"127.0.0.1:" + std::to_string(freePort()) +
           "\"\nseeds = [\"127.0.0.1:" + std::to_string(peer_.port()) + "\"]\nsidecars = 2\nkey_file = \"" +
           folder_.write("key", golden("peers.key")) + "\"\n";
  }
  // Answers pings with this behind each ack until the status satisfies the condition.
  json answerUntil(const SidecarProcess& sidecar, const std::string& sections,
                   const std::function<bool(const json&)>& condition) {
    json status;
    for (int n = 0; n < 200; ++n) {
      const auto message = peer_.receive();
      if (!message) break;
      if (message->at(1) == kPing) peer_.send(kAck, message->substr(32, 4), sections);
      status = json::parse(bodyOf(sidecar.get("/status/peers")));
      if (condition(status)) return status;
    }
    ADD_FAILURE() << status.dump(1);
    return status;
  }

  OldPeer peer_;
  Folder folder_;
};

TEST_F(PeerProcess, PingHasTheSameHead) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), operatorsFile());
  const auto message = peer_.receive();
  ASSERT_TRUE(message);
  ASSERT_GE(message->size(), 36U);
  EXPECT_EQ(toHex(message->substr(0, 2)), "0101");
  std::string sender;
  put(sender, hashOf("s1"), 8);
  EXPECT_EQ(toHex(message->substr(2, 8)), toHex(sender));
  EXPECT_EQ(toHex(message->substr(18, 4)), "7f000001");
}

TEST_F(PeerProcess, AnswersAPingOfAnOldPeer) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), operatorsFile());
  ASSERT_TRUE(peer_.receive());
  peer_.send(kPing, "abcd", "");
  std::optional<std::string> message;
  do {
    message = peer_.receive();
  } while (message && message->at(1) != kAck);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->substr(32, 4), "abcd");
}

TEST_F(PeerProcess, TakesAJudgementOfAnOldPeerAndShowsIt) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), operatorsFile());
  const json status = answerUntil(sidecar, judgementOfNode1(), [](const json& one) {
    return one.value("heard", 0) == 2 && !one["judgements"].empty();
  });
  std::string shape;
  for (const auto& [key, value] : status.items()) {
    shape += key + " " + value.type_name() + "\n";
    if (value.is_object())
      for (const auto& [name, item] : value.items()) shape += "  " + name + " " + item.type_name() + "\n";
  }
  const std::string members = masked(status["members"].dump(1), "127\\.0\\.0\\.1:[0-9]+", "<address>");
  const std::string judgements =
      masked(status["judgements"].dump(1), "\"age_ms\": [0-9]+", "\"age_ms\": <number>");
  expectGolden(shape + members + "\n" + judgements + "\n", "status-peers.txt");
}

TEST_F(PeerProcess, ComplainsOfAnotherKey) {
  SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), operatorsFile());
  ASSERT_TRUE(peer_.receive());
  peer_.sendForged(std::string(60, 'x'));
  EXPECT_TRUE(sidecar.process().says("peers: a datagram that is not from this key\n"));
}

TEST_F(PeerProcess, ComplainsOfAnotherVersion) {
  SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), operatorsFile());
  auto message = peer_.receive();
  ASSERT_TRUE(message);
  message->at(0) = 2;
  peer_.sendSealed(*message);
  EXPECT_TRUE(sidecar.process().says("peers: a datagram that is no message of this version\n"));
}

TEST_F(PeerProcess, ComplainsOfFactsThatAreNone) {
  SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), operatorsFile());
  const auto message = peer_.receive();
  ASSERT_TRUE(message);
  peer_.send(kAck, message->substr(32, 4), std::string("\x03\x02zz", 4));
  EXPECT_TRUE(sidecar.process().says("peers: facts that are none\n"));
}

TEST_F(PeerProcess, LogsWhomItHears) {
  SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), operatorsFile());
  answerUntil(sidecar, "", [](const json& one) { return one.value("heard", 0) == 2; });
  EXPECT_TRUE(sidecar.process().says("peers: 127.0.0.1:" + std::to_string(peer_.port()) + " is heard\n"));
}

}  // namespace
}  // namespace compatibility
