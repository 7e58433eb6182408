#include "decision_fixture.h"

#include <set>

#include <criterion/criterion.h>

using namespace gentianroute;           // NOLINT(google-build-using-namespace)
using namespace gentianroute::testing;  // NOLINT(google-build-using-namespace)

namespace {

std::vector<HostRecord> Encoders(std::size_t count, std::uint32_t slots) {
  std::vector<HostRecord> hosts;
  for (std::size_t i = 1; i <= count; ++i) {
    hosts.push_back(HostOf("e" + std::to_string(i), "encode", slots));
  }
  return hosts;
}

/// @brief Adds a service of one stage whose calls don't time out in the test.
void AddSingleStageService(Bench& bench,
                           const std::string& name,
                           StageSpec stage) {
  auto catalogue = std::make_shared<Catalogue>(*TestCatalogue());
  stage.first_byte_timeout = seconds(60);
  AddService(*catalogue, name, {std::move(stage)});
  bench.coordinator().SetCatalogue(catalogue);
}

/// @brief Runs all requests to completion. A server that runs a request of
/// `crashing` crashes; the calls of other servers are answered.
/// @return number of crashes
int RunToEnd(Bench& bench, const std::set<std::string>& crashing) {
  int lost = 0;
  for (std::size_t next = 0; next < bench.starts.size(); ++next) {
    const StartAttempt start = bench.starts.at(next);
    const std::string server = start.server->host.name;
    std::vector<AttemptId> running = bench.RunningAt(server);
    if (std::ranges::find(running, start.attempt) == running.end()) {
      continue;
    }
    bool crashes = false;
    for (const AttemptId attempt : running) {
      const auto at =
          std::ranges::find(bench.starts, attempt, &StartAttempt::attempt);
      const Request* request = bench.coordinator().Find(at->request);
      crashes |= crashing.contains(request->submission.body_digest);
      // All calls of the server are written when the first is reached.
      if (bench.coordinator().Find(at->request)->calls_maybe_run <
          request->attempts_made) {
        bench.Write(attempt);
      }
    }
    if (crashes) {
      ++lost;
      bench.Crash(server);
    } else {
      bench.Answer(start.attempt, "1");
    }
  }
  return lost;
}

}  // namespace

// One of twelve calls on a server crashes it. The other eleven, more than the
// retry budget covers, must be answered. The request that crashes servers fails
// after two crashes, and its resend is refused.
Test(crashes, crashing_request_in_a_batch_crashes_two_servers_and_fails_alone) {
  Bench bench(Encoders(4, 12));
  // Only one server is up at first, so all twelve run there.
  bench.List(Encoders(1, 12));
  std::vector<RequestId> innocent;
  innocent.reserve(11);
  const RequestId crashing = bench.Submit(SubmissionOf("lookups", "crashing"));
  for (int i = 0; i < 11; ++i) {
    innocent.push_back(
        bench.Submit(SubmissionOf("lookups", "i" + std::to_string(i))));
  }
  bench.List(Encoders(4, 12));
  cr_assert_eq(RunToEnd(bench, {"crashing"}), 2);
  for (const RequestId id : innocent) {
    cr_assert(!bench.FinishOf(id)->error.has_value());
  }
  cr_assert(bench.FinishOf(crashing)->error == ErrorKind::kStageFailed);
  const RequestId resend = bench.Submit(SubmissionOf("lookups", "crashing"));
  cr_assert(bench.FinishOf(resend)->error == ErrorKind::kQuarantined);
  cr_assert_eq(bench.core.suspects.Quarantined(bench.now).size(), 1U);
}

// Two requests of a batch crash servers. Each suspect is retried on a server
// without another suspect, so each second crash identifies one of them: three
// crashes in all, and both are quarantined.
Test(crashes, two_crashing_requests_in_a_batch_crash_three_servers) {
  Bench bench(Encoders(4, 6));
  bench.List(Encoders(1, 6));
  std::vector<RequestId> innocent;
  innocent.reserve(11);
  bench.Submit(SubmissionOf("lookups", "g1"));
  bench.Submit(SubmissionOf("lookups", "g2"));
  for (int i = 0; i < 4; ++i) {
    innocent.push_back(
        bench.Submit(SubmissionOf("lookups", "i" + std::to_string(i))));
  }
  bench.List(Encoders(4, 6));
  cr_assert_eq(RunToEnd(bench, {"g1", "g2"}), 3);
  for (const RequestId id : innocent) {
    cr_assert(!bench.FinishOf(id)->error.has_value());
  }
  cr_assert_eq(bench.core.suspects.Quarantined(bench.now).size(), 2U);
}

// The caller resends a request that is crashing servers. Suspects with the same
// fingerprint must not run in parallel; once one is quarantined, the other is
// refused without another crash.
Test(crashes, duplicates_of_a_crashing_request_do_not_run_in_parallel) {
  Bench bench(Encoders(4, 4));
  const RequestId first = bench.Submit(SubmissionOf("lookups", "crashing"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash(bench.starts.at(0).server->host.name);
  const RequestId duplicate = bench.Submit(SubmissionOf("lookups", "crashing"));
  cr_assert_eq(bench.starts.size(), 2U);
  bench.Write(bench.starts.at(1).attempt);
  bench.Crash(bench.starts.at(1).server->host.name);
  cr_assert_eq(bench.starts.size(), 2U);
  cr_assert(bench.FinishOf(first)->error == ErrorKind::kStageFailed);
  cr_assert(bench.FinishOf(duplicate)->error == ErrorKind::kQuarantined);
}

// A peer quarantines a request while it waits here. It must be refused as
// quarantined, without having run.
Test(crashes, quarantine_by_a_peer_refuses_a_waiting_request) {
  Bench bench(Encoders(1, 1));
  bench.Submit(SubmissionOf("lookups", "first"));
  const Submission crashing = SubmissionOf("lookups", "crashing");
  const RequestId id = bench.Submit(crashing);
  bench.core.suspects.OnPeerQuarantine(bench.now, crashing.fingerprint,
                                       seconds(60));
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kQuarantined);
  cr_assert_eq(bench.starts.size(), 1U);
}

// The request passes its first stage and crashes servers in its second. The
// answer of the first stage must not clear the suspicion, or its resends would
// crash servers forever.
Test(crashes, answered_first_stage_does_not_clear_a_suspect) {
  Bench bench({HostOf("e1", "encode"), HostOf("g1", "generate"),
               HostOf("g2", "generate"), HostOf("g3", "generate")});
  auto catalogue = std::make_shared<Catalogue>(*TestCatalogue());
  StageSpec once = StageOf("generate");
  once.max_attempts = 1;
  AddService(*catalogue, "letters", {StageOf("encode"), once});
  bench.coordinator().SetCatalogue(catalogue);
  for (int i = 0; i < 2; ++i) {
    bench.Submit(SubmissionOf("letters", "crashing"));
    bench.Write(bench.starts.back().attempt);
    bench.Answer(bench.starts.back().attempt, "1");
    bench.Write(bench.starts.back().attempt);
    bench.Crash(bench.starts.back().server->host.name);
  }
  const RequestId third = bench.Submit(SubmissionOf("letters", "crashing"));
  cr_assert(bench.FinishOf(third)->error == ErrorKind::kQuarantined);
}

// A suspect waits for a request with the same fingerprint to end. When that one
// ends, the suspect must start at once, not at its deadline.
Test(crashes, held_suspect_runs_when_its_duplicate_in_another_pool_ends) {
  Bench bench({HostOf("e1", "encode"), HostOf("e2", "encode")});
  const RequestId first = bench.Submit(SubmissionOf("lookups", "x"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash(bench.starts.at(0).server->host.name);
  const RequestId duplicate = bench.Submit(SubmissionOf("lookups", "x"));
  bench.Write(bench.starts.at(1).attempt);
  bench.Answer(bench.starts.at(1).attempt, "1");
  cr_assert(!bench.FinishOf(first)->error.has_value());
  cr_assert_eq(bench.starts.size(), 3U);
  bench.Answer(bench.starts.at(2).attempt, "1");
  cr_assert(!bench.FinishOf(duplicate)->error.has_value());
}

// Twenty suspects with the same fingerprint wait at the front of the queue. An
// unrelated request behind them must start at once.
Test(crashes, held_suspects_do_not_stop_the_request_behind_them) {
  Bench bench(Encoders(2, 4));
  bench.Submit(SubmissionOf("lookups", "x"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash(bench.starts.at(0).server->host.name);
  for (int i = 0; i < 20; ++i) {
    bench.Submit(SubmissionOf("lookups", "x"));
  }
  cr_assert_eq(bench.starts.size(), 2U);
  bench.Submit(SubmissionOf("lookups", "newcomer"));
  cr_assert_eq(bench.starts.size(), 3U);
}

// A suspect shares a server with a new request that crashes it. This crash must
// not quarantine the suspect, which is retried and answered.
Test(crashes, suspect_in_a_crash_caused_by_another_request_is_not_quarantined) {
  Bench bench(Encoders(1, 2));
  const RequestId innocent = bench.Submit(SubmissionOf("lookups", "innocent"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash(bench.starts.at(0).server->host.name);
  bench.Submit(SubmissionOf("lookups", "crashing"));
  cr_assert_eq(bench.starts.size(), 3U);
  bench.Write(bench.starts.at(1).attempt);
  bench.Write(bench.starts.at(2).attempt);
  bench.Crash("e1");
  cr_assert(bench.FinishOf(innocent) == nullptr);
  const auto again = std::ranges::find_if(
      bench.starts.begin() + 3, bench.starts.end(),
      [&](const StartAttempt& start) { return start.request == innocent; });
  cr_assert(again != bench.starts.end());
  bench.Answer(again->attempt, "1");
  cr_assert(!bench.FinishOf(innocent)->error.has_value());
}

// The connections of a request are reset twice, but no server has crashed. The
// request waits for the crash to be confirmed; since it isn't, the request must
// be retried and answered.
Test(crashes, two_resets_without_a_crash_do_not_quarantine) {
  Bench bench(Encoders(4, 4));
  const RequestId id = bench.Submit(SubmissionOf("lookups", "innocent"));
  for (std::size_t i = 0; i < 2; ++i) {
    bench.Write(bench.starts.at(i).attempt);
    bench.Fail(bench.starts.at(i).attempt, AttemptFailure::kReset);
  }
  cr_assert_eq(bench.starts.size(), 2U);
  for (int i = 0; i < 16; ++i) {
    bench.Advance(milliseconds(200));
  }
  cr_assert_eq(bench.starts.size(), 3U);
  bench.Answer(bench.starts.at(2).attempt, "1");
  cr_assert(!bench.FinishOf(id)->error.has_value());
}

// One of two calls on a server is reset and the other is answered afterwards,
// so the server has not crashed. The suspicion must be cleared.
Test(crashes, continued_call_on_the_same_server_clears_a_broken_connection) {
  Bench bench(Encoders(1, 4));
  const Submission cut = SubmissionOf("lookups", "cut");
  bench.Submit(cut);
  bench.Submit(SubmissionOf("lookups", "neighbour"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Write(bench.starts.at(1).attempt);
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kReset);
  cr_assert(bench.core.suspects.IsSuspect(bench.now, cut.fingerprint));
  bench.Advance(milliseconds(10));
  bench.Answer(bench.starts.at(1).attempt, "1");
  cr_assert(!bench.core.suspects.IsSuspect(bench.now, cut.fingerprint));
}

// The second crash of a request is not confirmed yet: the request waits and a
// resend is refused as kNoServer. Once the server is known to be down, the
// request fails and further resends are refused as quarantined.
Test(crashes, refused_connection_confirms_a_crash) {
  Bench bench(Encoders(3, 4));
  const RequestId id = bench.Submit(SubmissionOf("lookups", "crashing"));
  for (std::size_t i = 0; i < 2; ++i) {
    const std::string server = bench.starts.at(i).server->host.name;
    bench.Write(bench.starts.at(i).attempt);
    bench.Fail(bench.starts.at(i).attempt, AttemptFailure::kReset);
    if (i == 0) {
      bench.core.suspects.OnServerDown(bench.now, server);
    }
  }
  const RequestId early = bench.Submit(SubmissionOf("lookups", "crashing"));
  cr_assert(bench.FinishOf(early)->error == ErrorKind::kNoServer);
  bench.core.suspects.OnServerDown(bench.now,
                                   bench.starts.at(1).server->host.name);
  bench.Advance(milliseconds(200));
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kStageFailed);
  const RequestId late = bench.Submit(SubmissionOf("lookups", "crashing"));
  cr_assert(bench.FinishOf(late)->error == ErrorKind::kQuarantined);
}

// A batch of six crashes a server in a pool of five, which makes all six
// suspects. They must not occupy every server, so that new requests run apart
// from suspects.
Test(crashes, suspects_leave_most_servers_to_the_others) {
  Bench bench(Encoders(5, 8));
  bench.List(Encoders(1, 8));
  for (int i = 0; i < 6; ++i) {
    bench.Submit(SubmissionOf("lookups", "s" + std::to_string(i)));
    bench.Write(bench.starts.back().attempt);
  }
  bench.List(Encoders(5, 8));
  bench.Crash("e1");
  cr_assert_eq(bench.starts.size(), 7U);
  const std::string isolated = bench.starts.at(6).server->host.name;
  for (int i = 0; i < 6; ++i) {
    bench.Submit(SubmissionOf("lookups", "n" + std::to_string(i)));
    cr_assert(bench.starts.back().server->host.name != isolated);
  }
  cr_assert_eq(bench.starts.size(), 13U);
}

// All servers are busy when a suspect reaches the front of the queue. One is
// reserved until its calls are answered, while new requests use the other or
// wait. The second crash then affects no other request and identifies the
// cause.
Test(crashes, suspect_without_idle_server_waits_for_one_to_drain) {
  Bench bench(Encoders(3, 2));
  bench.List(Encoders(1, 2));
  const RequestId crashing = bench.Submit(SubmissionOf("lookups", "crashing"));
  bench.Write(bench.starts.at(0).attempt);
  bench.List({HostOf("e2", "encode", 2), HostOf("e3", "encode", 2)});
  bench.Submit(SubmissionOf("lookups", "a"));
  bench.Submit(SubmissionOf("lookups", "b"));
  cr_assert_neq(bench.starts.at(1).server, bench.starts.at(2).server);
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kReset);
  bench.core.suspects.OnServerDown(bench.now, "e1");
  bench.Submit(SubmissionOf("lookups", "c"));
  bench.Submit(SubmissionOf("lookups", "d"));
  cr_assert_eq(bench.starts.size(), 4U);
  const StartAttempt shared = bench.starts.at(3);
  cr_assert_neq(shared.request, crashing);
  const std::size_t drained = bench.starts.at(1).server == shared.server;
  bench.Answer(bench.starts.at(1 + drained).attempt, "1");
  cr_assert_eq(bench.starts.size(), 5U);
  cr_assert_eq(bench.starts.at(4).request, crashing);
  cr_assert_eq(bench.starts.at(4).server, bench.starts.at(1 + drained).server);
  bench.Write(bench.starts.at(4).attempt);
  bench.Crash(bench.starts.at(4).server->host.name);
  cr_assert(bench.FinishOf(crashing)->error == ErrorKind::kStageFailed);
  cr_assert_eq(bench.core.suspects.Quarantined(bench.now).size(), 1U);
}

// While a server is reserved for a suspect, more requests arrive that rank
// before it than one dispatch checks. The suspect must be checked first, or the
// reserved server would stay idle.
Test(crashes, drained_server_goes_to_the_suspect_before_a_long_queue) {
  Bench bench(Encoders(1, 1));
  const RequestId suspect = bench.Submit(SubmissionOf("lookups", "suspect"));
  bench.Write(bench.starts.at(0).attempt);
  bench.List({HostOf("e2", "encode", 1), HostOf("e3", "encode", 1)});
  bench.Submit(SubmissionOf("lookups", "a"));
  bench.Submit(SubmissionOf("lookups", "b"));
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kReset);
  bench.core.suspects.OnServerDown(bench.now, "e1");
  for (int i = 0; i < 20; ++i) {
    Submission light = SubmissionOf("lookups", "light" + std::to_string(i));
    light.organisation = "light";
    bench.Submit(std::move(light));
  }
  cr_assert_eq(bench.starts.size(), 3U);
  const std::size_t e2 = bench.starts.at(1).server->host.name == "e2" ? 1 : 2;
  bench.Answer(bench.starts.at(e2).attempt, "1");
  cr_assert_eq(bench.starts.size(), 4U);
  cr_assert_eq(bench.starts.at(3).request, suspect);
}

// The server reserved for a suspect doesn't become idle. After half of its time
// the suspect must run beside other calls, as must the request that avoided
// it.
Test(crashes, suspect_runs_beside_others_when_its_deadline_is_near) {
  Bench bench(Encoders(1, 1));
  AddSingleStageService(bench, "no_timeout", StageOf("encode"));
  const RequestId suspect = bench.Submit(SubmissionOf("lookups", "suspect"));
  bench.Write(bench.starts.at(0).attempt);
  bench.List({HostOf("e2", "encode", 3)});
  bench.Submit(SubmissionOf("no_timeout", "long"));
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kReset);
  bench.core.suspects.OnServerDown(bench.now, "e1");
  const RequestId newcomer = bench.Submit(SubmissionOf("lookups", "newcomer"));
  const Duration left = bench.coordinator().Find(suspect)->deadline - bench.now;
  bench.Advance(left / 4);
  cr_assert_eq(bench.starts.size(), 2U);
  bench.Advance(left / 2);
  cr_assert_eq(bench.starts.size(), 4U);
  cr_assert(bench.coordinator().Find(suspect)->attempts.size() == 1);
  cr_assert(bench.coordinator().Find(newcomer)->attempts.size() == 1);
}

// The only other server runs a call that must not be repeated. A crash would
// leave its outcome unknown, so a suspect must never run beside it.
Test(crashes, suspect_never_runs_beside_a_non_repeatable_call) {
  Bench bench({HostOf("e1", "encode", 2)});
  StageSpec order = StageOf("encode");
  order.repeatable = false;
  AddSingleStageService(bench, "plaques", order);
  const RequestId suspect = bench.Submit(SubmissionOf("lookups", "suspect"));
  bench.Write(bench.starts.at(0).attempt);
  bench.List({HostOf("e2", "encode", 2)});
  bench.Submit(SubmissionOf("plaques", "plaque"));
  bench.Write(bench.starts.at(1).attempt);
  bench.Fail(bench.starts.at(0).attempt, AttemptFailure::kReset);
  bench.core.suspects.OnServerDown(bench.now, "e1");
  const Duration left = bench.coordinator().Find(suspect)->deadline - bench.now;
  for (int i = 0; i < 15; ++i) {
    bench.Advance(left / 16);
    cr_assert_eq(bench.starts.size(), 2U);
  }
}

// A request with a single attempt runs beside a suspect, since there is no
// other server, and the server crashes. The crash must not count as its
// attempt.
Test(crashes, crash_beside_a_suspect_does_not_count_as_an_attempt) {
  Bench bench(Encoders(1, 2));
  StageSpec once = StageOf("encode");
  once.max_attempts = 1;
  AddSingleStageService(bench, "single", once);
  bench.Submit(SubmissionOf("lookups", "crashing"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash("e1");
  const RequestId newcomer = bench.Submit(SubmissionOf("single", "newcomer"));
  cr_assert_eq(bench.starts.size(), 3U);
  bench.Write(bench.starts.at(1).attempt);
  bench.Write(bench.starts.at(2).attempt);
  bench.Crash("e1");
  cr_assert(bench.FinishOf(newcomer) == nullptr);
  bench.Write(bench.starts.at(3).attempt);
  bench.Crash("e1");
  const auto again = std::ranges::find_if(
      bench.starts.begin() + 3, bench.starts.end(),
      [&](const StartAttempt& start) { return start.request == newcomer; });
  cr_assert(again != bench.starts.end());
  bench.Answer(again->attempt, "1");
  cr_assert(!bench.FinishOf(newcomer)->error.has_value());
}

// Regression: nine equal requests share a server with one that crashes it. Each
// of the nine was counted, so a single crash quarantined their fingerprint and
// all were refused.
Test(crashes, equal_innocent_requests_in_one_batch_count_once) {
  Bench bench(Encoders(4, 12));
  bench.List(Encoders(1, 12));
  std::vector<RequestId> letters;
  letters.reserve(9);
  bench.Submit(SubmissionOf("lookups", "crashing"));
  for (int i = 0; i < 9; ++i) {
    letters.push_back(bench.Submit(SubmissionOf("lookups", "letter")));
  }
  bench.List(Encoders(4, 12));
  cr_assert_eq(RunToEnd(bench, {"crashing"}), 2);
  for (const RequestId id : letters) {
    cr_assert(!bench.FinishOf(id)->error.has_value());
  }
}
