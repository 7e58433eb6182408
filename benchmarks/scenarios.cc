#include "scenarios.h"

#include <algorithm>
#include <array>
#include <numeric>

#include "load_model.h"

namespace gentianroute::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests per second that the "generate" pool, the bottleneck, can serve:
/// 12 servers * 4 slots / 0.2 s.
constexpr double kCapacityPerSecond = 240;

StageSpec MakeStage(const char* name, Duration expected, std::int64_t cost) {
  StageSpec stage;
  stage.name = name;
  stage.pool = name;
  stage.expected = expected;
  stage.cost_per_call = cost;
  return stage;
}

LoadPlan BasePlan(const ScenarioOptions& options) {
  LoadPlan plan;
  plan.seed = options.seed;
  plan.duration = options.quick ? seconds(12) : seconds(40);
  plan.profile.deadline = seconds(2);
  plan.profile.stages = {MakeStage("encode", milliseconds(20), 10),
                         MakeStage("retrieve", milliseconds(25), 15),
                         MakeStage("rerank", milliseconds(25), 20),
                         MakeStage("generate", milliseconds(200), 400)};
  plan.pools = {{"encode", 3, 4, milliseconds(20)},
                {"retrieve", 3, 4, milliseconds(25)},
                {"rerank", 3, 4, milliseconds(25)},
                {"generate", 12, 4, milliseconds(200)}};
  return plan;
}

void AddEqualTraffic(LoadPlan& plan, double load) {
  for (int i = 0; i < 5; ++i) {
    plan.traffic.push_back(
        {"org" + std::to_string(i), "s", load * kCapacityPerSecond / 5});
  }
}

Row Summarise(const Outcome& outcome) {
  Row row;
  row["attainment"] = RoundToThousandths(outcome.all.Attainment());
  row["refused"] =
      RoundToThousandths(Ratio(outcome.all.refused, outcome.all.sent));
  row["p50_ms"] =
      RoundToThousandths(Outcome::Percentile(outcome.latency_ms, 0.5));
  row["p99_ms"] =
      RoundToThousandths(Outcome::Percentile(outcome.latency_ms, 0.99));
  row["spread"] = RoundToThousandths(outcome.load_spread);
  row["cost_per_answer"] = RoundToThousandths(outcome.CostPerAnswer());
  return row;
}

Row Merge(Row row, const Row& more) {
  row.update(more);
  return row;
}

// --- Load and routing -------------------------------------------------------

struct Fault {
  const char* name;
  void (*apply)(LoadPlan& plan);
};

constexpr std::array<Fault, 4> kFaults = {{
    {"bursts", [](LoadPlan& /*plan*/) {}},
    {"one slow engine",
     [](LoadPlan& plan) { plan.pools.back().slowdown_factor = 8; }},
    {"rerank fails 5 s",
     [](LoadPlan& plan) {
       plan.pools[2].fails_from = seconds(5);
       plan.pools[2].fails_until = seconds(10);
     }},
    {"reports 3 s late", [](LoadPlan& plan) { plan.report_lag = seconds(3); }},
}};

struct RoutingVariant {
  const char* name;
  RoutingPolicy policy;
};

constexpr std::array<RoutingVariant, 3> kRoutingVariants = {
    {{"predicted", RoutingPolicy::kPredictedCompletion},
     {"random", RoutingPolicy::kRandom},
     {"least reported", RoutingPolicy::kLeastReportedLoad}}};

void RunLoad(const ScenarioOptions& options, Report& report) {
  const std::vector<double> loads = options.quick
                                        ? std::vector<double>{0.8, 1.5}
                                        : std::vector<double>{0.5, 0.8, 1, 1.5};
  for (const double load : loads) {
    // Mean over the faults, by routing policy.
    std::array<double, 3> mean_attainment{};
    for (const Fault& fault : kFaults) {
      for (std::size_t i = 0; i < kRoutingVariants.size(); ++i) {
        LoadPlan plan = BasePlan({options.seed});
        plan.routing = kRoutingVariants[i].policy;
        AddEqualTraffic(plan, load);
        fault.apply(plan);
        const Outcome outcome = LoadModel(plan).Run();
        mean_attainment[i] += outcome.all.Attainment() / kFaults.size();
        Row row;
        row["load"] = load;
        row["trouble"] = fault.name;
        row["routing"] = kRoutingVariants[i].name;
        report.rows.push_back(Merge(row, Summarise(outcome)));
        for (const auto& [stage, cost] : outcome.stage_cost) {
          report.rows.back()["cost_" + stage] =
              RoundToThousandths(static_cast<double>(cost) /
                                 static_cast<double>(std::max<std::uint64_t>(
                                     1, outcome.all.in_time)));
        }
      }
    }
    report.Expect(
        mean_attainment[0] >=
            std::max(mean_attainment[1], mean_attainment[2]) - 0.01,
        "predicted routing attains no less than the baselines at load " +
            std::to_string(load));
  }
}

// --- Heavy subscribers ------------------------------------------------------

/// Five subscribers have equal shares of 60 % of the capacity, and one of them
/// sends 20 times its share.
void RunHeavy(const ScenarioOptions& options, Report& report) {
  constexpr double kEqualShare = 0.6 / 5 * kCapacityPerSecond;
  for (const bool same_organisation : {false, true}) {
    double baseline = 0;
    for (const bool fair : {false, true}) {
      LoadPlan plan = BasePlan(options);
      plan.coordinator.queue_order =
          fair ? QueueOrder::kFair : QueueOrder::kArrival;
      for (int i = 0; i < 5; ++i) {
        const std::string name =
            same_organisation ? "one" : "org" + std::to_string(i);
        plan.traffic.push_back(
            {name, "s" + std::to_string(i), kEqualShare * (i == 0 ? 20 : 1)});
      }
      const Outcome outcome = LoadModel(plan).Run();
      RequestCounts others;
      RequestCounts heavy;
      for (const auto& [name, counts] : outcome.subscribers) {
        RequestCounts& sum = name.ends_with("s0") ? heavy : others;
        sum.sent += counts.sent;
        sum.in_time += counts.in_time;
      }
      const double measured_seconds = Seconds(plan.duration - plan.warm_up);
      const auto per_second = [measured_seconds](const RequestCounts& counts) {
        return static_cast<double>(counts.in_time) / measured_seconds;
      };
      Row row;
      row["heavy"] = same_organisation ? "subscriber" : "organisation";
      row["order"] = fair ? "fair" : "arrival";
      row["others_attainment"] = RoundToThousandths(others.Attainment());
      row["heavy_attainment"] = RoundToThousandths(heavy.Attainment());
      row["others_per_s"] = RoundToThousandths(per_second(others));
      row["heavy_per_s"] = RoundToThousandths(per_second(heavy));
      row["total_of_capacity"] =
          RoundToThousandths(per_second(outcome.all) / kCapacityPerSecond);
      report.rows.push_back(row);
      if (fair) {
        report.Expect(
            others.Attainment() >= baseline,
            "fair queueing attains no less for the other subscribers");
        report.Expect(others.Attainment() >= 0.9,
                      "the other subscribers meet 90 % of their deadlines");
        report.Expect(heavy.in_time > 0,
                      "the heavy subscriber is served from idle capacity");
      }
      baseline = others.Attainment();
    }
  }
}

/// Two organisations send equal load to the first daemon, and one of them sends
/// six times that to each of the other two daemons. The first daemon can tell
/// them apart only by the usage records that the others share.
void RunShared(const ScenarioOptions& options, Report& report) {
  double baseline = 0;
  for (const bool share : {false, true}) {
    LoadPlan plan = BasePlan(options);
    plan.share_usage = share;
    plan.traffic = {{"light", "s", 0.3 * kCapacityPerSecond, 0},
                    {"heavy", "s", 0.3 * kCapacityPerSecond, 0},
                    {"heavy", "s", 1.8 * kCapacityPerSecond, 1},
                    {"heavy", "s", 1.8 * kCapacityPerSecond, 2}};
    const Outcome outcome = LoadModel(plan).Run();
    const RequestCounts& light = outcome.organisations.at("light");
    Row row;
    row["records"] = share ? "shared" : "own only";
    row["light_attainment"] = RoundToThousandths(light.Attainment());
    row["heavy_attainment"] =
        RoundToThousandths(outcome.organisations.at("heavy").Attainment());
    report.rows.push_back(Merge(row, Summarise(outcome)));
    report.Expect(light.Attainment() >= baseline,
                  "the light organisation attains no less with shared records");
    baseline = light.Attainment();
  }
}

// --- Retries ----------------------------------------------------------------

/// @param from second in which the fault ends
/// @return seconds from then to the first of three consecutive seconds with an
/// attainment as before the fault, or -1 if there are none
double SecondsToRecover(const Outcome& outcome, std::size_t from) {
  constexpr double kRecoveredAttainment = 0.9;
  for (std::size_t i = from; i + 3 < outcome.seconds.size(); ++i) {
    const bool recovered = std::all_of(
        outcome.seconds.begin() + static_cast<std::ptrdiff_t>(i),
        outcome.seconds.begin() + static_cast<std::ptrdiff_t>(i + 3),
        [](const RequestCounts& counts) {
          return counts.Attainment() >= kRecoveredAttainment;
        });
    if (recovered) {
      return static_cast<double>(i - from);
    }
  }
  return -1;
}

struct RetryControl {
  const char* name;
  bool budget;
  bool refuse_early;
};

constexpr std::array<RetryControl, 4> kRetryControls = {
    {{"neither", false, false},
     {"budget", true, false},
     {"early refusal", false, true},
     {"both", true, true}}};

void RunRetriesWithFault(const ScenarioOptions& options,
                         bool hangs,
                         Report& report) {
  constexpr std::size_t kFaultEnd = 15;
  std::vector<double> recovery_seconds;
  std::vector<double> attainment;
  std::vector<double> calls;
  for (const RetryControl& control : kRetryControls) {
    LoadPlan plan = BasePlan(options);
    plan.duration = seconds(40);
    plan.has_bursts = false;
    plan.caller_resends = 3;
    plan.pools[2].fails_from = seconds(5);
    plan.pools[2].fails_until = seconds(kFaultEnd);
    plan.pools[2].hangs = hangs;
    if (hangs) {
      plan.profile.stages[2].first_byte_timeout = milliseconds(300);
    }
    plan.coordinator.refuse_early = control.refuse_early;
    if (!control.budget) {
      plan.coordinator.retry_budget = {1e9, 1e9};
    }
    AddEqualTraffic(plan, 0.9);
    const Outcome outcome = LoadModel(plan).Run();
    recovery_seconds.push_back(SecondsToRecover(outcome, kFaultEnd));
    calls.push_back(outcome.CallsPerRequest());
    Row row;
    row["fault"] = hangs ? "hangs" : "fails";
    row["restraint"] = control.name;
    row["calls_per_request"] = RoundToThousandths(calls.back());
    row["rerank_calls_per_request"] = RoundToThousandths(
        static_cast<double>(outcome.stage_cost.at("rerank")) /
        static_cast<double>(plan.profile.stages[2].cost_per_call) /
        static_cast<double>(outcome.all.sent));
    row["recovers_after_s"] = recovery_seconds.back();
    attainment.push_back(outcome.all.Attainment());
    report.rows.push_back(Merge(row, Summarise(outcome)));
  }
  report.Expect(calls[3] <= calls[0],
                "budget and early refusal together make no more calls");
  report.Expect(
      recovery_seconds[3] >= 0 && (recovery_seconds[0] < 0 ||
                                   recovery_seconds[3] <= recovery_seconds[0]),
      "budget and early refusal together recover no later");
  report.Expect(attainment[3] >= attainment[0] - 0.02,
                "budget and early refusal together meet no fewer deadlines");
}

void RunRetries(const ScenarioOptions& options, Report& report) {
  for (const bool hangs : {false, true}) {
    RunRetriesWithFault(options, hangs, report);
  }
}

// --- Prefix affinity --------------------------------------------------------

struct AffinityVariant {
  const char* name;
  bool on;
  double event_loss_ratio;
};

constexpr std::array<AffinityVariant, 4> kAffinityVariants = {
    {{"off", false, 0},
     {"on", true, 0},
     {"on, 2 % of events lost", true, 0.02},
     {"on, 20 % of events lost", true, 0.2}}};

void RunPrefix(const ScenarioOptions& options, Report& report) {
  std::vector<double> hit_ratios;
  for (const AffinityVariant& affinity : kAffinityVariants) {
    LoadPlan plan = BasePlan(options);
    plan.profile.stages.back().streams = true;
    plan.prefix_count = 600;
    plan.use_prefix_affinity = affinity.on;
    plan.event_loss_ratio = affinity.event_loss_ratio;
    plan.micro_euros_per_byte = 1e-4;
    AddEqualTraffic(plan, 0.7);
    const Outcome outcome = LoadModel(plan).Run();
    hit_ratios.push_back(Ratio(outcome.prefix_hits, outcome.prefix_requests));
    Row row;
    row["affinity"] = affinity.name;
    row["hit_ratio"] = RoundToThousandths(hit_ratios.back());
    row["first_token_p50_ms"] =
        RoundToThousandths(Outcome::Percentile(outcome.first_token_ms, 0.5));
    row["first_token_p99_ms"] =
        RoundToThousandths(Outcome::Percentile(outcome.first_token_ms, 0.99));
    row["billed_bytes_per_answer"] =
        RoundToThousandths(Ratio(outcome.billed_bytes, outcome.all.in_time));
    report.rows.push_back(Merge(row, Summarise(outcome)));
  }
  report.Expect(hit_ratios[1] > hit_ratios[0], "affinity raises the hit ratio");
  report.Expect(hit_ratios[3] >= hit_ratios[0] - 0.02,
                "lost events don't lower the hit ratio below the baseline");
  report.Expect(
      hit_ratios[3] - hit_ratios[0] >= 0.5 * (hit_ratios[1] - hit_ratios[0]),
      "half of the gain remains with 20 % of the events lost");
}

// --- Profiles ---------------------------------------------------------------

struct Deployment {
  const char* name;
  std::uint32_t engines;
  const char* last_stage;  ///< stage whose calls must not be retried
  Duration deadline;
  std::size_t body_bytes;
  double load;
  std::vector<std::string> regions;
  Objective configured_objective;
};

std::vector<Deployment> Deployments() {
  return {{"Muistolaatta",
           20,
           "plaque-orders",
           seconds(6),
           20'000,
           0.7,
           {"uusimaa", "pirkanmaa", "pohjanmaa"},
           Objective::kCost},
          {"Bhattacharya",
           10,
           "wallet-ledger",
           milliseconds(1200),
           2000,
           0.7,
           {"gangetic-south", "dooars-north", "rarh-west"},
           Objective::kAttainment}};
}

LoadPlan MakePlan(const Deployment& deployment,
                  const ScenarioOptions& options) {
  LoadPlan plan = BasePlan(options);
  plan.regions = deployment.regions;
  plan.pools.back().servers = deployment.engines;
  plan.pools.push_back({deployment.last_stage, 3, 4, milliseconds(25)});
  StageSpec last = MakeStage(deployment.last_stage, milliseconds(25), 5);
  last.repeatable = false;
  plan.profile.stages.push_back(last);
  plan.profile.deadline = deployment.deadline;
  plan.body_bytes = deployment.body_bytes;
  plan.first_daemon_share = 0.4;     // the peak of one region
  plan.micro_euros_per_byte = 1e-4;  // 0.10 euros per gigabyte
  AddEqualTraffic(plan, deployment.load * deployment.engines / 12);
  return plan;
}

struct TrafficDistribution {
  const char* name;
  double first_daemon_share;
};

/// Requests arrive evenly, or peak in one region.
constexpr std::array<TrafficDistribution, 2> kTrafficDistributions = {
    {{"even", 0}, {"one region busy", 0.4}}};

void RunProfile(const ScenarioOptions& options,
                const Deployment& deployment,
                const TrafficDistribution& distribution,
                Report& report) {
  std::array<Outcome, 2> outcomes;
  for (const Objective objective : {Objective::kAttainment, Objective::kCost}) {
    LoadPlan plan = MakePlan(deployment, options);
    plan.first_daemon_share = distribution.first_daemon_share;
    plan.profile.objective = objective;
    Outcome& outcome = outcomes[static_cast<std::size_t>(objective)];
    outcome = LoadModel(plan).Run();
    Row row;
    row["deployment"] = deployment.name;
    row["requests"] = distribution.name;
    row["objective"] = objective == Objective::kCost ? "cost" : "attainment";
    row["its_own"] = objective == deployment.configured_objective;
    row["billed_bytes_per_answer"] =
        RoundToThousandths(Ratio(outcome.billed_bytes, outcome.all.in_time));
    report.rows.push_back(Merge(row, Summarise(outcome)));
  }
  const auto& [attainment, cost] = outcomes;
  // A short deadline leaves no slack to wait for a server in the own region, so
  // that both objectives transfer about the same amount.
  const double max_byte_ratio =
      deployment.configured_objective == Objective::kCost ? 0.5 : 1.1;
  report.Expect(
      static_cast<double>(cost.billed_bytes) <=
          max_byte_ratio * static_cast<double>(attainment.billed_bytes),
      "the cost objective transfers fewer bytes between regions");
  report.Expect(deployment.configured_objective != Objective::kCost ||
                    cost.CostPerAnswer() <= attainment.CostPerAnswer(),
                "the cost objective costs no more per answer");
  report.Expect(attainment.all.Attainment() >= cost.all.Attainment() - 0.02,
                "the attainment objective meets no fewer deadlines");
}

void RunProfiles(const ScenarioOptions& options, Report& report) {
  for (const Deployment& deployment : Deployments()) {
    for (const TrafficDistribution& distribution : kTrafficDistributions) {
      RunProfile({options.seed}, deployment, distribution, report);
    }
  }
}

constexpr std::array<Scenario, 6> kScenarios = {{
    {"load", "attainment and cost by load, fault and routing policy", &RunLoad},
    {"heavy", "one subscriber at 20 times its share, fair and FIFO queueing",
     &RunHeavy},
    {"shared", "heavy use at other daemons, with and without shared records",
     &RunShared},
    {"retries", "a stage fails for 10 s, with and without retry controls",
     &RunRetries},
    {"prefix", "prompt prefix caching, with lost cache events", &RunPrefix},
    {"profiles", "cost and attainment objectives in both deployments",
     &RunProfiles},
}};

}  // namespace

std::span<const Scenario> AllScenarios() {
  return kScenarios;
}

}  // namespace gentianroute::bench
