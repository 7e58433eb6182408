#ifndef GENTIANROUTE_DECISION_TESTS_DECISION_FIXTURE_H_
#define GENTIANROUTE_DECISION_TESTS_DECISION_FIXTURE_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/decision/coordinator.h"

namespace gentianroute::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Claim codec for tests that writes JSON.
class JsonClaimCodec : public ClaimCodec {
 public:
  std::string Encode(const Claim& claim) const override {
    return nlohmann::json{{"o", claim.organisation},
                          {"k", claim.key},
                          {"b", claim.body_digest},
                          {"t", claim.token},
                          {"d", claim.daemon},
                          {"i", claim.incarnation},
                          {"s", static_cast<int>(claim.state)},
                          {"a", claim.answer}}
        .dump();
  }

  std::optional<Claim> Decode(std::string_view text) const override {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
      return std::nullopt;
    }
    Claim claim;
    claim.organisation = json.at("o");
    claim.key = json.at("k");
    claim.body_digest = json.at("b");
    claim.token = json.at("t");
    claim.daemon = json.at("d");
    claim.incarnation = json.at("i");
    claim.state = static_cast<ClaimState>(json.at("s").get<int>());
    claim.answer = json.at("a");
    return claim;
  }
};

/// @brief In-memory table service with versioned rows and conditional
/// transactions.
class FakeTable {
 public:
  TransactResult Transact(const TableTransaction& transaction) {
    TransactResult result;
    for (const TableCondition& condition : transaction.conditions) {
      const TableRow row = Read(condition.key);
      if (row.version != condition.version) {
        result.conflicts.push_back(row);
      }
    }
    if (!result.conflicts.empty()) {
      result.status = TableStatus::kConditionFailed;
      return result;
    }
    result.status = TableStatus::kCommitted;
    for (const TableWrite& write : transaction.writes) {
      rows_[write.key] = {write.key, write.value.value_or(""), ++version_};
      result.versions.push_back(version_);
    }
    return result;
  }

  TableRow Read(const TableKey& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? TableRow{key, "", 0} : found->second;
  }

  ReadResult Read(const std::vector<TableKey>& keys) const {
    ReadResult result{true, {}};
    for (const TableKey& key : keys) {
      if (rows_.contains(key)) {
        result.rows.push_back(Read(key));
      }
    }
    return result;
  }

 private:
  std::map<TableKey, TableRow> rows_;
  std::uint64_t version_ = 0;
};

/// @brief Adds a profile and a service of the same name to a catalogue.
inline void AddService(Catalogue& catalogue,
                       const std::string& name,
                       std::vector<StageSpec> stages,
                       Objective objective = Objective::kAttainment) {
  auto profile = std::make_shared<Profile>();
  profile->name = name;
  profile->deadline = seconds(6);
  profile->objective = objective;
  profile->stages = std::move(stages);
  catalogue.profiles[name] = std::move(profile);
  catalogue.services[name] = {name, name};
}

inline StageSpec StageOf(const std::string& name) {
  StageSpec stage;
  stage.name = name;
  stage.pool = name;
  return stage;
}

/// @brief Returns a catalogue with four services. `letters` has the stages
/// encode and generate, the latter streamed. `orders` has one stage that must
/// not be repeated. `lookups` has one repeatable stage, and so has
/// `cost_lookups`, which minimises cost.
inline CatalogueRef TestCatalogue() {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->revision = 1;
  StageSpec generate = StageOf("generate");
  generate.streams = true;
  StageSpec order = StageOf("order");
  order.repeatable = false;
  AddService(*catalogue, "letters", {StageOf("encode"), generate});
  AddService(*catalogue, "orders", {order});
  AddService(*catalogue, "lookups", {StageOf("encode")});
  AddService(*catalogue, "cost_lookups", {StageOf("encode")}, Objective::kCost);
  return catalogue;
}

inline HostRecord HostOf(const std::string& name,
                         const std::string& pool,
                         std::uint32_t slots = 4) {
  HostRecord host;
  host.name = name;
  host.pool = pool;
  host.region = "r";
  host.data_centre = "d";
  host.incarnation = 1;
  host.slots = slots;
  return host;
}

/// @brief Coordinator of one daemon incarnation with its dependencies.
struct DecisionCore {
  DecisionCore(const std::string& name,
               std::uint64_t incarnation,
               const std::vector<HostRecord>& hosts,
               Coordinator::Options options = {})
      : servers({"d", "r"}, {}),
        claims({name, incarnation}, codec),
        coordinator(options, servers, usage, suspects, claims) {
    servers.ApplyHostList(TimePoint{}, hosts);
    coordinator.SetCatalogue(TestCatalogue());
  }

  JsonClaimCodec codec;
  ServerTable servers;
  UsageLedger usage;
  SuspectTable suspects;
  ClaimLedger claims;
  Coordinator coordinator;
};

/// @brief Returns a request whose fingerprint and digest derive from `text`.
inline Submission SubmissionOf(const std::string& service,
                               const std::string& text,
                               const std::string& key = {}) {
  Submission submission;
  submission.service = service;
  submission.organisation = "org";
  submission.subscriber = "sub";
  submission.key = key;
  submission.body = "\"" + text + "\"";
  submission.body_digest = text;
  submission.fingerprint = {std::hash<std::string>{}(service + text) | 1};
  return submission;
}

/// @brief Test harness around a DecisionCore. Collects its actions by type and
/// provides its table service and clock.
struct Bench {
  explicit Bench(const std::vector<HostRecord>& hosts,
                 const std::string& name = "daemon-1")
      : core(name, 1, hosts), hosts(hosts) {}

  Coordinator& coordinator() { return core.coordinator; }

  RequestId Submit(Submission submission) {
    const RequestId id = core.coordinator.Submit(now, 0, std::move(submission));
    TakeActions();
    return id;
  }

  void TakeActions() {
    for (Action& action : core.coordinator.TakeActions()) {
      if (auto* start = std::get_if<StartAttempt>(&action)) {
        starts.push_back(std::move(*start));
      } else if (auto* finish = std::get_if<FinishRequest>(&action)) {
        finishes.push_back(std::move(*finish));
      } else if (auto* cancel = std::get_if<CancelAttempt>(&action)) {
        cancels.push_back(std::move(*cancel));
      } else if (auto* query = std::get_if<QueryClaimHolder>(&action)) {
        queries.push_back(std::move(*query));
      } else if (auto* join = std::get_if<AnswerJoin>(&action)) {
        joins.push_back(std::move(*join));
      } else if (auto* chunk = std::get_if<DeliverChunk>(&action)) {
        streamed += chunk->text;
      }
    }
  }

  void Advance(Duration by) {
    now += by;
    core.coordinator.Advance(now);
    core.coordinator.ProcessClaims(now);
    TakeActions();
  }

  /// @brief Exchanges operations between the ledger and the table service for
  /// as many rounds as a claim with conflicts needs to complete.
  void ProcessOperations() {
    constexpr int kRounds = 8;
    for (int round = 0; round < kRounds; ++round) {
      Advance(milliseconds(5));
      for (const ClaimOperation& operation : core.claims.TakeOperations()) {
        if (operation.kind == ClaimOperation::Kind::kRead) {
          core.claims.OnRead(now, operation.id, table.Read(operation.reads));
        } else {
          core.claims.OnTransacted(now, operation.id,
                                   table.Transact(operation.transaction));
        }
      }
    }
    Advance(Duration{0});
  }

  void Write(AttemptId attempt) { core.coordinator.OnWritten(attempt); }

  /// @brief Delivers a complete answer with status 200.
  void Answer(AttemptId attempt, const std::string& body) {
    AttemptAnswer answer;
    answer.attempt = attempt;
    answer.echoed = attempt;
    answer.status = 200;
    answer.body = body;
    core.coordinator.OnAnswer(now, answer);
    TakeActions();
  }

  void Chunk(AttemptId attempt, std::uint64_t offset, const std::string& text) {
    core.coordinator.OnChunk(now, {attempt, attempt, offset, text});
    TakeActions();
  }

  void Fail(AttemptId attempt, AttemptFailure failure) {
    core.coordinator.OnFailure(now, attempt, failure, "test");
    TakeActions();
  }

  /// @brief Resets every call in flight at the server and increments its
  /// incarnation in the list of hosts.
  void Crash(const std::string& server) {
    for (const AttemptId attempt : RunningAt(server)) {
      Fail(attempt, AttemptFailure::kReset);
    }
    for (HostRecord& host : hosts) {
      host.incarnation += host.name == server ? 1 : 0;
    }
    List(hosts);
  }

  void List(const std::vector<HostRecord>& listed) {
    hosts = listed;
    core.servers.ApplyHostList(now, hosts);
    core.coordinator.OnServersChanged(now);
    Advance(milliseconds(200));
  }

  std::vector<AttemptId> RunningAt(const std::string& server) {
    std::vector<AttemptId> running;
    for (const StartAttempt& start : starts) {
      const Request* request = core.coordinator.Find(start.request);
      if (start.server->host.name == server && request != nullptr &&
          std::ranges::find(request->attempts, start.attempt) !=
              request->attempts.end()) {
        running.push_back(start.attempt);
      }
    }
    return running;
  }

  const FinishRequest* FinishOf(RequestId request) const {
    for (const FinishRequest& finish : finishes) {
      if (finish.request == request) {
        return &finish;
      }
    }
    return nullptr;
  }

  DecisionCore core;
  std::vector<HostRecord> hosts;
  FakeTable table;
  TimePoint now = TimePoint{} + seconds(1);
  std::vector<StartAttempt> starts;
  std::vector<FinishRequest> finishes;
  std::vector<CancelAttempt> cancels;
  std::vector<QueryClaimHolder> queries;
  std::vector<AnswerJoin> joins;
  std::string streamed;
};

}  // namespace gentianroute::testing

#endif  // GENTIANROUTE_DECISION_TESTS_DECISION_FIXTURE_H_
