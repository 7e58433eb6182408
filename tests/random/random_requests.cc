// Runs seeded random request histories against the decision code; see
// request_simulation.h.

#include <CLI/CLI.hpp>
#include <cstdio>

#include "request_simulation.h"

namespace {

void Print(std::uint64_t seed,
           const gentianroute::testing::SimulationReport& r) {
  const auto print = [](const char* name, std::uint64_t value) {
    std::printf(" %s=%llu", name, static_cast<unsigned long long>(value));
  };
  std::printf("seed=%llu", static_cast<unsigned long long>(seed));
  print("events", r.events);
  print("submitted", r.submitted);
  print("answered", r.answered);
  print("not_run", r.not_run);
  print("unknown", r.unknown);
  print("lost_with_daemon", r.lost_with_daemon);
  print("effects", r.effects);
  print("replayed", r.replayed);
  print("kills", r.kills);
  print("freezes", r.freezes);
  print("poisons", r.poisons);
  print("poison_crashes", r.poison_crashes);
  print("worst_poison", r.worst_poison);
  print("innocent_quarantined", r.innocent_quarantined);
  print("late", r.late);
  print("crossed", r.crossed);
  print("resumed", r.resumed);
  std::printf("\n");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Random request histories; aborts when an invariant breaks");
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  std::uint64_t events = 30'000;
  app.add_option("--seed", seed, "first seed");
  app.add_option("--seeds", seeds, "number of seeds");
  app.add_option("--events", events,
                 "events per seed before the requests stop");
  CLI11_PARSE(app, argc, argv);
  for (std::uint64_t next = seed; next < seed + seeds; ++next) {
    std::printf("begin seed=%llu\n", static_cast<unsigned long long>(next));
    std::fflush(stdout);
    Print(next, gentianroute::testing::RequestSimulation(next, events).Run());
  }
  return 0;
}
