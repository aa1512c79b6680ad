// A replacing process waits for its first list while discovery is out of reach, and operators drain it and
// end the drain. It closes the inherited listening socket for good, says that it is ready, and answers no
// client once it is alone.
#include "../common/standins.h"

namespace {

using namespace review;

constexpr int kUpstreams = 3;
constexpr milliseconds kWork{30};
constexpr milliseconds kCalm{3000};         // the old process alone, all in order
constexpr milliseconds kOutage{8000};       // "The node list is out of reach for 6.5 to 24 s."
constexpr milliseconds kOutageAhead{1000};  // the outage begins so long before the replacement
constexpr milliseconds kDrain{400};         // from evacuate to rejoin
constexpr milliseconds kWatched{14'000};    // from the start of the new process on
constexpr milliseconds kBetweenRequests{50};
constexpr milliseconds kPatience{800};
constexpr milliseconds kSlack{550};
constexpr milliseconds kKill{3200};  // SIGKILL after SIGTERM: the longest deadline, 2.5 s, and 0.7 s

struct Upstream {
  Upstream(Record& to, std::string ownName) : record(to), name(std::move(ownName)), socket(listenOn()) {
    std::thread([this] {
      for (;;) {
        const int connection = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) return;
        noDelay(connection);
        std::thread([this, connection] { serve(connection); }).detach();
      }
    }).detach();
  }
  void serve(int connection) const {
    Reader reader(connection);
    Message request;
    while (reader.read(request) == ReadEnd::Complete) {
      const std::string id = request.header("x-trace-id");
      if (!id.empty()) {
        record.line("run      " + id + " by " + name);
        sleepFor(kWork);
      }
      if (!sendAll(connection, id.empty() ? answerText(404, "") : answerText(200, "ran " + id))) break;
    }
    close(connection);
  }
  Record& record;
  const std::string name;
  const int socket;
};

struct Tally {
  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, unread{0}, notUp{0}, late{0}, never{0};
  [[nodiscard]] int lost() const { return late + never; }
};

void request(int port, std::uint64_t number, Record& record, Tally& tally) {
  const std::string id = hex16(0x5e1f000000000000ULL + number);
  const int socket = connectTo(port);
  if (socket < 0) {
    ++tally.notUp;
    return record.line("not sent " + id + ": the connection did not come up");
  }
  const std::string text = "POST /reserva-sala/" + std::to_string(number) +
                           " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + id +
                           "\r\nX-Qos: reserva-sala\r\nX-Customer: ies-nalon\r\nX-Expires-In-Ms: " +
                           std::to_string(kPatience.count()) + "\r\nIdempotency-Key: " + id + id +
                           "\r\nContent-Length: 4\r\n\r\nsala";
  if (!sendAll(socket, text)) {
    close(socket);
    ++tally.notUp;
    return record.line("not sent " + id + ": the connection broke");
  }
  const auto sentAt = Clock::now();
  ++tally.sent;
  record.line("sent     " + id);
  Reader reader(socket);
  Message answer;
  const ReadEnd end = reader.read(answer, sentAt + kPatience + kSlack + milliseconds(1500));
  const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt);
  const std::string after = " after " + std::to_string(took.count()) + " ms";
  close(socket);
  if (end == ReadEnd::Complete && took <= kPatience + kSlack) {
    const int status = statusOf(answer);
    ++(status == 200 ? tally.served : status == 429 || status == 503 ? tally.refused : tally.failed);
    return record.line("answered " + id + " " + std::to_string(status) + after);
  }
  if ((end == ReadEnd::Closed || end == ReadEnd::Reset) && reader.bytes() == 0) {
    ++tally.unread;
    return record.line("closed   " + id + " unread" + after);
  }
  ++(end == ReadEnd::Complete ? tally.late : tally.never);
  record.line("LOST     " + id + ": no answer in time, the connection is still open" + after);
}

const char* const kSettings =
    R"(,"settings":{"balancers":1,"index":0,"classes":[
{"name":"reserva-sala","aim":500000,"deadline":1000000,"semantics":"guarded","group":"cell","repeatWindow":600000,"value":5.0},
{"name":"cambio-vigilante","aim":600000,"deadline":2500000,"semantics":"single_shot","value":2.0}],
"contract":{"answerSlack":20000,"askWithin":10000000,"cold":8500000,"fall":1000000,"fallMultiple":2.5,"startCapacity":0.32,"stopSendingWithin":2000000},
"limits":{"connectTimeout":250000,"idleClose":30000000,"maxAttempts":3,"maxOpen":27155,"maxRetryAfter":1200000,"maxStreams":1,"mayCancel":true,"probing":true,"retryAfter":false,"secondCopies":true},
"locality":"oviedo-dc1","zones":["oviedo-dc1"],"skus":["nodo-medio"],"membershipMode":"automatic",
"projects":[{"name":"ies-nalon","quotaPerS":342.0,"share":0.79},{"name":"colegio-naranco","quotaPerS":91.0,"share":0.21}],
"overShareWorth":0.05,"weights":"nominal","worthBy":"request","resolution":5000,"report":{"how":"none"}})";

// One call of the operators, again until the console listens; the time of the yes.
Clock::time_point callConsole(int port, const std::string& path, Record& record) {
  const auto until = Clock::now() + std::chrono::seconds(6);
  while (Clock::now() < until) {
    if (const int status = statusOfCall(port, "POST", path); status != 0) {
      record.say("operators: POST " + path + ": " + std::to_string(status));
      if (status != 200) giveUp("the console said no to " + path);
      return Clock::now();
    }
    sleepFor(milliseconds(5));
  }
  giveUp("the console did not answer " + path);
}

int play(const std::string& folder, const std::string& recordPath) {
  Record record(recordPath);
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::vector<Instance> instances;
  for (int n = 0; n < kUpstreams; ++n) {
    const std::string name = "s-" + std::to_string(n + 1);
    upstreams.push_back(std::make_unique<Upstream>(record, name));
    instances.push_back({name, portOf(upstreams.back()->socket), "oviedo-dc1", "nodo-medio"});
  }
  Discovery discovery(instances);
  const int listener = listenOn();  // the platform's, inherited by both processes
  Sidecar::Options options;
  options.folder = folder;
  options.discoveryPort = discovery.port();
  options.listener = listener;
  options.name = "old";
  options.consolePort = freePort();
  const std::string limits =
      R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" + discovery.known();
  options.configuration = R"("seed":"8c1f30d27a5be964",)" + limits + kSettings;
  Sidecar old(options);
  record.say(std::string("the old process is ready; trouble ") + (hasTrouble() ? "on" : "off"));
  Tally tally;
  std::vector<std::thread> clients;
  const auto begin = Clock::now();
  const auto end = begin + kCalm + kWatched;
  std::thread load([&] {
    std::uint64_t number = 0;
    for (auto next = begin; next < end; next += kBetweenRequests) {
      std::this_thread::sleep_until(next);
      clients.emplace_back([&, one = ++number] { request(portOf(listener), one, record, tally); });
    }
  });
  std::this_thread::sleep_until(begin + kCalm - kOutageAhead);
  std::thread outage([&] {
    if (!hasTrouble()) return;
    discovery.beSilent(true);
    record.say("trouble: discovery is out of reach");
    sleepFor(kOutage);
    discovery.beSilent(false);
    record.say("trouble: discovery is back");
  });
  std::this_thread::sleep_until(begin + kCalm);
  options.name = "new";
  options.consolePort = freePort();
  options.configuration = R"("seed":"91b27c44d05f6ae3",)" + limits + kSettings;
  options.awaitsReady = false;
  record.say("the new process is started beside the old one");
  Sidecar replacement(options);
  callConsole(options.consolePort, "/api/evacuate", record);
  sleepFor(kDrain);
  const auto rejoined = callConsole(options.consolePort, "/api/rejoin", record);
  bool saidYes = false;
  while (!saidYes && Clock::now() < rejoined + std::chrono::seconds(6)) {
    saidYes = statusOfCall(options.consolePort, "GET", "/api/ready") == 200;
    if (!saidYes) sleepFor(milliseconds(20));
  }
  if (!saidYes) giveUp("the new process did not say that it is ready");
  record.say("the new process says that it is ready; SIGTERM to the old one");
  old.signal(SIGTERM);
  const auto killAt = Clock::now() + kKill;
  while (old.isRunning() && Clock::now() < killAt) sleepFor(milliseconds(10));
  record.say(old.isRunning() ? "the old process is killed" : "the old process has ended");
  old.end();
  load.join();
  for (auto& client : clients) client.join();
  outage.join();
  const int readyAtEnd = statusOfCall(options.consolePort, "GET", "/api/ready");
  const bool isRunning = replacement.isRunning();
  replacement.end();
  record.say("at the end the new process answers " + std::to_string(readyAtEnd) + " to GET /api/ready");
  record.say("requests written whole: " + std::to_string(tally.sent) + "; served " +
             std::to_string(tally.served) + ", refused " + std::to_string(tally.refused) + ", failed " +
             std::to_string(tally.failed) + ", connection closed unread " + std::to_string(tally.unread) +
             ", not sent " + std::to_string(tally.notUp));
  record.say("lost: " + std::to_string(tally.late) + " answered over 0.55 s after their time, " +
             std::to_string(tally.never) + " never answered while looked at");
  if (!isRunning) record.say("the new process ended by itself");
  if (tally.served == 0) giveUp("no request was served");
  return tally.lost() > 0 || !isRunning ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) giveUp("usage: case FOLDER RECORD");
  signal(SIGPIPE, SIG_IGN);
  const int result = play(argv[1], argv[2]);
  std::fflush(nullptr);
  _exit(result);  // the stand-ins' threads end with the process
}
