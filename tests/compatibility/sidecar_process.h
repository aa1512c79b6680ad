// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The program between a discovery and an upstream of the test's own, spoken to over sockets alone.
#ifndef IVYPOST_TESTS_COMPATIBILITY_SIDECAR_PROCESS_H_
#define IVYPOST_TESTS_COMPATIBILITY_SIDECAR_PROCESS_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "compatibility/support.h"

namespace compatibility {

// What an upstream was sent, in the order in which it came.
class Received {
 public:
  void add(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(request);
  }
  std::vector<std::string> all() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
};

// The platform's discovery: one whole list, and then no news.
class Discovery {
 public:
  // `instances`: of the list, JSON with commas.
  explicit Discovery(const std::string& instances)
      : server_([this, instances](const std::string& request) {
          if (request.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0) == 0)
            return response("200 OK", "", R"({"generation":1,"reset":true,"instances":[)" + instances + "]}");
          watched_ = true;
          std::this_thread::sleep_for(std::chrono::milliseconds(100));  // of a watch
          return response("200 OK", "", R"({"generation":1,"reset":false,"instances":[]})");
        }) {}
  std::string address() const { return server_.address(); }
  // Waits until the list has been taken, which a watch from its generation shows.
  bool listTaken() const {
    return eventually([this] { return watched_.load(); });
  }

 private:
  std::atomic<bool> watched_{false};
  HttpServer server_;
};

inline std::string instanceAt(const std::string& id, const std::string& address) {
  return R"({"instanceId":")" + id + R"(","lifecycle":"up","hostPort":")" + address + R"("})";
}

class SidecarProcess {
 public:
  // `instances`: of the list, JSON; `operators`: the operator's file.
  SidecarProcess(const std::string& instances, const std::string& operators)
      : discovery_(instances),
        listen_(freePort()),
        console_(freePort()),
        process_({IVYPOST_PROGRAM, "--operator", folder_.write("op.toml", operators)},
                 {{"GW_CONFIG", folder_.write("config.json", config())}, {"TMPDIR", folder_.path()}}) {}

  // Waits until it listens and has the list.
  bool ready() const { return process_.says("ready on port ") && discovery_.listTaken(); }
  std::string ask(const std::string& bytes) const { return roundTrip(listen_, bytes); }
  std::string get(const std::string& path) const {
    return ask("GET " + path + " HTTP/1.1\r\nHost: sidecar\r\n\r\n");
  }
  std::string call(const std::string& method, const std::string& path) const {
    return roundTrip(console_, method + " " + path + " HTTP/1.1\r\nHost: console\r\n\r\n");
  }
  const Folder& folder() const { return folder_; }
  Process& process() { return process_; }

 private:
  std::string config() const {
    return R"({"name":"s1","seed":"5","listen":"127.0.0.1:)" + std::to_string(listen_) +
           R"(","console":"127.0.0.1:)" + std::to_string(console_) + R"(","discovery":")" +
           discovery_.address() +
           R"(","settings":{"classes":[
             {"name":"look","aim":400000,"deadline":2000000,"semantics":"free"},
             {"name":"settle","aim":400000,"deadline":2000000,"semantics":"guarded","group":"all",
              "repeatWindow":2000000},
             {"name":"post","aim":400000,"deadline":2000000,"semantics":"single_shot"}],
           "projects":[{"name":"hall","quotaPerS":0,"share":1}],
           "limits":{"maxAttempts":1,"maxRetryAfter":1500000,"retryAfter":true,"connectTimeout":200000}}})";
  }

  Folder folder_;
  Discovery discovery_;
  unsigned listen_, console_;
  Process process_;
};

}  // namespace compatibility

#endif  // IVYPOST_TESTS_COMPATIBILITY_SIDECAR_PROCESS_H_
