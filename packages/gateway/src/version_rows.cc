#include "gentianroute/gateway/detail/version_rows.h"

#include <nlohmann/json.hpp>

namespace gentianroute::gateway::detail {
namespace {

using nlohmann::json;

/// Layout of the rows. A daemon of an older release doesn't read newer ones.
constexpr std::uint64_t kLayout = 1;

/// @throws json::exception if there is none, or a value of another type
std::uint64_t ReadNumber(const json& value) {
  return value.get_ref<const json::number_unsigned_t&>();
}

/// @throws json::exception if a field is missing or of another type
routing::VersionRecord ReadRecord(const json& row) {
  routing::VersionRecord record;
  for (const auto& [version, incarnation] : row.at("in_use").items()) {
    record.in_use.emplace(version, ReadNumber(incarnation));
  }
  for (const json& version : row.at("retiring")) {
    record.retiring.insert(version.get<std::string>());
  }
  record.routes = ReadNumber(row.at("routes"));
  record.routes_moved = row.at("routes_moved").get<bool>();
  record.is_draft = row.at("draft").get<bool>();
  for (const json& data_centre : row.at("unguarded")) {
    record.unguarded.insert(data_centre.get<std::string>());
  }
  return record;
}

}  // namespace

std::string WriteVersionRow(const routing::VersionRecord& record) {
  return json{{"layout", kLayout},
              {"in_use", record.in_use},
              {"retiring", record.retiring},
              {"routes", record.routes},
              {"routes_moved", record.routes_moved},
              {"draft", record.is_draft},
              {"unguarded", record.unguarded}}
      .dump();
}

VersionRow ReadVersionRow(std::string_view value) {
  try {
    const json row = json::parse(value);
    const std::uint64_t layout = ReadNumber(row.at("layout"));
    if (layout > kLayout) {
      return {VersionRow::Kind::kNewer, {}};
    }
    if (layout == kLayout && row.at("in_use").is_object()) {
      return {VersionRow::Kind::kRecord, ReadRecord(row)};
    }
  } catch (const json::exception&) {
    // Reported as unreadable; the caller logs the row.
  }
  return {};
}

}  // namespace gentianroute::gateway::detail
