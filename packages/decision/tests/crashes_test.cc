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

/// @brief Adds a service of one stage, whose calls may be silent for long.
void AddSingle(Bench& bench, const std::string& name, StageSpec stage) {
  auto catalogue = std::make_shared<Catalogue>(*TestCatalogue());
  stage.first_byte_timeout = seconds(60);
  AddService(*catalogue, name, {std::move(stage)});
  bench.coordinator().SetCatalogue(catalogue);
}

/// @brief Runs everything to its end: a server that holds one of the guilty
/// crashes, else its calls are answered.
/// @return servers lost
int RunToEnd(Bench& bench, const std::set<std::string>& guilty) {
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
      crashes |= guilty.contains(request->submission.body_digest);
      // The first of the batch to be looked at writes them all.
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

// Twelve calls share a server and one of them crashes it. Every innocent
// neighbour is answered, more of them than the retry budget holds, and only the
// guilty one is refused, after two servers in all. Its resends crash none.
Test(crashes, one_guilty_in_a_batch_costs_two_servers_and_no_neighbour) {
  Bench bench(Encoders(4, 12));
  // One server is up at first, so that all twelve share it.
  bench.List(Encoders(1, 12));
  std::vector<RequestId> innocent;
  innocent.reserve(11);
  const RequestId guilty = bench.Submit(SubmissionOf("lookups", "guilty"));
  for (int i = 0; i < 11; ++i) {
    innocent.push_back(
        bench.Submit(SubmissionOf("lookups", "i" + std::to_string(i))));
  }
  bench.List(Encoders(4, 12));
  cr_assert_eq(RunToEnd(bench, {"guilty"}), 2);
  for (const RequestId id : innocent) {
    cr_assert(!bench.FinishOf(id)->error.has_value());
  }
  cr_assert(bench.FinishOf(guilty)->error == ErrorKind::kStageFailed);
  const RequestId resend = bench.Submit(SubmissionOf("lookups", "guilty"));
  cr_assert(bench.FinishOf(resend)->error == ErrorKind::kQuarantined);
  cr_assert_eq(bench.core.suspects.Quarantined(bench.now).size(), 1U);
}

// Two guilty requests share the batch. Each suspect runs on a server without
// another suspect, so each second crash names one: three servers, both named.
Test(crashes, two_guilty_in_a_batch_cost_three_servers) {
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

// The caller resends while its first arrival still crashes servers. Twins of a
// suspect wait for each other; once one is quarantined the other is refused
// without a further crash.
Test(crashes, twins_of_a_guilty_request_are_not_run_side_by_side) {
  Bench bench(Encoders(4, 4));
  const RequestId first = bench.Submit(SubmissionOf("lookups", "guilty"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash(bench.starts.at(0).server->host.name);
  const RequestId twin = bench.Submit(SubmissionOf("lookups", "guilty"));
  cr_assert_eq(bench.starts.size(), 2U);
  bench.Write(bench.starts.at(1).attempt);
  bench.Crash(bench.starts.at(1).server->host.name);
  cr_assert_eq(bench.starts.size(), 2U);
  cr_assert(bench.FinishOf(first)->error == ErrorKind::kStageFailed);
  cr_assert(bench.FinishOf(twin)->error == ErrorKind::kQuarantined);
}

// A peer names the request while it waits here. It is refused at once and true:
// it has not run.
Test(crashes, quarantine_by_a_peer_refuses_a_waiting_request) {
  Bench bench(Encoders(1, 1));
  bench.Submit(SubmissionOf("lookups", "first"));
  const Submission guilty = SubmissionOf("lookups", "guilty");
  const RequestId id = bench.Submit(guilty);
  bench.core.suspects.OnPeerQuarantine(bench.now, guilty.fingerprint,
                                       seconds(60));
  bench.Write(bench.starts.at(0).attempt);
  bench.Answer(bench.starts.at(0).attempt, "1");
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kQuarantined);
  cr_assert_eq(bench.starts.size(), 1U);
}

// The request passes its first stage each time and crashes the second. An
// answered first stage must not clear it, or its resends crash without end.
Test(crashes, answered_first_stage_does_not_clear_a_suspect) {
  Bench bench({HostOf("e1", "encode"), HostOf("g1", "generate"),
               HostOf("g2", "generate"), HostOf("g3", "generate")});
  auto catalogue = std::make_shared<Catalogue>(*TestCatalogue());
  StageSpec once = StageOf("generate");
  once.max_attempts = 1;
  AddService(*catalogue, "letters", {StageOf("encode"), once});
  bench.coordinator().SetCatalogue(catalogue);
  for (int i = 0; i < 2; ++i) {
    bench.Submit(SubmissionOf("letters", "guilty"));
    bench.Write(bench.starts.back().attempt);
    bench.Answer(bench.starts.back().attempt, "1");
    bench.Write(bench.starts.back().attempt);
    bench.Crash(bench.starts.back().server->host.name);
  }
  const RequestId third = bench.Submit(SubmissionOf("letters", "guilty"));
  cr_assert(bench.FinishOf(third)->error == ErrorKind::kQuarantined);
}

// A suspect waits for a server of another pool than the one where the last
// suspect finished. It must go then, not at its deadline.
Test(crashes, suspect_held_back_goes_when_its_twin_in_another_pool_is_done) {
  Bench bench({HostOf("e1", "encode"), HostOf("e2", "encode")});
  const RequestId first = bench.Submit(SubmissionOf("lookups", "x"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash(bench.starts.at(0).server->host.name);
  const RequestId twin = bench.Submit(SubmissionOf("lookups", "x"));
  bench.Write(bench.starts.at(1).attempt);
  bench.Answer(bench.starts.at(1).attempt, "1");
  cr_assert(!bench.FinishOf(first)->error.has_value());
  cr_assert_eq(bench.starts.size(), 3U);
  bench.Answer(bench.starts.at(2).attempt, "1");
  cr_assert(!bench.FinishOf(twin)->error.has_value());
}

// Twenty twins of a suspect wait at the front of the line. A newcomer behind
// them has nothing to do with it and goes at once.
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

// An innocent suspect and a newcomer share a server when the newcomer crashes
// it. That is no proof against the suspect: it runs again and is answered.
Test(crashes, suspect_hit_by_another_ones_crash_is_not_quarantined) {
  Bench bench(Encoders(1, 2));
  const RequestId innocent = bench.Submit(SubmissionOf("lookups", "innocent"));
  bench.Write(bench.starts.at(0).attempt);
  bench.Crash(bench.starts.at(0).server->host.name);
  bench.Submit(SubmissionOf("lookups", "guilty"));
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

// Something between the ends cuts the request's connection, twice, while the
// servers live on. The caller must get its answer: the request waits for proof,
// none comes, and it runs again.
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

// One of two connections breaks and the other goes on: the server lives. The
// broken one is no crash and leaves no suspicion behind.
Test(crashes, neighbour_that_goes_on_clears_a_broken_connection) {
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

// A second crash that nobody has seen for sure yet: the request waits, a resend
// is refused with Retry-After, and the refused connection of another request
// proves the crash. Then both are told at once.
Test(crashes, refused_connection_proves_a_crash) {
  Bench bench(Encoders(3, 4));
  const RequestId id = bench.Submit(SubmissionOf("lookups", "guilty"));
  for (std::size_t i = 0; i < 2; ++i) {
    const std::string server = bench.starts.at(i).server->host.name;
    bench.Write(bench.starts.at(i).attempt);
    bench.Fail(bench.starts.at(i).attempt, AttemptFailure::kReset);
    if (i == 0) {
      bench.core.suspects.OnServerDown(bench.now, server);
    }
  }
  const RequestId early = bench.Submit(SubmissionOf("lookups", "guilty"));
  cr_assert(bench.FinishOf(early)->error == ErrorKind::kNoServer);
  bench.core.suspects.OnServerDown(bench.now,
                                   bench.starts.at(1).server->host.name);
  bench.Advance(milliseconds(200));
  cr_assert(bench.FinishOf(id)->error == ErrorKind::kStageFailed);
  const RequestId late = bench.Submit(SubmissionOf("lookups", "guilty"));
  cr_assert(bench.FinishOf(late)->error == ErrorKind::kQuarantined);
}

// A batch of six crashes a server of a pool of five, and all six are suspects.
// They must not take every live server, one each: newcomers then run where no
// crash is to be feared.
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

// Every server is busy when the suspect's turn comes. One of them is left alone
// until its calls are answered; newcomers go to the other one or wait, and the
// second crash hits nobody else and names the guilty one.
Test(crashes, suspect_without_idle_server_waits_for_one_to_drain) {
  Bench bench(Encoders(3, 2));
  bench.List(Encoders(1, 2));
  const RequestId guilty = bench.Submit(SubmissionOf("lookups", "guilty"));
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
  cr_assert_neq(shared.request, guilty);
  const std::size_t drained = bench.starts.at(1).server == shared.server;
  bench.Answer(bench.starts.at(1 + drained).attempt, "1");
  cr_assert_eq(bench.starts.size(), 5U);
  cr_assert_eq(bench.starts.at(4).request, guilty);
  cr_assert_eq(bench.starts.at(4).server, bench.starts.at(1 + drained).server);
  bench.Write(bench.starts.at(4).attempt);
  bench.Crash(bench.starts.at(4).server->host.name);
  cr_assert(bench.FinishOf(guilty)->error == ErrorKind::kStageFailed);
  cr_assert_eq(bench.core.suspects.Quarantined(bench.now).size(), 1U);
}

// While the server drains, more requests of a lighter organisation come than
// are asked at a time, and all rank before the suspect. They are kept off that
// server; were the suspect not asked first, it would stand idle.
Test(crashes, drained_server_goes_to_the_suspect_before_a_long_line) {
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

// The server that it waits for doesn't drain. Half its time goes by; then the
// suspect runs beside the others, since it may well be innocent.
Test(crashes, suspect_runs_beside_others_when_its_time_presses) {
  Bench bench(Encoders(1, 1));
  AddSingle(bench, "patient", StageOf("encode"));
  const RequestId suspect = bench.Submit(SubmissionOf("lookups", "suspect"));
  bench.Write(bench.starts.at(0).attempt);
  bench.List({HostOf("e2", "encode", 3)});
  bench.Submit(SubmissionOf("patient", "long"));
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

// The only other server works on an order, which must not be made twice. A
// crash would leave it unknown, so a suspect never runs beside it.
Test(crashes, suspect_never_runs_beside_a_call_that_must_not_repeat) {
  Bench bench({HostOf("e1", "encode", 2)});
  StageSpec order = StageOf("encode");
  order.repeatable = false;
  AddSingle(bench, "plaques", order);
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

// A newcomer runs beside a suspect, for want of another server, and is cut off
// by its crash. It has one attempt; that one was the other's, so it runs again.
Test(crashes, crash_beside_a_suspect_uses_up_no_attempt) {
  Bench bench(Encoders(1, 2));
  StageSpec once = StageOf("encode");
  once.max_attempts = 1;
  AddSingle(bench, "single", once);
  bench.Submit(SubmissionOf("lookups", "guilty"));
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

// Regression: nine families send the same letter, and one request that crashes
// servers runs beside some of them. Equal letters in one batch were counted
// once each, so a single crash quarantined the letter and all nine were
// refused.
Test(crashes, equal_innocent_requests_in_one_batch_count_once) {
  Bench bench(Encoders(4, 12));
  bench.List(Encoders(1, 12));
  std::vector<RequestId> letters;
  letters.reserve(9);
  bench.Submit(SubmissionOf("lookups", "guilty"));
  for (int i = 0; i < 9; ++i) {
    letters.push_back(bench.Submit(SubmissionOf("lookups", "letter")));
  }
  bench.List(Encoders(4, 12));
  cr_assert_eq(RunToEnd(bench, {"guilty"}), 2);
  for (const RequestId id : letters) {
    cr_assert(!bench.FinishOf(id)->error.has_value());
  }
}
