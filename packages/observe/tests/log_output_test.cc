#include "gentianroute/observe/log_output.h"

#include <unistd.h>

#include <criterion/criterion.h>

#include <string>

#include "gentianroute/observe/log.h"

using namespace gentianroute;

namespace {

/// A pipe that is read only by ReadSome().
struct PipeFixture {
  EventLoop loop;
  int pipe_ends[2] = {-1, -1};

  PipeFixture() { cr_assert_eq(pipe(pipe_ends), 0); }
  ~PipeFixture() {
    close(pipe_ends[0]);
    close(pipe_ends[1]);
  }
  void RunFor(Duration time) {
    loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  std::string ReadSome() {
    std::string text(64 * 1024, '\0');
    const ssize_t size = read(pipe_ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }
};

constexpr Duration kSeveralFlushIntervals = std::chrono::milliseconds(250);

}  // namespace

// The reader of the log output stops. Without a buffer, the next write would
// block the daemon and every request. The daemon must continue, count the lines
// that do not fit, and log their number once the reader continues.
Test(log_output, stopped_reader_does_not_block_the_daemon) {
  PipeFixture fixture;
  const LogOutput output(fixture.loop, fixture.pipe_ends[1]);
  const std::string long_value(1000, 'v');
  constexpr int kLines = 2000;
  for (int i = 0; i < kLines; ++i) {
    LogEvent("step")
        .ForRequest("r" + std::to_string(i), LogPriority::kLow)
        .Field("value", long_value);
  }
  fixture.RunFor(kSeveralFlushIntervals);
  cr_assert_gt(output.dropped(), 0);
  std::string read;
  while (read.find("event=log_lines_dropped") == std::string::npos) {
    read += fixture.ReadSome();
    fixture.RunFor(kSeveralFlushIntervals);
  }
  cr_assert(read.find("event=step id=r0 ") != std::string::npos);
}
