#include "fake_backends.h"

#include <utility>

namespace gentianroute::testing {
namespace {

constexpr double kFault = 0.01;  ///< share of each kind of fault
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kRejected = 422;

}  // namespace

std::string TokenOf(const std::string& marker, std::uint64_t offset) {
  return marker + "." + std::to_string(offset) + " ";
}

FakeBackends::FakeBackends(EventQueue& events,
                           Dice& dice,
                           BackendObserver& observer)
    : events_(events), dice_(dice), observer_(observer) {
  constexpr int kPerPool = 4;
  constexpr std::uint32_t kSlots = 12;
  for (const std::string pool : {"encode", "generate", "order"}) {
    for (int i = 1; i <= kPerPool; ++i) {
      const std::string name = pool + "-" + std::to_string(i);
      servers_[name].host = HostOf(name, pool, kSlots);
    }
  }
}

std::vector<HostRecord> FakeBackends::Hosts() const {
  std::vector<HostRecord> hosts;
  hosts.reserve(servers_.size());
  for (const auto& [name, server] : servers_) {
    hosts.push_back(server.host);
  }
  return hosts;
}

bool FakeBackends::Connects(const std::string& server) const {
  return servers_.at(server).up;
}

void FakeBackends::Send(const BackendCall& call) {
  events_.After(dice_.Between(1, 25), [this, call] { Arrive(call); });
}

void FakeBackends::Cancel(DaemonId from, AttemptId attempt) {
  events_.After(dice_.Between(1, 25), [this, from, attempt] {
    cancelled_.insert({from, attempt});
  });
}

void FakeBackends::Arrive(const BackendCall& call) {
  FakeServer& server = servers_.at(call.server);
  if (!server.up) {
    Fail(call, AttemptFailure::kReset);
    return;
  }
  if (dice_.Chance(kFault)) {
    Answer(call, kUnavailable, true);
    return;
  }
  observer_.OnRun(call);
  server.in_flight[{call.from, call.attempt}] = call;
  if (call.marker.starts_with("poison-" + call.stage)) {
    events_.After(dice_.Between(1, 20), [this, call] {
      if (IsRunning(call)) {
        observer_.OnPoisonCrash(call);
        Crash(servers_.at(call.server));
      }
    });
    return;
  }
  if (call.stage == "generate") {
    const bool early = call.resume_offset > 0 && dice_.Chance(0.3);
    Stream(call, call.resume_offset - (early ? 1 : 0));
    return;
  }
  events_.After(dice_.Between(2, 30), [this, call] { Complete(call); });
}

bool FakeBackends::IsRunning(const BackendCall& call) const {
  return servers_.at(call.server).in_flight.contains({call.from, call.attempt});
}

bool FakeBackends::Take(const BackendCall& call) {
  const CallKey key{call.from, call.attempt};
  const bool running = servers_.at(call.server).in_flight.erase(key) > 0;
  return running && !cancelled_.contains(key);
}

void FakeBackends::CrashOne() {
  auto server = servers_.begin();
  std::advance(server, dice_.Below(servers_.size()));
  if (server->second.up) {
    Crash(server->second);
  }
}

void FakeBackends::Crash(FakeServer& server) {
  server.up = false;
  for (const auto& [key, call] : std::exchange(server.in_flight, {})) {
    Fail(call, AttemptFailure::kReset);
  }
  events_.After(dice_.Between(200, 3000), [&server] {
    server.up = true;
    ++server.host.incarnation;
  });
}

void FakeBackends::Fail(const BackendCall& call, AttemptFailure failure) {
  observer_.Deliver(call.from, [attempt = call.attempt, failure](
                                   Coordinator& coordinator, TimePoint now) {
    coordinator.OnFailure(now, attempt, failure, "fake");
  });
}

void FakeBackends::Answer(const BackendCall& call, int status, bool not_run) {
  AttemptAnswer answer;
  answer.attempt = call.attempt;
  answer.echoed = call.attempt;
  answer.status = status;
  answer.not_run = not_run;
  answer.body = "\"" + call.stage + ":" + call.marker + "\"";
  observer_.Deliver(call.from,
                    [answer](Coordinator& coordinator, TimePoint now) {
                      coordinator.OnAnswer(now, answer);
                    });
}

void FakeBackends::AnswerCrossed(const BackendCall& call) {
  AttemptAnswer answer;
  answer.attempt = call.attempt;
  answer.echoed = {call.attempt.value + 1};
  answer.status = kOk;
  answer.body = "\"crossed\"";
  observer_.Deliver(call.from,
                    [answer](Coordinator& coordinator, TimePoint now) {
                      coordinator.OnAnswer(now, answer);
                    });
}

void FakeBackends::Complete(const BackendCall& call) {
  if (!Take(call)) {
    return;
  }
  const std::uint64_t fault = dice_.Below(100);
  switch (fault) {
    case 0:  // lost
      return;
    case 1:
      events_.After(dice_.Between(800, 8000),
                    [this, call] { Answer(call, kOk, false); });
      return;
    case 2:
      Answer(call, kOk, false);
      Answer(call, kOk, false);
      return;
    case 3:
      AnswerCrossed(call);
      return;
    case 4:
      Fail(call, AttemptFailure::kTruncated);
      return;
    case 5:
      Answer(call, kUnavailable, false);
      return;
    case 6:
      Fail(call, AttemptFailure::kReset);  // no crash: only the connection
      return;
    case 7:
      Answer(call, kRejected, false);
      return;
    default:
      Answer(call, kOk, false);
  }
}

void FakeBackends::Stream(const BackendCall& call, std::uint64_t offset) {
  const CallKey key{call.from, call.attempt};
  if (!IsRunning(call) || cancelled_.contains(key)) {
    Take(call);
    return;
  }
  if (offset >= kTokens) {
    Complete(call);
    return;
  }
  const std::uint64_t fault = dice_.Below(200);
  if (fault == 0 && Take(call)) {
    Fail(call, dice_.Chance(0.5) ? AttemptFailure::kTruncated
                                 : AttemptFailure::kReset);
    return;
  }
  const bool skips = fault == 1 && offset + 1 < kTokens;
  const std::uint64_t sent = offset + (skips ? 1 : 0);
  AttemptChunk chunk{call.attempt, call.attempt, sent,
                     TokenOf(call.marker, sent)};
  if (fault == 2) {
    chunk.echoed = {call.attempt.value + 1};
    chunk.text = "crossed";
  }
  observer_.Deliver(call.from,
                    [chunk](Coordinator& coordinator, TimePoint now) {
                      coordinator.OnChunk(now, chunk);
                    });
  const std::uint64_t next = fault == 3 ? offset : offset + 1;  // 3: repeats
  events_.After(dice_.Between(1, 20),
                [this, call, next] { Stream(call, next); });
}

}  // namespace gentianroute::testing
