#include "gentianroute/routing/server_choice.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

#include "gentianroute/decision/rendezvous.h"

namespace gentianroute::routing {
namespace {

/// A failed call costs about a second call and the caller's patience.
constexpr double kFailureCostMs = 600.0;
/// What one running stream adds to the first event of the next, as a share of
/// what it takes at an idle server.
constexpr double kCrowding = 0.006;
/// A server that broke a connection just now is taken only if all others were
/// refused; it must lose against any queue, and win against nothing at all.
constexpr double kAvoidedMs = 5000.0;
/// Kept against leaving a subject's home beside the reading itself: a small
/// change of load must not split a subject over two servers.
constexpr double kAwayMs = 15.0;
constexpr double kRankStepMs = 1.5;

bool WasTried(std::span<const std::string> tried, const Server& server) {
  return std::find(tried.begin(), tried.end(), server.record().id) !=
         tried.end();
}

double TroubleMs(TimePoint now, const Server& server) {
  const ServerHistory& history = server.history();
  return (history.IsAvoided(now) ? kAvoidedMs : 0.0) +
         history.Failing(now) * kFailureCostMs;
}

double WarmUpMs(const Server& server) {
  // It is slow, not shut: a tenth of the time left is what it costs a call.
  constexpr double kShare = 0.1;
  return kShare * Milliseconds(server.record().warm_up_left);
}

/// The best of the servers that may be used, by a score in milliseconds of
/// the server at a position.
template <typename Score>
Choice Best(std::span<const ServerPtr> servers,
            std::span<const std::string> tried,
            const Score& score) {
  Choice best{nullptr, std::numeric_limits<double>::max()};
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (!servers[i]->open() || WasTried(tried, *servers[i])) {
      continue;
    }
    const double ms = score(i);
    if (ms < best.score_ms) {
      best = {servers[i], ms};
    }
  }
  return best;
}

double PlainScore(TimePoint now,
                  const Server& server,
                  const ServicePace& pace,
                  const Topology& map) {
  const double slots = std::max(1U, server.record().slots);
  const double work =
      Milliseconds(pace.Work()) * server.history().Slowness(now);
  const double busy = server.calls() / slots;
  return Milliseconds(map.RoundTrip(server.record().data_centre)) +
         work * WavesAt(server) + busy + TroubleMs(now, server) +
         WarmUpMs(server);
}

/// Rank of each server in the hash of a subject, by position; 0 is its home.
std::vector<std::size_t> Ranks(std::span<const ServerPtr> servers,
                               const PromptPart& subject) {
  std::vector<std::pair<std::uint64_t, std::size_t>> places;
  places.reserve(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i) {
    places.emplace_back(RendezvousWeight(subject.id, servers[i]->record().id),
                        i);
  }
  std::sort(places.rbegin(), places.rend());
  std::vector<std::size_t> ranks(servers.size());
  for (std::size_t rank = 0; rank < places.size(); ++rank) {
    ranks[places[rank].second] = rank;
  }
  return ranks;
}

/// What each server has to read again of the shared parts, by position: nothing
/// at the subject's home, nor where this daemon had it read before. A small
/// step a rank keeps the second choice the same in all eyes.
std::vector<double> ReadAgainMs(std::span<const ServerPtr> servers,
                                const Prompt& prompt,
                                const ServicePace& pace) {
  std::vector<double> ms(servers.size(), 0.0);
  const PromptPart* subject = prompt.Subject();
  if (subject == nullptr) {
    return ms;
  }
  const std::vector<std::size_t> ranks = Ranks(servers, *subject);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (ranks[i] == 0) {
      continue;
    }
    const double unread = servers[i]->memory().SharedUnread(prompt);
    const double missed =
        unread > 0 ? Milliseconds(pace.Reading(unread)) + kAwayMs : 0.0;
    ms[i] = missed + kRankStepMs * static_cast<double>(ranks[i]);
  }
  return ms;
}

double ModelScore(TimePoint now,
                  const Server& server,
                  const Prompt& prompt,
                  const ModelCapacity& capacity,
                  const ServicePace& pace,
                  const Topology& map) {
  const double read = Milliseconds(pace.Reading(server.unread_tokens()));
  const double step = kCrowding * Milliseconds(pace.Work()) * server.calls();
  const double slots = std::max(1U, capacity.slots);
  const double over = std::max(0.0, server.calls() + 1 - slots);
  const double memory = static_cast<double>(capacity.memory_tokens);
  const double need = server.tokens() + prompt.tokens_in + prompt.tokens_out;
  const double full = memory > 0 ? std::max(0.0, need / memory - 1.0) : 0.0;
  // A request without a slot or memory waits for another one's whole run.
  const double run = Milliseconds(pace.Run());
  const double own = Milliseconds(pace.FirstEvent(prompt.OwnTokens()));
  return Milliseconds(map.RoundTrip(server.record().data_centre)) +
         (own + read + step) * server.history().Slowness(now) +
         run * (over / slots + full) + TroubleMs(now, server) +
         WarmUpMs(server);
}

}  // namespace

double WavesAt(const Server& server) {
  const double slots = std::max(1U, server.record().slots);
  const double over = std::max(0.0, server.calls() + 1 - slots);
  return 1.0 + over / slots;
}

Choice ChoosePlain(TimePoint now,
                   std::span<const ServerPtr> servers,
                   std::span<const std::string> tried,
                   const ServicePace& pace,
                   const Topology& topology) {
  return Best(servers, tried, [&](std::size_t i) {
    return PlainScore(now, *servers[i], pace, topology);
  });
}

Choice ChooseModel(TimePoint now,
                   std::span<const ServerPtr> servers,
                   std::span<const std::string> tried,
                   const Prompt& prompt,
                   std::span<const PlacedBytes> inputs,
                   const ModelCapacity& capacity,
                   const ServicePace& pace,
                   const Topology& topology) {
  const std::vector<double> reading = ReadAgainMs(servers, prompt, pace);
  return Best(servers, tried, [&](std::size_t i) {
    return ModelScore(now, *servers[i], prompt, capacity, pace, topology) +
           reading[i] +
           AwayMs(inputs, servers[i]->record().data_centre,
                  kModelMsPerMegabyteAway);
  });
}

}  // namespace gentianroute::routing
