#include "gentianroute/observe/log_output.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

/// Some seconds of lines at several times the usual load.
constexpr std::size_t kMostWaiting = 512 * 1024;
constexpr Duration kFlushPeriod = std::chrono::milliseconds(100);

bool Takes(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

LogOutput::LogOutput(EventLoop& loop) : loop_(loop) {
  SetLogDestination([this](std::string_view line) { Add(line); });
  timer_ = loop_.Every(kFlushPeriod, [this] { Flush(); });
}

LogOutput::~LogOutput() {
  Flush();
  loop_.Cancel(timer_);
  SetLogDestination(nullptr);
}

void LogOutput::Add(std::string_view line) {
  if (waiting_.size() + line.size() + 1 > kMostWaiting) {
    ++dropped_;
    ++dropped_untold_;
    return;
  }
  waiting_ += line;
  waiting_ += '\n';
}

void LogOutput::Flush() {
  // A pipe that is ready takes PIPE_BUF bytes without blocking.
  std::size_t written = 0;
  while (written < waiting_.size() && Takes(STDOUT_FILENO)) {
    const std::size_t size =
        std::min<std::size_t>(PIPE_BUF, waiting_.size() - written);
    const ssize_t part = write(STDOUT_FILENO, waiting_.data() + written, size);
    if (part <= 0) {
      break;
    }
    written += static_cast<std::size_t>(part);
  }
  waiting_.erase(0, written);
  if (dropped_untold_ > 0 && waiting_.empty()) {
    LogEvent("log_lines_dropped", LogLevel::kWarning)
        .Field("lines", std::exchange(dropped_untold_, 0));
  }
}

}  // namespace gentianroute
