#ifndef GENTIANROUTE_GATEWAY_REQUEST_FLOW_H_
#define GENTIANROUTE_GATEWAY_REQUEST_FLOW_H_

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gentianroute/admission/memory_account.h"
#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/id.h"
#include "gentianroute/decision/suspect_parts.h"
#include "gentianroute/decision/suspect_table.h"
#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/handed_request.h"
#include "gentianroute/gateway/reach_monitor.h"
#include "gentianroute/gateway/request_recorder.h"
#include "gentianroute/gateway/retry_budgets.h"
#include "gentianroute/gateway/server_notices.h"
#include "gentianroute/gateway/stage_router.h"
#include "gentianroute/gateway/stream_origin_lookup.h"
#include "gentianroute/gateway/stream_registry.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/loop/relay_server.h"
#include "gentianroute/routing/drain_times.h"
#include "gentianroute/routing/event_framer.h"
#include "gentianroute/routing/event_pace.h"
#include "gentianroute/routing/placement.h"
#include "gentianroute/routing/request_weight.h"
#include "gentianroute/routing/route_table.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/stage_plan.h"

namespace gentianroute::gateway {

/// @brief Objects that all requests of one daemon use.
struct FlowContext {
  EventLoop& loop;
  RelayClient& client;
  const Translator& translator;
  routing::ServerDirectory& servers;
  const routing::Topology& topology;
  routing::PlacementRules& placement_rules;
  StageRouter& stage_router;
  Cluster& cluster;
  ReachMonitor& reach;
  StreamRegistry& streams;
  RetryBudgets& retry_budgets;
  routing::ServiceTimeEstimates& service_times;
  routing::RequestWeights& weights;
  SuspectTable& suspects;
  SuspectParts& suspect_parts;
  RequestRecorder& recorder;
  ServerNotices& notices;
  const routing::DrainTimes& drain_times;
  admission::MemoryAccount& memory;
};

/// @brief One caller's request: runs its stages, sends it to a backend server
/// and relays the answer.
///
/// Reference-counted: it owns itself until it has been answered, and callbacks
/// in progress keep it alive until they return.
class RequestFlow
    : public boost::intrusive_ref_counter<RequestFlow,
                                          boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  using Ptr = boost::intrusive_ptr<RequestFlow>;
  using List =
      boost::intrusive::list<RequestFlow,
                             boost::intrusive::constant_time_size<false>>;

  /// @brief Starts a request, which lives until it has been answered.
  /// @param table null if no configuration is known yet
  /// @param all list of the requests in progress, to which it is added
  /// @param progress not initial if a peer has handed the request over
  /// @param on_source called before the answer of a server begins
  static void Begin(FlowContext& context,
                    RelayExchangePtr exchange,
                    routing::RouteTablePtr table,
                    List& all,
                    const RequestProgress& progress = {},
                    OnAnswerSource on_source = nullptr);
  ~RequestFlow();

  /// @brief Applies the permitted regions of a newer deployment. Those that the
  /// request started with stay in force too, since its caller expects them.
  void OnDeploymentChanged(const routing::RouteTable& table);
  /// @brief This daemon is cut off from the servers: hands the request to a
  /// peer, unless a server may already be running it.
  void OnCutOff();
  /// @brief Ends the request because the daemon stops, with an answer that says
  /// whether it may have run.
  void OnShutdown();

 private:
  /// A server that crashes under a request does so at the start of its answer.
  /// After this many events it no longer will.
  static constexpr std::size_t kMinProvingEvents = 8;

  class Attempt;
  class ServerAttempt;
  class PeerAttempt;

  RequestFlow(FlowContext& context,
              RelayExchangePtr exchange,
              routing::RouteTablePtr table,
              List& all,
              const RequestProgress& progress,
              OnAnswerSource on_source);

  /// Checks whether the request can be accepted.
  /// @return the error to refuse it with, if any
  std::optional<ErrorKind> Admit();
  std::optional<ErrorKind> CheckKey();
  /// Refuses the request if so many servers that ran it, or requests with a
  /// part of its prompt, have crashed that it may be the cause.
  bool RefuseIfCrashing();
  /// Refuses the request if it may not go to any server.
  bool RefuseIfNoPlace();
  /// Refuses the request if its stages have no servers or can't finish before
  /// StagesDeadline().
  bool RefuseIfStagesLate();
  /// Refuses the request if all its servers have asked for a backoff that ends
  /// after its stages.
  bool RefuseIfBackedOff();
  /// Refuses the request if the daemon drains and may stop before the answer.
  bool RefuseIfDraining();
  /// Refuses a request that has waited for its stages or for a server for so
  /// long that the daemon stops before it can have the answer.
  bool RefuseIfTooLateToSend();
  /// Usual time from sending the request to the end of its answer.
  Duration ExpectedAnswerTime() const;
  /// What is known of the end of the answer.
  /// @param stage_time until the request will be sent
  routing::AnswerTimes TimesOfAnswer(Duration stage_time) const;
  void RecordAdmission();
  void Start();
  /// Continues with a request whose origin is known if it takes up a stream.
  void StartHere();

  /// Whether the caller has part of the answer already.
  bool TakesUpStream() const;
  /// Identifies the stream over all requests of its caller.
  const std::string& StreamId() const;
  /// Asks the peers which servers began the stream.
  void LookUpOrigin();
  /// Binds the request to the servers that began its stream.
  /// @return false if the route doesn't lead to their service any more
  bool BindTo(const routing::StreamOrigin& origin);
  /// Records the origin of a stream whose first bytes the caller is about to
  /// get.
  void OnStreamBegun(const routing::StreamOrigin& origin);
  /// Starts the stages that are ready, or sends the request to its server if
  /// all are done.
  void Advance();
  void RunStage(std::uint32_t stage);
  /// Locations and sizes of the results of some stages.
  /// @param reading_pieces number of pieces that read them
  std::vector<routing::PlacedBytes> PlacedResults(
      std::span<const std::uint32_t> stages,
      std::uint32_t reading_pieces) const;
  void OnStageEnd(std::uint32_t stage, StageOutcome outcome);
  void OnStageFailure(std::uint32_t stage, const GroupOutcome& outcome);
  /// @param room_in until room is foreseen; 0: unknown
  void RefuseLateStage(Duration room_in);

  /// Hands the request to a peer that reaches the servers, if this daemon
  /// doesn't.
  /// @return false if this daemon has to run it itself
  bool HandToPeer();
  /// Hands a request that is bound to the servers which began its stream, and
  /// that this daemon can't send to any of them now, to the first sender of one
  /// of them: they may take requests from few daemons only.
  /// @return false if there is no such peer
  bool HandToSender();
  /// Hands a request whose servers take no more from this daemon now, but may
  /// take some from others, to one of their other senders: the shares of a
  /// limit are even, whereas most callers may have come to this daemon.
  /// @return false if there is no such peer
  bool HandToOtherSender(const routing::ServerChoice& choice);
  /// Returns the peer to send to a server; null if there is none.
  using SenderOf =
      std::function<const Membership::Peer*(const routing::ServerRecord&)>;
  /// Hands the request to the sender of the first open server that has one.
  bool HandToSenderOfAny(const SenderOf& sender_of);
  /// One of the peers that may send to a server, by the id of the request.
  const Membership::Peer* OtherSenderOf(
      const routing::ServerRecord& server) const;
  void HandTo(const Membership::Peer& peer);
  HandedRequest HandedToPeer() const;
  /// The last event that the caller has; empty if none.
  const std::string& ResumePosition() const;
  /// Records the time of the first byte for the caller, if it is the first.
  void RecordFirstByte(TimePoint now);
  /// Whether a data centre has an open server of the request's service.
  bool HasServerIn(std::string_view data_centre) const;
  /// Whether the servers get requests from daemons beside them only, and this
  /// daemon is beside none.
  bool IsServedElsewhere() const;
  void OnPeerAnswer(int status,
                    const HttpHeaders& fields,
                    std::string_view body,
                    const AnswerSource& source);
  void OnPeerAnswerBegun(int status,
                         const HttpHeaders& fields,
                         const AnswerSource& source);
  /// Records the source of an answer that a peer has got for this daemon.
  void OnPeerSource(const AnswerSource& source);
  /// Sets whether the server of the last answer leaves, and tells it.
  void SetLeavingSource(std::optional<LeavingServer> leaving);
  /// Tells a daemon that relays the answer what is known of its server.
  void TellSource() const;
  void OnPeerPart(std::string_view part);
  void OnPeerAnswerEnded();
  void OnPeerFailed();

  void SendToServer();
  /// Sends the request later if servers accept it once they are less cold or
  /// have room again, or if a peer may have to send it.
  /// @return false if it can't wait or has nothing to wait for
  bool WaitForServer(const routing::ServerChoice& choice);
  routing::ServerChoice ChooseServer() const;
  bool IsGeneration() const;
  /// The request as it is sent to a server, head and body.
  /// Head of the request to a server; the body follows.
  std::string MessageHeadFor(const routing::Server& server) const;
  void OnHead(const ServerAnswer& answer, bool ends_with_connection);
  void OnBody(std::string_view part);
  void OnAnswered();
  /// Handles an answer that says that the server has not run the request.
  void OnNotRun(const ServerAnswer& answer);
  void OnAttemptFailure(RelayFailure failure);
  /// Closes the connection of a server that sends more than an answer or an
  /// event may have, or events of another run than the caller's.
  void AbandonAnswer();
  /// Starts the timer for the first byte of the answer of a repeatable request.
  void StartFirstByteTimer();
  /// Calls `check` after a time, once the sockets have been read (see
  /// routing::kSocketReadGrace).
  void CheckAfter(Duration wait, void (RequestFlow::*check)());
  void OnFirstByteOverdue();
  /// Time since the request was sent, less the round trip.
  Duration TimeAtServer(TimePoint now) const;
  /// Handles the first byte of a streamed body from the current server: updates
  /// the service time estimate and releases the stage results.
  void OnFirstByte();
  /// Adds a measurement of the current server's stream to its pace.
  void RecordPace(std::optional<routing::EventPace::Sample> sample);
  /// Starts the timer that detects a server that stops in the middle of a
  /// stream.
  void StartSilenceTimer();
  void OnSilenceTimer();
  /// Retries and, if that is possible, cancels the current attempt.
  void RetryAndCancel(std::string_view what, std::string_view reason);
  /// Refuses the request if its stages are not done by StagesDeadline().
  void OnStagesOverdue();
  /// Reports a connection that broke during the request, a possible crash of
  /// the server.
  void ReportCrash();
  /// Holds the crash of the server against the parts of the prompt.
  /// @return whether one of them was in a crash before
  bool AddCrashOfParts();
  /// Whether the answer has gone on for so long that the request is not what
  /// crashes its server.
  bool HasProvenItself() const {
    return events_.events() >= events_when_sent_ + kMinProvingEvents;
  }
  /// Clears the request of crashes, if its answer proves that the server has
  /// not crashed.
  void ClearSuspicion(TimePoint now, const routing::ServerRecord& answered_by);
  bool CanRetry() const;
  /// Sends the request again if its attempts, the time left and the retry
  /// budget allow it.
  /// @param what kind of retry, a label of the metrics
  bool TryRetry(std::string_view what, std::string_view reason);
  /// Makes a server the current one and adds the request to its load.
  void AssignServer(const routing::ServerPtr& server);
  /// Removes the request from the load of its server, if it has one.
  void UnassignServer();

  /// @return whether the request goes on: a caller who doesn't read is closed
  bool RelayPart(std::string_view part);
  /// Makes the next attempt's events follow those that the caller has.
  void BeginRun() {
    events_.BeginRun(route_->resumable ? std::string_view(ResumePosition())
                                       : std::string_view());
  }
  /// Passes on what follows the last whole event of a stream.
  void WriteRestOfStream();
  /// Whether a stream that has ended isn't whole: it ended with its connection
  /// inside an event, or before the last event that the caller has.
  bool HasBrokenOff() const;
  /// Frees the storage of stage results that are no longer needed.
  void ReleaseResults(std::vector<routing::StageResults> unneeded);

  /// Answers with an error. If the request may have run and the error says
  /// otherwise, or the answer has begun, it is ended by Fail() instead.
  void Refuse(ErrorKind kind, std::string_view detail);
  void Refuse(ErrorKind kind,
              std::string_view detail,
              std::optional<Duration> retry_after);
  /// Ends a request that may have run: aborts its answer if that has begun,
  /// otherwise answers that the outcome is unknown.
  void Fail(std::string_view detail);
  void OnTimeout();
  void OnCallerDisconnect();
  /// Records the end of the request and cancels all that is in progress for it.
  /// @param status HTTP status of the answer; 0 if there is none
  void Finish(std::string_view outcome, int status, std::string_view detail);

  bool repeatable() const { return route_->MayRepeat(); }
  Duration TimeLeft() const;
  /// Time until one of its servers may be used, see routing::BackoffLeft().
  Duration BackoffLeft() const;
  /// Lower bound on the time that the request's server needs.
  Duration MinAnswerTime() const;
  /// Number of tokens that the answer will probably have.
  double TokensExpected() const;
  /// Expected time to the first byte from an idle server.
  Duration TypicalTimeToFirstByte() const;
  /// When the stages must be done for the answer to reach the caller in time.
  TimePoint StagesDeadline() const;

  FlowContext& context_;
  RelayExchangePtr exchange_;
  routing::RouteTablePtr table_;
  std::uint64_t min_deployment_version_ = 0;  ///< see RequestProgress
  Ptr self_;  ///< keeps the request alive; null once it has been answered
  CallerRequest request_;
  const routing::Route* route_ = nullptr;
  const routing::Organisation* organisation_ = nullptr;
  const routing::ServiceSpec* service_ = nullptr;
  std::string service_name_;
  Fingerprint fingerprint_;
  std::vector<Fingerprint> shared_parts_;  ///< of its prompt, in order
  TimePoint started_at_{};
  TimePoint deadline_{};
  double weight_ = 1;  ///< relative to the other requests of its route
  TimerId deadline_timer_;
  TimerId answer_timer_;  ///< for the first byte, then for silence
  TimerId stages_timer_;

  /// Where its work may go; set once the route is known.
  std::optional<routing::Placement> placement_;
  /// Servers that began the stream; empty if it hasn't begun, or if they aren't
  /// known yet.
  std::optional<routing::StreamOrigin> origin_;
  AnswerSource source_;  ///< of the last answer
  OnAnswerSource on_source_;
  std::unique_ptr<StreamOriginLookup> origin_lookup_;
  std::optional<routing::StagePlan> plan_;
  std::map<std::uint32_t, std::unique_ptr<GroupHandle>> running_stages_;
  /// Data centres of the results, by stage.
  std::map<std::uint32_t, std::string> result_data_centres_;
  Duration expected_stage_time_{};
  /// Data centre of the server that will probably read the results; empty if
  /// no server was available at the start.
  std::string home_data_centre_;
  std::uint32_t recomputations_ = 0;  ///< after the loss of stage results
  TimePoint stages_done_at_{};        ///< zero until then

  std::unique_ptr<Attempt> attempt_;
  /// Earlier attempts, which may still be in a callback.
  std::vector<std::unique_ptr<Attempt>> old_attempts_;
  routing::ServerPtr server_;        ///< null if no attempt is in progress
  routing::ServerLoad placed_load_;  ///< of this request, on `server_`
  TimePoint sent_at_{};
  /// Tokens that the server had to prefill for earlier requests when this one
  /// was sent.
  double pending_prefill_tokens_ = 0;
  /// Pace of the server when the request was sent, see ServerChoice.
  double pace_ = 1;
  /// Result of routing::WavesAt() when the request was sent.
  double waves_ = 1;
  std::vector<std::string> tried_;        ///< ids of servers, in order
  std::uint32_t attempts_ = 0;            ///< excludes those that were not sent
  std::vector<std::string> peers_tried_;  ///< names, in order
  std::uint32_t hops_ = 0;                ///< daemons that have handed it over
  bool may_have_run_ = false;
  /// Whether a server before the current one may have run it.
  bool earlier_may_have_run_ = false;
  TimePoint first_byte_at_{};  ///< zero until then
  TimePoint last_byte_at_{};   ///< of a stream; zero before its first byte

  ServerAnswer answer_;
  std::string body_;  ///< of an answer that is not streamed
  admission::MemoryAccount::Share body_share_{
      context_.memory, admission::HeldKind::kCollectedAnswer};
  bool answer_begun_ = false;  ///< a streamed answer to the caller
  bool streaming_ = false;     ///< the current server has sent events
  /// Nothing but the end of its connection ends the answer.
  bool ends_with_connection_ = false;
  routing::EventFramer events_;
  std::size_t events_when_sent_ = 0;  ///< to the current server
  routing::EventPace event_pace_;     ///< of the current server's stream
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_REQUEST_FLOW_H_
