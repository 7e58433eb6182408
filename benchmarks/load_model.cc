#include "load_model.h"

#include <algorithm>
#include <variant>

#include "gentianroute/base/error_kind.h"

namespace gentianroute::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWithinRegion{500};
constexpr Duration kBetweenRegions = milliseconds(20);
constexpr Duration kToCallers = milliseconds(3);
constexpr Duration kEventsLate = milliseconds(500);
/// Share of an engine's mean time that reading an uncached prefix takes.
constexpr double kPrefillShare = 0.4;
constexpr Duration kFailsAfter = milliseconds(5);
constexpr Duration kResendAfter = milliseconds(300);
constexpr Duration kHostListEvery = seconds(1);
constexpr Duration kObserveEvery = milliseconds(100);
constexpr std::size_t kSharedRecords = 64;
constexpr int kStatusOk = 200;
constexpr int kStatusFailed = 500;

/// Claims are not part of the model: no request carries a key.
class NoClaims : public ClaimCodec {
 public:
  std::string Encode(const Claim& /*claim*/) const override { return {}; }
  std::optional<Claim> Decode(std::string_view /*text*/) const override {
    return std::nullopt;
  }
};

const NoClaims kNoClaims;

}  // namespace

struct LoadModel::FakeServer {
  HostRecord record;
  PoolPlan plan;
  bool slow = false;
  std::uint32_t running = 0;
  std::deque<std::shared_ptr<Call>> line;
  std::deque<std::pair<TimePoint, std::uint32_t>> history;
  std::deque<std::uint64_t> cache;  ///< prefixes, the latest used first
  std::uint64_t sequence = 0;

  std::uint32_t Load() const {
    return running + static_cast<std::uint32_t>(line.size());
  }
};

struct LoadModel::Call {
  Daemon* daemon;
  FakeServer* server;
  AttemptId attempt;
  std::size_t bytes;
  std::uint64_t prefix = 0;
  bool running = false;
  bool over = false;
};

struct LoadModel::Sent {
  Traffic traffic;
  TimePoint first;
  std::uint32_t resends;
};

struct LoadModel::Daemon {
  Daemon(const Plan& plan,
         std::string name,
         ServerTable::Options options,
         std::map<std::string, PathCost> paths)
      : region(std::move(name)),
        servers(std::move(options), std::move(paths)),
        claims(ClaimLedger::Options{}, kNoClaims),
        coordinator(plan.coordinator, servers, usage, suspects, claims) {}

  std::string region;
  ServerTable servers;
  UsageLedger usage;
  SuspectTable suspects;
  PrefixAffinity caches;
  ClaimLedger claims;
  Coordinator coordinator;
  std::unordered_map<RequestId, Sent> sent;
  std::unordered_map<AttemptId, std::shared_ptr<Call>> calls;
  TimePoint wake = kNever;
};

double Outcome::CallsPerRequest() const {
  return Ratio(calls, all.sent);
}

double Outcome::CostPerAnswer() const {
  return Ratio(static_cast<std::uint64_t>(all.cost), all.in_time);
}

double Outcome::Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

LoadModel::LoadModel(Plan plan) : plan_(std::move(plan)), rng_(plan_.seed) {
  outcome_.seconds.resize(static_cast<std::size_t>(Seconds(plan_.length)) + 1);
  MakeServers();
  MakeDaemons();
}

LoadModel::~LoadModel() = default;

void LoadModel::At(TimePoint due, std::function<void()> action) {
  events_.push({due, next_order_++, std::move(action)});
}

void LoadModel::MakeServers() {
  for (const PoolPlan& pool : plan_.pools) {
    for (std::uint32_t i = 0; i < pool.servers; ++i) {
      auto server = std::make_unique<FakeServer>();
      const std::string& region = plan_.regions[i % plan_.regions.size()];
      server->plan = pool;
      server->slow = i == 0;
      server->record.name = pool.name + "-" + std::to_string(i);
      server->record.pool = pool.name;
      server->record.region = region;
      server->record.data_centre = region + "-1";
      server->record.incarnation = 1;
      server->record.slots = pool.slots;
      servers_[server->record.name] = std::move(server);
    }
  }
}

void LoadModel::MakeDaemons() {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->revision = 1;
  catalogue->profiles["profile"] = std::make_shared<Profile>(plan_.profile);
  catalogue->services["service"] = {"service", "profile"};
  for (const std::string& region : plan_.regions) {
    std::map<std::string, PathCost> paths;
    for (const std::string& other : plan_.regions) {
      paths[other + "-1"] =
          other == region ? PathCost{kWithinRegion, 0}
                          : PathCost{kBetweenRegions, plan_.micros_per_byte};
    }
    ServerTable::Options options;
    options.region = region;
    options.data_centre = region + "-1";
    options.policy = plan_.routing;
    daemons_.push_back(
        std::make_unique<Daemon>(plan_, region, std::move(options), paths));
    daemons_.back()->coordinator.SetCatalogue(catalogue);
    if (plan_.affinity) {
      daemons_.back()->servers.SetPrefixAffinity(&daemons_.back()->caches);
    }
  }
}

Outcome LoadModel::Run() {
  PublishHosts();
  Observe();
  ShareUsage();
  for (std::size_t i = 0; i < plan_.traffic.size(); ++i) {
    ScheduleArrival(i);
  }
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.due;
    event.action();
  }
  outcome_.load_spread /=
      static_cast<double>(std::max<std::uint64_t>(1, observations_));
  return std::move(outcome_);
}

double LoadModel::RateNow() const {
  // Mean one: four seconds at a half, then one at three times the rate.
  if (!plan_.bursts) {
    return 1;
  }
  return static_cast<std::int64_t>(Seconds(now_ - TimePoint{})) % 5 == 4 ? 3
                                                                         : 0.5;
}

void LoadModel::ScheduleArrival(std::size_t index) {
  const double rate = plan_.traffic[index].per_second * RateNow();
  const double wait = std::exponential_distribution<double>(rate)(rng_);
  // No longer than a tenth of a second, so that a burst begins on time.
  const double step = std::min(wait, 0.1);
  const TimePoint due = now_ + Duration(static_cast<std::int64_t>(step * 1e6));
  if (due >= TimePoint{} + plan_.length) {
    return;
  }
  At(due, [this, index, arrives = wait <= 0.1] {
    if (arrives) {
      const double draw = std::uniform_real_distribution<double>(0, 1)(rng_);
      const std::size_t any = rng_() % daemons_.size();
      const std::size_t chosen = draw < plan_.at_first ? 0 : any;
      Daemon& daemon = *daemons_[plan_.traffic[index].only_at.value_or(chosen)];
      Submit(daemon, plan_.traffic[index], now_, plan_.caller_resends);
    }
    ScheduleArrival(index);
  });
}

void LoadModel::Submit(Daemon& daemon,
                       const Traffic& traffic,
                       TimePoint first,
                       std::uint32_t resends) {
  const Duration left = first + plan_.profile.deadline - now_ - 2 * kToCallers;
  Submission submission;
  submission.service = "service";
  submission.organisation = traffic.organisation;
  submission.subscriber = traffic.subscriber;
  submission.body =
      "{\"letter\":\"" + std::string(plan_.body_bytes, 'a') + "\"}";
  submission.fingerprint = Fingerprint{rng_()};
  if (plan_.prefixes > 0) {
    // The square makes a few prefixes much more frequent than the others.
    const double draw = std::uniform_real_distribution<double>(0, 1)(rng_);
    submission.prefix =
        1 + static_cast<std::uint64_t>(draw * draw *
                                       static_cast<double>(plan_.prefixes));
  }
  submission.timeout = std::max(left, Duration(1));
  const RequestId id =
      daemon.coordinator.Submit(now_, 0, std::move(submission));
  daemon.sent[id] = {traffic, first, resends};
  Drain(daemon);
}

void LoadModel::Drain(Daemon& daemon) {
  for (auto actions = daemon.coordinator.TakeActions(); !actions.empty();
       actions = daemon.coordinator.TakeActions()) {
    for (Action& action : actions) {
      if (auto* start = std::get_if<StartAttempt>(&action)) {
        Act(daemon, *start);
      } else if (auto* cancel = std::get_if<CancelAttempt>(&action)) {
        Act(daemon, *cancel);
      } else if (auto* finish = std::get_if<FinishRequest>(&action)) {
        Act(daemon, *finish);
      }
    }
  }
  const TimePoint due = daemon.coordinator.NextDue();
  if (due == kNever || due >= daemon.wake) {
    return;
  }
  daemon.wake = std::max(due, now_);
  At(daemon.wake, [this, &daemon, wake = daemon.wake] {
    if (daemon.wake != wake) {
      return;  // an earlier wake-up has taken its place
    }
    daemon.wake = kNever;
    daemon.coordinator.Advance(now_);
    Drain(daemon);
  });
}

Duration LoadModel::Latency(const Daemon& daemon,
                            const FakeServer& server) const {
  return daemon.region == server.record.region ? kWithinRegion
                                               : kBetweenRegions;
}

void LoadModel::Act(Daemon& daemon, StartAttempt& start) {
  auto call = std::make_shared<Call>();
  call->daemon = &daemon;
  call->server = servers_.at(start.server->host.name).get();
  call->attempt = start.attempt;
  call->bytes = start.input.size();
  if (start.stage().streams) {
    call->prefix = daemon.coordinator.Find(start.request)->submission.prefix;
  }
  daemon.calls[start.attempt] = call;
  daemon.coordinator.OnWritten(start.attempt);
  if (now_ >= TimePoint{} + plan_.warm_up) {
    CountCost(daemon, *call, start.stage());
  }
  At(now_ + Latency(daemon, *call->server), [this, call] { Arrive(call); });
}

void LoadModel::CountCost(const Daemon& daemon,
                          const Call& call,
                          const StageSpec& stage) {
  ++outcome_.calls;
  outcome_.stage_cost[stage.name] += stage.cost_per_call;
  outcome_.all.cost += stage.cost_per_call;
  if (daemon.region == call.server->record.region) {
    return;
  }
  outcome_.billed_bytes += call.bytes;
  outcome_.all.cost += static_cast<std::int64_t>(
      static_cast<double>(call.bytes) * plan_.micros_per_byte);
}

void LoadModel::Arrive(const std::shared_ptr<Call>& call) {
  if (call->over) {
    return;
  }
  FakeServer& server = *call->server;
  const TimePoint from = TimePoint{} + server.plan.fails_from;
  const TimePoint until = TimePoint{} + server.plan.fails_until;
  if (now_ >= from && now_ < until) {
    At(now_ + kFailsAfter, [this, call] { EndCall(call, kStatusFailed); });
    return;
  }
  if (server.running >= server.record.slots) {
    server.line.push_back(call);
    return;
  }
  Serve(call);
}

void LoadModel::Serve(const std::shared_ptr<Call>& call) {
  FakeServer& server = *call->server;
  ++server.running;
  call->running = true;
  const double spread = std::exponential_distribution<double>(1)(rng_);
  const double mean =
      Seconds(server.plan.mean) * (server.slow ? server.plan.slowness : 1);
  double took = mean * (0.5 + 0.5 * std::min(spread, 5.0));
  if (call->prefix != 0) {
    const double prefill = kPrefillShare * mean;
    const bool hit = TouchPrefix(server, call->prefix);
    took += hit ? -std::min(prefill, took) : 0;
    const double first = hit ? 0 : std::min(prefill, took);
    At(now_ + Duration(static_cast<std::int64_t>(first * 1e6)),
       [this, call] { SendFirstToken(call); });
  }
  At(now_ + Duration(static_cast<std::int64_t>(took * 1e6)), [this, call] {
    if (call->over) {
      return;
    }
    Leave(*call->server);
    call->running = false;
    EndCall(call, kStatusOk);
  });
}

bool LoadModel::TouchPrefix(FakeServer& server, std::uint64_t prefix) {
  const auto found = std::ranges::find(server.cache, prefix);
  const bool hit = found != server.cache.end();
  ++outcome_.prefix_served;
  outcome_.prefix_hits += hit ? 1 : 0;
  if (hit) {
    server.cache.erase(found);
  }
  server.cache.push_front(prefix);
  std::vector<std::uint64_t> removed;
  if (server.cache.size() > plan_.cached) {
    removed.push_back(server.cache.back());
    server.cache.pop_back();
  }
  if (!hit) {
    Publish(server, prefix, std::move(removed));
  }
  return hit;
}

void LoadModel::Publish(FakeServer& server,
                        std::uint64_t added,
                        std::vector<std::uint64_t> removed) {
  ++server.sequence;
  if (std::uniform_real_distribution<double>(0, 1)(rng_) < plan_.events_lost) {
    return;
  }
  At(now_ + kEventsLate,
     [this, name = server.record.name, added, removed = std::move(removed),
      sequence = server.sequence] {
       for (const auto& daemon : daemons_) {
         daemon->caches.OnEvent({name, 1, sequence, {&added, 1}, removed});
       }
     });
}

void LoadModel::SendFirstToken(const std::shared_ptr<Call>& call) {
  At(now_ + Latency(*call->daemon, *call->server), [this, call] {
    if (call->over) {
      return;
    }
    call->daemon->coordinator.OnChunk(now_,
                                      {call->attempt, call->attempt, 0, "a"});
    Drain(*call->daemon);
  });
}

void LoadModel::Leave(FakeServer& server) {
  --server.running;
  while (!server.line.empty()) {
    const std::shared_ptr<Call> next = server.line.front();
    server.line.pop_front();
    if (!next->over) {
      Serve(next);
      return;
    }
  }
}

void LoadModel::EndCall(const std::shared_ptr<Call>& call, int status) {
  const std::uint32_t load = LaggingLoad(*call->server);
  At(now_ + Latency(*call->daemon, *call->server), [this, call, status, load] {
    if (call->over) {
      return;
    }
    call->over = true;
    call->daemon->calls.erase(call->attempt);
    AttemptAnswer answer;
    answer.attempt = call->attempt;
    answer.echoed = call->attempt;
    answer.status = status;
    answer.body = "{}";
    answer.load = load;
    answer.has_load = true;
    call->daemon->coordinator.OnAnswer(now_, std::move(answer));
    Drain(*call->daemon);
  });
}

void LoadModel::Act(Daemon& daemon, CancelAttempt& cancel) {
  const auto found = daemon.calls.find(cancel.attempt);
  if (found == daemon.calls.end()) {
    return;
  }
  const std::shared_ptr<Call> call = found->second;
  daemon.calls.erase(found);
  call->over = true;
  if (call->running) {
    Leave(*call->server);
  }
}

void LoadModel::Act(Daemon& daemon, FinishRequest& finish) {
  const auto found = daemon.sent.find(finish.request);
  if (found == daemon.sent.end()) {
    // Finished within Submit: its record follows this call.
    At(now_, [this, &daemon, finish]() mutable { Act(daemon, finish); });
    return;
  }
  const Sent sent = found->second;
  daemon.sent.erase(found);
  const Duration took = now_ - sent.first + 2 * kToCallers;
  const bool in_time =
      !finish.error.has_value() && took <= plan_.profile.deadline;
  if (finish.error.has_value() && sent.resends > 0) {
    At(now_ + kResendAfter, [this, &daemon, sent] {
      Submit(daemon, sent.traffic, sent.first, sent.resends - 1);
    });
    return;
  }
  if (sent.first < TimePoint{} + plan_.warm_up) {
    return;
  }
  const bool refused = finish.error.has_value() &&
                       AnswerFor(*finish.error).work == WorkKnown::kNotRun;
  const auto second =
      static_cast<std::size_t>(Seconds(sent.first - TimePoint{}));
  const std::string subscriber =
      sent.traffic.organisation + "/" + sent.traffic.subscriber;
  for (Tally* tally :
       {&outcome_.all, &outcome_.organisations[sent.traffic.organisation],
        &outcome_.subscribers[subscriber], &outcome_.seconds.at(second)}) {
    ++tally->sent;
    tally->in_time += in_time ? 1 : 0;
    tally->refused += refused ? 1 : 0;
  }
  if (!finish.error.has_value()) {
    outcome_.took_ms.push_back(Milliseconds(took));
    outcome_.first_token_ms.push_back(Milliseconds(finish.first_token));
  }
}

std::uint32_t LoadModel::LaggingLoad(const FakeServer& server) const {
  const TimePoint seen = now_ - plan_.report_lag;
  std::uint32_t load = 0;
  for (const auto& [at, value] : server.history) {
    if (at > seen) {
      break;
    }
    load = value;
  }
  return load;
}

void LoadModel::PublishHosts() {
  std::vector<HostRecord> hosts;
  for (const auto& [name, server] : servers_) {
    hosts.push_back(server->record);
    hosts.back().load = LaggingLoad(*server);
    hosts.back().load_age = plan_.report_lag;
  }
  for (const auto& daemon : daemons_) {
    daemon->servers.ApplyHostList(now_, hosts);
    daemon->coordinator.OnServersChanged(now_);
    Drain(*daemon);
  }
  if (now_ < TimePoint{} + plan_.length) {
    At(now_ + kHostListEvery, [this] { PublishHosts(); });
  }
}

void LoadModel::ShareUsage() {
  for (const auto& from : daemons_) {
    const auto heaviest = from->usage.Heaviest(now_, kSharedRecords);
    for (const auto& to : daemons_) {
      if (to != from && plan_.share_usage) {
        to->usage.SetRemote(now_, from->region, heaviest);
      }
    }
  }
  if (now_ < TimePoint{} + plan_.length) {
    At(now_ + seconds(1), [this] { ShareUsage(); });
  }
}

void LoadModel::Observe() {
  std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> extremes;
  for (const auto& [name, server] : servers_) {
    const std::uint32_t load = server->Load();
    server->history.emplace_back(now_, load);
    while (server->history.size() > 2 &&
           server->history[1].first <= now_ - plan_.report_lag) {
      server->history.pop_front();
    }
    auto& [least, most] =
        extremes.try_emplace(server->record.pool, load, load).first->second;
    least = std::min(least, load);
    most = std::max(most, load);
  }
  for (const auto& [pool, range] : extremes) {
    outcome_.load_spread += range.second - range.first;
  }
  ++observations_;
  if (now_ < TimePoint{} + plan_.length) {
    At(now_ + kObserveEvery, [this] { Observe(); });
  }
}

}  // namespace gentianroute::bench
