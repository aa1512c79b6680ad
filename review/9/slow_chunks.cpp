// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// An upstream writes answers over 64 KiB slowly and in chunks; their first bytes come at once.
#include "../common-2/rig.h"

namespace {

using namespace rig;

constexpr std::size_t kAnswerSize = 192UL * 1024;  // over 64 KiB, under 32 MB
constexpr std::size_t kPiece = 3200;
constexpr long long kPieceGapMs = 50;  // 64 kB a second
constexpr long long kExpiresMs = 800;  // 80 % of the class's deadline
constexpr int kRequests = 4;

std::string answerBody() {
  std::string body;
  body.reserve(kAnswerSize);
  for (std::size_t n = 0; n < kAnswerSize; ++n) body += static_cast<char>('a' + n % 23);
  return body;
}

std::string chunk(const std::string& piece) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  return size + piece + "\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  const Case one = begin(argc, argv);
  const std::string body = answerBody();
  const auto serve = [&](int fd) {
    Reader reader(fd);
    Message message;
    bool open = true;
    while (open && reader.read(message) == Read::Whole) {
      const std::string trace = message.header("x-trace-id");
      RECORD("upstream: %s has come whole, with %s ms told", trace.c_str(),
             message.header("x-expires-in-ms").c_str());
      const auto begun = Clock::now();
      open = sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n");
      std::size_t given = 0;
      while (open && given < body.size()) {
        const std::string piece = body.substr(given, kPiece);
        open = sendAll(fd, chunk(piece));
        if (!open) break;
        given += piece.size();
        if (given == piece.size()) RECORD("upstream: %s first bytes of the answer", trace.c_str());
        if (one.trouble) sleepMs(kPieceGapMs);
      }
      if (open) open = sendAll(fd, "0\r\n\r\n");
      RECORD("upstream: %s gave %zu of %zu bytes in %lld ms%s", trace.c_str(), given, body.size(),
             ms() - ms(begun), open ? "" : ", and was cut off");
    }
    ::close(fd);
  };
  Acceptor u1(serve);
  Acceptor u2(serve);
  Discovery discovery({{"u1", u1.address(), "up", 0, 0}, {"u2", u2.address(), "up", 0, 0}});
  Settings settings;
  settings.classes = {{"reserve", "guarded", 500, 1000, "cell", 600}};
  Sidecar sidecar(one, settings, discovery.address());
  sidecar.awaitReady();
  sleepMs(500);

  int bad = 0;
  for (int n = 0; n < kRequests; ++n) {
    const Request request{"reserve", newTrace(), newTrace(), "x", false, kExpiresMs};
    const int fd = connectTo(sidecar.port());
    const auto sentAt = Clock::now();
    if (fd < 0 || !sendAll(fd, request.text())) cannotRun("the client can't send");
    Reader reader(fd);
    Message message;
    const Read got = reader.read(message, sentAt + milliseconds(20'000));
    const bool good = got == Read::Whole && message.status() == 200 && message.body == body;
    RECORD("client: %s answer %d, head after %lld ms, end after %lld ms, %zu bytes: %s",
           request.trace.c_str(), message.status(), ms(message.headAt) - ms(sentAt), ms() - ms(sentAt),
           message.body.size(),
           good ? "the whole answer" : "BROKEN, the answer that the upstream gave is lost");
    if (!good) ++bad;
    ::close(fd);
    sleepMs(300);
  }
  RECORD("%d of %d answers lost", bad, kRequests);
  finish(bad > 0 ? 1 : 0);
}
