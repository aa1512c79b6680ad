// An upstream sends its answer a second time some milliseconds later, when nothing else waits on the
// connection there. A sidecar some milliseconds away has reused the connection by then, and takes the copy as
// the next request's answer.
#include "../common/standins.h"

namespace {

using namespace review;

constexpr int kUpstreams = 3;
constexpr int kClients = 6;
constexpr milliseconds kWork{30};
constexpr milliseconds kOneWay{10};    // between two data centres: 10 to 20 ms one way
constexpr milliseconds kCopyLater{4};  // "some milliseconds late"
constexpr int kCopyEach = 10;          // of ten answers one comes twice
constexpr milliseconds kPlayed{15'000};
constexpr milliseconds kPatience{2000};  // X-Expires-In-Ms: the class's deadline

// The network between two data centres: what goes in comes out unchanged and in order, kOneWay later.
class Link {
 public:
  explicit Link(int to) : to_(to), socket_(listenOn()) {
    std::thread([this] {
      for (;;) {
        const int connection = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) return;
        noDelay(connection);
        std::thread([this, connection] { carry(connection); }).detach();
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return portOf(socket_); }

 private:
  struct Piece {
    Clock::time_point at;
    std::string bytes;  // empty: the end of the direction
  };
  static void oneWay(int from, int to) {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Piece> pieces;
    std::thread writer([&] {
      for (;;) {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait(lock, [&] { return !pieces.empty(); });
        const Piece piece = std::move(pieces.front());
        pieces.pop_front();
        lock.unlock();
        std::this_thread::sleep_until(piece.at);
        if (piece.bytes.empty() || !sendAll(to, piece.bytes)) break;
      }
      shutdown(to, SHUT_WR);
    });
    for (bool isOpen = true; isOpen;) {
      char bytes[16384];
      const ssize_t size = recv(from, bytes, sizeof bytes, 0);
      isOpen = size > 0;
      const std::lock_guard<std::mutex> lock(mutex);
      pieces.push_back({Clock::now() + kOneWay,
                        isOpen ? std::string(bytes, static_cast<std::size_t>(size)) : std::string()});
      changed.notify_one();
    }
    writer.join();
  }
  void carry(int client) const {
    sleepFor(2 * kOneWay);  // the handshake's round trip
    const int server = connectTo(to_);
    if (server >= 0) {
      std::thread there([&] { oneWay(client, server); });
      oneWay(server, client);
      there.join();
      close(server);
    }
    close(client);
  }

  const int to_;
  const int socket_;
};

struct Counts {
  std::atomic<int> run{0}, copies{0}, noCopy{0};
};

struct Upstream {
  Upstream(Record& to, Counts& all, std::string ownName)
      : record(to), counts(all), name(std::move(ownName)), socket(listenOn()), link(portOf(socket)) {
    std::thread([this] {
      for (;;) {
        const int connection = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) return;
        noDelay(connection);
        const int number = ++connections;
        std::thread([this, connection, number] { serve(connection, number); }).detach();
      }
    }).detach();
  }
  void serve(int connection, int number) {
    const std::string place = " by " + name + " on connection " + std::to_string(number);
    Reader reader(connection);
    Message request;
    bool hasCopied = false;  // one copy a connection: behind it, a request may be on its way at any time
    while (reader.read(request) == ReadEnd::Complete) {
      const std::string id = request.header("x-trace-id");
      if (id.empty()) {
        sendAll(connection, answerText(404, ""));
        continue;
      }
      record.line("run      " + id + place);
      ++counts.run;
      sleepFor(kWork);
      const std::string answer = answerText(200, "ran " + id);
      if (!sendAll(connection, answer)) break;
      if (!hasTrouble() || hasCopied || counts.run % kCopyEach != 0) continue;
      // Only when nothing else waits on the connection: not a byte of another request has come to the
      // upstream.
      if (reader.bytes() > 0 || isReadableWithin(connection, kCopyLater)) {
        ++counts.noCopy;
        continue;
      }
      record.line("copy     " + id + place);
      ++counts.copies;
      hasCopied = true;
      if (!sendAll(connection, answer)) break;
    }
    close(connection);
  }
  Record& record;
  Counts& counts;
  const std::string name;
  const int socket;
  const Link link;
  std::atomic<int> connections{0};
};

struct Tally {
  std::atomic<int> sent{0}, own{0}, foreign{0}, refused{0}, failed{0}, unanswered{0};
};

// A copy of the application: one request at a time on a connection that it keeps.
void client(int port, int number, Clock::time_point until, Record& record, Tally& tally) {
  int socket = -1;
  std::unique_ptr<Reader> reader;
  for (std::uint64_t n = 1; Clock::now() < until; ++n) {
    if (socket < 0) {
      socket = connectTo(port);
      reader = std::make_unique<Reader>(socket);
      if (socket < 0) return;
    }
    const std::string id = hex16((static_cast<std::uint64_t>(number) << 40U) + n);
    const std::string text =
        "POST /issue-quote/" + id + " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + id +
        "\r\nX-Qos: issue-quote\r\nX-Expires-In-Ms: " + std::to_string(kPatience.count()) +
        "\r\nContent-Length: 5\r\n\r\nquote";
    record.line("sent     " + id);
    ++tally.sent;
    Message answer;
    const bool isAnswered =
        sendAll(socket, text) &&
        reader->read(answer, Clock::now() + kPatience + milliseconds(550)) == ReadEnd::Complete;
    const int status = isAnswered ? statusOf(answer) : 0;
    const bool isOwn = answer.body == "ran " + id;
    record.line("answered " + id + " " + std::to_string(status) + " '" +
                (status == 200 ? answer.body : std::string("-")) + "'" +
                (status == 200 && !isOwn ? " FOREIGN" : ""));
    if (status == 200)
      ++(isOwn ? tally.own : tally.foreign);
    else if (status == 429 || status == 503)
      ++tally.refused;
    else if (isAnswered)
      ++tally.failed;
    else
      ++tally.unanswered;
    if (!isAnswered || answer.header("connection") == "close") {
      close(socket);
      socket = -1;
    }
  }
  if (socket >= 0) close(socket);
}

int play(const std::string& folder, const std::string& recordPath) {
  Record record(recordPath);
  Counts counts;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::vector<Instance> instances;
  for (int n = 0; n < kUpstreams; ++n) {
    const std::string name = "s-" + std::to_string(n + 1);
    upstreams.push_back(std::make_unique<Upstream>(record, counts, name));
    instances.push_back({name, upstreams.back()->link.port(), "cork", "gen2"});
  }
  Discovery discovery(instances);
  Sidecar::Options options;
  options.folder = folder;
  options.discoveryPort = discovery.port();
  options.configuration =
      R"("seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
      discovery.known() +
      R"(,"settings":{"balancers":1,"index":0,"classes":[
{"name":"issue-quote","aim":600000,"deadline":2000000,"semantics":"single_shot","value":3.0},
{"name":"book-quote","aim":2000000,"deadline":6000000,"semantics":"guarded","group":"cell","repeatWindow":6000000,"value":8.0}],
"contract":{"answerSlack":20000,"askWithin":10000000,"cold":24000000,"fall":3000000,"fallMultiple":4,"startCapacity":0.12,"stopSendingWithin":500000},
"limits":{"connectTimeout":250000,"idleClose":15000000,"maxAttempts":6,"maxOpen":20000,"maxRetryAfter":2000000,"maxStreams":1,"mayCancel":true,"probing":true,"retryAfter":true,"secondCopies":true},
"locality":"dublin","zones":["dublin","cork"],"skus":["gen2"],"membershipMode":"subscribe",
"prices":{"crossZone":0.03,"probe":0.01,"waste":0.036},
"weights":"none","worthBy":"work","resolution":5000,"report":{"how":"none"}})";
  Sidecar sidecar(options);
  record.say(std::string("the sidecar is ready; trouble ") + (hasTrouble() ? "on" : "off"));
  Tally tally;
  std::vector<std::thread> clients;
  const auto until = Clock::now() + kPlayed;
  for (int n = 1; n <= kClients; ++n)
    clients.emplace_back([&, n] { client(sidecar.port(), n, until, record, tally); });
  for (auto& one : clients) one.join();
  const bool isRunning = sidecar.isRunning();
  sidecar.end();
  record.say("requests sent: " + std::to_string(tally.sent) + "; run by upstreams: " +
             std::to_string(counts.run) + "; second copies sent: " + std::to_string(counts.copies) +
             ", not sent since a request had come: " + std::to_string(counts.noCopy));
  record.say("served with their own answer: " + std::to_string(tally.own) + "; refused " +
             std::to_string(tally.refused) + ", failed " + std::to_string(tally.failed) + ", unanswered " +
             std::to_string(tally.unanswered));
  record.say("served with the answer of another request: " + std::to_string(tally.foreign));
  if (!isRunning) record.say("the sidecar ended by itself");
  if (tally.own == 0) giveUp("no request was served");
  return tally.foreign > 0 || !isRunning ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) giveUp("usage: case FOLDER RECORD");
  signal(SIGPIPE, SIG_IGN);
  const int result = play(argv[1], argv[2]);
  std::fflush(nullptr);
  _exit(result);  // the stand-ins' threads end with the process
}
