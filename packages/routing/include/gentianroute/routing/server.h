#ifndef GENTIANROUTE_ROUTING_SERVER_H_
#define GENTIANROUTE_ROUTING_SERVER_H_

#include <algorithm>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cmath>
#include <cstdint>
#include <string>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/prompt_cache.h"
#include "gentianroute/routing/request_limit.h"
#include "gentianroute/routing/server_backoff.h"
#include "gentianroute/routing/server_pace.h"
#include "gentianroute/routing/warm_up.h"

namespace gentianroute::routing {

/// @brief A backend server as described by its entry in the host list.
struct ServerRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP address
  std::uint16_t port = 0;
  std::string data_centre;
  std::string software_version;  ///< has no order; empty if unknown
  std::uint32_t slots = 1;
  bool leaving = false;
  Duration warm_up_left{};  ///< time that it stays cold; 0: it is warm
  std::int64_t started_at_unix_ms = 0;  ///< 0 if unknown

  /// @brief Tells this start of the server from its others.
  std::uint64_t incarnation() const {
    return static_cast<std::uint64_t>(started_at_unix_ms);
  }

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/// @brief Load that daemons have placed on one server.
struct ServerLoad {
  double calls = 0;   ///< requests in flight
  double tokens = 0;  ///< memory that these requests need, in tokens
  double pending_prefill_tokens = 0;  ///< in prompts without a first event

  ServerLoad& operator+=(const ServerLoad& other) {
    calls += other.calls;
    tokens += other.tokens;
    pending_prefill_tokens += other.pending_prefill_tokens;
    return *this;
  }
  ServerLoad& operator-=(const ServerLoad& other) {
    calls -= other.calls;
    tokens -= other.tokens;
    pending_prefill_tokens -= other.pending_prefill_tokens;
    return *this;
  }
};

/// @brief Recent behaviour of a server as observed by this daemon.
///
/// A server can fail a share of its requests or slow down while its health
/// check passes, so only its answers are evaluated. Old observations decay, so
/// that a recovered server is tried again.
class ServerHistory {
 public:
  /// Weight of the newest answer in the moving averages.
  static constexpr double kNewestWeight = 0.2;
  /// Time in which an average moves half-way back to that of a healthy server.
  static constexpr double kHalfLifeSeconds = 3.0;

  /// Bounds on the slowness taken from one answer.
  static constexpr double kMinSlowness = 0.3;
  static constexpr double kMaxSlowness = 10.0;

  void OnAnswer(TimePoint now, bool succeeded, double slowness) {
    Decay(now);
    failure_rate_ += kNewestWeight * ((succeeded ? 0.0 : 1.0) - failure_rate_);
    slowness_ += kNewestWeight *
                 (std::clamp(slowness, kMinSlowness, kMaxSlowness) - slowness_);
    if (succeeded) {
      consecutive_failures_ = 0;
    }
  }
  /// @brief Records a refused or broken connection, or silence: the server may
  /// be down, and is avoided for a time that doubles with each failure.
  void OnConnectionFailure(TimePoint now) {
    constexpr std::uint32_t kMaxDoublings = 4;
    constexpr Duration kFirstBackoff = std::chrono::milliseconds(300);
    Decay(now);
    failure_rate_ += kNewestWeight * (1.0 - failure_rate_);
    avoid_until_ = now + kFirstBackoff * (1 << std::min(consecutive_failures_,
                                                        kMaxDoublings));
    ++consecutive_failures_;
  }

  /// @brief Forgets all failures, because the link was at fault.
  void ForgetFailures() {
    failure_rate_ = 0;
    consecutive_failures_ = 0;
    avoid_until_ = {};
  }

  bool IsAvoided(TimePoint now) const { return now < avoid_until_; }
  /// @return share of calls that fail, 0 to 1
  double FailureRate(TimePoint now) const {
    return failure_rate_ * DecayFactor(now);
  }
  /// @return ratio of actual to expected answer time
  double Slowness(TimePoint now) const {
    return 1.0 + (slowness_ - 1.0) * DecayFactor(now);
  }

 private:
  double DecayFactor(TimePoint now) const {
    return std::exp2(-Seconds(now - updated_at_) / kHalfLifeSeconds);
  }
  void Decay(TimePoint now) {
    failure_rate_ = FailureRate(now);
    slowness_ = Slowness(now);
    updated_at_ = now;
  }

  double failure_rate_ = 0;
  double slowness_ = 1;
  std::uint32_t consecutive_failures_ = 0;
  TimePoint updated_at_{};
  TimePoint avoid_until_{};
};

/// @brief One incarnation of a backend server. Reference-counted, since calls
/// in flight may outlive its entry in the host list.
class Server
    : public boost::intrusive_ref_counter<Server,
                                          boost::thread_unsafe_counter> {
 public:
  explicit Server(ServerRecord record) : record_(std::move(record)) {}

  const ServerRecord& record() const { return record_; }
  /// @brief Updates the record. A server that leaves never takes new work
  /// again, whatever a later entry says.
  void SetRecord(ServerRecord record) {
    record.leaving |= record_.leaving;
    record_ = std::move(record);
  }
  void SetLeaving() { record_.leaving = true; }
  /// @brief Whether it may receive new work.
  bool open() const { return listed_ && !record_.leaving; }
  bool listed() const { return listed_; }
  void Unlist() { listed_ = false; }
  void Relist() { listed_ = true; }

  ServerLoad& own() { return own_; }
  const ServerLoad& own() const { return own_; }
  ServerLoad& peers() { return peers_; }
  double calls() const { return own_.calls + peers_.calls; }
  double tokens() const { return own_.tokens + peers_.tokens; }
  double pending_prefill_tokens() const {
    return own_.pending_prefill_tokens + peers_.pending_prefill_tokens;
  }

  ServerHistory& history() { return history_; }
  const ServerHistory& history() const { return history_; }
  ServerPace& pace() { return pace_; }
  const ServerPace& pace() const { return pace_; }
  WarmUp& warm_up() { return warm_up_; }
  const WarmUp& warm_up() const { return warm_up_; }
  RequestLimit& request_limit() { return request_limit_; }
  const RequestLimit& request_limit() const { return request_limit_; }
  ServerBackoff& backoff() { return backoff_; }
  const ServerBackoff& backoff() const { return backoff_; }
  PromptCache& prompt_cache() { return prompt_cache_; }
  const PromptCache& prompt_cache() const { return prompt_cache_; }

  /// @brief Records that this daemon sends a request or a call.
  void OnSent(TimePoint now) {
    warm_up_.OnSent(now);
    request_limit_.OnSent(now);
    backoff_.OnSent(now);
  }
  /// @brief Records that bytes of any answer arrived. A server that sends to
  /// other callers is up, even if one answer is slow.
  void OnBytesReceived(TimePoint now) { last_received_ = now; }
  /// @brief Records that it has turned a request of this daemon away.
  void OnRejected(TimePoint now) { last_rejected_ = now; }
  bool WasRejectedSince(TimePoint then) const {
    return last_rejected_ != TimePoint{} && last_rejected_ >= then;
  }
  bool HasReceivedSince(TimePoint then) const { return last_received_ >= then; }

 private:
  ServerRecord record_;
  bool listed_ = true;
  ServerLoad own_;
  ServerLoad peers_;  ///< as last reported by the peers
  ServerHistory history_;
  ServerPace pace_;
  WarmUp warm_up_;
  RequestLimit request_limit_;
  ServerBackoff backoff_;
  PromptCache prompt_cache_;
  TimePoint last_received_{};
  TimePoint last_rejected_{};  ///< zero: never
};
using ServerPtr = boost::intrusive_ptr<Server>;

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SERVER_H_
