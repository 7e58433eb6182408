#include "gentianroute/observe/log.h"

#include <glog/logging.h>

#include <array>
#include <chrono>
#include <ctime>
#include <utility>

namespace gentianroute {
namespace {

constexpr std::array<const char*, 3> kLevelNames = {"info", "warning", "error"};

std::string FormatCurrentTime() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          now.time_since_epoch())
                          .count() %
                      1'000'000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 16> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%06ldZ",
                static_cast<long>(micros));
  return std::string(text.data()) + fraction.data();
}

LogDestination& Destination() {
  static LogDestination destination;
  return destination;
}

}  // namespace

void SetLogDestination(LogDestination destination) {
  Destination() = std::move(destination);
}

std::string QuoteLogValue(std::string_view value) {
  const bool plain = !value.empty() && value.find_first_of(" \"=\\\n\r\t") ==
                                           std::string_view::npos;
  if (plain) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    switch (c) {
      case '"':
      case '\\':
        quoted += '\\';
        quoted += c;
        break;
      case '\n':
        quoted += "\\n";
        break;
      case '\r':
        quoted += "\\r";
        break;
      default:
        quoted += c;
    }
  }
  return quoted + "\"";
}

LogEvent::LogEvent(std::string_view event, LogLevel level) : level_(level) {
  line_ = "time=" + FormatCurrentTime() +
          " level=" + kLevelNames[static_cast<std::size_t>(level)];
  Field("event", event);
}

LogEvent::~LogEvent() {
  if (Destination()) {
    Destination()({line_, priority_, request_hash_});
    return;
  }
  switch (level_) {
    case LogLevel::kInfo:
      LOG(INFO) << line_;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line_;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line_;
      break;
  }
}

LogEvent& LogEvent::ForRequest(std::string_view request, LogPriority priority) {
  priority_ = priority;
  request_hash_ = std::hash<std::string_view>{}(request);
  return Field("id", request);
}

LogEvent& LogEvent::Field(std::string_view key, std::string_view value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += QuoteLogValue(value);
  return *this;
}

void InitialiseLogging(const char* program) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(program);
}

}  // namespace gentianroute
