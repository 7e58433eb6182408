#ifndef GENTIANROUTE_ROUTING_SERVER_H_
#define GENTIANROUTE_ROUTING_SERVER_H_

#include <algorithm>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cmath>
#include <cstdint>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/prompt_memory.h"

namespace gentianroute::routing {

/// @brief A backend server as it stands in the host list.
struct ServerRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP number
  std::uint16_t port = 0;
  std::string data_centre;
  std::uint32_t slots = 1;
  bool leaving = false;
  Duration warm_up_left{};  ///< it is slow for this much longer
  std::int64_t born = 0;    ///< start of this incarnation, Unix ms; 0: unknown

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/// @brief Work that daemons have at one server.
struct ServerLoad {
  double calls = 0;          ///< requests sent and not ended
  double tokens = 0;         ///< memory that they will take, in tokens
  double unread_tokens = 0;  ///< of prompts whose first event is awaited

  ServerLoad& operator+=(const ServerLoad& other) {
    calls += other.calls;
    tokens += other.tokens;
    unread_tokens += other.unread_tokens;
    return *this;
  }
  ServerLoad& operator-=(const ServerLoad& other) {
    calls -= other.calls;
    tokens -= other.tokens;
    unread_tokens -= other.unread_tokens;
    return *this;
  }
};

/// @brief How a server has answered lately, as seen from here.
///
/// A server can fail part of its requests, or turn slow, while its health check
/// passes. Only its answers show it, so they are what counts; old ones fade, so
/// that a server which has recovered is tried again.
class ServerHistory {
 public:
  /// Weight of the newest answer in the running means.
  static constexpr double kNewest = 0.2;
  /// A mean loses half of its distance from "well" in this time.
  static constexpr double kFadeSeconds = 3.0;

  /// Bounds on what one answer says of a server's slowness.
  static constexpr double kFastest = 0.3;
  static constexpr double kSlowest = 10.0;

  void OnAnswer(TimePoint now, bool good, double slowness) {
    Fade(now);
    failing_ += kNewest * ((good ? 0.0 : 1.0) - failing_);
    slowness_ +=
        kNewest * (std::clamp(slowness, kFastest, kSlowest) - slowness_);
    if (good) {
      breaks_ = 0;
    }
  }
  /// @brief A connection was refused or broke: the server may be gone.
  void OnBreak(TimePoint now) {
    constexpr std::uint32_t kMostDoublings = 4;
    constexpr Duration kFirstPause = std::chrono::milliseconds(300);
    Fade(now);
    failing_ += kNewest * (1.0 - failing_);
    avoid_until_ = now + kFirstPause * (1 << std::min(breaks_, kMostDoublings));
    ++breaks_;
  }

  bool IsAvoided(TimePoint now) const { return now < avoid_until_; }
  /// @return share of calls that fail, 0 to 1
  double Failing(TimePoint now) const { return failing_ * Kept(now); }
  /// @return time of an answer against what was expected; 1 is as expected
  double Slowness(TimePoint now) const {
    return 1.0 + (slowness_ - 1.0) * Kept(now);
  }

 private:
  double Kept(TimePoint now) const {
    return std::exp2(-Seconds(now - seen_) / kFadeSeconds);
  }
  void Fade(TimePoint now) {
    failing_ = Failing(now);
    slowness_ = Slowness(now);
    seen_ = now;
  }

  double failing_ = 0;
  double slowness_ = 1;
  std::uint32_t breaks_ = 0;
  TimePoint seen_{};
  TimePoint avoid_until_{};
};

/// @brief One incarnation of a backend server. Calls in flight hold it by
/// count, so it outlives its place in the list.
class Server
    : public boost::intrusive_ref_counter<Server,
                                          boost::thread_unsafe_counter> {
 public:
  explicit Server(ServerRecord record) : record_(std::move(record)) {}

  const ServerRecord& record() const { return record_; }
  void SetRecord(ServerRecord record) { record_ = std::move(record); }
  /// @brief Whether it may get new work.
  bool open() const { return listed_ && !record_.leaving; }
  bool listed() const { return listed_; }
  void Unlist() { listed_ = false; }

  ServerLoad& own() { return own_; }
  const ServerLoad& own() const { return own_; }
  ServerLoad& peers() { return peers_; }
  double calls() const { return own_.calls + peers_.calls; }
  double tokens() const { return own_.tokens + peers_.tokens; }
  double unread_tokens() const {
    return own_.unread_tokens + peers_.unread_tokens;
  }

  ServerHistory& history() { return history_; }
  const ServerHistory& history() const { return history_; }
  PromptMemory& memory() { return memory_; }
  const PromptMemory& memory() const { return memory_; }

  /// @brief Bytes of an answer came from it. One slow answer says little of a
  /// server that is heard otherwise.
  void OnHeard(TimePoint now) { heard_ = now; }
  bool HeardSince(TimePoint then) const { return heard_ >= then; }

 private:
  ServerRecord record_;
  bool listed_ = true;
  ServerLoad own_;
  ServerLoad peers_;  ///< as the peers told last
  ServerHistory history_;
  PromptMemory memory_;
  TimePoint heard_{};
};
using ServerPtr = boost::intrusive_ptr<Server>;

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_H_
