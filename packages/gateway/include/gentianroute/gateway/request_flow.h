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
  StageRouter& stages;
  Cluster& cluster;
  RetryBudgets& retries;
  routing::ServiceTimeEstimates& paces;
  routing::RequestWeights& weights;
  SuspectTable& suspects;
  RequestRecorder& journal;
  const routing::DrainTimes& drain;
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
  class Send;

  RequestFlow(FlowServices& services,
              RelayExchangePtr exchange,
              routing::RouteTablePtr table,
              List& all);

  /// Why a request can't begin; nothing if it can.
  std::optional<ErrorKind> Admit();
  std::optional<ErrorKind> CheckKey();
  /// Refuses the request if its stages can't end while its caller waits.
  bool RefusedForTime();
  /// Refuses a late request that this daemon may not live to answer.
  bool RefusedForDrain();
  void TellAdmitted();
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
  void OnBroken(RelayFailure failure);
  /// Watches for the first part of an answer that does not come.
  void ExpectFirstPart();
  /// Judges the server some time from now, after its bytes have been read.
  void JudgeAfter(Duration wait, void (RequestFlow::*judge)());
  void OnOverdue();
  /// Time since the request was sent, without the way there and back.
  Duration TakenByServer(TimePoint now) const;
  /// The server has begun to answer; its pace is learnt from that.
  void OnFirstPart();
  /// Watches a stream for a server that falls silent in the middle of it.
  void WatchStream();
  void OnStreamWatch();
  void DropAndSendAgain(std::string_view what, std::string_view reason);
  /// The stages end too late for the caller to wait for the answer.
  void OnStagesOverdue();
  void ReportCrash();
  bool MaySendAgain() const;
  /// Sends again if the limits allow it.
  bool TrySendAgain(std::string_view what, std::string_view reason);
  void Occupy(const routing::ServerPtr& server);
  void Leave();

  void RelayPart(std::string_view part);
  void Release(std::vector<routing::StageResults> spent);

  void Refuse(ErrorKind kind, std::string_view detail);
  void Refuse(ErrorKind kind,
              std::string_view detail,
              std::optional<Duration> retry_after);
  void BreakOff(std::string_view detail);
  void OnTimeout();
  void OnCallerGone();
  void Finish(std::string_view outcome, int status, std::string_view detail);

  bool repeatable() const { return route_->MayRepeat(); }
  Duration TimeLeft() const;
  /// The least that the request's own server takes.
  Duration LeastAnswer() const;
  double TokensExpected() const;
  /// What the request's own server takes until the first part of its answer,
  /// where nothing waits.
  Duration UsualFirstPart() const;
  /// When the stages must be done for the answer to be of use.
  TimePoint StagesBy() const;

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
  TimePoint began_{};
  TimePoint limit_{};
  double weight_ = 1;  ///< among the requests of its route
  TimerId limit_timer_;
  TimerId overdue_timer_;
  TimerId stages_timer_;

  std::optional<routing::StagePlan> plan_;
  std::map<std::uint32_t, std::unique_ptr<GroupHandle>> running_;
  std::map<std::uint32_t, std::string> results_in_;  ///< data centre, by stage
  /// Data centre of the server that will probably read the results.
  Duration stages_expected_{};
  std::string home_;
  std::uint32_t remakes_ = 0;
  TimePoint stages_done_{};

  std::unique_ptr<Send> send_;
  std::vector<std::unique_ptr<Send>> old_sends_;
  routing::ServerPtr server_;
  routing::ServerLoad occupied_;
  TimePoint sent_at_{};
  double unread_ = 0;  ///< tokens before the first event, others' too
  double waves_ = 1;   ///< calls' work before the answer, its own too
  std::vector<std::string> tried_;
  std::uint32_t sends_ = 0;  ///< that a server may have run or refused
  bool may_have_run_ = false;
  /// A server before the present one may have run it.
  bool earlier_may_have_run_ = false;
  TimePoint first_at_{};
  TimePoint last_part_at_{};

  ServerAnswer answer_;
  std::string body_;
  bool answer_begun_ = false;
  bool streaming_ = false;  ///< the present server has sent events
  routing::EventFramer events_;
};

}  // namespace gentianroute::gateway

#endif  // GENTIANROUTE_GATEWAY_REQUEST_FLOW_H_
