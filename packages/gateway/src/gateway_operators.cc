#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gentianroute/gateway/detail/gateway_impl.h"

// The operators' rows: the deployment, and the data centres that are evacuated.

namespace gentianroute::gateway {

void Gateway::Impl::OnOperatorRows(const std::vector<StoredRow>& rows) {
  std::set<std::string, std::less<>> ended =
      placement_rules_.evacuations.data_centres();
  std::vector<const StoredRow*> deployments;
  // Evacuations first: requests are accepted once the deployment is known.
  for (const StoredRow& row : rows) {
    const OperatorRow holds = translator_.ReadOperatorRow(row.key);
    if (holds.kind == OperatorRow::Kind::kEvacuation) {
      ended.erase(holds.data_centre);
      BeginEvacuation(holds.data_centre);
    } else if (holds.kind == OperatorRow::Kind::kDeployment) {
      deployments.push_back(&row);
    }
  }
  for (const std::string& data_centre : ended) {
    EndEvacuation(data_centre);
  }
  for (const StoredRow* row : deployments) {
    OnDeploymentRow(*row);
  }
}

void Gateway::Impl::OnOperatorRow(const StoredRow& row) {
  const OperatorRow holds = translator_.ReadOperatorRow(row.key);
  switch (holds.kind) {
    case OperatorRow::Kind::kDeployment:
      OnDeploymentRow(row);
      return;
    case OperatorRow::Kind::kEvacuation:
      if (row.deleted) {
        EndEvacuation(holds.data_centre);
      } else {
        BeginEvacuation(holds.data_centre);
      }
      return;
    case OperatorRow::Kind::kUnknown:
      LogEvent("operator_row_unknown", LogLevel::kWarning)
          .Field("key", row.key);
      return;
  }
}

void Gateway::Impl::OnDeploymentRow(const StoredRow& row) {
  if (row.deleted) {
    LogEvent("deployment_deleted", LogLevel::kError)
        .Field("row_version", row.version);
    return;
  }
  std::string error;
  auto deployment = translator_.ReadDeployment(row.value, error);
  if (!deployment) {
    LogEvent("deployment_unreadable", LogLevel::kError)
        .Field("row_version", row.version)
        .Field("reason", error);
    return;
  }
  if (table_ == nullptr || deployment->version > table_->version()) {
    ApplyDeployment(std::move(*deployment));
  }
}

void Gateway::Impl::ApplyDeployment(routing::Deployment deployment) {
  const routing::RouteTablePtr before = std::exchange(
      table_, std::make_shared<routing::RouteTable>(std::move(deployment)));
  streams_.OnDeployment(before.get(), table_);
  version_recorder_.SetMemory(streams_.memory());
  version_recorder_.UpdateSoon();
  placement_rules_.cold_servers.SetServices(table_->deployment().services);
  cluster_.SetStageServices(table_->StageServices());
  stage_scheduler_.SetTable(table_);
  stage_router_.SetTable(table_);
  for (RequestFlow& flow : flows_) {
    flow.OnDeploymentChanged(*table_);
  }
  stage_router_.OnPlacementChanged();
  LogEvent("deployment_in_force")
      .Field("version", table_->version())
      .Field("routes", table_->deployment().routes.size());
  ServeStartQueueLater();
}

void Gateway::Impl::BeginEvacuation(std::string_view data_centre) {
  if (!placement_rules_.evacuations.Begin(data_centre)) {
    return;
  }
  LogEvent("evacuation_begun").Field("data_centre", data_centre);
  stage_scheduler_.OnEvacuationsChanged();
}

void Gateway::Impl::EndEvacuation(std::string_view data_centre) {
  if (!placement_rules_.evacuations.End(data_centre)) {
    return;
  }
  // Its servers may have been restarted meanwhile. Their entries show it only
  // after their next heartbeat; by then all daemons would have sent to them.
  const TimePoint now = loop_.Now();
  std::size_t suspected = 0;
  servers_.ForEach([&](routing::Server& server) {
    if (server.record().data_centre == data_centre) {
      placement_rules_.cold_servers.Suspect(now, server);
      ++suspected;
    }
  });
  LogEvent("evacuation_ended")
      .Field("data_centre", data_centre)
      .Field("servers", suspected);
}

}  // namespace gentianroute::gateway
