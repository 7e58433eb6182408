// Who calls and what breaks when.

#include <array>
#include <memory>
#include <utility>

#include "world.h"

namespace gentianroute::testing {
namespace {

constexpr int kMaxResends = 4;

}  // namespace

void World::Every(Duration least, Duration most, std::function<void()> task) {
  const auto again = std::make_shared<std::function<void()>>();
  *again = [this, least, most, task = std::move(task),
            weak = std::weak_ptr(again)] {
    task();
    const auto self = weak.lock();
    events_.After(
        dice_.Between(least / milliseconds(1), most / milliseconds(1)),
        [self] { (*self)(); });
  };
  events_.After(dice_.Between(least / milliseconds(1), most / milliseconds(1)),
                [again] { (*again)(); });
}

void World::PlanFaults() {
  Every(milliseconds(300), milliseconds(300), [this] { SpreadHosts(); });
  Every(seconds(1), seconds(1), [this] { SpreadQuarantine(); });
  const auto fault = [this](Duration least, Duration most, auto task) {
    Every(least, most, [this, task] {
      if (!Closing()) {
        task();
      }
    });
  };
  fault(seconds(2), seconds(10), [this] { backends_.CrashOne(); });
  fault(seconds(3), seconds(12),
        [this] { store_.FailFor(dice_.Between(100, 4000)); });
  fault(seconds(4), seconds(15), [this] { Kill(AnyDaemon()); });
  fault(seconds(1), seconds(6), [this] {
    ++report_.freezes;
    AnyDaemon().frozen_until = events_.now() + dice_.Between(50, 9000);
  });
}

void World::SpreadHosts() {
  const std::vector<HostRecord> hosts = backends_.Hosts();
  for (const Daemon& daemon : daemons_) {
    const DaemonId id = daemon.id;
    events_.After(dice_.Between(100, 1500), [this, id, hosts] {
      Receive(id, [this, id, hosts](Coordinator& coordinator, TimePoint now) {
        daemons_[id.index].core->servers.ApplyHostList(now, hosts);
        coordinator.OnServersChanged(now);
      });
    });
  }
}

void World::SpreadQuarantine() {
  for (const Daemon& from : daemons_) {
    const auto named = from.core->suspects.Quarantined(events_.now());
    for (const Daemon& to : daemons_) {
      const DaemonId id = to.id;
      if (id == from.id || named.empty() || dice_.Chance(0.1)) {
        continue;
      }
      Deliver(id, [this, id, named](Coordinator&, TimePoint now) {
        for (const auto& [fingerprint, remaining] : named) {
          daemons_[id.index].core->suspects.OnPeerQuarantine(now, fingerprint,
                                                             remaining);
        }
      });
    }
  }
}

void World::PlanSubmission() {
  if (Closing()) {
    return;
  }
  Submit(NewArrival());
  events_.After(dice_.Between(0, 12), [this] { PlanSubmission(); });
}

World::Arrival World::NewArrival() {
  static constexpr std::array<const char*, 4> kServices = {"letters", "lookups",
                                                           "orders", "topups"};
  Arrival arrival;
  arrival.service = kServices[dice_.Below(kServices.size())];
  arrival.marker = "m" + std::to_string(++next_marker_);
  if (dice_.Chance(0.002)) {
    const bool late = arrival.service == "letters" && dice_.Chance(0.5);
    arrival.marker =
        (late ? "poison-generate" : "poison-encode") + arrival.marker;
  }
  if (arrival.HasEffect() && dice_.Chance(0.8)) {
    arrival.key = "key-" + arrival.marker;
  }
  arrival.body_marker = arrival.marker;
  return arrival;
}

void World::Submit(Arrival arrival) {
  Daemon& daemon = AnyDaemon();
  if (events_.now() < daemon.frozen_until) {
    // The caller connects, and the daemon reads when it resumes.
    events_.At(daemon.frozen_until, [this, arrival] { Submit(arrival); });
    return;
  }
  Submission submission =
      SubmissionOf(arrival.service, arrival.body_marker, arrival.key);
  submission.wants_stream = true;
  submission.organisation = "org-" + std::to_string(dice_.Below(5));
  if (!arrival.key.empty()) {
    submission.organisation = "org-keyed";  // one key space for the checks
  }
  submission.timeout = dice_.Between(300, 6000);
  arrival.deadline = events_.now() + submission.timeout;
  const std::string marker = arrival.marker;
  ++report_.submitted;
  const RequestId id =
      daemon.core->coordinator.Submit(events_.now(), 0, std::move(submission));
  const Arrival sent = arrival;
  arrivals_[{daemon.id, id}] = std::move(arrival);
  if (dice_.Chance(0.03)) {
    const DaemonId to = daemon.id;
    events_.After(dice_.Between(1, 500), [this, to, id] {
      Receive(to, [id](Coordinator& coordinator, TimePoint now) {
        coordinator.OnCallerGone(now, id);
      });
    });
  }
  // Some callers do not wait for the first answer before they send again.
  if (!sent.key.empty() && sent.resends == 0 && dice_.Chance(0.3)) {
    Resend(sent);
  }
  Pump(daemon);
}

void World::Resend(const Arrival& arrival) {
  const bool safe = !arrival.HasEffect() || !arrival.key.empty();
  if (!safe || arrival.resends >= kMaxResends || Closing()) {
    return;
  }
  Arrival again;
  again.service = arrival.service;
  again.marker = arrival.marker;
  again.key = arrival.key;
  again.resends = arrival.resends + 1;
  again.body_marker = arrival.body_marker;
  if (!again.key.empty() && dice_.Chance(0.05)) {
    again.body_marker += "x";  // a key used again for another body
  }
  events_.After(dice_.Between(0, 3000), [this, again] { Submit(again); });
}

}  // namespace gentianroute::testing
