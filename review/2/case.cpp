// Machines are stopped in turn, each while it relays a stream. When the stream
// has ended whole, its client asks again over the same open connection, and the
// second stream is cut off although most of the grace is left.
#include "../harness/platform.hpp"

using namespace review;

namespace {

constexpr int kMachines = 5;
/// More than contactMs after the start of the machines.
constexpr long kCalmMs = 5000;
constexpr long kGapMs = 1000;       // between the stops of two machines
constexpr long kStopAfterMs = 500;  // SIGTERM after the first request
constexpr long kThinkMs = 50;       // of the client, between two requests
constexpr long kEventMs = 100;      // from one event to the next
constexpr int kEventsOfFirst = 40;
constexpr int kEventsOfSecond = 8;
constexpr int kDeadlineMs = 15'000;

/// A model server that sends streams of events.
class ModelServer {
 public:
  ModelServer(Runs& runs, Record& record)
      : runs_(runs),
        record_(record),
        server_("127.0.0.1", [this](Stream& stream) { Serve(stream); }) {}

  const Address& address() const { return server_.address(); }

 private:
  void Serve(Stream& stream) {
    for (;;) {
      const Message request = ReadMessage(stream, false, 30'000);
      if (!request.whole) {
        return;
      }
      const std::string id = RequestId(request);
      record_.Line("the server runs " + id);
      runs_.Add(id);
      const bool is_first = request.target() == "/chat/first";
      if (!SendStream(stream, id,
                      is_first ? kEventsOfFirst : kEventsOfSecond)) {
        record_.Line("the server's connection is closed during " + id);
        return;
      }
    }
  }

  static bool SendStream(Stream& stream, const std::string& id, int events) {
    bool open = stream.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n" +
        SignedFields("i-1", id) + "\r\n");
    for (int i = 1; i <= events && open; ++i) {
      const std::string number = std::to_string(10 + i);
      open = stream.Send("17\r\nid: " + number + "\ndata: abcdefgh\n\n\r\n");
      SleepMs(kEventMs);
    }
    return open && stream.Send("0\r\n\r\n");
  }

  Runs& runs_;
  Record& record_;
  Server server_;
};

/// @return whether the second request was lost
bool AskTwice(Machine& machine, Runs& runs, Record& record) {
  const auto client = Stream::Connect(machine.frontend());
  const std::string first = "first-" + machine.name();
  record.Line("the client sends " + first);
  client->Send(RequestText("/chat/first", first, kDeadlineMs, "letter"));
  SleepMs(kStopAfterMs);
  const long stopped_at = NowMs();
  if (HasTrouble()) {
    machine.Signal(SIGTERM);
    record.Line("SIGTERM for " + machine.name());
  }
  Message answer = ReadMessage(*client, true, kDeadlineMs);
  record.Line(first + (answer.whole ? " is answered whole" : " was cut") +
              ", Connection: '" + answer.field("Connection") + "'");
  if (!answer.whole || answer.field("Connection") == "close") {
    return false;
  }
  SleepMs(kThinkMs);
  const std::string second = "second-" + machine.name();
  record.Line("the client sends " + second + ", " +
              std::to_string(NowMs() - stopped_at) + " ms after the stop");
  client->Send(RequestText("/chat/second", second, kDeadlineMs, "letter"));
  answer = ReadMessage(*client, true, kDeadlineMs);
  if (answer.whole) {
    record.Line(second + " is answered whole: " + answer.start);
    return false;
  }
  const long ended_at = NowMs();
  SleepMs(200);
  const bool has_run = runs.Of(second) > 0;
  record.Line((has_run ? "LOST: " : "not passed on: ") + second + " got '" +
              answer.start + "' and " + std::to_string(answer.body.size()) +
              " bytes; the connection ended " +
              std::to_string(ended_at - stopped_at) + " ms after the stop");
  machine.Wait();
  record.Line(machine.name() + " ended with " + machine.Ending());
  return has_run;
}

int Run(Record& record, const std::string& folder) {
  Store store;
  Runs runs;
  ModelServer server(runs, record);
  store.Put("servers", "i-1",
            ServerRow("assist", server.address(), "north", 64));
  store.Put("op", "config",
            Configuration(json::array({Route("chat", "/chat/", "streaming",
                                             "assist", 1, kDeadlineMs)}),
                          json::array({PlainService("assist")})));
  std::vector<std::unique_ptr<Machine>> machines;
  for (int i = 1; i <= kMachines; ++i) {
    machines.push_back(std::make_unique<Machine>(
        "edge-north-" + std::to_string(i), "north",
        "127.0.0." + std::to_string(10 + i), store.address(), folder));
    machines.back()->Start();
  }
  for (const auto& machine : machines) {
    if (!machine->BecomesReady()) {
      return kCouldNotRun;
    }
  }
  SleepMs(kCalmMs);
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kMachines; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(kGapMs * i);
      lost += AskTwice(*machines[i], runs, record) ? 1 : 0;
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("second requests " + std::to_string(kMachines) + ", lost " +
              std::to_string(lost));
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Run);
}
