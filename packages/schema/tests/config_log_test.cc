#include <map>
#include <string>

#include "gentianroute/decision/config_applier.h"
#include "gentianroute/decision/config_snapshotter.h"
#include "gentianroute/schema/declarations.h"

#include <criterion/criterion.h>

using namespace gentianroute;
using State = ConfigApplier::State;

namespace {

constexpr ConfigRetention kRetention{4, 8, 2};
const std::string kPool = R"({"name":"p"})";
const std::string kProfile =
    R"({"name":"f","stages":[{"name":"a","pool":"p"}]})";

/// In-memory tables and objects that answer immediately, and loops that drive
/// the state machines to completion.
struct Platform {
  JsonConfigCodec codec;
  std::map<TableKey, TableRow> rows;
  std::map<std::string, std::string> objects;
  std::uint64_t version = 0;

  ReadResult Read(const std::vector<TableKey>& keys) {
    ReadResult result{true, {}};
    for (const TableKey& key : keys) {
      result.rows.push_back(rows.contains(key) ? rows[key]
                                               : TableRow{key, "", 0});
    }
    return result;
  }

  TransactResult Transact(const TableTransaction& transaction) {
    for (const TableCondition& condition : transaction.conditions) {
      if (Read({condition.key}).rows[0].version != condition.version) {
        return {TableStatus::kConditionFailed, {}, {}};
      }
    }
    for (const TableWrite& write : transaction.writes) {
      rows.erase(write.key);
      if (write.value.has_value()) {
        rows[write.key] = {write.key, *write.value, ++version};
      }
    }
    return {TableStatus::kCommitted, {}, {}};
  }

  void Finish(ConfigApplier& applier) {
    for (int steps = 0; steps < 100; ++steps) {
      if (applier.state() == State::kRead) {
        applier.OnRead(Read(applier.reads()));
      } else if (applier.state() == State::kTransact) {
        applier.OnTransacted(Transact(applier.transaction()));
      } else if (applier.state() == State::kGetObject) {
        const auto found = objects.find(applier.object());
        applier.OnObject(found == objects.end()
                             ? std::nullopt
                             : std::optional<std::string>(found->second));
      }
    }
  }

  void Finish(ConfigSnapshotter& writer) {
    using Step = ConfigSnapshotter::State;
    while (writer.state() != Step::kIdle) {
      if (writer.state() == Step::kPut) {
        objects[writer.object()] = writer.content();
        writer.OnPut(true);
      } else if (writer.state() == Step::kRead) {
        writer.OnRead(Read(writer.reads()));
      } else {
        writer.OnTransacted(Transact(writer.transaction()));
      }
    }
  }
};

ConfigApplier::Options Options() {
  ConfigApplier::Options options;
  options.retention = kRetention;
  return options;
}

ConfigRevision Change(const std::string& id,
                      DocumentKind kind,
                      const std::string& name,
                      const std::string& body,
                      std::uint64_t base = 0) {
  ConfigRevision change;
  change.change_id = id;
  change.changes.push_back({kind, name, body, base});
  return change;
}

State ApplyAt(Platform& platform,
              ConfigFollower& follower,
              ConfigRevision change) {
  ConfigApplier applier(Options(), std::move(change), follower, platform.codec);
  platform.Finish(applier);
  return applier.state();
}

/// Applies changes of one pool, one revision each, and writes the snapshots
/// that become due.
void AddRevisions(Platform& platform, ConfigFollower& follower, int count) {
  for (int i = 0; i < count; ++i) {
    const DocumentName name{DocumentKind::kPool, "p"};
    const auto found = follower.documents().find(name);
    const std::uint64_t base =
        found == follower.documents().end() ? 0 : found->second.revision;
    const std::string id = "c" + std::to_string(follower.revision() + 1);
    cr_assert(
        ApplyAt(platform, follower, Change(id, name.first, "p", kPool, base)) ==
        State::kApplied);
    ConfigSnapshotter writer(kRetention, platform.codec);
    writer.Begin(follower, follower.revision());
    platform.Finish(writer);
  }
}

}  // namespace

// The answer to an apply is lost although its write took effect. The operator
// retries later at another daemon with the same change id. That daemon has only
// a snapshot, which no longer contains the change as a separate revision, so it
// must recognise the change by its id.
Test(config_apply, retry_after_lost_answer_is_recognised_by_id_without_a_log) {
  Platform platform;
  ConfigFollower first({2}, platform.codec);
  AddRevisions(platform, first, 1);
  ConfigApplier lost(Options(),
                     Change("mine", DocumentKind::kProfile, "f", kProfile),
                     first, platform.codec);
  lost.OnRead(platform.Read(lost.reads()));
  platform.Transact(lost.transaction());
  ConfigFollower second({2}, platform.codec);
  second.Apply(ConfigSnapshot{2, {}});
  ConfigApplier retry(Options(),
                      Change("mine", DocumentKind::kProfile, "f", kProfile),
                      second, platform.codec);
  platform.Finish(retry);
  cr_assert(retry.state() == State::kApplied);
  cr_assert_eq(retry.revision(), 2);
}

// A read of the log from before the daemon's own change took effect arrives
// after a peer has delivered the revision that holds the change. The change
// must not be reported as a conflict with itself. Found by random_config,
// seed 29.
Test(config_apply,
     read_older_than_a_peers_revision_is_no_conflict_with_own_change) {
  Platform platform;
  ConfigFollower follower(platform.codec);
  const auto change = Change("mine", DocumentKind::kPool, "p", kPool);
  ConfigApplier applier(Options(), change, follower, platform.codec);
  const ReadResult old = platform.Read(applier.reads());
  ConfigFollower other(platform.codec);
  cr_assert(ApplyAt(platform, other, change) == State::kApplied);
  follower.Apply(other.After(0, 9));
  applier.OnRead(old);
  platform.Finish(applier);
  cr_assert(applier.state() == State::kApplied);
}

Test(config_apply, concurrent_changes_of_different_documents_are_rebased) {
  Platform platform;
  ConfigFollower first(platform.codec);
  ConfigFollower second(platform.codec);
  ConfigApplier slow(Options(), Change("a", DocumentKind::kPool, "p", kPool),
                     first, platform.codec);
  slow.OnRead(platform.Read(slow.reads()));
  cr_assert(ApplyAt(platform, second,
                    Change("b", DocumentKind::kPool, "q", R"({"name":"q"})")) ==
            State::kApplied);
  platform.Finish(slow);
  cr_assert(slow.state() == State::kApplied);
  cr_assert_eq(slow.revision(), 2);
}

Test(config_apply, concurrent_changes_of_one_document_report_both_versions) {
  Platform platform;
  ConfigFollower follower(platform.codec);
  AddRevisions(platform, follower, 2);
  const std::string mine = R"({"name":"p","fenced":true})";
  ConfigApplier applier(Options(),
                        Change("a", DocumentKind::kPool, "p", mine, 1),
                        follower, platform.codec);
  platform.Finish(applier);
  cr_assert(applier.state() == State::kConflict);
  cr_assert(applier.ours() == mine);
  cr_assert(applier.theirs().body == kPool);
  cr_assert_eq(applier.theirs().revision, 2);
}

// One operator deletes a pool while another adds a profile that uses it. Each
// change is valid against the revision that its author saw, but together they
// leave a stage without a pool, and every request of the service would fail.
Test(config_apply, rebase_that_leaves_a_stage_without_pool_is_refused) {
  Platform platform;
  ConfigFollower first(platform.codec);
  AddRevisions(platform, first, 1);
  ConfigFollower second(platform.codec);
  ConfigApplier slow(Options(), Change("a", DocumentKind::kPool, "p", "", 1),
                     first, platform.codec);
  slow.OnRead(platform.Read(slow.reads()));
  cr_assert(slow.state() == State::kTransact);
  cr_assert(ApplyAt(platform, second,
                    Change("b", DocumentKind::kProfile, "f", kProfile)) ==
            State::kApplied);
  platform.Finish(slow);
  cr_assert(slow.state() == State::kInvalid);
  cr_assert(slow.problem().find("'p'") != std::string::npos);
}

// Every daemon polls the log once a second, and the store allows only 2000
// reads per second in total, so an idle poll must stay small.
Test(config_apply, poll_that_finds_nothing_new_reads_three_rows) {
  Platform platform;
  ConfigFollower follower(platform.codec);
  AddRevisions(platform, follower, 2);
  ConfigApplier poll(Options(), {}, follower, platform.codec);
  cr_assert_eq(poll.reads().size(), 3);
  poll.OnRead(platform.Read(poll.reads()));
  cr_assert(poll.state() == State::kCaughtUp);
}

// The rows of old revisions have been deleted. A new host must restore the
// configuration from the snapshot and the rows after it.
Test(config_snapshotter,
     new_host_restores_from_snapshot_and_older_rows_are_deleted) {
  Platform platform;
  ConfigFollower writer(platform.codec);
  AddRevisions(platform, writer, 50);
  std::size_t kept = 0;
  for (const auto& [key, row] : platform.rows) {
    kept += key.key.starts_with("rev/") ? 1 : 0;
  }
  cr_assert_eq(kept, 10, "8 kept behind the snapshot of 48, and two after it");
  cr_assert_eq(platform.rows.size(), 2 * kept + 3, "ids go with their rows");
  ConfigFollower fresh(platform.codec);
  cr_assert(ApplyAt(platform, fresh, {}) == State::kCaughtUp);
  cr_assert_eq(fresh.revision(), 50);
  cr_assert(fresh.documents().begin()->second.revision == 50);
}

// A snapshot put without an answer may never take effect. If the rows before it
// were deleted nevertheless, no new host could start.
Test(config_snapshotter, unconfirmed_put_deletes_nothing) {
  Platform platform;
  ConfigFollower follower(platform.codec);
  AddRevisions(platform, follower, 51);
  const DocumentName pool{DocumentKind::kPool, "p"};
  cr_assert(
      ApplyAt(platform, follower, Change("c", pool.first, "p", kPool, 51)) ==
      State::kApplied);
  const auto before = platform.rows.size();
  ConfigSnapshotter writer(kRetention, platform.codec);
  cr_assert(writer.Begin(follower, 52));
  writer.OnPut(false);
  platform.Finish(writer);
  cr_assert_eq(platform.rows.size(), before);
}

// During a store outage, one peer announces revision 9 to a new host and a
// stale peer delivers revision 3. The host must not serve with outdated
// profiles, so it is not ready until it has the highest announced revision.
Test(config_follower, new_host_with_stale_snapshot_is_not_ready) {
  const JsonConfigCodec codec;
  ConfigFollower follower(codec);
  follower.OnRevisionSeen(9);
  follower.OnEmptyLog();
  cr_assert(follower.Apply(ConfigSnapshot{3, {}}));
  cr_assert(!follower.known());
  cr_assert(follower.Apply(ConfigSnapshot{9, {}}));
  cr_assert(follower.known());
  cr_assert(!follower.Apply(ConfigSnapshot{5, {}}));
  cr_assert_eq(follower.revision(), 9);
}
