// Stand-ins for the platform and for backend servers. Used by tests only; never
// installed.

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "backend.h"
#include "platform.h"

int main(int argc, char** argv) {
  using gentianroute::EventLoop;
  using gentianroute::standin::Backend;
  using gentianroute::standin::Platform;

  CLI::App app{"stand-ins for the platform and for backend servers"};
  app.require_subcommand(1);
  std::uint16_t platform_port = 0;
  CLI::App* platform =
      app.add_subcommand("platform", "tables, objects and the host list");
  platform->add_option("--port", platform_port, "0: any free port");
  Backend::Options options;
  CLI::App* backend =
      app.add_subcommand("backend", "plain service and model engine");
  backend->add_option("--port", options.port, "0: any free port");
  backend->add_option("--name", options.name, "server name in responses");
  backend->add_option("--service-ms", options.service_ms, "duration of a call");
  backend->add_option("--token-ms", options.token_ms, "time between tokens");
  backend->add_option("--tokens", options.tokens, "tokens per response");
  backend->add_flag("--checks-fencing", options.checks_fencing,
                    "reject orders with a stale fencing number");
  backend->add_option("--prefill-ms", options.prefill_ms,
                      "time before the first token of an uncached prompt");
  backend->add_option("--cache-entries", options.cache_entries,
                      "prompt prefixes that the cache holds");
  backend->add_option(
      "--load-lag-ms", options.load_lag_ms,
      "interval at which the reported load is updated; 0: always current");
  CLI11_PARSE(app, argc, argv);

  EventLoop loop;
  std::unique_ptr<Platform> platform_server;
  std::unique_ptr<Backend> backend_server;
  std::uint16_t port = 0;
  if (platform->parsed()) {
    platform_server = std::make_unique<Platform>(loop, platform_port);
    port = platform_server->port();
  } else {
    backend_server = std::make_unique<Backend>(loop, options);
    port = backend_server->port();
  }
  std::printf("port=%u\n", port);
  std::fflush(stdout);
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
