#include "gentianroute/decision/usage_ledger.h"

#include <string>

#include <criterion/criterion.h>

using namespace gentianroute;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{} + seconds(10);

}  // namespace

Test(usage_ledger, usage_halves_every_half_life) {
  UsageLedger ledger;
  ledger.Charge(kStart, "org", "s", 8);
  const auto heaviest = ledger.Heaviest(kStart + seconds(60), 1);
  cr_assert_float_eq(heaviest.at(0).cost, 2, 1e-9);
}

Test(usage_ledger, later_usage_outranks_equal_earlier_usage) {
  UsageLedger ledger;
  ledger.Charge(kStart, "early", "s", 1);
  ledger.Charge(kStart + seconds(30), "late", "s", 1);
  cr_assert(ledger.OrganisationRank("late") > ledger.OrganisationRank("early"));
}

// If the records were never rescaled, the scale would overflow a double after
// some hours: all ranks would become infinite and compare equal.
Test(usage_ledger, days_pass_ranks_stay_finite_and_in_order) {
  UsageLedger ledger;
  TimePoint now = kStart;
  for (int i = 0; i < 48; ++i) {
    now += hours(1);
    ledger.Charge(now, "heavy", "s", 10);
    ledger.Charge(now, "light", "s", 1);
  }
  cr_assert(ledger.epoch() > 0);
  cr_assert_float_eq(
      ledger.OrganisationRank("heavy") / ledger.OrganisationRank("light"), 10,
      1e-6);
}

// A subscriber spreads its calls over all daemons, so its usage at each of them
// is small. The usage reported by peers must be added to the local usage.
Test(usage_ledger, usage_at_peers_counts_and_is_replaced_not_added) {
  UsageLedger ledger;
  ledger.Charge(kStart, "light", "s", 2);
  ledger.Charge(kStart, "spread", "s", 1);
  ledger.SetRemote(kStart, "peer", {{{"spread", ""}, 5}});
  cr_assert(ledger.OrganisationRank("spread") >
            ledger.OrganisationRank("light"));
  const double once = ledger.OrganisationRank("spread");
  ledger.SetRemote(kStart, "peer", {{{"spread", ""}, 5}});
  cr_assert_float_eq(ledger.OrganisationRank("spread"), once, 1e-9);
  ledger.DropRemote("peer");
  cr_assert(ledger.OrganisationRank("spread") <
            ledger.OrganisationRank("light"));
}

// Usage reported by a peer must not be sent on: otherwise two daemons would get
// their own usage back from each other and double it with each exchange.
Test(usage_ledger, heaviest_returns_local_usage_only) {
  UsageLedger ledger;
  ledger.SetRemote(kStart, "peer", {{{"remote", ""}, 50}});
  ledger.Charge(kStart, "local", "s", 1);
  for (const UsageRecord& use : ledger.Heaviest(kStart, 10)) {
    cr_assert_eq(use.name.organisation, "local");
  }
}

Test(usage_ledger, sweep_keeps_the_heaviest_within_the_limit) {
  UsageLedger::Options options;
  options.max_records = 100;
  UsageLedger ledger(options);
  ledger.Charge(kStart, "heavy", "s", 1000);
  for (int i = 0; i < 1000; ++i) {
    ledger.Charge(kStart, "org" + std::to_string(i), "", 1 + i % 7);
  }
  cr_assert(ledger.record_count() <= 101);
  cr_assert(ledger.OrganisationRank("heavy") > 0);
}
