// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// What the compatibility tests share: golden files, programs run as processes, and plain sockets. Nothing
// here uses the project's own types, so that renaming them does not touch these tests.
#ifndef IVYPOST_TESTS_COMPATIBILITY_SUPPORT_H_
#define IVYPOST_TESTS_COMPATIBILITY_SUPPORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace compatibility {

// The contents of tests/compatibility/golden/<name>, byte for byte. Throws std::runtime_error if there is no
// such file.
std::string golden(const std::string& name);
// Fails the test unless `actual` is that file's contents. With IVYPOST_RECORD_GOLDEN set it writes the file
// instead, and fails all the same, so that a recording run never counts as a pass.
void expectGolden(const std::string& actual, const std::string& name);
// Replaces what matches the regular expression by <what>.
std::string masked(const std::string& text, const std::string& expression, const std::string& what);

// A folder of its own under the system's temporary folder, removed with everything in it at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }
  // Writes a file, whole or not at all; its path.
  std::string write(const std::string& name, const std::string& text) const;
  std::string read(const std::string& name) const;

 private:
  std::string path_;
};

using Environment = std::vector<std::pair<std::string, std::string>>;

// A process that goes on until it is told to end. Variables GW_* and TMPDIR of this process are not passed
// on.
class Process {
 public:
  Process(const std::vector<std::string>& command, const Environment& environment,
          const std::string& input = "");
  ~Process();  // kills it if it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const;
  // Its exit code; 128 and the signal's number for one that a signal ended. None: not within 20 s.
  std::optional<int> wait();
  std::string out() const { return folder_.read("out"); }
  std::string errors() const { return folder_.read("err"); }
  // Waits until its standard error holds the text; fails the test after 20 s without it.
  bool says(const std::string& text) const;

 private:
  Folder folder_;
  int pid_ = -1;
  std::optional<int> code_;
};

// Answers HTTP requests on a port of 127.0.0.1 that the system chooses, a thread for each connection.
class HttpServer {
 public:
  // From a whole request as it came to the whole response. An empty one ends the connection.
  using Handler = std::function<std::string(const std::string& request)>;
  explicit HttpServer(Handler handler);
  ~HttpServer();
  std::string address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// The response with this head's lines and this body; Content-Length is added.
std::string response(const std::string& status, const std::string& headers, const std::string& body);
// Sends the bytes over a connection of its own and returns one whole response as it came, interim ones
// included. Throws std::runtime_error after 20 s without one.
std::string roundTrip(unsigned port, const std::string& bytes);
// Its body.
std::string bodyOf(const std::string& response);
// Asks until the condition holds; false after 20 s.
bool eventually(const std::function<bool()>& condition);
// A TCP port of 127.0.0.1 that the system gives to nobody else until this process ends. Nothing listens there
// but a program that is told the port and binds it with SO_REUSEADDR, as ivypost does.
unsigned freePort();

std::string toHex(const std::string& bytes);
std::string fromHex(const std::string& digits);

}  // namespace compatibility

#endif  // IVYPOST_TESTS_COMPATIBILITY_SUPPORT_H_
