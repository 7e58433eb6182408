// Unit tests of the table of requests that crash servers.

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

#include "gentianroute/decision/suspect_table.h"

using namespace gentianroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Fingerprint kCrashing{7};
constexpr Fingerprint kNeighbour{8};

struct SuspectTableFixture {
  SuspectTable table;
  TimePoint now = TimePoint{} + seconds(100);

  void Crash(const std::string& server, Fingerprint fingerprint = kCrashing) {
    table.OnCrash(now, server, 1, {&fingerprint, 1});
  }
};

/// The tables of three daemons, each of which sees one crash.
struct PeerTablesFixture {
  std::array<SuspectTable, 3> tables;
  TimePoint now = TimePoint{} + seconds(100);

  /// Reports the crashes and answers of each table to the others.
  void Exchange() {
    for (SuspectTable& from : tables) {
      for (SuspectTable& to : tables) {
        if (&from != &to) {
          Tell(from, to);
        }
      }
    }
  }
  void CrashOneAtEach() {
    for (std::size_t i = 0; i < tables.size(); ++i) {
      const std::string server = "server-" + std::to_string(i);
      tables[i].OnCrash(now, server, 1, {&kCrashing, 1});
      tables[i].OnServerDown(now, server);
    }
  }
  bool AllQuarantine() const {
    return std::ranges::all_of(tables, [this](const SuspectTable& table) {
      return table.IsQuarantined(now, kCrashing);
    });
  }

 private:
  void Tell(const SuspectTable& from, SuspectTable& to) const {
    for (const ClearanceReport& report : from.ClearanceReports(now)) {
      to.OnPeerClearance(now, report);
    }
    for (const CrashReport& report : from.CrashReports(now)) {
      to.OnPeerCrash(now, report);
    }
  }
};

}  // namespace

TestSuite(suspect_table);

// Guards against a request being refused because it ran beside the one that
// crashed two servers, when each of them reports the crash by itself.
Test(suspect_table, two_crashes_reported_by_neighbours_do_not_quarantine) {
  SuspectTableFixture fixture;
  for (const char* server : {"a", "b"}) {
    fixture.Crash(server, kCrashing);
    fixture.Crash(server, kNeighbour);
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert_not(fixture.table.IsQuarantined(fixture.now, kNeighbour));
  cr_assert_not(fixture.table.IsQuarantinePending(fixture.now, kNeighbour));
}

Test(suspect_table, two_crashes_while_alone_quarantine) {
  SuspectTableFixture fixture;
  for (const char* server : {"a", "b"}) {
    fixture.Crash(server);
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert(fixture.table.IsQuarantined(fixture.now, kCrashing));
}

// Guards against a server that restarts before the host list shows it making
// its second crash look as if another request had been in flight.
Test(suspect_table, two_crashes_of_one_incarnation_while_alone_quarantine) {
  SuspectTableFixture fixture;
  fixture.Crash("a");
  fixture.now += seconds(1);
  fixture.Crash("a");
  fixture.table.OnServerDown(fixture.now, "a");
  cr_assert(fixture.table.IsQuarantined(fixture.now, kCrashing));
}

// Guards against each daemon counting only the crashes that it has seen itself.
Test(suspect_table, crash_at_each_of_three_daemons_all_quarantine) {
  PeerTablesFixture fixture;
  fixture.CrashOneAtEach();
  cr_assert_not(fixture.AllQuarantine());
  fixture.Exchange();
  cr_assert(fixture.AllQuarantine());
}

// Guards against heartbeats that repeat a report adding up to a quarantine,
// also when a suspended process reads many of them at once.
Test(suspect_table, crash_reported_again_and_again_counts_once) {
  PeerTablesFixture fixture;
  SuspectTable& from = fixture.tables[0];
  from.OnCrash(fixture.now, "server", 1, {&kCrashing, 1});
  from.OnServerDown(fixture.now, "server");
  for (int i = 0; i < 20; ++i) {
    for (const CrashReport& report :
         from.CrashReports(fixture.now + i * milliseconds(100))) {
      fixture.tables[1].OnPeerCrash(fixture.now + seconds(3), report);
    }
  }
  cr_assert_eq(fixture.tables[1].CrashesOf(kCrashing), 1);
}

// Guards against callers of a popular request being refused because servers
// crashed for another reason: an answer at any daemon clears it at all.
Test(suspect_table, answer_at_another_daemon_clears_earlier_crashes) {
  PeerTablesFixture fixture;
  fixture.CrashOneAtEach();
  fixture.now += milliseconds(50);
  fixture.tables[0].OnAnswered(fixture.now, kCrashing);
  fixture.Exchange();
  fixture.Exchange();
  for (const SuspectTable& table : fixture.tables) {
    cr_assert_eq(table.CrashesOf(kCrashing), 0);
  }
  fixture.CrashOneAtEach();
  cr_assert_eq(fixture.tables[1].CrashesOf(kCrashing), 0,
               "the report is as old as the answer");
}

// Guards against heartbeats that grow with the number of crashes.
Test(suspect_table, many_crashes_reports_are_bounded_and_worst_come_first) {
  SuspectTableFixture fixture;
  for (std::uint64_t i = 0; i < 100; ++i) {
    fixture.Crash("server-" + std::to_string(i), Fingerprint{1000 + i});
  }
  fixture.Crash("a");
  fixture.Crash("b");
  fixture.now += milliseconds(10);
  fixture.Crash("c", kNeighbour);
  const auto reports = fixture.table.CrashReports(fixture.now);
  cr_assert_eq(reports.size(), SuspectTable::Options{}.max_reports);
  cr_assert(reports[0].fingerprint == kCrashing);
  cr_assert(reports[1].fingerprint == kCrashing);
  cr_assert(reports[2].fingerprint == kNeighbour);
}

// Guards against evidence being told for ever.
Test(suspect_table, old_crash_is_not_reported) {
  SuspectTableFixture fixture;
  fixture.Crash("a");
  fixture.now += SuspectTable::Options{}.report_duration;
  cr_assert(fixture.table.CrashReports(fixture.now).empty());
}

// Guards against evidence lapsing while nothing can confirm it, which let a
// request crash three more servers each time.
Test(suspect_table, crashes_cannot_be_confirmed_evidence_is_kept) {
  SuspectTableFixture fixture;
  fixture.table.SetConfirmable(fixture.now, false);
  for (const char* server : {"a", "b", "c"}) {
    fixture.Crash(server);
  }
  fixture.now += seconds(60);
  fixture.table.Sweep(fixture.now);
  cr_assert(fixture.table.IsQuarantinePending(fixture.now, kCrashing));
  fixture.table.SetConfirmable(fixture.now, true);
  fixture.now += seconds(2);
  for (const char* server : {"a", "b", "c"}) {
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert(fixture.table.IsQuarantined(fixture.now, kCrashing));
}

// Guards against a request being refused for good because its connections broke
// during an outage, though the servers live on.
Test(suspect_table, crashes_stay_unconfirmed_after_an_outage_evidence_lapses) {
  SuspectTableFixture fixture;
  fixture.table.SetConfirmable(fixture.now, false);
  for (const char* server : {"a", "b", "c"}) {
    fixture.Crash(server);
  }
  fixture.now += seconds(60);
  fixture.table.SetConfirmable(fixture.now, true);
  fixture.now += seconds(4);
  fixture.table.Sweep(fixture.now);
  cr_assert_not(fixture.table.IsQuarantinePending(fixture.now, kCrashing));
}

// Guards against an outage reviving evidence that had lapsed before.
Test(suspect_table, evidence_lapses_before_an_outage_it_does_not_return) {
  SuspectTableFixture fixture;
  for (const char* server : {"a", "b", "c"}) {
    fixture.Crash(server);
  }
  fixture.now += seconds(4);
  fixture.table.SetConfirmable(fixture.now, false);
  cr_assert_not(fixture.table.IsQuarantinePending(fixture.now, kCrashing));
}

// Guards against the crashes of two data centres never being added up when only
// some daemons of each tell the other one.
Test(suspect_table, crashes_told_by_a_peer_are_told_on) {
  PeerTablesFixture fixture;
  for (const char* server : {"a", "b"}) {
    fixture.tables[0].OnCrash(fixture.now, server, 1, {&kCrashing, 1});
  }
  for (const CrashReport& report :
       fixture.tables[0].CrashReports(fixture.now)) {
    fixture.tables[1].OnPeerCrash(fixture.now, report);
  }
  cr_assert_eq(fixture.tables[1].CrashReports(fixture.now).size(), 2);
}

// Guards against the volume of heartbeats growing with all requests that ran at
// any server that has crashed.
Test(suspect_table, single_crash_told_by_a_peer_is_not_told_on) {
  PeerTablesFixture fixture;
  fixture.tables[0].OnCrash(fixture.now, "a", 1, {&kCrashing, 1});
  for (const CrashReport& report :
       fixture.tables[0].CrashReports(fixture.now)) {
    fixture.tables[1].OnPeerCrash(fixture.now, report);
  }
  cr_assert(fixture.tables[1].CrashReports(fixture.now).empty());
}

// Guards against sound requests whose answers have no length being held back,
// and against crashes that end such answers never being counted.
Test(suspect_table, answers_without_end_count_only_if_the_servers_are_down) {
  SuspectTableFixture fixture;
  for (const char* server : {"a", "b", "c"}) {
    fixture.table.OnAnswerWithoutEnd(fixture.now, server, 1, kCrashing);
  }
  cr_assert_not(fixture.table.IsQuarantinePending(fixture.now, kCrashing));
  cr_assert(fixture.table.CrashReports(fixture.now).empty());
  for (const char* server : {"a", "b", "c"}) {
    fixture.table.OnServerDown(fixture.now, server);
  }
  cr_assert(fixture.table.IsQuarantined(fixture.now, kCrashing));
  cr_assert_eq(fixture.table.CrashReports(fixture.now).size(), 3);
}
