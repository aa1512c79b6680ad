// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What the program answers clients and operators, and what it sends to upstreams, byte for byte.
#include <gtest/gtest.h>
#include <signal.h>

#include <nlohmann/json.hpp>

#include "compatibility/sidecar_process.h"

namespace compatibility {
namespace {

using nlohmann::json;

std::string requestOf(const std::string& method, const std::string& target, const std::string& headers,
                      const std::string& body = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: sidecar.example\r\n" + headers + "\r\n" + body;
}

// A request that the sidecar takes.
std::string goodRequest(const std::string& requestClass, const std::string& path,
                        const std::string& more = "") {
  const bool get = requestClass == "look";
  const std::string headers =
      "X-Qos: " + requestClass +
      "\r\nX-Customer: hall\r\nX-Trace-Id: 0123456789abcdef\r\nX-Expires-In-Ms: 1000\r\n" + more +
      (get ? "" : "Content-Length: 4\r\n");
  return requestOf(get ? "GET" : "POST", "/" + requestClass + path, headers, get ? "" : "body");
}

// Field names and types, a line each; of an array its first element.
void shapeOf(const json& value, const std::string& path, std::string& to) {
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) shapeOf(item, path + "/" + key, to);
  } else if (value.is_array()) {
    to += path + " array\n";
    if (!value.empty()) shapeOf(value.front(), path + "/0", to);
  } else {
    to += path + " " + value.type_name() + "\n";
  }
}

std::string shapeOf(const std::string& text) {
  std::string shape;
  shapeOf(json::parse(text), "", shape);
  return shape;
}

// ---- Status

TEST(Status, LevelHasItsFieldsWithLevelsOff) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "[status]\nlevel = true\n");
  ASSERT_TRUE(sidecar.ready());
  expectGolden(masked(bodyOf(sidecar.get("/status/level")), "\"age_ms\":[0-9]+", "\"age_ms\":<number>"),
               "status-level-off.json");
}

TEST(Status, LevelHasItsFieldsWithLevelsOn) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"),
                               "[status]\nlevel = true\n[levels]\non = true\n[admission]\nqueue = true\n");
  ASSERT_TRUE(sidecar.ready());
  const std::string answer = sidecar.get("/status/level");
  expectGolden(answer.substr(0, answer.find("Content-Length")) + "\n" + shapeOf(bodyOf(answer)),
               "status-level-on.txt");
}

TEST(Status, IsNotServedUnlessOn) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "");
  ASSERT_TRUE(sidecar.ready());
  expectGolden(sidecar.get("/status/level") + sidecar.get("/status/peers"), "status-not-on.txt");
}

TEST(Status, PeersWithoutPeersIsAnEmptyObject) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "[status]\npeers = true\n");
  ASSERT_TRUE(sidecar.ready());
  EXPECT_EQ(bodyOf(sidecar.get("/status/peers")), "{}\n");
}

TEST(Status, OtherMethodsThanGetAreRejected) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "[status]\nlevel = true\npeers = true\n");
  ASSERT_TRUE(sidecar.ready());
  std::string all;
  for (const char* path : {"/status/level", "/status/peers", "/ready"})
    all += sidecar.ask(requestOf("POST", path, "Content-Length: 0\r\n"));
  expectGolden(all, "status-other-methods.txt");
}

TEST(Ready, Is503UntilThereIsAListThen200) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "");
  ASSERT_TRUE(sidecar.ready());
  const std::string ready = sidecar.get("/ready");
  sidecar.call("POST", "/api/evacuate");
  const std::string draining = sidecar.get("/ready");
  expectGolden("ready\n" + ready + "draining\n" + draining, "ready.txt");
}

// ---- The console

TEST(Console, CallsAndAnswersAreUnchanged) {
  const SidecarProcess sidecar(
      instanceAt("node-1", "127.0.0.1:1") + "," + instanceAt("node/2", "127.0.0.1:2"), "");
  ASSERT_TRUE(sidecar.ready());
  std::string all;
  for (const auto& [method, path] :
       std::vector<std::pair<std::string, std::string>>{{"GET", "/api/ready"},
                                                        {"GET", "/api/ready?x=1"},
                                                        {"POST", "/api/ready"},
                                                        {"POST", "/api/exclude/node-1"},
                                                        {"POST", "/api/exclude/node-1"},
                                                        {"GET", "/api/exclude/node-1"},
                                                        {"POST", "/api/exclude/node%2F2"},
                                                        {"POST", "/api/exclude/node/2"},
                                                        {"POST", "/api/exclude/"},
                                                        {"POST", "/api/exclude/%zz"},
                                                        {"POST", "/api/exclude/nobody"},
                                                        {"POST", "/api/include/node-1"},
                                                        {"POST", "/api/include/node-1"},
                                                        {"GET", "/api/include/node-1"},
                                                        {"POST", "/api/include/nobody"},
                                                        {"POST", "/api/evacuate"},
                                                        {"GET", "/api/ready"},
                                                        {"GET", "/api/evacuate"},
                                                        {"POST", "/api/rejoin"},
                                                        {"GET", "/api/ready"},
                                                        {"GET", "/api/rejoin"},
                                                        {"GET", "/"},
                                                        {"GET", "/api/unknown"}})
    all += ">> " + method + " " + path + "\n" + sidecar.call(method, path);
  expectGolden(all, "console.txt");
}

TEST(Console, ChangesAreLogged) {
  SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "");
  ASSERT_TRUE(sidecar.ready());
  sidecar.call("POST", "/api/exclude/node-1");
  EXPECT_TRUE(sidecar.process().says("excluded by hand: node-1\n"));
  sidecar.call("POST", "/api/include/node-1");
  EXPECT_TRUE(sidecar.process().says("included by hand: node-1\n"));
  sidecar.call("POST", "/api/evacuate");
  EXPECT_TRUE(sidecar.process().says("the sidecar is draining\n"));
  sidecar.process().signal(SIGTERM);
  EXPECT_EQ(sidecar.process().wait(), 0);
  EXPECT_TRUE(sidecar.process().says("the sidecar is stopping\n"));
}

TEST(Console, ReadyAgainIsLogged) {
  SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "");
  ASSERT_TRUE(sidecar.ready());
  sidecar.call("POST", "/api/evacuate");
  sidecar.call("POST", "/api/rejoin");
  EXPECT_TRUE(sidecar.process().says("the sidecar is ready\n"));
}

// ---- Clients' requests that are rejected

TEST(Requests, FlawsAreAnsweredAsBefore) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "");
  ASSERT_TRUE(sidecar.ready());
  const std::string qos = "X-Qos: look\r\n", customer = "X-Customer: hall\r\n",
                    trace = "X-Trace-Id: 0123456789abcdef\r\n", expires = "X-Expires-In-Ms: 1000\r\n";
  const std::string lookAll = qos + customer + trace + expires;
  std::string all;
  for (const std::string& request : {
           requestOf("GET", "/look/1", customer + trace + expires),
           requestOf("GET", "/look/1", "X-Qos: unheard\r\n" + customer + trace + expires),
           requestOf("GET", "/unheard/1", lookAll),
           requestOf("GET", "/settle/1", lookAll),
           requestOf("POST", "/look/1", lookAll + "Content-Length: 0\r\n"),
           requestOf("GET", "/post/1", "X-Qos: post\r\n" + customer + trace + expires),
           requestOf("POST", "/settle/1",
                     "X-Qos: settle\r\nContent-Length: 0\r\n" + customer + trace + expires),
           requestOf("GET", "/look/1", qos + customer + expires),
           requestOf("GET", "/look/1", qos + customer + expires + "X-Trace-Id: 12\r\n"),
           requestOf("GET", "/look/1", qos + customer + trace),
           requestOf("GET", "/look/1", qos + customer + trace + "X-Expires-In-Ms: soon\r\n"),
           requestOf("GET", "/look/1", qos + trace + expires),
           requestOf("GET", "/look/1", qos + trace + expires + "X-Customer: nobody\r\n"),
           requestOf("GET", "/look/1", lookAll + "X-Size-Hint: -1\r\n"),
           requestOf("GET", "/look/1", lookAll + qos),
           requestOf("GET", "/look/1", lookAll + "Connection: X-Qos\r\n"),
           requestOf("GET", "/look/1", lookAll + "Expect: something\r\n"),
           requestOf("OPTIONS", "*", ""),
           std::string("GET /look/1 HTTP/1.1\r\n\r\n"),
           std::string("GET /look/1 HTTP/2.0\r\nHost: x\r\n\r\n"),
           std::string("nonsense\r\n\r\n"),
           requestOf("GET", "/look/1", "X-Long: " + std::string(17000, 'x') + "\r\n"),
           requestOf("POST", "/post/1",
                     "Content-Length: 99999999\r\nX-Qos: post\r\n" + customer + trace + expires),
       }) {
    all += ">> " + request.substr(0, std::min<std::size_t>(request.size(), 300)) + "\n<< " +
           sidecar.ask(request) + "\n";
  }
  expectGolden(all, "request-flaws.txt");
}

TEST(Requests, WhileDrainingAreRejectedWithRetryAfter) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:1"), "");
  ASSERT_TRUE(sidecar.ready());
  sidecar.call("POST", "/api/evacuate");
  expectGolden(masked(sidecar.ask(goodRequest("look", "/1")), "Retry-After: [0-9]+\\.[0-9]{3}\r",
                      "Retry-After: <seconds>\r"),
               "request-while-draining.txt");
}

TEST(Requests, WithNoUpstreamAreRejected) {
  const SidecarProcess sidecar(instanceAt("node-1", "127.0.0.1:" + std::to_string(freePort())), "");
  ASSERT_TRUE(sidecar.ready());
  expectGolden(masked(sidecar.ask(goodRequest("post", "/1")), "Retry-After: [0-9]+\\.[0-9]{3}\r",
                      "Retry-After: <seconds>\r"),
               "request-without-upstream.txt");
}

// ---- Towards upstreams, and back

class Upstream {
 public:
  explicit Upstream(std::string answer)
      : server_([this, answer = std::move(answer)](const std::string& request) {
          if (request.rfind("GET /status/load", 0) == 0) return response("200 OK", "", "");
          received_.add(request);
          return answer;
        }) {}
  std::string address() const { return server_.address(); }
  std::string received() const { return received_.all().empty() ? std::string() : received_.all().front(); }

 private:
  Received received_;
  HttpServer server_;
};

struct Passed {
  std::string towardsUpstream, towardsClient;
};

Passed pass(const std::string& request, const std::string& answer) {
  const Upstream upstream(answer);
  const SidecarProcess sidecar(instanceAt("node-1", upstream.address()), "");
  EXPECT_TRUE(sidecar.ready());
  Passed passed;
  passed.towardsClient = sidecar.ask(request);
  passed.towardsUpstream =
      masked(upstream.received(), "X-Expires-In-Ms: [0-9]{3,4}\r", "X-Expires-In-Ms: <under 1000>\r");
  passed.towardsClient =
      masked(passed.towardsClient, "Retry-After: [0-9]+\\.[0-9]{3}\r", "Retry-After: <seconds>\r");
  return passed;
}

const std::string kServed = response(
    "200 OK",
    "Content-Type: application/json\r\nEndpoint-Load-Metrics: inflight=3,util=0.5\r\nX-Never-Ran: 0\r\n"
    "X-Other: 1\r\nSet-Cookie: a=b\r\nRetry-After: 9\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
    "{\"seat\":1}");

TEST(Upstream, GetsTheRequestsHeaders) {
  const auto passed =
      pass(goodRequest("look", "/seat/7?x=%20y",
                       "X-Size-Hint: 900\r\nX-Second-Try: 1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: "
                       "1\r\nTE: trailers\r\n"
                       "Keep-Alive: 5\r\nUpgrade: h2c\r\nAccept: */*\r\nX-Other: a b\r\nCookie: c=d\r\n"),
           kServed);
  expectGolden(passed.towardsUpstream, "upstream-get.txt");
}

TEST(Upstream, GetsAnIdempotencyKeyAndBody) {
  const auto passed =
      pass(goodRequest("settle", "/seat/7", "Idempotency-Key: key-1\r\nContent-Type: text/x\r\n"), kServed);
  expectGolden(passed.towardsUpstream, "upstream-post.txt");
}

TEST(Upstream, GetsAChunkedBodyWithItsLength) {
  const std::string request =
      requestOf("POST", "/post/1",
                "X-Qos: post\r\nX-Customer: hall\r\nX-Trace-Id: 0123456789abcdef\r\nX-Expires-In-Ms: 1000\r\n"
                "Transfer-Encoding: chunked\r\n",
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  expectGolden(pass(request, kServed).towardsUpstream, "upstream-chunked.txt");
}

TEST(Client, GetsTheServedAnswer) {
  expectGolden(pass(goodRequest("look", "/1"), kServed).towardsClient, "client-served.txt");
}

TEST(Client, GetsRefusedForOneThatNeverRan) {
  const std::string full = response("503 Service Unavailable", "X-Never-Ran: 1\r\n", "busy");
  expectGolden(pass(goodRequest("post", "/1"), full).towardsClient, "client-never-ran.txt");
}

TEST(Client, GetsFailedForABare503) {
  const std::string full = response("503 Service Unavailable", "", "busy");
  expectGolden(pass(goodRequest("post", "/1"), full).towardsClient, "client-bare-503.txt");
}

TEST(Client, GetsFailedForAnError) {
  const std::string error = response("500 Internal Server Error", "", "bug");
  expectGolden(pass(goodRequest("post", "/1"), error).towardsClient, "client-failed.txt");
}

TEST(Client, GetsNoInterimAnswerIfTheBodyIsThere) {
  const auto passed = pass(goodRequest("post", "/1", "Expect: 100-continue\r\n"), kServed);
  expectGolden(passed.towardsClient, "client-expect.txt");
}

// ---- Probes

TEST(Probes, AskForTheLoad) {
  Received received;
  const HttpServer upstream([&](const std::string& request) {
    received.add(request);
    return response("200 OK", "Endpoint-Load-Metrics: util=0.1\r\n", "");
  });
  const Discovery discovery(instanceAt("node-1", upstream.address()));
  const Folder folder;
  const unsigned port = freePort();
  const std::string config = folder.write(
      "config.json",
      R"({"name":"s1","seed":"5","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
          discovery.address() +
          R"(","settings":{"classes":[{"name":"look","aim":400000,"deadline":2000000,"semantics":"free"}],
          "balancers":400,"limits":{"probing":true,"maxAttempts":2,"connectTimeout":200000},
          "report":{"how":"probe","columns":["busy_reqs"]}}})");
  const Process program({IVYPOST_PROGRAM}, {{"GW_CONFIG", config}});
  ASSERT_TRUE(program.says("ready on port ") && discovery.listTaken());
  const std::string headers = "X-Qos: look\r\nX-Trace-Id: 0123456789abcdef\r\nX-Expires-In-Ms: 1000\r\n";
  roundTrip(port, requestOf("GET", "/look/1", headers));
  expectGolden(received.all().front(), "upstream-probe.txt");
}

}  // namespace
}  // namespace compatibility
