#include "report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace gentianroute::bench {
namespace {

std::string CellText(const Row& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace

double RoundToThousandths(double value) {
  return std::round(value * 1000) / 1000;
}

void Report::WriteText(std::ostream& out) const {
  out << "scenario=" << scenario << " seed=" << seed << "\n";
  if (rows.empty()) {
    return;
  }
  for (const auto& [name, value] : rows.front().items()) {
    std::size_t width = name.size();
    for (const Row& row : rows) {
      width = std::max(width, CellText(row.at(name)).size());
    }
    out << "| " << std::left << std::setw(static_cast<int>(width)) << name
        << " ";
  }
  out << "|\n";
  for (const auto& item : rows.front().items()) {
    out << "| " << std::string(std::max<std::size_t>(3, item.key().size()), '-')
        << " ";
  }
  out << "|\n";
  for (const Row& row : rows) {
    for (const auto& [name, value] : row.items()) {
      out << "| " << CellText(value) << " ";
    }
    out << "|\n";
  }
  for (const std::string& description : failures) {
    out << "FAILED: " << description << "\n";
  }
}

void Report::WriteJson(std::ostream& out) const {
  nlohmann::ordered_json json;
  json["scenario"] = scenario;
  json["seed"] = seed;
  json["rows"] = rows;
  json["broken"] = failures;
  out << json.dump(2) << "\n";
}

}  // namespace gentianroute::bench
