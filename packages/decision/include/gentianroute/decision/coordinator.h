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

/// @brief Event counts since the coordinator was created.
struct CoordinatorCounters {
  std::uint64_t submitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t hedges = 0;
  std::uint64_t late_answers = 0;     ///< for an attempt that had already ended
  std::uint64_t crossed_answers = 0;  ///< named another attempt's id
  std::uint64_t duplicate_tokens = 0;
  std::uint64_t resumed_streams = 0;
  std::uint64_t joins = 0;
};

/// @brief Runs each request through the stages of its profile.
///
/// Performs no input or output. The owner passes in events with the current
/// time and carries out the actions that TakeActions() returns.
///
/// @example
///   coordinator.SetCatalogue(catalogue);
///   RequestId id = coordinator.Submit(now, wall, std::move(submission));
///   for (Action& action : coordinator.TakeActions()) { ... }
class Coordinator {
 public:
  struct Options {
    std::size_t max_queued = 2048;
    std::size_t max_kept_outcomes = 4096;  ///< outcomes kept to answer joins
    /// A request is refused when the time left to its deadline is less than
    /// this fraction of the expected duration of its remaining stages.
    double min_time_ratio = 0.5;
    std::uint64_t seed = 1;
    RetryBudget::Options retry_budget;
    QueueOrder queue_order = QueueOrder::kFair;
    /// False disables load shedding and the refusal of requests that can't meet
    /// their deadline; used as the baseline of benchmarks.
    bool refuse_early = true;
  };

  /// @param servers,usage,suspects,claims must outlive the coordinator
  Coordinator(Options options,
              ServerTable& servers,
              UsageLedger& usage,
              SuspectTable& suspects,
              ClaimLedger& claims);

  void SetCatalogue(CatalogueRef catalogue);

  /// @brief Accepts a request. Exactly one FinishRequest follows for it,
  /// possibly already in the next result of TakeActions().
  /// @param wall wall-clock time, stored in the claim row
  RequestId Submit(TimePoint now, UnixMicros wall, Submission submission);

  /// @brief Reports that the caller has disconnected. A request with a claim,
  /// or whose effect may have taken place, continues, so that a resend finds
  /// its outcome; any other request is cancelled.
  void OnCallerGone(TimePoint now, RequestId request);

  /// @brief Handles the results of the claim ledger. Must be called after each
  /// event that was passed to the ledger.
  void ProcessClaims(TimePoint now);

  /// @brief Reports the answer to a QueryClaimHolder, or that the daemon is
  /// unreachable (JoinState::kUnknown).
  /// @param token the claim token of the query
  void OnClaimHolderAnswered(TimePoint now,
                             RequestId request,
                             std::string_view token,
                             const JoinOutcome& outcome);
  /// @brief Handles a peer's query for the outcome of a token of this daemon.
  /// AnswerJoin follows as soon as the outcome is known.
  /// @return the id that AnswerJoin will carry
  JoinId Join(TimePoint now, std::string_view token);

  /// @brief Reports that the first byte of a call is about to be written. From
  /// here on the call counts as possibly run.
  void OnWritten(AttemptId attempt);
  void OnAnswer(TimePoint now, AttemptAnswer answer);
  void OnChunk(TimePoint now, AttemptChunk chunk);
  void OnFailure(TimePoint now,
                 AttemptId attempt,
                 AttemptFailure failure,
                 std::string_view detail);

  /// @brief Reports that the list of servers changed or slots may be free.
  void OnServersChanged(TimePoint now);

  /// @brief Runs all timers that are due.
  void Advance(TimePoint now);
  TimePoint NextDue() const;

  std::vector<Action> TakeActions();

  std::size_t active() const { return requests_.size(); }
  std::size_t queued() const;
  const CoordinatorCounters& counters() const { return counters_; }
  const Request* Find(RequestId request) const;

 private:
  /// How often a held request is checked again; see IsHeld().
  static constexpr Duration kHeldRetryInterval = std::chrono::milliseconds(200);

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
  /// A server that gets no new calls, so that it becomes idle and a suspect can
  /// run there alone.
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
  /// @brief Enters the first stage, or refuses the request if the servers of
  /// some stage's pool have not answered for some time.
  void EnterFirstStage(TimePoint now, Request& request);
  const StageSpec* FindFailingStage(TimePoint now, const Request& request);
  void Shed(TimePoint now, std::string_view pool);
  FairQueue::Waiter WaiterOf(const Request& request,
                             const StageSpec& stage) const;
  void BeginClaim(TimePoint now, Request& request, std::uint64_t replaces);
  void OnClaimResult(TimePoint now, const ClaimResult& result);
  void AbandonToken(TimePoint now, Request& request);
  void OnKeyTaken(TimePoint now, Request& request, const ClaimResult& result);
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
  /// Returns the current record of a server that may have been restarted
  /// since `server` was obtained.
  ServerRef CurrentRecordOf(const ServerRef& server) const;
  std::vector<ServerRef> BusyServers() const;
  std::vector<ServerRef> SuspectServers() const;
  /// Returns the servers where a suspect runs, and the one reserved for a
  /// suspect in this pool.
  std::vector<ServerRef> IsolatedServers(TimePoint now,
                                         std::string_view pool) const;
  /// Returns the servers with a call in flight that must not be repeated.
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
  /// Adds received bytes to the billed bytes of the stage if the server is in
  /// another region.
  void CountReceived(const Attempt& attempt, std::uint64_t bytes);
  Attempt RemoveAttempt(AttemptId attempt);
  void CancelAll(Request& request);
  std::string StageInput(const Request& request) const;
  Duration ExpectedRemaining(const Request& request) const;
  Duration ExpectedDuration(const StageSpec& stage) const;

  // Completion.
  void Finish(TimePoint now,
              Request& request,
              std::optional<ErrorKind> error,
              std::string detail,
              std::string body,
              bool replayed);
  void CompleteClaim(TimePoint now,
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
  /// Claim tokens of requests in progress, confirmed or still being claimed.
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
  std::vector<ServerRef> suspect_servers_;  ///< one entry per suspect call
  /// Number of calls in flight, by fingerprint of the request.
  std::unordered_map<Fingerprint, std::uint32_t> running_;
  /// Pools with a slot freed since the last DispatchFreedPools().
  std::set<std::string> freed_pools_;
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_COORDINATOR_H_
