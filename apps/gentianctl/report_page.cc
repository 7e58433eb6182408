#include <algorithm>

#include "report_tables.h"

namespace gentianroute::ctl {
namespace {

constexpr const char* kPageHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>gentianroute: service levels</title>
<style>
:root { color-scheme: light dark; --text: #1b1f24; --back: #ffffff;
  --line: #c8ced6; --quiet: #59626e; --good: #2f6fb0; --bad: #b3341f; }
@media (prefers-color-scheme: dark) { :root { --text: #e6e9ed;
  --back: #14171b; --line: #3a424c; --quiet: #a2abb6; --good: #6fb1f0;
  --bad: #ff8a70; } }
body { margin: 0 auto; padding: 1rem; max-width: 70rem; color: var(--text);
  background: var(--back); font: 1rem/1.5 system-ui, sans-serif; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
p { color: var(--quiet); }
.wide { overflow-x: auto; }
table { border-collapse: collapse; }
th, td { padding: .3rem .8rem .3rem 0; border-bottom: 1px solid var(--line);
  text-align: left; white-space: nowrap; }
svg { width: 100%; max-width: 28rem; height: auto; }
svg text { fill: var(--text); font: 13px system-ui, sans-serif; }
.good { fill: var(--good); } .bad { fill: var(--bad); }
.limit { stroke: var(--text); stroke-dasharray: 3 3; }
</style></head><body>
<h1>Service levels</h1>
)";

std::string EscapeHtml(const std::string& text) {
  std::string output;
  for (const char c : text) {
    switch (c) {
      case '&':
        output += "&amp;";
        break;
      case '<':
        output += "&lt;";
        break;
      case '>':
        output += "&gt;";
        break;
      case '"':
        output += "&quot;";
        break;
      default:
        output += c;
    }
  }
  return output;
}

struct Bar {
  std::string name;
  double value = 0;
  std::string label;
  bool bad = false;
};

/// Each bar has its name above it, so that long names fit a phone screen.
std::string BarPlot(const std::string& title,
                    const std::vector<Bar>& bars,
                    double limit) {
  constexpr int kWidth = 360;
  constexpr int kBarWidth = 290;
  constexpr int kRowHeight = 38;
  constexpr int kLabelBaseline = 14;
  constexpr int kBarTop = 19;
  constexpr int kBarHeight = 12;
  double largest = limit;
  for (const Bar& bar : bars) {
    largest = std::max(largest, bar.value);
  }
  const auto length = [largest](double value) {
    return largest <= 0 ? 0 : static_cast<int>(kBarWidth * value / largest);
  };
  const int height = kRowHeight * static_cast<int>(bars.size());
  std::string svg = "<svg role=\"img\" viewBox=\"0 0 " +
                    std::to_string(kWidth) + " " + std::to_string(height) +
                    "\"><title>" + EscapeHtml(title) + "</title>\n";
  int top = 0;
  for (const Bar& bar : bars) {
    const std::string width = std::to_string(std::max(length(bar.value), 1));
    svg += "<text x=\"0\" y=\"" + std::to_string(top + kLabelBaseline) + "\">" +
           EscapeHtml(bar.name + ": " + bar.label) + "</text><rect class=\"" +
           (bar.bad ? "bad" : "good") + "\" x=\"0\" y=\"" +
           std::to_string(top + kBarTop) + "\" width=\"" + width +
           "\" height=\"" + std::to_string(kBarHeight) + "\"/>\n";
    top += kRowHeight;
  }
  if (limit > 0) {
    const std::string x = std::to_string(length(limit));
    svg += "<line class=\"limit\" x1=\"" + x + "\" x2=\"" + x +
           "\" y1=\"0\" y2=\"" + std::to_string(height) + "\"/>\n";
  }
  return svg + "</svg>\n";
}

/// One bar per service with the highest burn rate of its windows; the table
/// below shows all windows.
std::string BurnPlot(const json& merged) {
  std::vector<Bar> bars;
  for (const json& service : merged.at("services")) {
    Bar worst{service.at("service").get<std::string>()};
    for (const json& window : service.at("windows")) {
      const double burn = window.at("burn_rate");
      if (worst.label.empty() || burn > worst.value) {
        worst.value = burn;
        worst.label = FormatTwoDecimals(burn) + " over " +
                      FormatWindow(window.at("seconds"));
      }
    }
    worst.bad = worst.value > 1;
    bars.push_back(std::move(worst));
  }
  return BarPlot("Fastest burn rate by service; the line is 1", bars, 1);
}

std::string CostPlot(const json& merged) {
  std::vector<Bar> bars;
  for (const json& stage : merged.at("stages")) {
    bars.push_back({stage.at("service").get<std::string>() + ", " +
                        stage.at("stage").get<std::string>(),
                    stage.at("cost_micros"),
                    FormatEuros(stage.at("cost_micros")) + " euros", false});
  }
  return BarPlot("Cost by service and stage", bars, 0);
}

std::string TableHtml(const ReportTable& table) {
  if (table.rows.size() == 1) {
    return "<p>None.</p>\n";
  }
  std::string html = "<div class=\"wide\"><table>\n";
  const char* tag = "th";
  for (const auto& row : table.rows) {
    html += "<tr>";
    for (const std::string& text : row) {
      html +=
          std::string("<") + tag + ">" + EscapeHtml(text) + "</" + tag + ">";
    }
    html += "</tr>\n";
    tag = "td";
  }
  return html + "</table></div>\n";
}

}  // namespace

std::string ReportPage(const json& merged) {
  std::string page = kPageHead;
  page += "<p>" + EscapeHtml(ReportSummary(merged)) + "</p>\n";
  const std::vector<ReportTable> tables = ReportTables(merged);
  const std::vector<std::string> plots = {BurnPlot(merged), CostPlot(merged)};
  for (std::size_t i = 0; i < tables.size(); ++i) {
    page += "<h2>" + EscapeHtml(tables[i].title) + "</h2>\n";
    if (i < plots.size() && tables[i].rows.size() > 1) {
      page += plots[i];
    }
    page += TableHtml(tables[i]);
  }
  return page + "</body></html>\n";
}

}  // namespace gentianroute::ctl
