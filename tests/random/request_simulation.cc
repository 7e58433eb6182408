#include "request_simulation.h"

#include <cstdio>
#include <cstdlib>

namespace gentianroute::testing {
namespace {

constexpr std::size_t kDaemonCount = 4;
constexpr Duration kNetworkDelay = milliseconds(3);
/// A request is quarantined by its third crash; one hedged call can be in
/// flight beside the first one.
constexpr std::uint64_t kMaxCrashesPerDaemon = 4;
constexpr Duration kDrainTimeout = seconds(60);

CatalogueRef MakeCatalogue() {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->revision = 1;
  StageSpec encode = StageOf("encode");
  encode.hedge_after = milliseconds(100);
  StageSpec generate = StageOf("generate");
  generate.streams = true;
  generate.hedge_after = milliseconds(60);
  StageSpec order = StageOf("order");
  order.repeatable = false;
  AddService(*catalogue, "letters", {encode, generate});
  AddService(*catalogue, "lookups", {encode});
  AddService(*catalogue, "orders", {order});
  AddService(*catalogue, "topups", {encode, order});
  return catalogue;
}

std::string ExpectedText(const std::string& marker) {
  std::string text;
  for (std::uint64_t i = 0; i < kTokensPerStream; ++i) {
    text += ExpectedToken(marker, i);
  }
  return text;
}

}  // namespace

RequestSimulation::RequestSimulation(std::uint64_t seed, std::uint64_t events)
    : seed_(seed),
      max_events_(events),
      random_(seed),
      store_(events_, random_),
      backends_(events_, random_, *this),
      catalogue_(MakeCatalogue()),
      daemons_(kDaemonCount) {
  for (std::size_t i = 0; i < kDaemonCount; ++i) {
    daemons_[i].id = {i, 1};
    StartCore(daemons_[i]);
  }
}

void RequestSimulation::Expect(bool condition,
                               const char* violation,
                               const SimulatedRequest& request) const {
  if (condition) {
    return;
  }
  std::fprintf(stderr,
               "broken: %s seed=%llu event=%llu service=%s marker=%s key=%s "
               "runs=%llu effects=%llu\n",
               violation, static_cast<unsigned long long>(seed_),
               static_cast<unsigned long long>(events_.executed()),
               request.service.c_str(), request.marker.c_str(),
               request.key.c_str(),
               static_cast<unsigned long long>(request.runs),
               static_cast<unsigned long long>(request.effects));
  std::abort();
}

SimulationReport RequestSimulation::Run() {
  ScheduleFaults();
  ScheduleSubmission();
  while (events_.RunNext()) {
    if (closed_at_ == kNever && IsClosing()) {
      closed_at_ = events_.now();
    }
    if (closed_at_ != kNever && events_.now() > closed_at_ + kDrainTimeout) {
      break;
    }
  }
  for (const auto& [key, request] : requests_) {
    const bool alive =
        daemons_[key.first.index].id.incarnation == key.first.incarnation;
    Expect(request.finished || !alive, "a request never finished", request);
    report_.lost_with_daemon += request.finished ? 0 : 1;
  }
  for (const auto& [marker, crashes] : poison_crashes_) {
    report_.worst_poison = std::max(report_.worst_poison, crashes);
  }
  report_.poisons = poison_crashes_.size();
  report_.events = events_.executed();
  for (const Daemon& daemon : daemons_) {
    const CoordinatorCounters& counters = daemon.core->coordinator.counters();
    report_.late += counters.late_answers;
    report_.crossed += counters.crossed_answers;
    report_.resumed += counters.resumed_streams;
  }
  return report_;
}

void RequestSimulation::StartCore(Daemon& daemon) {
  Coordinator::Options options;
  options.seed = seed_ + daemon.id.index;
  daemon.core = std::make_unique<DecisionCore>(
      "daemon-" + std::to_string(daemon.id.index), daemon.id.incarnation,
      backends_.Hosts(), options);
  daemon.core->coordinator.SetCatalogue(catalogue_);
}

void RequestSimulation::RestartDaemon(Daemon& daemon) {
  ++report_.kills;
  ++daemon.id.incarnation;
  daemon.wake_at = kNever;
  daemon.frozen_until = {};
  daemon.joins.clear();
  StartCore(daemon);
}

void RequestSimulation::Deliver(DaemonId to, Event event) {
  events_.After(kNetworkDelay,
                [this, to, event = std::move(event)] { Receive(to, event); });
}

void RequestSimulation::Receive(DaemonId to, const Event& event) {
  Daemon& daemon = daemons_[to.index];
  if (daemon.id != to) {
    return;
  }
  if (events_.now() < daemon.frozen_until) {
    events_.At(daemon.frozen_until, [this, to, event] { Receive(to, event); });
    return;
  }
  event(daemon.core->coordinator, events_.now());
  ProcessActions(daemon);
}

void RequestSimulation::ProcessActions(Daemon& daemon) {
  const DaemonId id = daemon.id;
  Coordinator& coordinator = daemon.core->coordinator;
  coordinator.Advance(events_.now());
  for (bool has_work = true; has_work && daemon.id == id;) {
    coordinator.ProcessClaims(events_.now());
    has_work = ProcessStoreOperations(daemon);
    for (const Action& action : coordinator.TakeActions()) {
      has_work = true;
      std::visit(
          [&](const auto& typed_action) { Execute(daemon, typed_action); },
          action);
    }
  }
  ScheduleWake(daemon);
}

bool RequestSimulation::ProcessStoreOperations(Daemon& daemon) {
  const DaemonId id = daemon.id;
  const std::vector<ClaimOperation> operations =
      daemon.core->claims.TakeOperations();
  for (const ClaimOperation& operation : operations) {
    const std::uint64_t operation_id = operation.id;
    if (operation.kind == ClaimOperation::Kind::kRead) {
      store_.Read(
          operation.reads, [this, id, operation_id](const ReadResult& result) {
            Receive(id, [this, id, operation_id, result](Coordinator&,
                                                         TimePoint now) {
              daemons_[id.index].core->claims.OnRead(now, operation_id, result);
            });
          });
      continue;
    }
    store_.Transact(operation.transaction, [this, id, operation_id](
                                               const TransactResult& result) {
      Receive(id, [this, id, operation_id, result](Coordinator&,
                                                   TimePoint now) {
        daemons_[id.index].core->claims.OnTransacted(now, operation_id, result);
      });
    });
  }
  return !operations.empty();
}

void RequestSimulation::ScheduleWake(Daemon& daemon) {
  const TimePoint due = std::max(daemon.core->coordinator.NextDue(),
                                 events_.now() + milliseconds(1));
  if (due >= daemon.wake_at || due == kNever) {
    return;
  }
  daemon.wake_at = due;
  const DaemonId id = daemon.id;
  events_.At(due, [this, id, due] {
    Daemon& woken = daemons_[id.index];
    if (woken.id == id && woken.wake_at == due) {
      woken.wake_at = kNever;
      Receive(id, [](Coordinator&, TimePoint) {});
    }
  });
}

void RequestSimulation::Execute(Daemon& daemon, const StartAttempt& start) {
  const SimulatedRequest& request = requests_.at({daemon.id, start.request});
  const std::string head = R"({"request":")" + request.body_marker + "\"";
  Expect(start.input.starts_with(head), "input of another request", request);
  for (std::size_t i = 0; i < start.stage_index; ++i) {
    const std::string result = start.profile->stages[i].name + "\":\"" +
                               start.profile->stages[i].name + ":" +
                               request.body_marker + "\"";
    Expect(start.input.find(result) != std::string::npos,
           "a stage got another request's result", request);
  }
  BackendCall call{daemon.id,          start.request,
                   start.attempt,      start.server->host.name,
                   start.stage().name, request.body_marker,
                   start.resume_offset};
  events_.After(random_.Between(0, 3), [this, call] { SendCall(call); });
}

void RequestSimulation::SendCall(const BackendCall& call) {
  Daemon& daemon = daemons_[call.from.index];
  if (daemon.id != call.from ||
      cancelled_.contains({call.from, call.attempt})) {
    return;
  }
  if (events_.now() < daemon.frozen_until) {
    events_.At(daemon.frozen_until, [this, call] { SendCall(call); });
    return;
  }
  if (!backends_.IsUp(call.server)) {
    Receive(call.from, [attempt = call.attempt](Coordinator& coordinator,
                                                TimePoint now) {
      coordinator.OnFailure(now, attempt, AttemptFailure::kConnect, "fake");
    });
    return;
  }
  daemon.core->coordinator.OnWritten(call.attempt);
  backends_.Send(call);
}

void RequestSimulation::Execute(Daemon& daemon, const CancelAttempt& cancel) {
  cancelled_.insert({daemon.id, cancel.attempt});
  backends_.Cancel(daemon.id, cancel.attempt);
}

void RequestSimulation::Execute(Daemon& daemon, const DeliverChunk& chunk) {
  SimulatedRequest& request = requests_.at({daemon.id, chunk.request});
  Expect(!request.finished, "a token after the end", request);
  Expect(chunk.offset == request.stream_offset, "a token lost or duplicated",
         request);
  ++request.stream_offset;
  request.streamed += chunk.text;
  Expect(ExpectedText(request.body_marker).starts_with(request.streamed),
         "a token of another text", request);
}

void RequestSimulation::Execute(Daemon& daemon, const FinishRequest& finish) {
  SimulatedRequest& request = requests_.at({daemon.id, finish.request});
  Expect(!request.finished, "a request finished twice", request);
  request.finished = true;
  report_.replayed += finish.replayed ? 1 : 0;
  if (!finish.error.has_value()) {
    ++report_.answered;
    CheckAnswer(request, finish);
    return;
  }
  CheckError(request, finish);
  Resend(request);
}

void RequestSimulation::CheckAnswer(const SimulatedRequest& request,
                                    const FinishRequest& finish) {
  std::string expected;
  if (request.service == "letters") {
    expected = ExpectedText(request.body_marker);
    Expect(request.streamed == expected, "a stream is incomplete", request);
  } else if (request.HasEffect()) {
    expected = "order:" + request.body_marker;
  } else {
    expected = "encode:" + request.body_marker;
  }
  Expect(finish.body == "\"" + expected + "\"", "the answer of another request",
         request);
  Expect(
      !request.HasEffect() || request.key.empty() || effects_[request.key] == 1,
      "an answer without its effect", request);
}

void RequestSimulation::CheckError(SimulatedRequest& request,
                                   const FinishRequest& finish) {
  const ExecutionState state = AnswerFor(*finish.error).work;
  request.failed_as = state;
  Expect(state != ExecutionState::kNotRun || request.runs == 0,
         "a request ran although its error says not run", request);
  Expect(state == ExecutionState::kUnknown || request.effects == 0,
         "an effect took place although the error excludes it", request);
  report_.innocent_quarantined +=
      finish.error == ErrorKind::kQuarantined && !request.IsPoison() ? 1 : 0;
  report_.not_run += state == ExecutionState::kNotRun ? 1 : 0;
  report_.unknown += state == ExecutionState::kUnknown ? 1 : 0;
}

void RequestSimulation::Execute(Daemon& daemon, const QueryClaimHolder& query) {
  const DaemonId querying = daemon.id;
  const std::string token = query.claim.token;
  const auto answer = [this, querying, request = query.request,
                       token](const JoinOutcome& outcome) {
    Deliver(querying,
            [request, token, outcome](Coordinator& coordinator, TimePoint now) {
              coordinator.OnClaimHolderAnswered(now, request, token, outcome);
            });
  };
  // The querying daemon times out if the peer is isolated or frozen. The peer's
  // answer can still arrive later, or twice.
  events_.After(seconds(2), [answer] { answer({}); });
  const std::size_t index = query.claim.daemon.back() - '0';
  if (random_.Chance(0.05)) {
    return;
  }
  const bool duplicated = random_.Chance(0.1);
  Deliver(daemons_[index].id, [this, index, token, answer, duplicated](
                                  Coordinator& coordinator, TimePoint now) {
    const JoinId join = coordinator.Join(now, token);
    daemons_[index].joins[join] = [this, answer,
                                   duplicated](const JoinOutcome& outcome) {
      answer(outcome);
      if (duplicated) {
        events_.After(random_.Between(1, 3000),
                      [answer, outcome] { answer(outcome); });
      }
    };
  });
}

void RequestSimulation::Execute(Daemon& daemon, const AnswerJoin& answer) {
  // Deferred: Join() can answer before its caller has added the map entry.
  const DaemonId id = daemon.id;
  events_.After(Duration{0}, [this, id, answer] {
    Daemon& answering = daemons_[id.index];
    if (answering.id != id) {
      return;
    }
    const auto found = answering.joins.find(answer.join);
    if (found != answering.joins.end()) {
      const auto done = std::move(found->second);
      answering.joins.erase(found);
      done(answer.outcome);
    }
  });
}

void RequestSimulation::OnRun(const BackendCall& call) {
  SimulatedRequest& request = requests_.at({call.from, call.request});
  Expect(call.marker == request.body_marker, "a call of another request",
         request);
  ++request.runs;
  Expect(request.failed_as != ExecutionState::kNotRun,
         "a request ran after an error that says not run", request);
  if (call.stage != "order") {
    return;
  }
  ++report_.effects;
  Expect(++request.effects == 1, "an effect ran twice", request);
  Expect(!request.failed_as.has_value() ||
             request.failed_as == ExecutionState::kUnknown,
         "an effect after an error that excludes it", request);
  Expect(request.key.empty() || ++effects_[request.key] == 1,
         "an effect ran twice for one key", request);
}

void RequestSimulation::OnPoisonCrash(const BackendCall& call) {
  ++report_.poison_crashes;
  ++poison_crashes_[call.marker];
  const std::uint64_t crashes = ++crashes_by_daemon_[{call.from, call.marker}];
  Expect(crashes <= kMaxCrashesPerDaemon,
         "a request crashed too many servers of one daemon",
         requests_.at({call.from, call.request}));
}

}  // namespace gentianroute::testing
