#include <map>
#include <optional>
#include <string>
#include <variant>

#include "gentianroute/decision/coordinator.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class NoClaims : public ClaimCodec {
 public:
  std::string Encode(const Claim& /*claim*/) const override { return {}; }
  std::optional<Claim> Decode(std::string_view /*text*/) const override {
    return std::nullopt;
  }
};

/// Test harness with one server of one slot, 100 ms per call and deadlines of
/// 1 s.
struct Bench {
  explicit Bench(bool refuse_early)
      : coordinator(OptionsOf(refuse_early), servers, usage, suspects, claims) {
    auto profile = std::make_shared<Profile>();
    profile->deadline = seconds(1);
    profile->stages.push_back({"stage", "pool"});
    profile->stages[0].expected = milliseconds(100);
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->profiles["profile"] = profile;
    catalogue->services["service"] = {"service", "profile"};
    coordinator.SetCatalogue(catalogue);
    HostRecord host;
    host.name = "server";
    host.pool = "pool";
    host.incarnation = 1;
    servers.ApplyHostList(now, {&host, 1});
  }

  static Coordinator::Options OptionsOf(bool refuse_early) {
    Coordinator::Options options;
    options.refuse_early = refuse_early;
    return options;
  }

  void Submit(const std::string& organisation) {
    Submission submission;
    submission.service = "service";
    submission.organisation = organisation;
    submission.subscriber = "s";
    submission.body = "{}";
    submission.fingerprint = Fingerprint{++sent};
    coordinator.Submit(now, 0, std::move(submission));
    TakeActions();
  }

  /// Advances time by 100 ms and answers the running call.
  void Tick() {
    now += milliseconds(100);
    if (running.has_value()) {
      AttemptAnswer answer;
      answer.attempt = *running;
      answer.echoed = *running;
      answer.status = 200;
      answer.body = "{}";
      running.reset();
      coordinator.OnAnswer(now, std::move(answer));
    }
    coordinator.Advance(now);
    TakeActions();
  }

  void TakeActions() {
    for (Action& action : coordinator.TakeActions()) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        coordinator.OnWritten(start->attempt);
        running = start->attempt;
      } else if (const auto* finish = std::get_if<FinishRequest>(&action)) {
        const bool overloaded = finish->error == ErrorKind::kOverloaded;
        ++(!finish->error ? answered
           : overloaded   ? shed
                          : late)[finish->organisation];
      }
    }
  }

  TimePoint now = TimePoint{} + seconds(10);
  NoClaims codec;
  ServerTable servers{ServerTable::Options{}, {}};
  UsageLedger usage;
  SuspectTable suspects;
  ClaimLedger claims{ClaimLedger::Options{}, codec};
  Coordinator coordinator;
  std::uint64_t sent = 0;
  std::optional<AttemptId> running;
  std::map<std::string, int> answered;
  std::map<std::string, int> shed;  ///< refused as overloaded
  std::map<std::string, int> late;  ///< failed at or near the deadline
};

/// Submits requests for 4 s: five per tick by "heavy", one every fourth tick by
/// "light".
void Overload(Bench& bench) {
  for (int tick = 0; tick < 40; ++tick) {
    for (int i = 0; i < 5; ++i) {
      bench.Submit("heavy");
    }
    if (tick % 4 == 0) {
      bench.Submit("light");
    }
    bench.Tick();
  }
}

}  // namespace

// A heavy organisation sends five times the capacity of the pool. Requests that
// would miss their deadline in the queue must be refused early, but only those
// of the heavy organisation; the requests of a light one must be answered.
Test(shedding, backlog_of_heavy_organisation_is_its_own) {
  Bench bench(true);
  Overload(bench);
  cr_assert_gt(bench.shed["heavy"], 100);
  cr_assert_eq(bench.shed["light"], 0);
  cr_assert_eq(bench.late["light"], 0);
  cr_assert_geq(bench.answered["light"], 9);
  cr_assert_gt(bench.answered["heavy"], 20);
  cr_assert_lt(bench.late["heavy"], bench.shed["heavy"] / 4);
}

Test(shedding, without_early_refusal_nobody_is_told_before_the_deadline) {
  Bench bench(false);
  Overload(bench);
  cr_assert_eq(bench.shed["heavy"], 0);
  cr_assert_gt(bench.late["heavy"], 50);
}
