#include "load_model.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "load_model_internal.h"

namespace gentianroute::bench {
LoadModel::LoadModel(LoadPlan plan) : plan_(std::move(plan)), rng_(plan_.seed) {
  outcome_.seconds.resize(static_cast<std::size_t>(Seconds(plan_.duration)) +
                          1);
  MakeServers();
  MakeDaemons();
}

LoadModel::~LoadModel() = default;

void LoadModel::Schedule(TimePoint due, std::function<void()> action) {
  events_.push({due, next_order_++, std::move(action)});
}

void LoadModel::MakeServers() {
  for (const PoolPlan& pool : plan_.pools) {
    for (std::uint32_t i = 0; i < pool.servers; ++i) {
      auto server = std::make_unique<FakeServer>();
      const std::string& region = plan_.regions[i % plan_.regions.size()];
      server->plan = pool;
      server->is_slow = i == 0;
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
          other == region
              ? PathCost{kIntraRegionLatency, 0}
              : PathCost{kInterRegionLatency, plan_.micro_euros_per_byte};
    }
    ServerTable::Options options;
    options.region = region;
    options.data_centre = region + "-1";
    options.policy = plan_.routing;
    daemons_.push_back(
        std::make_unique<Daemon>(plan_, region, std::move(options), paths));
    daemons_.back()->coordinator.SetCatalogue(catalogue);
    if (plan_.use_prefix_affinity) {
      daemons_.back()->servers.SetPrefixAffinity(&daemons_.back()->caches);
    }
  }
}

Outcome LoadModel::Run() {
  PublishHostList();
  SampleLoad();
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
      static_cast<double>(std::max<std::uint64_t>(1, load_samples_));
  return std::move(outcome_);
}

void LoadModel::ExecuteActions(Daemon& daemon) {
  for (auto actions = daemon.coordinator.TakeActions(); !actions.empty();
       actions = daemon.coordinator.TakeActions()) {
    for (Action& action : actions) {
      if (auto* start = std::get_if<StartAttempt>(&action)) {
        Execute(daemon, *start);
      } else if (auto* cancel = std::get_if<CancelAttempt>(&action)) {
        Execute(daemon, *cancel);
      } else if (auto* finish = std::get_if<FinishRequest>(&action)) {
        Execute(daemon, *finish);
      }
    }
  }
  const TimePoint due = daemon.coordinator.NextDue();
  if (due == kNever || due >= daemon.next_wakeup) {
    return;
  }
  daemon.next_wakeup = std::max(due, now_);
  Schedule(daemon.next_wakeup,
           [this, &daemon, scheduled_wakeup = daemon.next_wakeup] {
             if (daemon.next_wakeup != scheduled_wakeup) {
               return;  // rescheduled for an earlier time
             }
             daemon.next_wakeup = kNever;
             daemon.coordinator.Advance(now_);
             ExecuteActions(daemon);
           });
}

}  // namespace gentianroute::bench
