#include "gentianroute/gateway/stage_scheduler.h"

#include <algorithm>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// A pool's backlog is reported to the peers for this long after work was last
/// submitted to it.
constexpr Duration kPoolIdleTimeout = std::chrono::seconds(2);
/// Limits the processor time of one dispatch.
constexpr std::size_t kMaxMovesPerDispatch = 16;
/// How often a cold server, or one that limits its requests, is checked for
/// being allowed another call.
constexpr Duration kHeldServerCheckPeriod = std::chrono::milliseconds(25);
/// Lower bound of the time limit of a piece; no stage server answers sooner.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(1);
/// A caller that is refused within this time has lost none that matters.
constexpr Duration kPromptRefusal = std::chrono::milliseconds(250);
/// Most bytes in the answer to a call beside its results, and in one result.
/// Parsed, an answer takes many times its length.
constexpr std::size_t kMaxAnswerBytes = 16 * 1024;
constexpr std::size_t kMaxResultBytes = 4 * 1024;

}  // namespace

/// A pool of stage servers, and the groups that were submitted to it.
struct StageScheduler::Pool
    : boost::intrusive_ref_counter<Pool, boost::thread_unsafe_counter> {
  Pool(std::string service_name,
       std::string data_centre_name,
       routing::StageCapacity capacity)
      : service(std::move(service_name)),
        data_centre(std::move(data_centre_name)),
        pool(capacity) {}

  std::string service;
  std::string data_centre;
  routing::StagePool pool;
  std::map<routing::StageGroupId, GroupDone> callbacks;  ///< unfinished groups
  TimePoint last_used_at{};
  TimerId timer;
  bool dispatch_scheduled = false;
};

/// Keeps the pool, since a peer's call may outlive the scheduler.
class StageScheduler::Handle final : public GroupHandle {
 public:
  Handle(PoolPtr pool, routing::StageGroupId group)
      : pool_(std::move(pool)), group_(group) {}
  ~Handle() override {
    if (pool_->callbacks.erase(group_) > 0) {
      pool_->pool.Cancel(group_);
    }
  }

 private:
  PoolPtr pool_;
  routing::StageGroupId group_;
};

/// A group whose service has no stage servers.
class StageScheduler::UnknownPoolHandle final : public GroupHandle {
 public:
  UnknownPoolHandle(EventLoop& loop, GroupDone done) : callbacks_(loop) {
    callbacks_.After(Duration{0}, [done = std::move(done)] {
      done({routing::StageFailure::kNoServer, {}});
    });
  }

 private:
  ScopedCallbacks callbacks_;
};

StageScheduler::StageScheduler(EventLoop& loop,
                               RelayClient& client,
                               const Translator& translator,
                               routing::ServerDirectory& servers,
                               const routing::PlacementRules& placement_rules,
                               ResultReleaser& releaser,
                               ReachMonitor& reach,
                               ServerNotices& notices)
    : loop_(loop),
      callbacks_(loop),
      fetches_(loop, client),
      translator_(translator),
      servers_(servers),
      placement_rules_(placement_rules),
      releaser_(releaser),
      reach_(reach),
      notices_(notices) {}

StageScheduler::~StageScheduler() {
  for (const auto& [key, pool] : pools_) {
    loop_.Cancel(pool->timer);
  }
}

void StageScheduler::SetTable(routing::RouteTablePtr table) {
  table_ = std::move(table);
  for (const auto& [key, pool] : pools_) {
    const routing::ServiceSpec* spec = table_->FindService(pool->service);
    if (spec != nullptr && spec->stage) {
      pool->pool.SetCapacity(*spec->stage);
    }
  }
}

StageScheduler::Pool* StageScheduler::PoolFor(std::string_view service,
                                              std::string_view data_centre) {
  const PoolKey key{std::string(service), std::string(data_centre)};
  const auto found = pools_.find(key);
  if (found != pools_.end()) {
    return found->second.get();
  }
  const routing::ServiceSpec* spec =
      table_ == nullptr ? nullptr : table_->FindService(service);
  if (spec == nullptr || !spec->stage) {
    return nullptr;
  }
  const PoolPtr pool(new Pool(key.service, key.data_centre, *spec->stage));
  if (learns_queue_drain_) {
    pool->pool.SetForecast(std::make_unique<admission::LearnedForecast>());
  }
  return pools_.emplace(key, pool).first->second.get();
}

std::unique_ptr<GroupHandle> StageScheduler::Run(std::string_view service,
                                                 std::string_view data_centre,
                                                 routing::StageGroup group,
                                                 GroupDone done) {
  Pool* pool = PoolFor(service, data_centre);
  if (pool == nullptr) {
    return std::make_unique<UnknownPoolHandle>(loop_, std::move(done));
  }
  const TimePoint now = loop_.Now();
  pool->last_used_at = now;
  const routing::StageGroupId id = pool->pool.Submit(now, std::move(group));
  pool->callbacks.emplace(id, std::move(done));
  // Deferred, so that groups which arrive together, such as in one message, can
  // share a call.
  DispatchLater(*pool);
  return std::make_unique<Handle>(PoolPtr(pool), id);
}

std::vector<routing::ServerPtr> StageScheduler::ServersOf(
    const Pool& pool) const {
  std::vector<routing::ServerPtr> servers;
  if (placement_rules_.evacuations.Contains(pool.data_centre)) {
    return servers;
  }
  for (const routing::ServerPtr& server : servers_.ServersOf(pool.service)) {
    if (server->record().data_centre == pool.data_centre) {
      servers.push_back(server);
    }
  }
  return servers;
}

void StageScheduler::Dispatch(Pool& pool) {
  const auto servers = ServersOf(pool);
  HoldLimitedServers(pool, servers);
  const auto calls = pool.pool.Dispatch(loop_.Now(), servers);
  for (const routing::StageCall& call : calls) {
    Send(pool, call);
  }
  MoveLateGroups(pool);
  DeliverFinished(pool);
  loop_.Cancel(pool.timer);
  if (pool.pool.waiting_pieces() > 0) {
    pool.timer = loop_.After(pool.pool.NextDispatchDelay(),
                             [this, &pool] { Dispatch(pool); });
  }
}

void StageScheduler::MoveLateGroups(Pool& pool) {
  // The last group waits longest: if no pool is faster for it, none is for the
  // others.
  const std::vector<routing::LateGroup> late_groups =
      pool.pool.TakeLateGroups();
  const std::size_t count = std::min(late_groups.size(), kMaxMovesPerDispatch);
  for (std::size_t i = 0; i < count; ++i) {
    const routing::LateGroup& late = late_groups[late_groups.size() - 1 - i];
    const auto found = pool.callbacks.find(late.group);
    if (found == pool.callbacks.end()) {
      continue;
    }
    std::string target = faster_pool_(pool.service, pool.data_centre, late.wait,
                                      late.server_time);
    if (target.empty()) {
      return;
    }
    const GroupDone done = std::move(found->second);
    pool.callbacks.erase(found);
    pool.pool.Cancel(late.group);
    ++groups_moved_;
    done({routing::StageFailure::kMoved, {}, std::move(target)});
  }
}

void StageScheduler::HoldLimitedServers(
    Pool& pool,
    std::span<const routing::ServerPtr> servers) {
  const TimePoint now = loop_.Now();
  for (const routing::ServerPtr& server : servers) {
    // No other daemon calls the servers of a pool.
    if (!placement_rules_.cold_servers.MaySend(now, *server) ||
        !placement_rules_.request_rates.MaySendAlone(now, *server)) {
      pool.pool.Hold(server->record().id, now + kHeldServerCheckPeriod);
    }
  }
}

void StageScheduler::OnEvacuationsChanged() {
  for (const auto& [key, pool] : pools_) {
    if (pool->pool.waiting_pieces() > 0) {
      DispatchLater(*pool);
    }
  }
}

void StageScheduler::Send(Pool& pool, const routing::StageCall& call) {
  const TimePoint now = loop_.Now();
  call.server->OnSent(now);
  std::vector<StagePieceRequest> pieces;
  pieces.reserve(call.pieces.size());
  for (const routing::StagePiece& piece : call.pieces) {
    const routing::StageGroup* group = pool.pool.Find(piece.group);
    pieces.push_back({group->request, group->stage, piece.segment,
                      std::max(kMinTimeLeft, group->deadline - now), group->key,
                      group->inputs});
  }
  const routing::ServerRecord& server = call.server->record();
  RelayCall relay_call;
  relay_call.endpoint = {server.address, server.port};
  // A server may send a second, late answer to a call. On a reused connection
  // this would be taken for the answer to the next call, and its pieces would
  // get another request's results, since a stage answer has no id.
  relay_call.max_idle = Duration{0};
  relay_call.keep_connection = false;
  relay_call.max_body_bytes = kMaxAnswerBytes + pieces.size() * kMaxResultBytes;
  relay_call.message =
      translator_.StageCallMessage(relay_call.endpoint, server.id, pieces);
  ++calls_sent_;
  pieces_sent_ += pieces.size();
  LogCall(pool, call, pieces);
  fetches_.Start(std::move(relay_call), call.timeout,
                 [this, &pool, id = call.id, server = call.server,
                  sent_at = now](const RelayFetchResult& end) {
                   RecordNotice(sent_at, end, *server);
                   OnCallEnd(pool, id, ReadAnswer(pool, *server, end));
                 });
}

void StageScheduler::RecordNotice(TimePoint sent_at,
                                  const RelayFetchResult& end,
                                  routing::Server& server) {
  const bool has_head = end.head.status != 0;
  if (has_head) {
    notices_.OnAnswer(loop_.Now(), sent_at, translator_.ReadNotice(end.head),
                      server);
  }
}

void StageScheduler::LogCall(const Pool& pool,
                             const routing::StageCall& call,
                             std::span<const StagePieceRequest> pieces) {
  // The pieces of one request are adjacent.
  std::string requests;
  std::string_view last;
  for (const StagePieceRequest& piece : pieces) {
    if (piece.request != last) {
      requests += requests.empty() ? "" : ",";
      requests += piece.request;
      last = piece.request;
    }
  }
  LogEvent("stage_call")
      .ForRequest(pieces.empty() ? "" : pieces.front().request,
                  LogPriority::kLow)
      .Field("requests", requests)
      .Field("service", pool.service)
      .Field("server", call.server->record().id)
      .Field("pieces", pieces.size())
      .Field("waiting", pool.pool.waiting_pieces())
      .Field("expected_ms", WholeMilliseconds(call.expected));
}

StageAnswer StageScheduler::ReadAnswer(const Pool& pool,
                                       const routing::Server& server,
                                       const RelayFetchResult& end) {
  if (end.complete) {
    reach_.OnAnswer(server.record());
    return translator_.ReadStageAnswer(end.head, end.body);
  }
  ++calls_broken_;
  const bool timed_out = !end.failure;
  const bool sent = timed_out || *end.failure != RelayFailure::kNotSent;
  LogEvent("stage_call_broken", LogLevel::kWarning)
      .Field("service", pool.service)
      .Field("server", server.record().id)
      .Field("data_centre", pool.data_centre)
      .Field("sent", sent ? "yes" : "no")
      .Field("timed_out", timed_out ? "yes" : "no");
  if (sent) {
    reach_.OnNoAnswer(server.record());
  } else {
    reach_.OnNotConnected(server.record());
  }
  return {routing::CallStatus::kBroken, {}};
}

void StageScheduler::OnCallEnd(Pool& pool,
                               routing::StageCallId call,
                               const StageAnswer& answer) {
  pool.pool.OnCallEnd(loop_.Now(), call, answer.status, answer.results);
  DeliverFinished(pool);
  DispatchLater(pool);
}

void StageScheduler::DispatchLater(Pool& pool) {
  if (std::exchange(pool.dispatch_scheduled, true)) {
    return;
  }
  callbacks_.After(Duration{0}, [this, &pool] {
    pool.dispatch_scheduled = false;
    Dispatch(pool);
  });
}

void StageScheduler::DeliverFinished(Pool& pool) {
  for (routing::StageGroupResult& end : pool.pool.TakeFinished()) {
    const auto found = pool.callbacks.find(end.group);
    if (found == pool.callbacks.end()) {
      continue;
    }
    const GroupDone done = std::move(found->second);
    pool.callbacks.erase(found);
    GroupOutcome outcome{end.failure, std::move(end.results), {}, {}};
    if (end.missed) {
      RecordMissedDeadline(pool, *end.missed);
      outcome.room_in =
          learns_queue_drain_ ? end.missed->RoomIn() : Duration{0};
    }
    done(std::move(outcome));
  }
  Release(pool.service, pool.data_centre, pool.pool.TakeOrphans());
}

void StageScheduler::RecordMissedDeadline(
    const Pool& pool,
    const routing::MissedDeadline& missed) {
  ++(missed.waited <= kPromptRefusal ? refused_promptly_ : refused_late_);
  LogEvent("stage_refused", LogLevel::kWarning)
      .ForRequest(missed.request, LogPriority::kNormal)
      .Field("service", pool.service)
      .Field("data_centre", pool.data_centre)
      .Field("foreseen_wait_ms", WholeMilliseconds(missed.foreseen_wait))
      .Field("left_ms", WholeMilliseconds(missed.time_left))
      .Field("waited_ms", WholeMilliseconds(missed.waited));
}

void StageScheduler::Release(std::string_view service,
                             std::string_view data_centre,
                             std::vector<std::string> results) {
  if (results.empty() || placement_rules_.evacuations.Contains(data_centre)) {
    return;
  }
  Pool* pool = PoolFor(service, data_centre);
  if (pool != nullptr) {
    pool->pool.OnReleased(results);
    if (pool->pool.waiting_pieces() > 0) {
      DispatchLater(*pool);
    }
  }
  releaser_.Release(std::move(results));
}

void StageScheduler::ForEachPool(
    TimePoint now,
    const std::function<
        void(std::string_view, std::string_view, routing::Backlog)>& visit)
    const {
  for (const auto& [key, pool] : pools_) {
    if (now - pool->last_used_at < kPoolIdleTimeout) {
      visit(pool->service, pool->data_centre, pool->pool.BacklogAt(now));
    }
  }
}

}  // namespace gentianroute::gateway
