#include "gentianroute/observe/log_output.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "gentianroute/observe/log.h"

namespace gentianroute {
namespace {

/// Holds the lines of some seconds at several times the usual load.
constexpr std::size_t kMaxBufferedBytes = 512 * 1024;
constexpr Duration kFlushInterval = std::chrono::milliseconds(100);

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

LogOutput::LogOutput(EventLoop& loop, int descriptor)
    : loop_(loop), descriptor_(descriptor), buffer_(kMaxBufferedBytes) {
  SetLogDestination([this](const LogLine& line) { buffer_.Add(line); });
  timer_ = loop_.Every(kFlushInterval, [this] { Flush(); });
}

LogOutput::~LogOutput() {
  Flush();
  loop_.Cancel(timer_);
  SetLogDestination(nullptr);
}

void LogOutput::Flush() {
  // A pipe that poll() reports as writable accepts PIPE_BUF bytes without
  // blocking.
  const std::string_view pending = buffer_.pending();
  std::size_t written = 0;
  while (written < pending.size() && IsWritable(descriptor_)) {
    const std::size_t size =
        std::min<std::size_t>(PIPE_BUF, pending.size() - written);
    const ssize_t count = write(descriptor_, pending.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  buffer_.OnWritten(written);
  if (!buffer_.pending().empty()) {
    return;
  }
  if (const std::uint64_t lines = buffer_.TakeDropped(); lines > 0) {
    LogEvent("log_lines_dropped", LogLevel::kWarning).Field("lines", lines);
  }
}

}  // namespace gentianroute
