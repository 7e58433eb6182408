// Main program of the daemon, which runs once on each entry host.

#include <malloc.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/leaf.hpp>

#include "gentianroute/entry/daemon.h"
#include "gentianroute/observe/log.h"
#include "platform/serve.h"

namespace {

namespace leaf = boost::leaf;
using gentianroute::Daemon;
using gentianroute::EventLoop;
using gentianroute::LogEvent;
using gentianroute::LogLevel;
using gentianroute::SchemaError;
using gentianroute::Settings;

constexpr int kExitInvalid = 2;
constexpr int kExitFailed = 1;
/// Usual port of exporters in the Prometheus text format.
constexpr std::uint16_t kMetricsPort = 9464;

/// Returns the memory of large blocks to the host as soon as they are freed.
/// glibc would raise both thresholds with the size of the blocks that have been
/// freed, and then keep bodies of requests long after they are gone.
void ReturnFreedMemory() {
  constexpr int kMmapThresholdBytes = 256 * 1024;
  constexpr int kTrimThresholdBytes = 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

int Serve(const Settings& settings) {
  const char* event = "start_failed";
  try {
    EventLoop loop;
    Daemon daemon(loop, settings);
    daemon.SetStopCallback([&loop] { loop.Stop(); });
    loop.OnSignal(SIGTERM, [&] { daemon.Drain([&loop] { loop.Stop(); }); });
    loop.OnSignal(SIGINT, [&] { daemon.Drain([&loop] { loop.Stop(); }); });
    event = "run_failed";
    loop.Run();
    LogEvent("stopped");
    return 0;
  } catch (const std::exception& error) {
    LogEvent(event, LogLevel::kError).Field("error", error.what());
    return kExitFailed;
  }
}

}  // namespace

int main(int argc, char** argv) {
  ReturnFreedMemory();
  EventLoop::BlockSignals({SIGTERM, SIGINT});
  CLI::App app{"gentianroute serves multi-stage model pipelines"};
  std::string file;
  bool check_only = false;
  bool on_platform = false;
  std::uint16_t metrics_port = kMetricsPort;
  auto* settings =
      app.add_option("--settings", file, "settings file, JSON with comments");
  app.add_flag(
         "--platform", on_platform,
         "run on the users' platform, with the settings file that it provides")
      ->excludes(settings);
  app.add_option("--metrics-port", metrics_port,
                 "port of the metrics endpoint, with --platform");
  app.add_flag("--check", check_only, "check the settings and exit");
  app.set_version_flag("--version", "gentianroute 0.1.0");
  CLI11_PARSE(app, argc, argv);

  gentianroute::InitialiseLogging(argv[0]);
  if (on_platform) {
    return gentianroute::platform::Serve(metrics_port, check_only);
  }
  if (file.empty()) {
    std::fprintf(stderr, "--settings or --platform is required\n");
    return kExitInvalid;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, Settings::Load(file));
        if (check_only) {
          return 0;
        }
        return Serve(settings);
      },
      [](const SchemaError& error) {
        std::fprintf(stderr, "%s\n", error.Text().c_str());
        return kExitInvalid;
      },
      [] { return kExitFailed; });
}
