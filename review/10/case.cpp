// All daemons are killed at the same moment while streams run through them, and
// are started again at once. Clients take their streams up, some of them once
// the daemons have run for contactMs again.

#include "../kit-2/kit.hpp"

using namespace kit;

namespace {

constexpr int kDaemons = 3;
constexpr int kEngines = 4;
constexpr int kStreams = 18;
constexpr int kNewStreams = 9;
constexpr int kEvents = 87;
constexpr int kPauseMs = 140;    // a stream lasts 12 s of its 15 s
constexpr double kContactS = 4;  // bounds.contactMs
/// Clients wait a little longer after each failure, and as long as they are
/// told.
constexpr int kRetries = 6;
constexpr int kWaitMs = 300;

}  // namespace

int main(int, char** arguments) {
  Begin(arguments[1]);
  Store store;
  store.Put("op", "config", StreamConfig().dump());
  std::vector<std::unique_ptr<Listener>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    const std::string id = "i-model-" + std::to_string(i);
    engines.push_back(std::make_unique<Listener>([=](Conn& connection) {
      ServeStreams(connection, id, "v1", kEvents, kPauseMs);
    }));
    store.Put("servers", id,
              EngineEntry("model", engines.back()->address(), 64).dump());
  }
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 1; i <= kDaemons; ++i) {
    daemons.push_back(std::make_unique<Daemon>(store.address(), i));
    daemons.back()->Start();
  }
  for (int i = 0; i < 150 && !(daemons[0]->IsReady() && daemons[1]->IsReady() &&
                               daemons[2]->IsReady());
       ++i) {
    SleepMs(100);
  }
  SleepMs(4500);

  std::mutex mutex;
  double in_touch = Trouble() ? 1e9 : 0;
  int tries = 0;          ///< to take a stream up at a daemon in touch
  int tries_went_on = 0;  ///< of these
  int early_tries = 0;    ///< before that
  int early_went_on = 0;
  std::vector<Stream> streams(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    Stream& stream = streams[i];
    stream.id = "s" + std::to_string(i);
    stream.subject = std::to_string(10000000 + i);
    clients.emplace_back([&, i] {
      const double deadline = Now() + 15;
      double retry_after = 0;
      const Daemon& first = *daemons[i % kDaemons];
      TryStream(stream, first.ip, first.callers, stream.id, deadline,
                retry_after);
      for (int again = 1; again <= kRetries && !stream.complete; ++again) {
        SleepMs(
            std::max(static_cast<int>(retry_after * 1000), kWaitMs * again));
        const Daemon& daemon = *daemons[(i + again) % kDaemons];
        const int before = stream.last;
        const int went_on = stream.went_on;
        const double sent_at = Now();
        const int status = TryStream(stream, daemon.ip, daemon.callers,
                                     stream.id + "-" + std::to_string(again),
                                     deadline, retry_after);
        const std::lock_guard<std::mutex> lock(mutex);
        const bool counts = sent_at >= in_touch;
        if (status != 0) {
          ++(counts ? tries : early_tries);
          (counts ? tries_went_on : early_went_on) += stream.went_on - went_on;
        }
        Record(
            "client: takes %s up after event %d, daemon %s: status %d, "
            "event %d",
            stream.id.c_str(), before, counts ? "in touch" : "just started",
            status, stream.last);
      }
    });
  }
  SleepMs(1000);
  if (Trouble()) {
    for (const auto& daemon : daemons) {
      daemon->Signal(SIGKILL);
    }
    for (const auto& daemon : daemons) {
      daemon->Wait();
      daemon->Restart();
    }
    const std::lock_guard<std::mutex> lock(mutex);
    in_touch = Now() + kContactS + 0.1;
    Record("all daemons have been killed and started again");
  }
  SleepMs(static_cast<int>((kContactS + 0.5) * 1000));
  std::vector<Stream> fresh(kNewStreams);
  std::vector<std::thread> others;
  for (int i = 0; i < kNewStreams; ++i) {
    Stream& stream = fresh[i];
    stream.id = "n" + std::to_string(i);
    stream.subject = std::to_string(10000000 + i);
    others.emplace_back([&, i] {
      const Daemon& daemon = *daemons[i % kDaemons];
      double retry_after = 0;
      TryStream(stream, daemon.ip, daemon.callers, stream.id, Now() + 2,
                retry_after);
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (std::thread& other : others) {
    other.join();
  }
  int complete = 0;
  for (const Stream& stream : streams) {
    complete += stream.complete ? 1 : 0;
  }
  int begun = 0;
  for (const Stream& stream : fresh) {
    begun += stream.last > 0 ? 1 : 0;
  }
  Record(
      "%d streams: %d complete; taken up at daemons in touch %d times, went "
      "on %d times; at daemons just started %d times, went on %d times; "
      "%d of %d new streams began",
      kStreams, complete, tries, tries_went_on, early_tries, early_went_on,
      begun, kNewStreams);
  if (!Trouble()) {
    Finish(complete == kStreams ? kHeld : kCannotRun);
  }
  if (tries < 12 || begun < kNewStreams) {
    Finish(tries_went_on + early_went_on > 0 ? kHeld : kCannotRun);
  }
  const double share = static_cast<double>(tries_went_on) / tries;
  Finish(share < 0.5 * begun / kNewStreams ? kBroken : kHeld);
}
