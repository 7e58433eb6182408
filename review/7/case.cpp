// A model engine refuses a request whose input is gone, and sends that answer a
// second time where the answer to its next request is due. The next request on
// the connection is the same one, with its input made again.

#include <set>

#include "../kit-2/kit.hpp"

using namespace kit;

namespace {

constexpr int kModelEngines = 2;
constexpr int kStageEngines = 7;
/// Sound requests before the one that is watched: one answer in more than fifty
/// is doubled.
constexpr int kSoundRequests = 60;
const std::string kWatched = "watched";

std::mutex mutex;
std::set<std::string> handles;  ///< results that can be fetched
std::map<std::string, int> runs;
std::string crash_of;  ///< stage engine that is to end; empty if none
int doubled = 0;

/// One engine of the stage. It can be ended and then answers nothing more.
class StageEngine {
 public:
  StageEngine() : listener_([this](Conn& connection) { Serve(connection); }) {}
  std::string address() const { return listener_.address(); }
  void Crash() {
    dead_ = true;
    const std::lock_guard<std::mutex> lock(mutex);
    std::erase_if(handles, [this](const std::string& handle) {
      return handle.rfind(address() + "/", 0) == 0;
    });
    Record("stage engine %s: crashes", address().c_str());
  }

 private:
  void Serve(Conn& connection) {
    Head head;
    std::string body;
    while (!dead_ && connection.ReadHead(head, Now() + 60) &&
           connection.ReadBody(head, body, Now() + 5) && !dead_) {
      const json call = json::parse(body);
      json answer = json::object();
      if (head.Target() == "/gentianroute/stage-run") {
        SleepMs(150);
        if (dead_) {
          return;
        }
        answer["entries"] = json::array();
        for (const json& entry : call.at("entries")) {
          static std::atomic<unsigned> count = 0x91bd0000;
          char name[32];
          std::snprintf(name, sizeof name, "%x", ++count);
          const std::string handle = address() + "/" + name;
          const std::lock_guard<std::mutex> lock(mutex);
          handles.insert(handle);
          json made = json::object();
          made["handle"] = handle;
          answer["entries"].push_back(made);
          if (entry["id"] == kWatched) {
            Record("stage engine %s: made %s for %s", address().c_str(),
                   handle.c_str(), kWatched.c_str());
          }
        }
      } else {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const json& handle : call.at("handles")) {
          handles.erase(handle);
        }
      }
      const std::string text = answer.dump();
      connection.Write(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          "Gentianroute-Instance-Load: 0,0,1\r\nContent-Length: " +
          std::to_string(text.size()) + "\r\n\r\n" + text);
      body.clear();
    }
  }

  std::atomic<bool> dead_ = false;
  Listener listener_;
};

std::vector<std::unique_ptr<StageEngine>> stage_engines;

bool HasInput(const std::string& handle) {
  const std::lock_guard<std::mutex> lock(mutex);
  return handles.contains(handle);
}

void ServeModelEngine(Conn& connection) {
  std::string again;  ///< an answer that is sent once more
  Head head;
  std::string body;
  while (connection.ReadHead(head, Now() + 60) &&
         connection.ReadBody(head, body, Now() + 5)) {
    const std::string id = head.Get("Gentianroute-Request-Id");
    const std::string input = head.Get("Gentianroute-Input-Count");
    if (!again.empty()) {
      Record("model engine: sends its last answer once more");
      connection.Write(std::exchange(again, ""));
    }
    if (id == kWatched) {
      Record("model engine: has got %s with input %s", id.c_str(),
             input.c_str());
      const bool first = doubled == 0;
      if (Trouble() && first) {
        for (const auto& engine : stage_engines) {
          if (input.rfind(engine->address() + "/", 0) == 0) {
            engine->Crash();
          }
        }
      }
    }
    const bool waits = id == kWatched && doubled == 0;
    if (waits) {
      SleepMs(30);  // until it has a place; then it fetches the input
    }
    if (!HasInput(input)) {
      const std::string refusal =
          "HTTP/1.1 409 Conflict\r\nGentianroute-Request-Id: " + id +
          "\r\nGentianroute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      connection.Write(refusal);
      Record("model engine: refuses %s with 409, its input is gone",
             id.c_str());
      if (doubled++ == 0) {
        again = refusal;
      }
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex);
      ++runs[id];
      if (id == kWatched) {
        Record("model engine: begins to work on %s, run %d", id.c_str(),
               runs[id]);
      }
    }
    SleepMs(40);
    connection.Write("HTTP/1.1 200 OK\r\nGentianroute-Request-Id: " + id +
                     "\r\nGentianroute-Response-Signature: sig-" + id +
                     "\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= 4; ++i) {
      const std::string event =
          "id: " + std::to_string(3 * i) + "\ndata: piece\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      connection.Write(size + event + "\r\n");
      SleepMs(10);
    }
    connection.Write("0\r\n\r\n");
  }
}

Answer Send(const Daemon& daemon, const std::string& id) {
  Conn client = Connect(daemon.ip, daemon.callers);
  client.Write(
      RequestHead(
          "POST", "/draft/new", id, 6000, 4,
          {"Gentianroute-Model: m", "Gentianroute-Token-Usage: 400,20",
           "Gentianroute-Prefix-Hash: 5c1e07a2:300," +
               std::to_string(std::hash<std::string>{}(id) % 100000000) +
               ":100",
           "Gentianroute-Chunk-Count: 1",
           "Gentianroute-Chunk-Key: 7c1e07a291bd"}) +
      "text");
  return ReadAnswer(client, Now() + 8);
}

}  // namespace

int main(int, char** arguments) {
  Begin(arguments[1]);
  Store store;
  std::vector<std::unique_ptr<Listener>> model_engines;
  store.Put("op", "config",
            json{{"version", 1},
                 {"routes",
                  {{{"name", "draft"},
                    {"hostname", "app.example"},
                    {"prefix", "/draft/"},
                    {"type", "streaming"},
                    {"timeoutMs", 6000},
                    {"targetLatencyMs", 1300},
                    {"priority", 1},
                    {"service", "model"},
                    {"maxAttempts", 2},
                    {"phases",
                     {{{"service", "stage"},
                       {"after", json::array()},
                       {"sizeBytes", 8000}}}},
                    {"public", true},
                    {"sessionAffinity", true},
                    {"resumable", false},
                    {"gapTargetMs", 400}}}},
                 {"services",
                  {{{"name", "model"},
                    {"healthPath", "/healthz"},
                    {"maxConnections", 370},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"backend", {{"slots", 64}, {"kvCapacity", 454255}}}},
                   {{"name", "stage"},
                    {"healthPath", "/healthz"},
                    {"maxConnections", 370},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"segments",
                     {{"slots", 1},
                      {"queue", 2},
                      {"batch", 10},
                      {"callMs", 150.0},
                      {"itemMs", 3.0},
                      {"headroomMb", 49.0},
                      {"handleS", 4.0},
                      {"bandwidthMbps", 10000}}}}}},
                 {"limits", Limits()}}
                .dump());
  for (int i = 0; i < kModelEngines; ++i) {
    model_engines.push_back(std::make_unique<Listener>(ServeModelEngine));
    store.Put("servers", "i-model-" + std::to_string(i),
              EngineEntry("model", model_engines.back()->address(), 64).dump());
  }
  for (int i = 0; i < kStageEngines; ++i) {
    stage_engines.push_back(std::make_unique<StageEngine>());
    store.Put("servers", "i-stage-" + std::to_string(i),
              EngineEntry("stage", stage_engines.back()->address(), 1).dump());
  }
  Daemon daemon(store.address());
  daemon.StartAndWait();
  SleepMs(500);

  int served = 0;
  for (int i = 0; i < kSoundRequests; ++i) {
    served += Send(daemon, "s" + std::to_string(i)).status() == 200 ? 1 : 0;
  }
  Record("client: %d of %d sound requests were served", served, kSoundRequests);
  Record("client: sends %s", kWatched.c_str());
  const Answer answer = Send(daemon, kWatched);
  Record("client: %s answered with status %d, %s", kWatched.c_str(),
         answer.status(), answer.complete ? "complete" : "broken off");
  SleepMs(1000);
  daemon.Signal(SIGKILL);
  const std::lock_guard<std::mutex> lock(mutex);
  int twice = 0;
  for (const auto& [id, count] : runs) {
    twice += count > 1 ? 1 : 0;
  }
  Record("requests that ran more than once: %d; %s ran %d times", twice,
         kWatched.c_str(), runs[kWatched]);
  if (served < kSoundRequests) {
    Finish(kCannotRun);
  }
  Finish(twice > 0 ? kBroken : kHeld);
}
