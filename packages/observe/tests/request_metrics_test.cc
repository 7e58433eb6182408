#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gentianroute/observe/request_metrics.h"

#include <criterion/criterion.h>

namespace {

using gentianroute::Catalogue;
using gentianroute::ErrorKind;
using gentianroute::FinishRequest;
using gentianroute::MetricWriter;
using gentianroute::Profile;
using gentianroute::RequestMetrics;
using std::chrono::milliseconds;

using LabelMap = std::map<std::string, std::string>;

/// Strict parser of the Prometheus text format 0.0.4 that reports any
/// unexpected input as an error.
class MetricParser {
 public:
  explicit MetricParser(const std::string& text) : text_(text) {
    while (error_.empty() && position_ < text_.size()) {
      ParseLine();
    }
  }

  const std::string& error() const { return error_; }
  const std::map<std::string, std::map<LabelMap, double>>& samples() const {
    return samples_;
  }
  double Value(const std::string& name, const LabelMap& labels) const {
    const auto metric = samples_.find(name);
    if (metric == samples_.end()) {
      return -1;
    }
    const auto sample = metric->second.find(labels);
    return sample == metric->second.end() ? -1 : sample->second;
  }

 private:
  bool Accept(const std::string& token) {
    if (text_.compare(position_, token.size(), token) != 0) {
      return false;
    }
    position_ += token.size();
    return true;
  }
  void Fail(const std::string& reason) {
    error_ = reason + " at byte " + std::to_string(position_);
  }
  std::string ParseName() {
    std::string name;
    while (position_ < text_.size() &&
           (std::isalnum(static_cast<unsigned char>(text_[position_])) != 0 ||
            text_[position_] == '_')) {
      name += text_[position_++];
    }
    if (name.empty() ||
        std::isdigit(static_cast<unsigned char>(name[0])) != 0) {
      Fail("no name");
    }
    return name;
  }
  std::string ParseRestOfLine() {
    const std::size_t end = text_.find('\n', position_);
    if (end == std::string::npos) {
      Fail("no end of line");
      return {};
    }
    std::string rest = text_.substr(position_, end - position_);
    position_ = end + 1;
    return rest;
  }
  void ParseLine() {
    if (Accept("# HELP ")) {
      metric_ = ParseName();
      type_.clear();
      if (!seen_.insert(metric_).second) {
        Fail("duplicate HELP line of " + metric_);
      }
      if (ParseRestOfLine().size() < 2) {
        Fail("no help");
      }
    } else if (Accept("# TYPE ")) {
      if (ParseName() != metric_ || !Accept(" ")) {
        Fail("TYPE does not follow its HELP");
      }
      type_ = ParseRestOfLine();
      if (type_ != "counter" && type_ != "histogram" && type_ != "gauge") {
        Fail("unknown type " + type_);
      }
    } else {
      ParseSample();
    }
  }
  void ParseSample() {
    const std::string name = ParseName();
    const bool belongs_to_metric = type_ == "histogram"
                                       ? name == metric_ + "_bucket" ||
                                             name == metric_ + "_sum" ||
                                             name == metric_ + "_count"
                                       : !type_.empty() && name == metric_;
    if (!belongs_to_metric) {
      Fail(name + " does not belong to " + metric_);
      return;
    }
    LabelMap labels;
    if (Accept("{")) {
      do {
        ParseLabel(labels);
      } while (error_.empty() && Accept(","));
      if (!Accept("}")) {
        Fail("no }");
      }
    }
    if (!Accept(" ")) {
      Fail("no space");
      return;
    }
    const std::string number = ParseRestOfLine();
    char* end = nullptr;
    const double value = std::strtod(number.c_str(), &end);
    if (number.empty() || *end != '\0') {
      Fail("no number");
    }
    if (!samples_[name].emplace(labels, value).second) {
      Fail("duplicate sample of " + name);
    }
  }
  void ParseLabel(LabelMap& labels) {
    const std::string name = ParseName();
    if (!Accept("=\"")) {
      Fail("no value");
      return;
    }
    std::string value;
    while (position_ < text_.size() && text_[position_] != '"') {
      if (text_[position_] == '\n') {
        Fail("unescaped newline in a label");
        return;
      }
      if (text_[position_] == '\\') {
        ++position_;
        const char c = text_[position_];
        if (c != 'n' && c != '\\' && c != '"') {
          Fail("unknown escape");
          return;
        }
        value += c == 'n' ? '\n' : c;
      } else {
        value += text_[position_];
      }
      ++position_;
    }
    if (!Accept("\"") || !labels.emplace(name, value).second) {
      Fail("bad label " + name);
    }
  }

  std::string text_;
  std::size_t position_ = 0;
  std::string error_;
  std::string metric_;
  std::string type_;
  std::set<std::string> seen_;
  std::map<std::string, std::map<LabelMap, double>> samples_;
};

constexpr const char* kNameWithSpecialCharacters = "dr\"af\\t\ns";

gentianroute::CatalogueRef DeclaredCatalogue() {
  auto catalogue = std::make_shared<Catalogue>();
  auto profile = std::make_shared<Profile>();
  profile->name = "p";
  profile->stages = {{.name = "encode", .pool = "e"},
                     {.name = "generate", .pool = "g"}};
  catalogue->profiles["p"] = profile;
  catalogue->services["drafts"] = {"drafts", "p"};
  catalogue->services[kNameWithSpecialCharacters] = {kNameWithSpecialCharacters,
                                                     "p"};
  return catalogue;
}

FinishRequest MakeFinishedRequest(const std::string& service) {
  FinishRequest finish;
  finish.service = service;
  finish.profile = "p";
  finish.took = milliseconds(100);
  finish.first_token = milliseconds(30);
  finish.stages = {{.stage = "generate",
                    .queued = milliseconds(3),
                    .took = milliseconds(80),
                    .attempts = 4,
                    .hedges = 1,
                    .units = 40,
                    .billed_bytes = 1000,
                    .cost = 12}};
  return finish;
}

MetricParser ParseMetrics(const RequestMetrics& metrics) {
  MetricWriter writer;
  metrics.Write(writer);
  WriteCounters(writer, {.submitted = 7, .hedges = 2});
  return MetricParser(writer.text());
}

}  // namespace

Test(request_metrics, finished_requests_can_be_parsed_from_the_text_format) {
  RequestMetrics metrics;
  metrics.SetCatalogue(DeclaredCatalogue());
  FinishRequest finish = MakeFinishedRequest("drafts");
  metrics.Observe(finish);
  metrics.Observe(MakeFinishedRequest(kNameWithSpecialCharacters));
  finish.error = ErrorKind::kOverloaded;
  finish.stages.clear();
  metrics.Observe(finish);

  const MetricParser read = ParseMetrics(metrics);
  cr_assert_eq(read.error(), "", "%s", read.error().c_str());
  const LabelMap request = {{"service", "drafts"}, {"profile", "p"}};
  cr_expect_eq(read.Value("gentianroute_answers_total", request), 1);
  cr_expect_eq(read.Value("gentianroute_errors_total", {{"service", "drafts"},
                                                        {"profile", "p"},
                                                        {"kind", "overloaded"},
                                                        {"work", "not_run"}}),
               1);
  cr_expect_eq(read.Value("gentianroute_request_seconds_count", request), 2);
  cr_expect_float_eq(read.Value("gentianroute_request_seconds_sum", request),
                     0.2, 1e-9);
  cr_expect_eq(
      read.Value("gentianroute_answers_total",
                 {{"service", kNameWithSpecialCharacters}, {"profile", "p"}}),
      1);
  LabelMap stage = request;
  stage["stage"] = "generate";
  cr_expect_eq(read.Value("gentianroute_stage_attempts_total", stage), 4);
  cr_expect_eq(read.Value("gentianroute_stage_retries_total", stage), 2);
  cr_expect_eq(read.Value("gentianroute_stage_hedges_total", stage), 1);
  cr_expect_eq(read.Value("gentianroute_stage_units_total", stage), 40);
  cr_expect_eq(read.Value("gentianroute_stage_billed_bytes_total", stage),
               1000);
  cr_expect_eq(read.Value("gentianroute_stage_cost_micros_total", stage), 12);
  cr_expect_eq(read.Value("gentianroute_requests_total", {}), 7);
  cr_expect_eq(read.Value("gentianroute_hedges_total", {}), 2);
}

Test(request_metrics, buckets_include_their_bound_and_are_cumulative) {
  RequestMetrics metrics;
  metrics.SetCatalogue(DeclaredCatalogue());
  for (const auto took :
       {std::chrono::microseconds(100'000), std::chrono::microseconds(100'001),
        std::chrono::microseconds(90'000'000)}) {
    FinishRequest finish = MakeFinishedRequest("drafts");
    finish.took = took;
    metrics.Observe(finish);
  }
  const MetricParser read = ParseMetrics(metrics);
  const auto bucket = [&read](const std::string& bound) {
    return read.Value("gentianroute_request_seconds_bucket",
                      {{"service", "drafts"}, {"profile", "p"}, {"le", bound}});
  };
  cr_expect_eq(bucket("0.05"), 0);
  cr_expect_eq(bucket("0.1"), 1);
  cr_expect_eq(bucket("0.25"), 2);
  cr_expect_eq(bucket("60"), 2);
  cr_expect_eq(bucket("+Inf"), 3);
}

// Callers who try random names must not create time series: each would be kept
// forever and exhaust the memory of the daemon and the monitoring system. Only
// declared names become labels, up to a maximum number.
Test(request_metrics, undeclared_names_share_one_series) {
  RequestMetrics metrics;
  metrics.SetCatalogue(DeclaredCatalogue());
  for (int i = 0; i < 1000; ++i) {
    FinishRequest finish = MakeFinishedRequest("guess-" + std::to_string(i));
    finish.profile = finish.service;
    finish.stages[0].stage = finish.service;
    metrics.Observe(finish);
  }
  cr_expect_eq(metrics.label_sets(), 2U);
  cr_expect_eq(
      ParseMetrics(metrics).Value("gentianroute_answers_total",
                                  {{"service", "other"}, {"profile", "other"}}),
      1000);
}

Test(request_metrics, label_sets_beyond_the_maximum_are_counted_under_other) {
  RequestMetrics metrics({.max_label_sets = 10});
  auto catalogue = std::make_shared<Catalogue>(*DeclaredCatalogue());
  for (int i = 0; i < 100; ++i) {
    const std::string name = "s" + std::to_string(i);
    catalogue->services[name] = {name, "p"};
  }
  metrics.SetCatalogue(catalogue);
  for (int i = 0; i < 100; ++i) {
    metrics.Observe(MakeFinishedRequest("s" + std::to_string(i)));
  }
  // The two sets labelled `other` are not counted against the maximum.
  cr_expect_eq(metrics.label_sets(), 12U);
  cr_expect_eq(
      ParseMetrics(metrics).Value("gentianroute_answers_total",
                                  {{"service", "other"}, {"profile", "other"}}),
      95);
}
