#include "gentianroute/routing/server_choice.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

#include "gentianroute/decision/rendezvous.h"

namespace gentianroute::routing {
namespace {

/// Expected cost of a failure: a second call and the delay for the caller.
constexpr double kFailureCostMs = 600.0;
/// Increase of the time to the first event by each running stream, as a share
/// of the time at an idle server.
constexpr double kStreamDelayShare = 0.006;
/// Large enough that a server with a recent connection failure is used only if
/// no other server can be, whatever their queues.
constexpr double kAvoidedPenaltyMs = 5000.0;
/// Added to the prefill time of shared parts at servers other than the home of
/// a subject, so that small changes of load do not split a subject over two
/// servers.
constexpr double kNotHomePenaltyMs = 15.0;
constexpr double kRankStepMs = 1.5;
/// A server is slow if its events take more than this multiple of the average.
/// Smaller differences must not move subjects: estimates of daemons differ, and
/// each move costs another prefill of the subject.
constexpr double kSlowPace = 1.45;

bool WasTried(std::span<const std::string> tried, const Server& server) {
  return std::find(tried.begin(), tried.end(), server.record().id) !=
         tried.end();
}

double FailurePenaltyMs(TimePoint now, const Server& server) {
  const ServerHistory& history = server.history();
  return (history.IsAvoided(now) ? kAvoidedPenaltyMs : 0.0) +
         history.FailureRate(now) * kFailureCostMs;
}

double WarmUpPenaltyMs(TimePoint now, const Server& server) {
  // A cold server is slow but usable; a call is expected to lose a tenth of the
  // remaining time.
  constexpr double kShare = 0.1;
  return kShare * Milliseconds(server.warm_up().TimeLeft(now));
}

/// The servers to which the request may go, whatever their state.
std::vector<ServerPtr> ServersInReach(std::span<const ServerPtr> servers,
                                      const Placement& placement,
                                      PlacementCounts& verdicts) {
  std::vector<ServerPtr> in_reach;
  in_reach.reserve(servers.size());
  for (const ServerPtr& server : servers) {
    const PlacementVerdict verdict = placement.Check(server->record());
    if (verdict == PlacementVerdict::kAccepted) {
      in_reach.push_back(server);
    } else if (server->open()) {
      ++verdicts[static_cast<std::size_t>(verdict)];
    }
  }
  return in_reach;
}

/// The usable server with the lowest score. The score is in milliseconds and
/// takes the position of a server.
/// @param verdicts on servers that are not among these
template <typename Score>
ServerChoice BestServer(TimePoint now,
                        std::span<const ServerPtr> servers,
                        const Placement& placement,
                        std::span<const std::string> tried,
                        const Score& score,
                        const PlacementCounts& verdicts = {}) {
  ServerChoice best{nullptr, std::numeric_limits<double>::max(), verdicts};
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (!servers[i]->open() || WasTried(tried, *servers[i])) {
      continue;
    }
    const PlacementVerdict verdict = placement.Check(now, *servers[i]);
    ++best.verdicts[static_cast<std::size_t>(verdict)];
    if (verdict != PlacementVerdict::kAccepted) {
      continue;
    }
    const double ms = score(i);
    if (ms < best.score_ms) {
      best.server = servers[i];
      best.score_ms = ms;
    }
  }
  return best;
}

double PlainScore(TimePoint now,
                  const Server& server,
                  const ServiceTimeEstimate& estimate,
                  const Topology& topology) {
  const double slots = std::max(1U, server.record().slots);
  const double service_ms =
      Milliseconds(estimate.ServiceTime()) * server.history().Slowness(now);
  const double busy = server.calls() / slots;
  return Milliseconds(topology.RoundTrip(server.record().data_centre)) +
         service_ms * WavesAt(server) + busy + FailurePenaltyMs(now, server) +
         WarmUpPenaltyMs(now, server);
}

/// Rank of each server in the rendezvous hash of a subject, by position; the
/// home has rank 0.
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

/// Time to prefill the shared parts that each server lacks, by position. None
/// at the home of the subject, nor where this daemon has sent these parts
/// before. A small penalty for each rank makes all daemons prefer the same
/// second choice.
std::vector<double> SharedPrefillMs(std::span<const ServerPtr> servers,
                                    const Prompt& prompt,
                                    const ServiceTimeEstimate& estimate) {
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
    const double uncached =
        servers[i]->prompt_cache().UncachedSharedTokens(prompt);
    const double penalty =
        uncached > 0
            ? Milliseconds(estimate.PrefillTime(uncached)) + kNotHomePenaltyMs
            : 0.0;
    ms[i] = penalty + kRankStepMs * static_cast<double>(ranks[i]);
  }
  return ms;
}

/// Observations of all servers together.
PaceSample AveragePace(TimePoint now, std::span<const ServerPtr> servers) {
  PaceSample average;
  for (const ServerPtr& server : servers) {
    average += server->pace().All(now);
  }
  return average;
}

/// Time from the first to the last event at a server of average pace.
Duration ExpectedStreamTime(const Prompt& prompt,
                            const ServiceTimeEstimate& estimate) {
  const double tokens = std::min(prompt.tokens_expected, prompt.tokens_out);
  return tokens > 0 ? estimate.DecodeTime(tokens) : estimate.StreamTime();
}

/// @param pace time of an event at the server, as a multiple of the average
double ModelScore(TimePoint now,
                  const Server& server,
                  double pace,
                  const Prompt& prompt,
                  const ModelCapacity& capacity,
                  const ServiceTimeEstimate& estimate,
                  const Topology& topology) {
  const double prefill_queue =
      Milliseconds(estimate.PrefillTime(server.pending_prefill_tokens()));
  const double stream_delay =
      kStreamDelayShare * Milliseconds(estimate.ServiceTime()) * server.calls();
  const double slots = std::max(1U, capacity.slots);
  const double excess_calls = std::max(0.0, server.calls() + 1 - slots);
  const double memory_tokens = static_cast<double>(capacity.memory_tokens);
  const double needed_tokens =
      server.tokens() + prompt.tokens_in + prompt.tokens_out;
  const double memory_excess =
      memory_tokens > 0 ? std::max(0.0, needed_tokens / memory_tokens - 1.0)
                        : 0.0;
  // A request that gets no slot or memory waits for another one to end.
  const double stream_time = Milliseconds(estimate.StreamTime());
  const double own_prefill =
      Milliseconds(estimate.TimeToFirstEvent(prompt.OwnTokens()));
  // A slow server pauses longer between events, and ends a long stream after
  // its deadline.
  const double extra_stream_time =
      pace < kSlowPace
          ? 0.0
          : Milliseconds(ExpectedStreamTime(prompt, estimate)) * (pace - 1.0);
  return Milliseconds(topology.RoundTrip(server.record().data_centre)) +
         (own_prefill + prefill_queue + stream_delay) * pace *
             server.history().Slowness(now) +
         extra_stream_time +
         stream_time * (excess_calls / slots + memory_excess) +
         FailurePenaltyMs(now, server) + WarmUpPenaltyMs(now, server);
}

}  // namespace

double WavesAt(const Server& server) {
  const double slots = std::max(1U, server.record().slots);
  const double excess_calls = std::max(0.0, server.calls() + 1 - slots);
  return 1.0 + excess_calls / slots;
}

ServerChoice ChoosePlainServer(TimePoint now,
                               std::span<const ServerPtr> servers,
                               const Placement& placement,
                               std::span<const std::string> tried,
                               const ServiceTimeEstimate& estimate,
                               const Topology& topology) {
  return BestServer(now, servers, placement, tried, [&](std::size_t i) {
    return PlainScore(now, *servers[i], estimate, topology);
  });
}

ServerChoice ChooseModelServer(TimePoint now,
                               std::span<const ServerPtr> servers,
                               const Placement& placement,
                               std::span<const std::string> tried,
                               const Prompt& prompt,
                               std::span<const PlacedBytes> inputs,
                               const ModelCapacity& capacity,
                               const ServiceTimeEstimate& estimate,
                               const Topology& topology) {
  // The home of a subject is one of the servers that its requests may use.
  PlacementCounts verdicts{};
  const std::vector<ServerPtr> in_reach =
      ServersInReach(servers, placement, verdicts);
  const std::vector<double> prefill_ms =
      SharedPrefillMs(in_reach, prompt, estimate);
  const PaceSample average = AveragePace(now, in_reach);
  const auto pace = [&](const Server& server) {
    return ServerPace::Factor(server.pace().All(now), average);
  };
  const auto score = [&](std::size_t i) {
    return ModelScore(now, *in_reach[i], pace(*in_reach[i]), prompt, capacity,
                      estimate, topology) +
           prefill_ms[i] +
           TransferCostMs(inputs, in_reach[i]->record().data_centre,
                          kModelTransferMsPerMegabyte);
  };
  ServerChoice choice =
      BestServer(now, in_reach, placement, tried, score, verdicts);
  if (choice.server != nullptr) {
    choice.pace = pace(*choice.server);
  }
  return choice;
}

}  // namespace gentianroute::routing
