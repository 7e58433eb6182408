#include "gentianroute/entry/order_sync.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gentianroute/decision/rendezvous.h"
#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr Duration kMaxOrderDelay = std::chrono::seconds(2);

json ToJson(const EngineState& state) {
  return {{"model", state.model},
          {"version", state.version},
          {"adapters", state.adapters},
          {"role", state.role}};
}

std::optional<EngineState> ParseState(const HttpResult& result) {
  if (!result.complete || result.status != kOk) {
    return std::nullopt;
  }
  try {
    const json parsed = json::parse(result.body);
    return EngineState{parsed.at("model"), parsed.at("version"),
                       parsed.at("adapters"), parsed.at("role")};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

LeaseKeeper::Options LeaseOptions(const OrderSync::Options& options,
                                  const PoolSpec& pool) {
  LeaseKeeper::Options lease;
  lease.pool = pool.name;
  lease.holder = options.daemon + "/" + std::to_string(options.incarnation);
  lease.max_order_delay = pool.fenced ? Duration{0} : kMaxOrderDelay;
  return lease;
}

}  // namespace

struct OrderSync::Pool {
  Pool(const OrderSync::Options& options,
       const PoolSpec& spec,
       const LeaseCodec& codec)
      : name(spec.name),
        fenced(spec.fenced),
        lease(LeaseOptions(options, spec), codec),
        orders({.max_order_delay = kMaxOrderDelay}) {}

  std::string name;
  bool fenced;
  bool declared = true;
  LeaseKeeper lease;
  OrderIssuer orders;
  std::map<std::string, HostRecord> engines;
};

/// Sends one order. Checks the lease again when connected, since connecting may
/// have taken long or the process may have been paused.
class OrderSync::OrderCall final : public HttpCallObserver {
 public:
  OrderCall(OrderSync& owner,
            std::shared_ptr<Pool> pool,
            EngineOrder order,
            std::shared_ptr<HttpCallId> call)
      : owner_(owner),
        pool_(std::move(pool)),
        order_(std::move(order)),
        call_(std::move(call)) {}

  void OnConnected() override {
    if (!pool_->orders.CanWrite(owner_.loop_.Now(), pool_->lease, order_)) {
      owner_.client_.Cancel(*call_);
    }
  }
  void OnHead(int status, const HttpHeaders& /*headers*/) override {
    status_ = status;
  }
  void OnBody(std::string_view /*part*/) override {}
  void OnDone() override {
    if (status_ == kOk || status_ == kConflict) {
      pool_->orders.OnOrderAnswered(order_.engine);
    }
  }
  void OnError(HttpCallError error, std::string_view /*detail*/) override {
    if (error == HttpCallError::kConnect) {  // no byte was sent
      pool_->orders.OnOrderAnswered(order_.engine);
    }
  }

 private:
  OrderSync& owner_;
  std::shared_ptr<Pool> pool_;
  EngineOrder order_;
  std::shared_ptr<HttpCallId> call_;
  int status_ = 0;
};

OrderSync::OrderSync(EventLoop& loop,
                     TableService& tables,
                     HttpClient& client,
                     Options options)
    : loop_(loop),
      tables_(tables),
      client_(client),
      options_(std::move(options)) {}

OrderSync::~OrderSync() = default;

void OrderSync::SetCatalogue(const Catalogue& catalogue) {
  for (const auto& [name, pool] : pools_) {
    pool->declared = false;
  }
  for (const auto& [name, spec] : catalogue.pools) {
    if (spec.kind != PoolKind::kEngine || spec.engines.empty()) {
      continue;
    }
    std::shared_ptr<Pool>& pool = pools_[name];
    const bool changed = pool != nullptr && pool->fenced != spec.fenced;
    if (pool == nullptr || (changed && !pool->lease.held())) {
      pool = std::make_shared<Pool>(options_, spec, codec_);
      UpdateEngines(*pool);
    }
    pool->declared = true;
    pool->orders.SetGroups(spec.engines);
  }
}

void OrderSync::SetHosts(std::span<const HostRecord> backends) {
  hosts_.assign(backends.begin(), backends.end());
  for (const auto& [name, pool] : pools_) {
    UpdateEngines(*pool);
  }
}

void OrderSync::UpdateEngines(Pool& pool) {
  pool.engines.clear();
  std::vector<std::string> names;
  for (const HostRecord& host : hosts_) {
    if (host.pool == pool.name && !host.leaving) {
      pool.engines[host.name] = host;
      names.push_back(host.name);
    }
  }
  pool.orders.SetEngines(names);
}

void OrderSync::SetDaemons(std::vector<std::string> names) {
  daemons_ = std::move(names);
}

std::size_t OrderSync::held_lease_count() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      pools_, [](const auto& item) { return item.second->lease.held(); }));
}

void OrderSync::Tick() {
  for (const auto& [name, pool] : pools_) {
    AdvanceLease(pool);
    if (!draining_ && pool->declared) {
      AdvanceOrders(pool);
    }
  }
  std::erase_if(pools_, [](const auto& item) {
    return !item.second->declared && !item.second->lease.held();
  });
}

void OrderSync::AdvanceLease(const std::shared_ptr<Pool>& pool) {
  const TimePoint now = loop_.Now();
  const bool is_candidate = RendezvousRank(pool->name, options_.daemon,
                                           daemons_) < options_.max_candidates;
  const bool should_keep = pool->lease.held() &&
                           (is_candidate || pool->orders.HasOrderInFlight(now));
  const bool should_acquire = is_candidate && !draining_ && pool->declared;
  const bool should_release =
      (draining_ || !pool->declared) && !pool->orders.HasOrderInFlight(now);
  switch (pool->lease.Advance(
      now, should_acquire || (should_keep && !should_release))) {
    case LeaseKeeper::Step::kNone:
      return;
    case LeaseKeeper::Step::kRead:
      tables_.Read({pool->lease.key()}, [this, pool](const ReadResult& result) {
        pool->lease.OnRead(loop_.Now(), result);
      });
      return;
    case LeaseKeeper::Step::kTransact:
      tables_.Transact(pool->lease.transaction(),
                       [this, pool](const TransactResult& result) {
                         pool->lease.OnTransacted(loop_.Now(), result);
                       });
      return;
  }
}

void OrderSync::AdvanceOrders(const std::shared_ptr<Pool>& pool) {
  const OrderIssuer::Steps steps =
      pool->orders.Advance(loop_.Now(), pool->lease);
  for (const std::string& engine : steps.reads) {
    ReadState(pool, engine);
  }
  for (const EngineOrder& order : steps.orders) {
    SendOrder(pool, order);
  }
}

void OrderSync::CancelAfterTimeout(const std::shared_ptr<HttpCallId>& call) {
  loop_.After(kMaxOrderDelay, [this, call] { client_.Cancel(*call); });
}

void OrderSync::ReadState(const std::shared_ptr<Pool>& pool,
                          const std::string& engine) {
  const HostRecord& host = pool->engines.at(engine);
  HttpCall call;
  call.address = host.address;
  call.port = host.port;
  call.path = "/v1/state";
  auto id = std::make_shared<HttpCallId>();
  *id = client_.Call(std::move(call),
                     CollectResponse([pool, engine](const HttpResult& result) {
                       pool->orders.OnState(engine, ParseState(result));
                     }));
  CancelAfterTimeout(id);
}

void OrderSync::SendOrder(const std::shared_ptr<Pool>& pool,
                          const EngineOrder& order) {
  const HostRecord& host = pool->engines.at(order.engine);
  LogEvent("engine_order")
      .Field("pool", pool->name)
      .Field("engine", order.engine)
      .Field("fencing", order.fencing)
      .Field("model", order.desired.model);
  HttpCall call;
  call.address = host.address;
  call.port = host.port;
  call.method = "POST";
  call.path = "/v1/orders";
  call.headers = {{"content-type", "application/json"}};
  call.body =
      json{{"fencing", order.fencing}, {"desired", ToJson(order.desired)}}
          .dump();
  // An idle connection may be dead, which would delay the order until it times
  // out.
  call.fresh_connection = true;
  auto id = std::make_shared<HttpCallId>();
  *id = client_.Call(std::move(call),
                     std::make_unique<OrderCall>(*this, pool, order, id));
  CancelAfterTimeout(id);
}

}  // namespace gentianroute
