#include "gentianroute/entry/daemon.h"

#include <utility>

#include "gentianroute/entry/config_report.h"
#include "gentianroute/entry/daemon_options.h"
#include "gentianroute/entry/report.h"
#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration kOrderPeriod = milliseconds(250);
constexpr Duration kGossipPeriod = std::chrono::seconds(1);
constexpr Duration kCachePollPeriod = milliseconds(500);
constexpr std::size_t kMaxHeaviest = 16;
constexpr Duration kMinWakeupDelay = std::chrono::microseconds(100);

/// Current wall-clock time. Service levels are kept across restarts, and the
/// loop's monotonic time starts anew in each process.
TimePoint WallTimePoint(const EventLoop& loop) {
  return TimePoint{Duration(loop.WallTime())};
}

}  // namespace

Daemon::Daemon(EventLoop& loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      incarnation_(static_cast<std::uint64_t>(loop.WallTime())),
      client_(loop),
      platform_(loop,
                client_,
                {settings.get().getPlatform().getAddress().cStr(),
                 settings.get().getPlatform().getPort(),
                 milliseconds(settings.get().getPlatform().getTimeoutMs())}),
      servers_(TableOptions(settings.get()), PathCosts(settings.get())),
      cache_sync_(loop,
                  client_,
                  servers_,
                  settings.get().getDataCentre().cStr()),
      claims_(ClaimOptions(settings.get(), incarnation_), claim_codec_),
      follower_(config_codec_),
      coordinator_(CoordinatorOptions(settings.get()),
                   servers_,
                   usage_,
                   suspects_,
                   claims_),
      backend_calls_(loop, client_, coordinator_, [this] { RequestAdvance(); }),
      claim_sync_(loop, platform_, claims_, [this] { RequestAdvance(); }),
      config_sync_(platform_,
                   platform_,
                   follower_,
                   config_codec_,
                   [this] { OnConfigChanged(); }),
      poll_schedule_(PollOptions(settings.get())),
      order_sync_(loop,
                  platform_,
                  client_,
                  {settings.get().getName().cStr(), incarnation_}),
      caller_api_(loop,
                  coordinator_,
                  MakeCallerTable(settings.get()),
                  std::string(settings.get().getName().cStr()) + "-" +
                      std::to_string(incarnation_),
                  [this] { RequestAdvance(); }),
      operator_api_(loop, *this),
      history_sync_(loop,
                    platform_,
                    service_levels_,
                    settings.get().getName().cStr()),
      seeds_(SeedPeers(settings.get())),
      peer_revisions_(loop.Now()),
      peer_service_(
          loop,
          {settings.get(), incarnation_, servers_, leaving_server_gossip_,
           usage_, suspects_, follower_, poll_schedule_, peer_revisions_,
           coordinator_},
          [this] { OnConfigChanged(); },
          [this](const std::vector<HostRecord>& hosts) { ApplyHosts(hosts); },
          [this] { RequestAdvance(); }) {
  Listen();
  StartTimers();
  PollHosts();
  PollConfig();
  LogEvent("started")
      .Field("name", settings.get().getName().cStr())
      .Field("data_centre", settings.get().getDataCentre().cStr())
      .Field("callers", caller_server_->port())
      .Field("operators", operator_server_->port())
      .Field("peers", peer_links_->port());
}

void Daemon::Listen() {
  const auto root = settings_.get();
  caller_server_ = std::make_unique<HttpServer>(
      loop_, ServerOptions(root.getCallers(), root.getLimits()),
      [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
        caller_api_.OnRequest(std::move(request), std::move(responder));
      });
  operator_server_ = std::make_unique<HttpServer>(
      loop_, ServerOptions(root.getOperators(), root.getLimits()),
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder) {
        operator_api_.OnRequest(request, responder);
      });
  peer_links_ = std::make_unique<PeerLinks>(
      loop_, PeerOptions(root, incarnation_), peer_service_);
  peer_service_.SetLinks(*peer_links_);
  peer_links_->SetPeers(seeds_);
  for (const PeerAddress& seed : seeds_) {
    peer_revisions_.AddListed(seed.name, seed.data_centre);
  }
}

void Daemon::StartTimers() {
  const auto platform = settings_.get().getPlatform();
  loop_.Every(milliseconds(platform.getPollMs()), [this] {
    PollHosts();
    PollConfig();
  });
  loop_.Every(kOrderPeriod, [this] { order_sync_.Tick(); });
  loop_.Every(kGossipPeriod, [this] {
    peer_service_.AnnounceLeaving();
    peer_links_->Gossip();
    suspects_.Sweep(loop_.Now());
  });
  history_sync_.Start();
  loop_.Every(kCachePollPeriod,
              [this] { cache_sync_.Poll(*follower_.catalogue()); });
}

Daemon::~Daemon() = default;

// --- Coordinator inputs and actions -----------------------------------------

void Daemon::RequestAdvance() {
  advance_requested_ = true;
  if (!advancing_) {
    AdvanceCoordinator();
  }
}

void Daemon::AdvanceCoordinator() {
  advancing_ = true;
  while (std::exchange(advance_requested_, false)) {
    const TimePoint now = loop_.Now();
    coordinator_.Advance(now);
    coordinator_.ProcessClaims(now);
    claim_sync_.SendOperations();
    for (Action& action : coordinator_.TakeActions()) {
      advance_requested_ = true;
      Execute(action);
    }
  }
  advancing_ = false;
  ScheduleWakeup();
}

void Daemon::ScheduleWakeup() {
  loop_.Cancel(wakeup_timer_);
  const TimePoint due = coordinator_.NextDue();
  if (due != kNever) {
    wakeup_timer_ = loop_.At(std::max(due, loop_.Now() + kMinWakeupDelay),
                             [this] { RequestAdvance(); });
  }
}

void Daemon::Execute(Action& action) {
  struct Visitor {
    Daemon& daemon;
    void operator()(const StartAttempt& start) const {
      daemon.backend_calls_.Start(start);
    }
    void operator()(const CancelAttempt& cancel) const {
      if (!cancel.reason.empty()) {
        LogEvent("attempt_failed", LogLevel::kWarning)
            .Field("attempt", cancel.attempt.value)
            .Field("server", cancel.server->host.name)
            .Field("reason", cancel.reason);
      }
      daemon.backend_calls_.Cancel(cancel);
    }
    void operator()(const DeliverChunk& chunk) const {
      daemon.caller_api_.Deliver(chunk);
    }
    void operator()(const FinishRequest& finish) const {
      daemon.metrics_.Observe(finish);
      if (CountsForServiceLevel(finish.error)) {
        daemon.service_levels_.Observe(
            WallTimePoint(daemon.loop_),
            daemon.metrics_.ServiceLabel(finish.service),
            !finish.error.has_value());
      }
      daemon.caller_api_.Finish(finish);
    }
    void operator()(const QueryClaimHolder& query) const {
      daemon.SendClaimQuery(query);
    }
    void operator()(const AnswerJoin& answer) const {
      daemon.peer_service_.Answer(answer);
    }
  };
  std::visit(Visitor{*this}, action);
}

void Daemon::SendClaimQuery(const QueryClaimHolder& query) {
  constexpr Duration kQueryTimeout = std::chrono::seconds(2);
  const auto done = [this, id = query.request,
                     token = query.claim.token](const JoinOutcome& outcome) {
    coordinator_.OnClaimHolderAnswered(loop_.Now(), id, token, outcome);
    RequestAdvance();
  };
  if (query.claim.daemon != settings_.get().getName().cStr()) {
    peer_links_->QueryOutcome(query.claim.daemon, query.claim, kQueryTimeout,
                              done);
    return;
  }
  // The claim row is this daemon's own: either a write that had timed out was
  // applied later, or an earlier process of the same name wrote it and its
  // token is unknown here.
  peer_service_.OnJoin(query.claim.token, done);
}

// --- Hosts and configuration ------------------------------------------------

void Daemon::PollHosts() {
  platform_.List([this](const HostListResult& listing) {
    if (listing.changed) {
      ApplyHosts(listing.hosts);
    }
  });
}

void Daemon::PollConfig() {
  if (!poll_schedule_.IsPollDue(loop_.Now())) {
    return;
  }
  config_sync_.Poll([this](bool answered) {
    poll_schedule_.OnPolled(loop_.Now(), answered);
  });
}

void Daemon::ApplyHosts(const std::vector<HostRecord>& hosts) {
  peer_service_.SetHosts(hosts);
  std::vector<HostRecord> backends;
  std::vector<HostRecord> entries;
  for (const HostRecord& host : hosts) {
    (host.pool == kEntryPool ? entries : backends).push_back(host);
  }
  ApplyEntryHosts(entries);
  order_sync_.SetHosts(backends);
  servers_.ApplyHostList(loop_.Now(), backends);
  for (const auto& removed :
       leaving_server_gossip_.OnHostList(loop_.Now(), backends)) {
    servers_.RemoveLeaving(removed.server, removed.incarnation);
  }
  peer_service_.AnnounceLeaving();
  coordinator_.OnServersChanged(loop_.Now());
  RequestAdvance();
}

void Daemon::ApplyEntryHosts(const std::vector<HostRecord>& entries) {
  const std::string_view own_name = settings_.get().getName().cStr();
  const std::string_view own_data_centre =
      settings_.get().getDataCentre().cStr();
  std::vector<PeerAddress> peers = seeds_;
  std::vector<std::string> local_daemons;
  std::vector<std::string> daemons;
  for (const HostRecord& host : entries) {
    if (!host.leaving) {
      daemons.push_back(host.name);
    }
    if (!host.leaving && host.data_centre == own_data_centre) {
      local_daemons.push_back(host.name);
    }
    std::erase_if(peers, [&host](const PeerAddress& peer) {
      return peer.name == host.name;
    });
    peers.push_back({host.name, host.data_centre, host.address, host.port});
  }
  for (const PeerAddress& peer : peers) {
    if (peer.name != own_name) {
      peer_revisions_.AddListed(peer.name, peer.data_centre);
    }
  }
  peer_revisions_.RemoveUnlisted();
  peer_links_->SetPeers(std::move(peers));
  poll_schedule_.SetPeers(local_daemons);
  order_sync_.SetDaemons(std::move(daemons));
}

void Daemon::OnConfigChanged() {
  coordinator_.SetCatalogue(follower_.catalogue());
  order_sync_.SetCatalogue(*follower_.catalogue());
  metrics_.SetCatalogue(follower_.catalogue());
  LogEvent("configuration").Field("revision", follower_.revision());
  peer_links_->StartExtraRound();
}

void Daemon::Apply(ConfigRevision change,
                   const ConfigSync::DoneCallback& done) {
  config_sync_.Apply(std::move(change), done);
}

// --- Operators --------------------------------------------------------------

bool Daemon::IsReady() const {
  return follower_.known() && peer_service_.knows_hosts() && !draining_;
}

json Daemon::Status() const {
  const CoordinatorCounters& counters = coordinator_.counters();
  return {
      {"name", settings_.get().getName().cStr()},
      {"data_centre", settings_.get().getDataCentre().cStr()},
      {"region", settings_.get().getRegion().cStr()},
      {"incarnation", incarnation_},
      {"ready", IsReady()},
      {"draining", draining_},
      {"revision", follower_.revision()},
      {"highest_heard", follower_.highest_seen()},
      {"active", coordinator_.active()},
      {"queued", coordinator_.queued()},
      {"peers", peer_links_->peer_count()},
      {"peer_revisions", peer_revisions_.ToJson(loop_.Now())},
      {"submitted", counters.submitted},
      {"answered", counters.answered},
      {"failed", counters.failed},
      {"retries", counters.retries},
      {"late_answers", counters.late_answers},
      {"crossed_answers", counters.crossed_answers},
      {"heaviest", HeaviestReport(usage_.Heaviest(loop_.Now(), kMaxHeaviest))},
      {"servers", ServersReport(servers_, loop_.Now())}};
}

json Daemon::ListDocuments() const {
  return DocumentsReport(follower_);
}

json Daemon::History() const {
  return HistoryReport(follower_);
}

json Daemon::Report() const {
  const TimePoint now = loop_.Now();
  return {{"name", settings_.get().getName().cStr()},
          {"data_centre", settings_.get().getDataCentre().cStr()},
          {"revision", follower_.revision()},
          {"peer_revisions", peer_revisions_.ToJson(now)},
          {"counting_since_unix_micros", incarnation_},
          {"at_unix_micros", loop_.WallTime()},
          {"attainment_target", settings_.get().getSlo().getAttainmentTarget()},
          {"services", ServicesReport(service_levels_, WallTimePoint(loop_))},
          {"stages", StagesReport(metrics_)},
          {"heaviest", HeaviestReport(usage_.Heaviest(now, kMaxHeaviest))},
          {"out_of_favour", UnavailableServersReport(servers_, now)}};
}

std::string Daemon::Metrics() const {
  MetricWriter writer;
  WriteCounters(writer, coordinator_.counters());
  metrics_.Write(writer);
  return writer.text();
}

// --- Stop -------------------------------------------------------------------

void Daemon::StartDrain() {
  Drain(stop_callback_);
}

void Daemon::BeginDrain() {
  if (std::exchange(draining_, true)) {
    return;
  }
  peer_service_.StartDrain();
  history_sync_.Save();
  order_sync_.StartDrain();
  LogEvent("drain_begun").Field("active", coordinator_.active());
  // The load balancer takes a while to notice that this daemon is not ready;
  // requests that it sends until then are served.
  const auto notice =
      milliseconds(settings_.get().getLimits().getDrainNoticeMs());
  loop_.After(notice, [this] {
    caller_server_->StopAccepting();
    caller_server_->BeginShutdown();
    constexpr Duration kDrainCheckPeriod = milliseconds(20);
    loop_.Every(kDrainCheckPeriod, [this] { CheckDrained(); });
  });
}

void Daemon::Drain(std::function<void()> done) {
  BeginDrain();
  if (on_drained_) {
    return;  // a second signal must not cut off requests
  }
  on_drained_ = std::move(done);
  const auto limits = settings_.get().getLimits();
  loop_.After(milliseconds(limits.getDrainDeadlineMs()), [this] {
    LogEvent("drain_deadline", LogLevel::kWarning)
        .Field("cut_off", coordinator_.active())
        .Field("unsettled_claims", claims_.pending())
        .Field("connections", caller_server_->connections());
    EndDrain();
  });
}

void Daemon::CheckDrained() {
  // Waits for the last connection to close: an open one may carry a request
  // that has not been read yet. If the process ended now, its caller would see
  // a reset and not know whether the request ran. The wait ends, since each
  // response closes its connection and idle connections time out.
  const bool idle = coordinator_.active() == 0 && caller_api_.active() == 0 &&
                    claims_.pending() == 0 &&
                    order_sync_.held_lease_count() == 0 &&
                    caller_server_->connections() == 0;
  if (idle && on_drained_) {
    LogEvent("drained");
    EndDrain();
  }
}

void Daemon::EndDrain() {
  if (on_drained_) {
    std::exchange(on_drained_, nullptr)();
  }
}

}  // namespace gentianroute
