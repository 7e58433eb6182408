// Daemons are restarted in turn; then the one that wasn't yet is killed while
// it passes streams on. Their clients take them up at another daemon.

#include "../kit-2/kit.hpp"

using namespace kit;

namespace {

constexpr int kStreams = 16;
constexpr int kNewStreams = 8;
constexpr int kEvents = 87;
constexpr int kPauseMs = 140;  // a stream lasts 12 s of its 15 s
constexpr int kRetries = 3;
constexpr double kContactS = 4;  // bounds.contactMs

}  // namespace

int main(int, char** arguments) {
  Begin(arguments[1]);
  // TROUBLE=kill leaves out the restarts, to show what they change.
  const char* mode = std::getenv("TROUBLE");
  const bool restarts =
      Trouble() && (mode == nullptr || std::string(mode) != "kill");
  Store store;
  store.Put("op", "config", StreamConfig().dump());
  std::vector<std::unique_ptr<Listener>> engines;
  for (int i = 1; i <= 4; ++i) {
    const std::string id = "i-model-" + std::to_string(i);
    const std::string version = i <= 2 ? "v1" : "v2";
    engines.push_back(std::make_unique<Listener>([=](Conn& connection) {
      ServeStreams(connection, id, version, kEvents, kPauseMs);
    }));
    json entry = EngineEntry("model", engines.back()->address(), 64);
    entry["version"] = version;
    store.Put("servers", id, entry.dump());
  }
  Daemon killed(store.address(), 1);
  Daemon second(store.address(), 2);
  Daemon third(store.address(), 3);
  killed.Start();
  second.Start();
  third.StartAndWait();
  while (!killed.IsReady() || !second.IsReady()) {
    SleepMs(100);
  }
  SleepMs(4500);  // all are in touch and know each other

  // The streams, each at the first daemon; those that break are taken up at the
  // second one.
  std::vector<Stream> streams(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    Stream& stream = streams[i];
    stream.id = "s" + std::to_string(i);
    stream.subject = std::to_string(10000000 + i);
    clients.emplace_back([&] {
      const double deadline = Now() + 15;
      double retry_after = 0;
      TryStream(stream, killed.ip, killed.callers, stream.id, deadline,
                retry_after);
      for (int again = 1; again <= kRetries && !stream.complete; ++again) {
        SleepMs(static_cast<int>(retry_after * 1000) + 30);
        const int before = stream.last;
        const int status = TryStream(stream, second.ip, second.callers,
                                     stream.id + "-" + std::to_string(again),
                                     deadline, retry_after);
        Record("client: takes %s up after event %d: status %d, event %d",
               stream.id.c_str(), before, status, stream.last);
      }
    });
  }
  SleepMs(500);
  double second_since = Now();
  if (restarts) {
    for (Daemon* daemon : {&second, &third}) {
      Record("platform: stops daemon %s", daemon->ip.c_str());
      daemon->Signal(SIGTERM);
      daemon->Wait();
      daemon->Restart();
      while (!daemon->IsReady()) {
        SleepMs(50);
      }
      Record("daemon %s is ready again", daemon->ip.c_str());
      second_since = daemon == &second ? Now() : second_since;
    }
  }
  const double kill_at = std::max(second_since + kContactS, Now()) + 0.3;
  SleepMs(static_cast<int>((kill_at - Now()) * 1000));
  if (Trouble()) {
    Record("daemon %s is killed", killed.ip.c_str());
    killed.Signal(SIGKILL);
    killed.Wait();
  }
  // New streams meanwhile.
  std::vector<Stream> fresh(kNewStreams);
  std::vector<std::thread> others;
  for (int i = 0; i < kNewStreams; ++i) {
    Stream& stream = fresh[i];
    stream.id = "n" + std::to_string(i);
    stream.subject = std::to_string(10000000 + i);
    others.emplace_back([&] {
      double retry_after = 0;
      SleepMs(100);
      TryStream(stream, second.ip, second.callers, stream.id, Now() + 3,
                retry_after);
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (std::thread& other : others) {
    other.join();
  }
  int taken_up = 0;
  int went_on = 0;
  int complete = 0;
  for (const Stream& stream : streams) {
    taken_up += stream.takes_up > 0 ? 1 : 0;
    went_on += stream.went_on > 0 ? 1 : 0;
    complete += stream.complete ? 1 : 0;
  }
  int begun = 0;
  for (const Stream& stream : fresh) {
    begun += stream.last > 0 ? 1 : 0;
  }
  Record(
      "%d streams: %d complete, %d taken up, %d of them went on; "
      "%d of %d new streams began",
      kStreams, complete, taken_up, went_on, begun, kNewStreams);
  if (!Trouble()) {
    Finish(complete == kStreams ? kHeld : kCannotRun);
  }
  if (taken_up < 12 || begun < kNewStreams) {
    Finish(kCannotRun);
  }
  const double share_taken_up = static_cast<double>(went_on) / taken_up;
  const double share_new = static_cast<double>(begun) / kNewStreams;
  Finish(share_taken_up < share_new / 2 ? kBroken : kHeld);
}
