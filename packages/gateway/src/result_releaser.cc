#include "gentianroute/gateway/result_releaser.h"

#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute::gateway {
namespace {

/// Releases are sent in batches with this period. It must be far below the time
/// of a stage call, since a server with large results is full after two calls.
constexpr Duration kReleasePeriod = std::chrono::milliseconds(20);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxResultsPerCall = 400;
/// More than a sound server has at a time.
constexpr std::size_t kMaxCallsPerServer = 4;
/// Nobody reads the answers, and a server in trouble may send bytes without
/// end.
constexpr std::size_t kMaxAnswerBytes = 16 * 1024;

}  // namespace

ResultReleaser::ResultReleaser(EventLoop& loop,
                               RelayClient& client,
                               const Translator& translator,
                               ServerNotices& notices)
    : loop_(loop),
      fetches_(loop, client),
      translator_(translator),
      notices_(notices) {
  timer_ = loop_.Every(kReleasePeriod, [this] { Flush(); });
}

ResultReleaser::~ResultReleaser() {
  loop_.Cancel(timer_);
}

void ResultReleaser::Release(std::vector<std::string> results) {
  for (std::string& result : results) {
    const auto holder = translator_.HolderOf(result);
    if (!holder) {
      LogEvent("result_unreadable", LogLevel::kWarning).Field("result", result);
      continue;
    }
    pending_[*holder].push_back(std::move(result));
  }
}

void ResultReleaser::Flush() {
  for (auto& [server, results] : std::exchange(pending_, {})) {
    if (results.size() > kMaxResultsPerCall) {
      LogEvent("releases_dropped", LogLevel::kWarning)
          .Field("server", server.ToString())
          .Field("results", results.size() - kMaxResultsPerCall);
      results.resize(kMaxResultsPerCall);
    }
    if (notices_.IsBackingOff(loop_.Now(), server) ||
        CallsAt(server) >= kMaxCallsPerServer) {
      pending_.emplace(server, std::move(results));
    } else {
      Send(server, std::move(results));
    }
  }
}

void ResultReleaser::Send(const Endpoint& server,
                          std::vector<std::string> results) {
  RelayCall call;
  call.endpoint = server;
  call.message = translator_.ReleaseMessage(server, results);
  call.max_body_bytes = kMaxAnswerBytes;
  ++calls_in_progress_[server];
  // A failed release is not retried, since the results expire within seconds.
  fetches_.Start(
      std::move(call), kCallTimeout,
      [this, server, sent_at = loop_.Now()](const RelayFetchResult& end) {
        OnCallEnd(server);
        notices_.OnAnswerFrom(loop_.Now(), sent_at,
                              translator_.ReadNotice(end.head), server);
        if (!end.complete) {
          LogEvent("release_lost", LogLevel::kWarning);
        }
      });
}

std::size_t ResultReleaser::CallsAt(const Endpoint& server) const {
  const auto calls = calls_in_progress_.find(server);
  return calls == calls_in_progress_.end() ? 0 : calls->second;
}

void ResultReleaser::OnCallEnd(const Endpoint& server) {
  const auto calls = calls_in_progress_.find(server);
  if (--calls->second == 0) {
    calls_in_progress_.erase(calls);
  }
}

}  // namespace gentianroute::gateway
