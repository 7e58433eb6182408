#ifndef GENTIANROUTE_DECISION_COORDINATOR_H_
#define GENTIANROUTE_DECISION_COORDINATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianroute/decision/action.h"
#include "gentianroute/decision/attempt.h"
#include "gentianroute/decision/catalogue.h"
#include "gentianroute/decision/claim_ledger.h"
#include "gentianroute/decision/fair_queue.h"
#include "gentianroute/decision/pool_health.h"
#include "gentianroute/decision/request.h"
#include "gentianroute/decision/retry_budget.h"
#include "gentianroute/decision/server_table.h"
#include "gentianroute/decision/suspect_table.h"
#include "gentianroute/decision/usage_ledger.h"
#include "gentianroute/decision/wait_estimator.h"

namespace gentianroute {

/// @brief What the coordinator has counted since its start.
struct CoordinatorCounters {
  std::uint64_t submitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t hedges = 0;
  std::uint64_t late_answers = 0;     ///< for an attempt already settled
  std::uint64_t crossed_answers = 0;  ///< with another attempt's id
  std::uint64_t duplicate_tokens = 0;
  std::uint64_t resumed_streams = 0;
  std::uint64_t joins = 0;
};

/// @brief Takes requests through their stages. No input or output: an event
/// and the present time go in, actions come out of TakeActions().
///
/// @example
///   coordinator.SetCatalogue(catalogue);
///   RequestId id = coordinator.Submit(now, wall, std::move(submission));
///   for (Action& action : coordinator.TakeActions()) { ... }
class Coordinator {
 public:
  struct Options {
    std::size_t max_queued = 2048;
    std::size_t max_kept_outcomes = 4096;  ///< outcomes kept for joins
    /// Share of the expected time that must be left for a start to make sense.
    double min_time_ratio = 0.5;
    std::uint64_t seed = 1;
    RetryBudget::Options retry_budget;
    QueueOrder queue_order = QueueOrder::kFair;
    bool refuse_early = true;  ///< false: the baseline without early refusals
  };

  /// @param servers,usage,suspects,claims outlive the coordinator
  Coordinator(Options options,
              ServerTable& servers,
              UsageLedger& usage,
              SuspectTable& suspects,
              ClaimLedger& claims);

  void SetCatalogue(CatalogueRef catalogue);

  /// @brief Takes a request in. Its one FinishRequest may be among the actions
  /// at once.
  /// @param wall only for the claim row
  RequestId Submit(TimePoint now, UnixMicros wall, Submission submission);

  /// @brief Nobody reads the answer any more. A request with a claim runs on,
  /// so that its resend finds an outcome; any other is cancelled.
  void OnCallerGone(TimePoint now, RequestId request);

  /// @brief Call after the claim ledger was fed.
  void ProcessClaims(TimePoint now);

  /// @brief The daemon asked by QueryClaimHolder has answered, or can't be
  /// reached.
  /// @param token that was asked about
  void OnClaimHolderAnswered(TimePoint now,
                             RequestId request,
                             std::string_view token,
                             const JoinOutcome& outcome);
  /// @brief A peer asks about a token of this daemon; AnswerJoin follows.
  JoinId Join(TimePoint now, std::string_view token);

  /// @brief The first byte of a call is about to be written.
  void OnWritten(AttemptId attempt);
  void OnAnswer(TimePoint now, AttemptAnswer answer);
  void OnChunk(TimePoint now, AttemptChunk chunk);
  void OnFailure(TimePoint now,
                 AttemptId attempt,
                 AttemptFailure failure,
                 std::string_view detail);

  /// @brief Servers came or went, or slots may have become free.
  void OnServersChanged(TimePoint now);

  /// @brief Does what has come due.
  void Advance(TimePoint now);
  TimePoint NextDue() const;

  std::vector<Action> TakeActions();

  std::size_t active() const { return requests_.size(); }
  std::size_t queued() const;
  const CoordinatorCounters& counters() const { return counters_; }
  const Request* Find(RequestId request) const;

 private:
  /// How often a request that waits for proof of a crash is looked at again.
  static constexpr Duration kAccusedRetryInterval =
      std::chrono::milliseconds(200);

  enum class TimerKind : std::uint8_t {
    kDeadline,
    kLatestStart,
    kNextByteTimeout,
    kHedge,
    kBackOff,
    kIsolation,
  };
  struct Timer {
    TimePoint due;
    TimerKind kind;
    std::uint64_t id;
    bool operator>(const Timer& other) const { return due > other.due; }
  };
  struct FinishedClaim {
    std::string token;
    JoinOutcome outcome;
  };
  /// A server that others leave alone until a suspect can run there by itself.
  struct Reservation {
    ServerRef server;
    RequestId holder;
  };
  struct JoinWaiters {
    std::vector<RequestId> requests;
    std::vector<JoinId> peers;
  };
  using TimerHandler = void (Coordinator::*)(TimePoint, std::uint64_t);

  // Submission and claims.
  void Admit(TimePoint now, Request& request);
  std::optional<ErrorKind> CheckAdmission(TimePoint now,
                                          const Request& request,
                                          std::string& detail);
  bool WouldWaitTooLong(TimePoint now, const Request& request);
  /// @brief Enters the first stage, unless some stage's pool answers nobody.
  void Begin(TimePoint now, Request& request);
  const StageSpec* FindFailingStage(TimePoint now, const Request& request);
  void Shed(TimePoint now, std::string_view pool);
  FairQueue::Waiter WaiterOf(const Request& request,
                             const StageSpec& stage) const;
  void BeginClaim(TimePoint now, Request& request, std::uint64_t replaces);
  void OnClaimResult(TimePoint now, const ClaimResult& verdict);
  void AbandonToken(TimePoint now, Request& request);
  void OnKeyTaken(TimePoint now, Request& request, const ClaimResult& verdict);
  void FinishJoined(TimePoint now,
                    Request& request,
                    const JoinOutcome& outcome);
  JoinOutcome FindOutcome(std::string_view token) const;

  // Stages and calls.
  void EnterStage(TimePoint now, Request& request);
  void Enqueue(TimePoint now, Request& request);
  void Dispatch(TimePoint now, std::string_view pool);
  bool TryPickServer(TimePoint now, Request& request, ServerRef& server);
  bool TryPickServerForSuspect(TimePoint now,
                               Request& request,
                               PickContext& context,
                               ServerRef& server);
  bool Pick(TimePoint now,
            PickContext& context,
            const std::vector<ServerRef>& avoid,
            ServerRef& server);
  const Reservation* ReservationAt(TimePoint now, std::string_view pool) const;
  void StartReserved(TimePoint now, std::string_view pool, FairQueue& queue);
  void ArmIsolationTimer(Request& request);
  PickContext ContextOf(TimePoint now, const Request& request);
  void BackOff(TimePoint now, Request& request);
  bool CanRunMoreSuspects(std::string_view pool) const;
  bool IsHeld(TimePoint now, const Request& request) const;
  bool MustRefuse(TimePoint now, const Request& request) const;
  void Refuse(TimePoint now, RequestId request);
  /// The record in force of a server that may have been restarted since.
  ServerRef CurrentRecordOf(const ServerRef& server) const;
  std::vector<ServerRef> BusyServers() const;
  std::vector<ServerRef> SuspectServers() const;
  /// Those where a suspect runs, or is about to run, by itself.
  std::vector<ServerRef> IsolatedServers(TimePoint now,
                                         std::string_view pool) const;
  /// Those with a call that could not be made again.
  std::vector<ServerRef> ServersWithUnrepeatableCalls() const;
  void CancelOthers(Request& request, AttemptId winner);
  void DispatchFreedPools(TimePoint now);
  void Start(TimePoint now, Request& request, ServerRef server);
  void CompleteStage(TimePoint now,
                     Request& request,
                     std::string result,
                     const AttemptAnswer& answer,
                     const Attempt& attempt);
  void Retry(TimePoint now,
             Request& request,
             AttemptFailure failure,
             std::string_view detail);
  RetryBudget& RetryBudgetOf(const std::string& pool);
  ErrorKind KindOfFailure(const Request& request) const;
  void OnReset(TimePoint now, const Attempt& attempt);
  void OnCrash(TimePoint now, const Server& server);
  void MarkRunningDuplicates(const std::set<Fingerprint>& suspects);
  void OnServerResponding(TimePoint now, Attempt& attempt);
  /// Adds what came back of a call to what its stage is billed for.
  void CountReceived(const Attempt& attempt, std::uint64_t bytes);
  Attempt RemoveAttempt(AttemptId attempt);
  void CancelAll(Request& request);
  std::string StageInput(const Request& request) const;
  Duration ExpectedRemaining(const Request& request) const;
  Duration ExpectedDuration(const StageSpec& stage) const;

  // Ends.
  void Finish(TimePoint now,
              Request& request,
              std::optional<ErrorKind> error,
              std::string detail,
              std::string body,
              bool replayed);
  void SettleClaim(TimePoint now,
                   const Request& request,
                   std::optional<ErrorKind> error,
                   const std::string& body);
  void RecordOutcome(TimePoint now,
                     const std::string& token,
                     const JoinOutcome& outcome);

  // Timers.
  void Arm(TimePoint due, TimerKind kind, std::uint64_t id);
  void OnDeadline(TimePoint now, std::uint64_t request);
  void OnLatestStart(TimePoint now, std::uint64_t request);
  void OnNextByteTimeout(TimePoint now, std::uint64_t attempt);
  void OnHedge(TimePoint now, std::uint64_t attempt);
  void OnBackOff(TimePoint now, std::uint64_t request);
  void OnIsolationTimeout(TimePoint now, std::uint64_t request);

  Options options_;
  ServerTable& servers_;
  UsageLedger& usage_;
  SuspectTable& suspects_;
  ClaimLedger& claims_;
  Rng rng_;
  CatalogueRef catalogue_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<const Server*, AttemptList> attempts_by_server_;
  std::map<std::string, FairQueue, std::less<>> queues_;
  std::map<std::string, RetryBudget, std::less<>> budgets_;
  std::map<std::string, WaitEstimator, std::less<>> wait_estimators_;
  std::map<std::string, PoolHealth, std::less<>> pool_health_;
  std::unordered_map<std::string, Duration> mean_call_durations_;
  /// Tokens of requests in progress, standing or still being claimed.
  std::map<std::string, RequestId, std::less<>> live_tokens_;
  std::map<std::string, JoinWaiters, std::less<>> joins_;
  std::deque<FinishedClaim> finished_claims_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::vector<Action> actions_;
  CoordinatorCounters counters_;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_join_ = 1;
  std::map<std::string, Reservation, std::less<>> reservations_;  ///< by pool
  std::vector<ServerRef> suspect_servers_;  ///< one per suspect in flight
  std::unordered_map<Fingerprint, std::uint32_t> running_;  ///< calls in flight
  std::set<std::string> freed_pools_;  ///< a slot came free; not yet offered
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_COORDINATOR_H_
