#include "fake_backends.h"

#include <utility>

namespace gentianroute::testing {
namespace {

constexpr double kRejectProbability = 0.01;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kRejected = 422;

}  // namespace

std::string ExpectedToken(const std::string& marker, std::uint64_t offset) {
  return marker + "." + std::to_string(offset) + " ";
}

FakeBackends::FakeBackends(EventQueue& events,
                           RandomSource& random,
                           BackendObserver& observer)
    : events_(events), random_(random), observer_(observer) {
  constexpr int kServersPerPool = 4;
  constexpr std::uint32_t kSlots = 12;
  for (const std::string pool : {"encode", "generate", "order"}) {
    for (int i = 1; i <= kServersPerPool; ++i) {
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

bool FakeBackends::IsUp(const std::string& server) const {
  return servers_.at(server).up;
}

void FakeBackends::Send(const BackendCall& call) {
  events_.After(random_.Between(1, 25), [this, call] { OnArrival(call); });
}

void FakeBackends::Cancel(DaemonId from, AttemptId attempt) {
  events_.After(random_.Between(1, 25), [this, from, attempt] {
    cancelled_.insert({from, attempt});
  });
}

void FakeBackends::OnArrival(const BackendCall& call) {
  FakeServer& server = servers_.at(call.server);
  if (!server.up) {
    SendFailure(call, AttemptFailure::kReset);
    return;
  }
  if (random_.Chance(kRejectProbability)) {
    SendAnswer(call, kUnavailable, true);
    return;
  }
  observer_.OnRun(call);
  server.in_flight[{call.from, call.attempt}] = call;
  if (call.marker.starts_with("poison-" + call.stage)) {
    events_.After(random_.Between(1, 20), [this, call] {
      if (IsRunning(call)) {
        observer_.OnPoisonCrash(call);
        Crash(servers_.at(call.server));
      }
    });
    return;
  }
  if (call.stage == "generate") {
    const bool repeats_token = call.resume_offset > 0 && random_.Chance(0.3);
    SendToken(call, call.resume_offset - (repeats_token ? 1 : 0));
    return;
  }
  events_.After(random_.Between(2, 30), [this, call] { CompleteCall(call); });
}

bool FakeBackends::IsRunning(const BackendCall& call) const {
  return servers_.at(call.server).in_flight.contains({call.from, call.attempt});
}

bool FakeBackends::RemoveCall(const BackendCall& call) {
  const CallKey key{call.from, call.attempt};
  const bool running = servers_.at(call.server).in_flight.erase(key) > 0;
  return running && !cancelled_.contains(key);
}

void FakeBackends::CrashRandomServer() {
  auto server = servers_.begin();
  std::advance(server, random_.Below(servers_.size()));
  if (server->second.up) {
    Crash(server->second);
  }
}

void FakeBackends::Crash(FakeServer& server) {
  server.up = false;
  for (const auto& [key, call] : std::exchange(server.in_flight, {})) {
    SendFailure(call, AttemptFailure::kReset);
  }
  events_.After(random_.Between(200, 3000), [&server] {
    server.up = true;
    ++server.host.incarnation;
  });
}

void FakeBackends::SendFailure(const BackendCall& call,
                               AttemptFailure failure) {
  observer_.Deliver(call.from, [attempt = call.attempt, failure](
                                   Coordinator& coordinator, TimePoint now) {
    coordinator.OnFailure(now, attempt, failure, "fake");
  });
}

void FakeBackends::SendAnswer(const BackendCall& call,
                              int status,
                              bool not_run) {
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

void FakeBackends::SendCrossedAnswer(const BackendCall& call) {
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

void FakeBackends::CompleteCall(const BackendCall& call) {
  if (!RemoveCall(call)) {
    return;
  }
  const std::uint64_t fault = random_.Below(100);
  switch (fault) {
    case 0:  // the answer is lost
      return;
    case 1:
      events_.After(random_.Between(800, 8000),
                    [this, call] { SendAnswer(call, kOk, false); });
      return;
    case 2:
      SendAnswer(call, kOk, false);
      SendAnswer(call, kOk, false);
      return;
    case 3:
      SendCrossedAnswer(call);
      return;
    case 4:
      SendFailure(call, AttemptFailure::kTruncated);
      return;
    case 5:
      SendAnswer(call, kUnavailable, false);
      return;
    case 6:
      SendFailure(call,
                  AttemptFailure::kReset);  // only the connection fails
      return;
    case 7:
      SendAnswer(call, kRejected, false);
      return;
    default:
      SendAnswer(call, kOk, false);
  }
}

void FakeBackends::SendToken(const BackendCall& call, std::uint64_t offset) {
  const CallKey key{call.from, call.attempt};
  if (!IsRunning(call) || cancelled_.contains(key)) {
    RemoveCall(call);
    return;
  }
  if (offset >= kTokensPerStream) {
    CompleteCall(call);
    return;
  }
  const std::uint64_t fault = random_.Below(200);
  if (fault == 0 && RemoveCall(call)) {
    SendFailure(call, random_.Chance(0.5) ? AttemptFailure::kTruncated
                                          : AttemptFailure::kReset);
    return;
  }
  const bool skips_token = fault == 1 && offset + 1 < kTokensPerStream;
  const std::uint64_t sent = offset + (skips_token ? 1 : 0);
  AttemptChunk chunk{call.attempt, call.attempt, sent,
                     ExpectedToken(call.marker, sent)};
  if (fault == 2) {
    chunk.echoed = {call.attempt.value + 1};
    chunk.text = "crossed";
  }
  observer_.Deliver(call.from,
                    [chunk](Coordinator& coordinator, TimePoint now) {
                      coordinator.OnChunk(now, chunk);
                    });
  const std::uint64_t next =
      fault == 3 ? offset : offset + 1;  // 3: repeats a token
  events_.After(random_.Between(1, 20),
                [this, call, next] { SendToken(call, next); });
}

}  // namespace gentianroute::testing
