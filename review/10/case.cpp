// Long uploads fill the memory that a daemon has for bodies. Clients whose
// shorter requests wait for it meanwhile give up and close their connections.

#include "../kit-2/kit.hpp"

using namespace kit;

namespace {

constexpr std::size_t kUploadBytes = 4'000'000;  // maxBodyBytes is 4,194,304
constexpr int kUploads = 34;                     // memoryMb is 260
constexpr int kEvents = 12;
constexpr int kPauseMs = 140;
constexpr std::size_t kOrderBytes = 50'000;
constexpr int kOrders = 30;
constexpr int kGiveUpMs = 700;
/// The rule: "over half a second later", "more than a few requests".
constexpr double kLateS = 0.5;
constexpr int kFew = 5;

std::mutex mutex;
std::map<std::string, double> closed_at;  ///< of the clients that gave up
int late = 0;
int orders_run = 0;

void ServeOrders(Conn& connection) {
  Head head;
  std::string body;
  while (connection.ReadHead(head, Now() + 60) &&
         connection.ReadBody(head, body, Now() + 5)) {
    const std::string id = head.Get("Gentianroute-Request-Id");
    {
      const std::lock_guard<std::mutex> lock(mutex);
      ++orders_run;
      const auto closed = closed_at.find(id);
      const bool is_late =
          closed != closed_at.end() && Now() - closed->second > kLateS;
      late += is_late ? 1 : 0;
      if (closed != closed_at.end()) {
        Record("engine: runs %s of %zu bytes, its client left %.0f ms ago",
               id.c_str(), body.size(), (Now() - closed->second) * 1000);
      } else {
        Record("engine: runs %s of %zu bytes", id.c_str(), body.size());
      }
    }
    SleepMs(30);
    connection.Write("HTTP/1.1 200 OK\r\nGentianroute-Request-Id: " + id +
                     "\r\nGentianroute-Response-Signature: sig-" + id +
                     "\r\nContent-Length: 2\r\n\r\nok");
    body.clear();
  }
}

}  // namespace

int main(int, char** arguments) {
  Begin(arguments[1]);
  Store store;
  json config = StreamConfig();
  json orders = config["routes"][0];
  orders["name"] = "orders";
  orders["prefix"] = "/orders/";
  orders["type"] = "non_idempotent";
  orders["timeoutMs"] = 4000;
  orders["targetLatencyMs"] = 250;
  orders["service"] = "ledger";
  orders["maxAttempts"] = 1;
  orders["sessionAffinity"] = false;
  orders["resumable"] = false;
  config["routes"].push_back(orders);
  json ledger = json::object();
  ledger["name"] = "ledger";
  ledger["healthPath"] = "/healthz";
  ledger["maxConnections"] = 110;
  ledger["protocol"] = "h1";
  ledger["tls"] = false;
  config["services"].push_back(ledger);
  store.Put("op", "config", config.dump());
  Listener model([](Conn& connection) {
    ServeStreams(connection, "i-model-1", "v1", kEvents, kPauseMs);
  });
  store.Put("servers", "i-model-1",
            EngineEntry("model", model.address(), 64).dump());
  std::vector<std::unique_ptr<Listener>> engines;
  for (int i = 1; i <= 6; ++i) {
    engines.push_back(std::make_unique<Listener>(ServeOrders));
    store.Put("servers", "i-ledger-" + std::to_string(i),
              EngineEntry("ledger", engines.back()->address(), 6).dump());
  }
  Daemon daemon(store.address());
  daemon.StartAndWait();
  SleepMs(4500);

  std::vector<std::thread> clients;
  std::atomic<int> streams = 0;
  for (int i = 1; i <= kUploads; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "u" + std::to_string(i);
      Conn client = Connect(daemon.ip, daemon.callers);
      client.Write(RequestHead("POST", "/chat/new", id, 6000, kUploadBytes,
                               {"Gentianroute-Model: m",
                                "Gentianroute-Token-Usage: 400,300",
                                "Gentianroute-Prefix-Hash: 5c1e07a2:300," +
                                    std::to_string(20000000 + i) + ":100"}) +
                   std::string(kUploadBytes, 'u'));
      const Answer answer = ReadAnswer(client, Now() + 6);
      streams += answer.status() == 200 && answer.complete ? 1 : 0;
    });
  }
  SleepMs(300);
  std::atomic<int> answered = 0;
  for (int i = 1; i <= kOrders; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "o" + std::to_string(i);
      Conn client = Connect(daemon.ip, daemon.callers);
      client.Write(RequestHead("POST", "/orders/new", id, 4000, kOrderBytes) +
                   std::string(kOrderBytes, 'o'));
      const double until = Now() + (Trouble() ? kGiveUpMs / 1000.0 : 5);
      const Answer answer = ReadAnswer(client, until);
      answered += answer.status() == 200 && answer.complete ? 1 : 0;
      if (answer.status() != 0) {
        Record("client: %s answered with status %d", id.c_str(),
               answer.status());
        return;
      }
      const std::lock_guard<std::mutex> lock(mutex);
      client.Close();
      closed_at[id] = Now();
      Record("client: %s has no answer and leaves", id.c_str());
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(1000);
  const std::lock_guard<std::mutex> lock(mutex);
  Record(
      "%d of %d streams complete; %d of %d orders answered; %d orders run, "
      "%d of them over half a second after their client had left",
      streams.load(), kUploads, answered.load(), kOrders, orders_run, late);
  if (!Trouble() && answered < kOrders) {
    Finish(kCannotRun);
  }
  Finish(late > kFew ? kBroken : kHeld);
}
