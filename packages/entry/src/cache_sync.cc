#include "gentianroute/entry/cache_sync.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace gentianroute {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kHexadecimal = 16;
/// Calls per round; with more engines, each is polled less often.
constexpr std::size_t kMaxCallsPerRound = 16;
/// After this time without an answer, the connection is considered dead.
constexpr Duration kAnswerTimeout = std::chrono::seconds(2);

std::set<std::string> EnginePools(const Catalogue& catalogue) {
  std::set<std::string> pools;
  for (const auto& [name, profile] : catalogue.profiles) {
    for (const StageSpec& stage : profile->stages) {
      if (stage.streams) {
        pools.insert(stage.pool);
      }
    }
  }
  return pools;
}

std::vector<std::uint64_t> ParsePrefixes(const json& event, const char* field) {
  std::vector<std::uint64_t> prefixes;
  for (const json& item : event.at(field)) {
    const auto& text = item.get_ref<const std::string&>();
    std::uint64_t prefix = 0;
    std::from_chars(text.data(), text.data() + text.size(), prefix,
                    kHexadecimal);
    prefixes.push_back(prefix);
  }
  return prefixes;
}

}  // namespace

CacheSync::CacheSync(EventLoop& loop,
                     HttpClient& client,
                     ServerTable& servers,
                     std::string data_centre)
    : loop_(loop),
      client_(client),
      servers_(servers),
      data_centre_(std::move(data_centre)) {
  servers_.SetPrefixAffinity(&caches_);
}

void CacheSync::Poll(const Catalogue& catalogue) {
  RemoveUnlistedEngines();
  const std::set<std::string> pools = EnginePools(catalogue);
  std::vector<ServerRef> followed;
  for (const auto& [name, server] : servers_.servers()) {
    if (IsFollowed(*server, pools)) {
      followed.push_back(server);
    }
  }
  // In rotation, starting after the last engine of the previous round.
  const auto next =
      std::ranges::find_if(followed, [this](const ServerRef& server) {
        return server->host.name > last_polled_;
      });
  std::rotate(followed.begin(), next, followed.end());
  if (followed.size() > kMaxCallsPerRound) {
    followed.resize(kMaxCallsPerRound);
  }
  for (const ServerRef& server : followed) {
    last_polled_ = server->host.name;
    Engine& engine = engines_[server->host.name];
    CancelIfTimedOut(*server, engine);
    if (!engine.call_pending) {
      RequestEvents(*server, engine);
    }
  }
}

void CacheSync::RemoveUnlistedEngines() {
  std::erase_if(engines_, [this](const auto& item) {
    if (servers_.servers().contains(item.first)) {
      return false;
    }
    if (item.second.call_pending) {
      client_.Cancel(item.second.call);
    }
    caches_.RemoveEngine(item.first);
    return true;
  });
}

bool CacheSync::IsFollowed(const Server& server,
                           const std::set<std::string>& pools) const {
  return server.host.data_centre == data_centre_ && server.IsAccepting() &&
         pools.contains(server.host.pool);
}

void CacheSync::CancelIfTimedOut(const Server& server, Engine& engine) {
  // On a connection whose other end is gone, an answer never arrives, and the
  // engine would not be polled again. A new connection works.
  if (engine.call_pending && loop_.Now() >= engine.called_at + kAnswerTimeout) {
    client_.Cancel(engine.call);
    client_.DiscardIdleConnections(server.host.address, server.host.port);
    engine.call_pending = false;
  }
}

void CacheSync::RequestEvents(const Server& server, Engine& engine) {
  HttpCall call;
  call.address = server.host.address;
  call.port = server.host.port;
  call.path = "/v1/cache-events?after=" + std::to_string(engine.sequence);
  engine.call_pending = true;
  engine.called_at = loop_.Now();
  engine.call = client_.Call(std::move(call),
                             CollectResponse([this, name = server.host.name](
                                                 const HttpResult& result) {
                               OnAnswer(name, result);
                             }));
}

void CacheSync::OnAnswer(const std::string& name, const HttpResult& result) {
  const auto found = engines_.find(name);
  if (found == engines_.end()) {
    return;
  }
  found->second.call_pending = false;
  if (!result.complete || result.status != kOk) {
    return;
  }
  try {
    ApplyEvents(name, found->second, result.body);
  } catch (const json::exception&) {
    // The response is malformed, so the cache contents can't be kept current.
    caches_.RemoveEngine(name);
    found->second = {};
  }
}

void CacheSync::ApplyEvents(const std::string& name,
                            Engine& engine,
                            std::string_view body) {
  const json answer = json::parse(body);
  const auto incarnation = answer.at("incarnation").get<std::uint64_t>();
  if (incarnation != engine.incarnation) {
    // The engine has restarted: its cache is empty and its sequence numbers
    // start again. An answer to a request with an old sequence number lacks the
    // events up to that number, so the next poll requests all of them.
    caches_.RemoveEngine(name);
    const bool from_start = engine.sequence == 0;
    engine.incarnation = incarnation;
    engine.sequence = 0;
    if (!from_start) {
      return;
    }
  }
  for (const json& event : answer.at("events")) {
    const std::vector<std::uint64_t> added = ParsePrefixes(event, "added");
    const std::vector<std::uint64_t> removed = ParsePrefixes(event, "removed");
    engine.sequence = event.at("sequence").get<std::uint64_t>();
    caches_.OnEvent({name, incarnation, engine.sequence, added, removed});
  }
}

}  // namespace gentianroute
