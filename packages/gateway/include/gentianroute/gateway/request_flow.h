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

#include "gentianroute/base/error_kind.h"
#include "gentianroute/base/id.h"
#include "gentianroute/decision/suspect_table.h"
#include "gentianroute/gateway/cluster.h"
#include "gentianroute/gateway/request_recorder.h"
#include "gentianroute/gateway/retry_budgets.h"
#include "gentianroute/gateway/stage_router.h"
#include "gentianroute/gateway/translator.h"
#include "gentianroute/loop/relay_client.h"
#include "gentianroute/loop/relay_server.h"
#include "gentianroute/routing/drain_times.h"
#include "gentianroute/routing/event_framer.h"
#include "gentianroute/routing/request_weight.h"
#include "gentianroute/routing/route_table.h"
#include "gentianroute/routing/server_directory.h"
#include "gentianroute/routing/stage_plan.h"

namespace gentianroute::gateway {

/// @brief What the requests of one daemon share.
struct FlowServices {
  EventLoop& loop;
  RelayClient& client;
  const Translator& translator;
  routing::ServerDirectory& servers;
  const routing::Topology& topology;
  StageRouter& stage_router;
  Cluster& cluster;
  RetryBudgets& retry_budgets;
  routing::ServiceTimeEstimates& service_times;
  routing::RequestWeights& weights;
  SuspectTable& suspects;
  RequestRecorder& recorder;
  const routing::DrainTimes& drain_times;
};

/// @brief One caller's request on its way through the stages to its server and
/// back. Held by count by what is under way for it.
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

  /// @brief Begins a request; it lives until it has been answered.
  /// @param table null: no configuration is known yet
  static void Begin(FlowServices& services,
                    RelayExchangePtr exchange,
                    routing::RouteTablePtr table,
                    List& all);
  ~RequestFlow();

  /// @brief The daemon ends: the request gets its answer now, and a true one.
  void OnShutdown();

 private:
  class Attempt;

  RequestFlow(FlowServices& services,
              RelayExchangePtr exchange,
              routing::RouteTablePtr table,
              List& all);

  /// Why a request can't begin; nothing if it can.
  std::optional<ErrorKind> Admit();
  std::optional<ErrorKind> CheckKey();
  /// Refuses the request if its stages can't end while its caller waits.
  bool RefuseIfStagesLate();
  /// Refuses a late request that this daemon may not live to answer.
  bool RefuseIfDraining();
  void RecordAdmission();
  void Start();
  void Advance();
  void RunStage(std::uint32_t stage);
  std::vector<routing::PlacedBytes> PlacedResults(
      std::span<const std::uint32_t> stages,
      std::uint32_t reading_pieces) const;
  void OnStageEnd(std::uint32_t stage, StageOutcome outcome);
  void OnStageFailure(std::uint32_t stage, routing::StageFailure failure);

  void SendToServer();
  routing::ServerChoice ChooseServer() const;
  bool IsGeneration() const;
  std::string MessageFor(const routing::Server& server) const;
  void OnHead(const ServerAnswer& answer);
  void OnBody(std::string_view part);
  void OnAnswered();
  void OnNotRun(const ServerAnswer& answer);
  void OnAttemptFailure(RelayFailure failure);
  /// Watches for the first part of an answer that does not come.
  void StartFirstByteTimer();
  /// Judges the server some time from now, after its bytes have been read.
  void CheckAfter(Duration wait, void (RequestFlow::*check)());
  void OnFirstByteOverdue();
  /// Time since the request was sent, without the way there and back.
  Duration TimeAtServer(TimePoint now) const;
  /// The server has begun to answer; its pace is learnt from that.
  void OnFirstByte();
  /// Watches a stream for a server that falls silent in the middle of it.
  void StartSilenceTimer();
  void OnSilenceTimer();
  void RetryAndCancel(std::string_view what, std::string_view reason);
  /// The stages end too late for the caller to wait for the answer.
  void OnStagesOverdue();
  void ReportCrash();
  bool CanRetry() const;
  /// Sends again if the limits allow it.
  bool TryRetry(std::string_view what, std::string_view reason);
  void AssignServer(const routing::ServerPtr& server);
  void UnassignServer();

  void RelayPart(std::string_view part);
  void ReleaseResults(std::vector<routing::StageResults> unneeded);

  void Refuse(ErrorKind kind, std::string_view detail);
  void Refuse(ErrorKind kind,
              std::string_view detail,
              std::optional<Duration> retry_after);
  void Fail(std::string_view detail);
  void OnTimeout();
  void OnCallerDisconnect();
  void Finish(std::string_view outcome, int status, std::string_view detail);

  bool repeatable() const { return route_->MayRepeat(); }
  Duration TimeLeft() const;
  /// The least that the request's own server takes.
  Duration MinAnswerTime() const;
  double TokensExpected() const;
  /// What the request's own server takes until the first part of its answer,
  /// where nothing waits.
  Duration TypicalTimeToFirstByte() const;
  /// When the stages must be done for the answer to be of use.
  TimePoint StagesDeadline() const;

  FlowServices& services_;
  RelayExchangePtr exchange_;
  routing::RouteTablePtr table_;
  Ptr self_;  ///< until it is answered
  CallerRequest request_;
  const routing::Route* route_ = nullptr;
  const routing::Organisation* organisation_ = nullptr;
  const routing::ServiceSpec* service_ = nullptr;
  std::string service_name_;
  Fingerprint fingerprint_;
  TimePoint started_at_{};
  TimePoint deadline_{};
  double weight_ = 1;  ///< among the requests of its route
  TimerId deadline_timer_;
  TimerId answer_timer_;
  TimerId stages_timer_;

  std::optional<routing::StagePlan> plan_;
  std::map<std::uint32_t, std::unique_ptr<GroupHandle>> running_stages_;
  std::map<std::uint32_t, std::string>
      result_data_centres_;  ///< data centre, by stage
  /// Data centre of the server that will probably read the results.
  Duration expected_stage_time_{};
  std::string home_data_centre_;
  std::uint32_t recomputations_ = 0;
  TimePoint stages_done_at_{};

  std::unique_ptr<Attempt> attempt_;
  std::vector<std::unique_ptr<Attempt>> old_attempts_;
  routing::ServerPtr server_;
  routing::ServerLoad placed_load_;
  TimePoint sent_at_{};
  double pending_prefill_tokens_ =
      0;              ///< tokens before the first event, others' too
  double waves_ = 1;  ///< calls' work before the answer, its own too
  std::vector<std::string> tried_;
  std::uint32_t attempts_ = 0;  ///< that a server may have run or refused
  bool may_have_run_ = false;
  /// A server before the present one may have run it.
  bool earlier_may_have_run_ = false;
  TimePoint first_byte_at_{};
  TimePoint last_byte_at_{};

  ServerAnswer answer_;
  std::string body_;
  bool answer_begun_ = false;
  bool streaming_ = false;  ///< the present server has sent events
  routing::EventFramer events_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_REQUEST_FLOW_H_
