#include "world.h"

#include <cstdio>
#include <cstdlib>

namespace gentianroute::testing {
namespace {

constexpr std::size_t kDaemons = 4;
constexpr Duration kNetwork = milliseconds(3);
/// Quarantine by the third crash, and one twin in flight beside the first.
constexpr std::uint64_t kMaxLostPerDaemon = 4;
constexpr Duration kDrain = seconds(60);

CatalogueRef Services() {
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

std::string WholeText(const std::string& marker) {
  std::string text;
  for (std::uint64_t i = 0; i < kTokens; ++i) {
    text += TokenOf(marker, i);
  }
  return text;
}

}  // namespace

World::World(std::uint64_t seed, std::uint64_t events)
    : seed_(seed),
      limit_(events),
      dice_(seed),
      store_(events_, dice_),
      backends_(events_, dice_, *this),
      catalogue_(Services()),
      daemons_(kDaemons) {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons_[i].id = {i, 1};
    StartCore(daemons_[i]);
  }
}

void World::Expect(bool holds, const char* what, const Arrival& arrival) const {
  if (holds) {
    return;
  }
  std::fprintf(stderr,
               "broken: %s seed=%llu event=%llu service=%s marker=%s key=%s "
               "runs=%llu effects=%llu\n",
               what, static_cast<unsigned long long>(seed_),
               static_cast<unsigned long long>(events_.ran()),
               arrival.service.c_str(), arrival.marker.c_str(),
               arrival.key.c_str(),
               static_cast<unsigned long long>(arrival.runs),
               static_cast<unsigned long long>(arrival.effects));
  std::abort();
}

WorldReport World::Run() {
  PlanFaults();
  PlanSubmission();
  while (events_.RunNext()) {
    if (closed_at_ == kNever && Closing()) {
      closed_at_ = events_.now();
    }
    if (closed_at_ != kNever && events_.now() > closed_at_ + kDrain) {
      break;
    }
  }
  for (const auto& [key, arrival] : arrivals_) {
    const bool alive =
        daemons_[key.first.index].id.incarnation == key.first.incarnation;
    Expect(arrival.finished || !alive, "a request never finished", arrival);
    report_.lost_with_daemon += arrival.finished ? 0 : 1;
  }
  for (const auto& [marker, crashes] : poison_crashes_) {
    report_.worst_poison = std::max(report_.worst_poison, crashes);
  }
  report_.poisons = poison_crashes_.size();
  report_.events = events_.ran();
  for (const Daemon& daemon : daemons_) {
    const CoordinatorCounters& counters = daemon.core->coordinator.counters();
    report_.late += counters.late_answers;
    report_.crossed += counters.crossed_answers;
    report_.resumed += counters.resumed_streams;
  }
  return report_;
}

// --- Daemons
// ------------------------------------------------------------------

void World::StartCore(Daemon& daemon) {
  Coordinator::Options options;
  options.seed = seed_ + daemon.id.index;
  daemon.core = std::make_unique<DecisionCore>(
      "daemon-" + std::to_string(daemon.id.index), daemon.id.incarnation,
      backends_.Hosts(), options);
  daemon.core->coordinator.SetCatalogue(catalogue_);
}

void World::Kill(Daemon& daemon) {
  ++report_.kills;
  ++daemon.id.incarnation;
  daemon.wake_at = kNever;
  daemon.frozen_until = {};
  daemon.joins.clear();
  StartCore(daemon);
}

void World::Deliver(DaemonId to, Event event) {
  events_.After(kNetwork,
                [this, to, event = std::move(event)] { Receive(to, event); });
}

void World::Receive(DaemonId to, const Event& event) {
  Daemon& daemon = daemons_[to.index];
  if (daemon.id != to) {
    return;
  }
  if (events_.now() < daemon.frozen_until) {
    events_.At(daemon.frozen_until, [this, to, event] { Receive(to, event); });
    return;
  }
  event(daemon.core->coordinator, events_.now());
  Pump(daemon);
}

void World::Pump(Daemon& daemon) {
  const DaemonId id = daemon.id;
  Coordinator& coordinator = daemon.core->coordinator;
  coordinator.Advance(events_.now());
  for (bool busy = true; busy && daemon.id == id;) {
    coordinator.ProcessClaims(events_.now());
    busy = StepStore(daemon);
    for (const Action& action : coordinator.TakeActions()) {
      busy = true;
      std::visit([&](const auto& one) { Do(daemon, one); }, action);
    }
  }
  PlanWake(daemon);
}

bool World::StepStore(Daemon& daemon) {
  const DaemonId id = daemon.id;
  const std::vector<ClaimOperation> steps =
      daemon.core->claims.TakeOperations();
  for (const ClaimOperation& step : steps) {
    const std::uint64_t number = step.id;
    if (step.kind == ClaimOperation::Kind::kRead) {
      store_.Read(step.reads, [this, id, number](const ReadResult& result) {
        Receive(id, [this, id, number, result](Coordinator&, TimePoint now) {
          daemons_[id.index].core->claims.OnRead(now, number, result);
        });
      });
      continue;
    }
    store_.Transact(
        step.transaction, [this, id, number](const TransactResult& result) {
          Receive(id, [this, id, number, result](Coordinator&, TimePoint now) {
            daemons_[id.index].core->claims.OnTransacted(now, number, result);
          });
        });
  }
  return !steps.empty();
}

void World::PlanWake(Daemon& daemon) {
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

// --- Actions
// ------------------------------------------------------------------

void World::Do(Daemon& daemon, const StartAttempt& start) {
  const Arrival& arrival = arrivals_.at({daemon.id, start.request});
  const std::string head = R"({"request":")" + arrival.body_marker + "\"";
  Expect(start.input.starts_with(head), "input of another request", arrival);
  for (std::size_t i = 0; i < start.stage_index; ++i) {
    const std::string result = start.profile->stages[i].name + "\":\"" +
                               start.profile->stages[i].name + ":" +
                               arrival.body_marker + "\"";
    Expect(start.input.find(result) != std::string::npos,
           "a stage got another request's result", arrival);
  }
  BackendCall call{daemon.id,          start.request,
                   start.attempt,      start.server->host.name,
                   start.stage().name, arrival.body_marker,
                   start.resume_offset};
  events_.After(dice_.Between(0, 3), [this, call] { Write(call); });
}

void World::Write(const BackendCall& call) {
  Daemon& daemon = daemons_[call.from.index];
  if (daemon.id != call.from ||
      cancelled_.contains({call.from, call.attempt})) {
    return;
  }
  if (events_.now() < daemon.frozen_until) {
    events_.At(daemon.frozen_until, [this, call] { Write(call); });
    return;
  }
  if (!backends_.Connects(call.server)) {
    Receive(call.from, [attempt = call.attempt](Coordinator& coordinator,
                                                TimePoint now) {
      coordinator.OnFailure(now, attempt, AttemptFailure::kConnect, "fake");
    });
    return;
  }
  daemon.core->coordinator.OnWritten(call.attempt);
  backends_.Send(call);
}

void World::Do(Daemon& daemon, const CancelAttempt& cancel) {
  cancelled_.insert({daemon.id, cancel.attempt});
  backends_.Cancel(daemon.id, cancel.attempt);
}

void World::Do(Daemon& daemon, const DeliverChunk& chunk) {
  Arrival& arrival = arrivals_.at({daemon.id, chunk.request});
  Expect(!arrival.finished, "a token after the end", arrival);
  Expect(chunk.offset == arrival.stream_offset, "a token lost or doubled",
         arrival);
  ++arrival.stream_offset;
  arrival.streamed += chunk.text;
  Expect(WholeText(arrival.body_marker).starts_with(arrival.streamed),
         "a token of another text", arrival);
}

void World::Do(Daemon& daemon, const FinishRequest& finish) {
  Arrival& arrival = arrivals_.at({daemon.id, finish.request});
  Expect(!arrival.finished, "a request finished twice", arrival);
  arrival.finished = true;
  report_.replayed += finish.replayed ? 1 : 0;
  if (!finish.error.has_value()) {
    ++report_.answered;
    CheckAnswer(arrival, finish);
    return;
  }
  CheckError(arrival, finish);
  Resend(arrival);
}

void World::CheckAnswer(const Arrival& arrival, const FinishRequest& finish) {
  std::string expected;
  if (arrival.service == "letters") {
    expected = WholeText(arrival.body_marker);
    Expect(arrival.streamed == expected, "a stream not whole", arrival);
  } else if (arrival.HasEffect()) {
    expected = "order:" + arrival.body_marker;
  } else {
    expected = "encode:" + arrival.body_marker;
  }
  Expect(finish.body == "\"" + expected + "\"", "an answer not its own",
         arrival);
  Expect(
      !arrival.HasEffect() || arrival.key.empty() || effects_[arrival.key] == 1,
      "an answer without its effect", arrival);
}

void World::CheckError(Arrival& arrival, const FinishRequest& finish) {
  const ExecutionState work = AnswerFor(*finish.error).work;
  arrival.failed_as = work;
  Expect(work != ExecutionState::kNotRun || arrival.runs == 0,
         "a refusal says not run, and it ran", arrival);
  Expect(work == ExecutionState::kUnknown || arrival.effects == 0,
         "an effect took place and is not said to be unknown", arrival);
  report_.innocent_quarantined +=
      finish.error == ErrorKind::kQuarantined && !arrival.IsPoison() ? 1 : 0;
  report_.not_run += work == ExecutionState::kNotRun ? 1 : 0;
  report_.unknown += work == ExecutionState::kUnknown ? 1 : 0;
}

void World::Do(Daemon& daemon, const QueryClaimHolder& ask) {
  const DaemonId asker = daemon.id;
  const std::string token = ask.claim.token;
  const auto answer = [this, asker, request = ask.request,
                       token](const JoinOutcome& outcome) {
    Deliver(asker,
            [request, token, outcome](Coordinator& coordinator, TimePoint now) {
              coordinator.OnClaimHolderAnswered(now, request, token, outcome);
            });
  };
  // The asker gives up on a peer that is cut off or frozen; the peer's own
  // answer may still come, after that one or doubled.
  events_.After(seconds(2), [answer] { answer({}); });
  const std::size_t index = ask.claim.daemon.back() - '0';
  if (dice_.Chance(0.05)) {
    return;
  }
  const bool twice = dice_.Chance(0.1);
  Deliver(daemons_[index].id, [this, index, token, answer, twice](
                                  Coordinator& coordinator, TimePoint now) {
    const JoinId join = coordinator.Join(now, token);
    daemons_[index].joins[join] = [this, answer,
                                   twice](const JoinOutcome& outcome) {
      answer(outcome);
      if (twice) {
        events_.After(dice_.Between(1, 3000),
                      [answer, outcome] { answer(outcome); });
      }
    };
  });
}

void World::Do(Daemon& daemon, const AnswerJoin& answer) {
  // Join() answers within the call that the map entry is made after.
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

// --- What the servers saw
// -----------------------------------------------------

void World::OnRun(const BackendCall& call) {
  Arrival& arrival = arrivals_.at({call.from, call.request});
  Expect(call.marker == arrival.body_marker, "a call crossed", arrival);
  ++arrival.runs;
  Expect(arrival.failed_as != ExecutionState::kNotRun,
         "it ran after a refusal that says not run", arrival);
  if (call.stage != "order") {
    return;
  }
  ++report_.effects;
  Expect(++arrival.effects == 1, "an effect ran twice", arrival);
  Expect(!arrival.failed_as.has_value() ||
             arrival.failed_as == ExecutionState::kUnknown,
         "an effect after an error that excludes it", arrival);
  Expect(arrival.key.empty() || ++effects_[arrival.key] == 1,
         "an effect ran twice for one key", arrival);
}

void World::OnPoisonCrash(const BackendCall& call) {
  ++report_.poison_crashes;
  ++poison_crashes_[call.marker];
  const std::uint64_t lost = ++crashes_by_daemon_[{call.from, call.marker}];
  Expect(lost <= kMaxLostPerDaemon, "one daemon lost more servers to a request",
         arrivals_.at({call.from, call.request}));
}

}  // namespace gentianroute::testing
