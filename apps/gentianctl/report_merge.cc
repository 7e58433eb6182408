#include "report_merge.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <tuple>

#include "gentianroute/observe/service_level.h"

namespace gentianroute::ctl {
namespace {

constexpr std::array kStageSums = {"runs", "attempts", "units", "billed_bytes",
                                   "cost_micros"};

void AddCounts(json& sum, const json& part) {
  if (sum.is_null()) {
    sum = json::object();
  }
  for (const char* field : {"total", "attained"}) {
    sum[field] = sum.value(field, std::uint64_t{0}) +
                 part.at(field).get<std::uint64_t>();
  }
}

void AddAttainmentRatios(json& record, double target) {
  const Attainment attainment{record.at("total"), record.at("attained")};
  record["attainment"] = attainment.Share();
  record["burn_rate"] = attainment.BurnRate(target);
}

json MergeServices(const std::vector<json>& reports, double target) {
  std::map<std::string, json> merged;
  for (const json& report : reports) {
    for (const json& service : report.at("services")) {
      json& sum = merged[service.at("service")];
      sum["service"] = service.at("service");
      AddCounts(sum, service);
      const json& windows = service.at("windows");
      for (std::size_t i = 0; i < windows.size(); ++i) {
        AddCounts(sum["windows"][i], windows[i]);
        sum["windows"][i]["seconds"] = windows[i].at("seconds");
      }
    }
  }
  json list = json::array();
  for (auto& [name, service] : merged) {
    AddAttainmentRatios(service, target);
    for (json& window : service["windows"]) {
      AddAttainmentRatios(window, target);
    }
    list.push_back(std::move(service));
  }
  return list;
}

json MergeStages(const std::vector<json>& reports) {
  using StageKey = std::tuple<std::string, std::string, std::string>;
  std::map<StageKey, json> merged;
  std::int64_t cost = 0;
  for (const json& report : reports) {
    for (const json& stage : report.at("stages")) {
      json& sum =
          merged[{stage.at("service"), stage.at("profile"), stage.at("stage")}];
      for (const char* field : {"service", "profile", "stage"}) {
        sum[field] = stage.at(field);
      }
      for (const char* field : kStageSums) {
        sum[field] = sum.value(field, std::int64_t{0}) +
                     stage.at(field).get<std::int64_t>();
      }
      cost += stage.at("cost_micros").get<std::int64_t>();
    }
  }
  std::vector<json> list;
  list.reserve(merged.size());
  for (auto& [name, stage] : merged) {
    stage["cost_share"] = cost == 0 ? 0
                                    : stage.at("cost_micros").get<double>() /
                                          static_cast<double>(cost);
    list.push_back(std::move(stage));
  }
  std::ranges::stable_sort(list, [](const json& a, const json& b) {
    return a.at("cost_micros") > b.at("cost_micros");
  });
  return list;
}

json MergeHeaviest(const std::vector<json>& reports) {
  constexpr std::size_t kMaxEntries = 20;
  std::map<std::pair<std::string, std::string>, double> merged;
  for (const json& report : reports) {
    for (const json& usage : report.at("heaviest")) {
      merged[{usage.at("organisation"), usage.at("subscriber")}] +=
          usage.at("cost").get<double>();
    }
  }
  std::vector<json> list;
  list.reserve(merged.size());
  for (const auto& [key, cost] : merged) {
    list.push_back({{"organisation", key.first},
                    {"subscriber", key.second},
                    {"cost", cost}});
  }
  std::ranges::stable_sort(list, [](const json& a, const json& b) {
    return a.at("cost") > b.at("cost");
  });
  list.resize(std::min(list.size(), kMaxEntries));
  return list;
}

/// Lists the polled daemons and the peers that they reported.
json MergeDaemons(const std::vector<json>& reports) {
  std::map<std::string, json> daemons;
  for (const json& report : reports) {
    for (const json& peer : report.at("peer_revisions")) {
      json& daemon = daemons[peer.at("name")];
      const std::uint64_t known_revision =
          daemon.is_null() ? 0 : daemon.at("revision").get<std::uint64_t>();
      daemon = {
          {"name", peer.at("name")},
          {"data_centre", peer.at("data_centre")},
          {"revision",
           std::max(known_revision, peer.at("revision").get<std::uint64_t>())},
          {"asked", false}};
    }
  }
  for (const json& report : reports) {
    daemons[report.at("name")] = {{"name", report.at("name")},
                                  {"data_centre", report.at("data_centre")},
                                  {"revision", report.at("revision")},
                                  {"asked", true},
                                  {"counting_since_unix_micros",
                                   report.at("counting_since_unix_micros")}};
  }
  json list = json::array();
  for (auto& [name, daemon] : daemons) {
    list.push_back(std::move(daemon));
  }
  return list;
}

json MergeOutOfFavour(const std::vector<json>& reports) {
  json list = json::array();
  for (const json& report : reports) {
    for (json server : report.at("out_of_favour")) {
      server["seen_by"] = report.at("name");
      list.push_back(std::move(server));
    }
  }
  return list;
}

std::vector<json> RemoveDuplicates(const std::vector<json>& reports) {
  std::set<std::string> names;
  std::vector<json> unique;
  for (const json& report : reports) {
    if (names.insert(report.at("name")).second) {
      unique.push_back(report);
    }
  }
  return unique;
}

std::string FormatNumber(const char* format, double value) {
  constexpr std::size_t kMaxLength = 64;
  std::array<char, kMaxLength> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

}  // namespace

json MergeReports(const std::vector<json>& reports,
                  const std::vector<std::string>& unreachable) {
  const std::vector<json> unique = RemoveDuplicates(reports);
  // Daemons with different targets are measured against the strictest one.
  double target = 0;
  for (const json& report : unique) {
    target = std::max(target, report.at("attainment_target").get<double>());
  }
  return {{"attainment_target", target},
          {"at_unix_micros", unique.front().at("at_unix_micros")},
          {"daemons", MergeDaemons(unique)},
          {"unreachable", unreachable},
          {"services", MergeServices(unique, target)},
          {"stages", MergeStages(unique)},
          {"heaviest", MergeHeaviest(unique)},
          {"out_of_favour", MergeOutOfFavour(unique)}};
}

std::string FormatWindow(std::int64_t seconds) {
  constexpr std::int64_t kMinute = 60;
  constexpr std::int64_t kHour = 60 * kMinute;
  constexpr std::int64_t kDay = 24 * kHour;
  if (seconds % kDay == 0) {
    return std::to_string(seconds / kDay) + " d";
  }
  if (seconds % kHour == 0) {
    return std::to_string(seconds / kHour) + " h";
  }
  return std::to_string(seconds / kMinute) + " min";
}

std::string FormatPercent(double share) {
  constexpr double kPercentPerUnit = 100;
  return FormatNumber("%.2f %%", share * kPercentPerUnit);
}

std::string FormatEuros(std::int64_t micros) {
  constexpr double kMicrosPerEuro = 1e6;
  return FormatNumber("%.6f", static_cast<double>(micros) / kMicrosPerEuro);
}

std::string FormatTwoDecimals(double value) {
  return FormatNumber("%.2f", value);
}

}  // namespace gentianroute::ctl
