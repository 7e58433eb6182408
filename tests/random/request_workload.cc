// Workload and fault schedule of RequestSimulation.

#include <array>
#include <memory>
#include <utility>

#include "request_simulation.h"

namespace gentianroute::testing {
namespace {

constexpr int kMaxResends = 4;

}  // namespace

void RequestSimulation::ScheduleRepeating(Duration min_interval,
                                          Duration max_interval,
                                          std::function<void()> task) {
  const auto retry = std::make_shared<std::function<void()>>();
  *retry = [this, min_interval, max_interval, task = std::move(task),
            weak = std::weak_ptr(retry)] {
    task();
    const auto self = weak.lock();
    events_.After(random_.Between(min_interval / milliseconds(1),
                                  max_interval / milliseconds(1)),
                  [self] { (*self)(); });
  };
  events_.After(random_.Between(min_interval / milliseconds(1),
                                max_interval / milliseconds(1)),
                [retry] { (*retry)(); });
}

void RequestSimulation::ScheduleFaults() {
  ScheduleRepeating(milliseconds(300), milliseconds(300),
                    [this] { SendHostLists(); });
  ScheduleRepeating(seconds(1), seconds(1), [this] { SendQuarantines(); });
  const auto fault = [this](Duration min_interval, Duration max_interval,
                            auto task) {
    ScheduleRepeating(min_interval, max_interval, [this, task] {
      if (!IsClosing()) {
        task();
      }
    });
  };
  fault(seconds(2), seconds(10), [this] { backends_.CrashRandomServer(); });
  fault(seconds(3), seconds(12),
        [this] { store_.FailFor(random_.Between(100, 4000)); });
  fault(seconds(4), seconds(15), [this] { RestartDaemon(PickDaemon()); });
  fault(seconds(1), seconds(6), [this] {
    ++report_.freezes;
    PickDaemon().frozen_until = events_.now() + random_.Between(50, 9000);
  });
}

void RequestSimulation::SendHostLists() {
  const std::vector<HostRecord> hosts = backends_.Hosts();
  for (const Daemon& daemon : daemons_) {
    const DaemonId id = daemon.id;
    events_.After(random_.Between(100, 1500), [this, id, hosts] {
      Receive(id, [this, id, hosts](Coordinator& coordinator, TimePoint now) {
        daemons_[id.index].core->servers.ApplyHostList(now, hosts);
        coordinator.OnServersChanged(now);
      });
    });
  }
}

void RequestSimulation::SendQuarantines() {
  for (const Daemon& from : daemons_) {
    const auto quarantined = from.core->suspects.Quarantined(events_.now());
    for (const Daemon& to : daemons_) {
      const DaemonId id = to.id;
      if (id == from.id || quarantined.empty() || random_.Chance(0.1)) {
        continue;
      }
      Deliver(id, [this, id, quarantined](Coordinator&, TimePoint now) {
        for (const auto& [fingerprint, remaining] : quarantined) {
          daemons_[id.index].core->suspects.OnPeerQuarantine(now, fingerprint,
                                                             remaining);
        }
      });
    }
  }
}

void RequestSimulation::ScheduleSubmission() {
  if (IsClosing()) {
    return;
  }
  Submit(MakeRequest());
  events_.After(random_.Between(0, 12), [this] { ScheduleSubmission(); });
}

RequestSimulation::SimulatedRequest RequestSimulation::MakeRequest() {
  static constexpr std::array<const char*, 4> kServices = {"letters", "lookups",
                                                           "orders", "topups"};
  SimulatedRequest request;
  request.service = kServices[random_.Below(kServices.size())];
  request.marker = "m" + std::to_string(++next_marker_);
  if (random_.Chance(0.002)) {
    const bool at_generate =
        request.service == "letters" && random_.Chance(0.5);
    request.marker =
        (at_generate ? "poison-generate" : "poison-encode") + request.marker;
  }
  if (request.HasEffect() && random_.Chance(0.8)) {
    request.key = "key-" + request.marker;
  }
  request.body_marker = request.marker;
  return request;
}

void RequestSimulation::Submit(SimulatedRequest request) {
  Daemon& daemon = PickDaemon();
  if (events_.now() < daemon.frozen_until) {
    // The caller connects; the daemon reads the request when it resumes.
    events_.At(daemon.frozen_until, [this, request] { Submit(request); });
    return;
  }
  Submission submission =
      SubmissionOf(request.service, request.body_marker, request.key);
  submission.wants_stream = true;
  submission.organisation = "org-" + std::to_string(random_.Below(5));
  if (!request.key.empty()) {
    submission.organisation =
        "org-keyed";  // keys of all requests are in one namespace
  }
  submission.timeout = random_.Between(300, 6000);
  request.deadline = events_.now() + submission.timeout;
  const std::string marker = request.marker;
  ++report_.submitted;
  const RequestId id =
      daemon.core->coordinator.Submit(events_.now(), 0, std::move(submission));
  const SimulatedRequest sent = request;
  requests_[{daemon.id, id}] = std::move(request);
  if (random_.Chance(0.03)) {
    const DaemonId to = daemon.id;
    events_.After(random_.Between(1, 500), [this, to, id] {
      Receive(to, [id](Coordinator& coordinator, TimePoint now) {
        coordinator.OnCallerGone(now, id);
      });
    });
  }
  // Some callers resend before the first answer.
  if (!sent.key.empty() && sent.resends == 0 && random_.Chance(0.3)) {
    Resend(sent);
  }
  ProcessActions(daemon);
}

void RequestSimulation::Resend(const SimulatedRequest& request) {
  const bool can_repeat = !request.HasEffect() || !request.key.empty();
  if (!can_repeat || request.resends >= kMaxResends || IsClosing()) {
    return;
  }
  SimulatedRequest retry;
  retry.service = request.service;
  retry.marker = request.marker;
  retry.key = request.key;
  retry.resends = request.resends + 1;
  retry.body_marker = request.body_marker;
  if (!retry.key.empty() && random_.Chance(0.05)) {
    retry.body_marker += "x";  // the key is reused with another body
  }
  events_.After(random_.Between(0, 3000), [this, retry] { Submit(retry); });
}

}  // namespace gentianroute::testing
