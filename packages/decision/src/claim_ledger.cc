#include "gentianroute/decision/claim_ledger.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gentianroute/base/check.h"

namespace gentianroute {
namespace {

constexpr std::string_view kClaimTable = "claims";
constexpr char kSeparator = '/';

}  // namespace

ClaimLedger::ClaimLedger(Options options, const ClaimCodec& codec)
    : options_(std::move(options)), codec_(codec) {}

TableKey ClaimLedger::KeyOf(const Claim& claim) const {
  return {std::string(kClaimTable),
          claim.organisation + kSeparator + claim.key};
}

std::string ClaimLedger::Begin(TimePoint now,
                               UnixMicros wall,
                               RequestId request,
                               std::string_view organisation,
                               std::string_view key,
                               std::string_view body_digest,
                               std::uint64_t replaces) {
  Entry entry;
  entry.version = replaces;
  entry.request = request;
  entry.claim.organisation = organisation;
  entry.claim.key = key;
  entry.claim.body_digest = body_digest;
  entry.claim.token = options_.daemon + ":" +
                      std::to_string(options_.incarnation) + ":" +
                      std::to_string(next_token_++);
  entry.claim.daemon = options_.daemon;
  entry.claim.incarnation = options_.incarnation;
  entry.claim.written_at = wall;
  entry.due = now + options_.batch_window;
  std::string token = entry.claim.token;
  entries_.emplace(token, std::move(entry));
  return token;
}

void ClaimLedger::Complete(TimePoint now,
                           std::string_view token,
                           ClaimState state,
                           std::uint16_t status,
                           std::string_view answer) {
  const auto found = entries_.find(token);
  GR_INVARIANT(found != entries_.end());
  Entry& entry = found->second;
  GR_INVARIANT(entry.phase == Phase::kHeld);
  GR_INVARIANT(state != ClaimState::kClaimed);
  entry.phase = Phase::kCompleting;
  entry.claim.state = state;
  entry.claim.status = status;
  entry.claim.answer = answer;
  entry.due = now;
  entry.completion_deadline = now + options_.completion_timeout;
}

void ClaimLedger::Advance(TimePoint now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const bool expired = entry->second.phase == Phase::kCompleting &&
                         !entry->second.in_flight &&
                         now >= entry->second.completion_deadline;
    // The row of an expired entry stays claimed, so a resend is told that the
    // outcome is unknown. Only this daemon knows it.
    entry = expired ? entries_.erase(entry) : std::next(entry);
  }
  Flush(now);
}

void ClaimLedger::LeaveClaimed(std::string_view token) {
  const auto found = entries_.find(token);
  GR_INVARIANT(found != entries_.end());
  GR_INVARIANT(found->second.phase == Phase::kHeld);
  entries_.erase(found);
}

void ClaimLedger::Flush(TimePoint now) {
  ClaimOperation write;
  ClaimOperation read;
  read.kind = ClaimOperation::Kind::kRead;
  std::vector<std::string> written;
  std::vector<std::string> read_back;
  std::set<TableKey> keys;
  for (auto& [token, entry] : entries_) {
    if (entry.in_flight || entry.phase == Phase::kHeld || entry.due > now) {
      continue;
    }
    const TableKey key = KeyOf(entry.claim);
    if (entry.phase == Phase::kReading) {
      read.reads.push_back(key);
      read_back.push_back(token);
      entry.in_flight = true;
      continue;
    }
    // A transaction can't write a row twice: the second claim of a key waits
    // for the next transaction and then conflicts with the first.
    if (written.size() >= options_.max_batch || !keys.insert(key).second) {
      continue;
    }
    if (entry.phase == Phase::kWaiting) {
      entry.phase = Phase::kWriting;
    }
    write.transaction.conditions.push_back({key, entry.version});
    write.transaction.writes.push_back({key, codec_.Encode(entry.claim)});
    written.push_back(token);
    entry.in_flight = true;
  }
  Emit(std::move(write), std::move(written));
  Emit(std::move(read), std::move(read_back));
}

void ClaimLedger::Emit(ClaimOperation operation,
                       std::vector<std::string> tokens) {
  if (tokens.empty()) {
    return;
  }
  operation.id = next_operation_++;
  operations_in_flight_[operation.id] = std::move(tokens);
  operations_.push_back(std::move(operation));
}

std::vector<std::string> ClaimLedger::TakeTokens(std::uint64_t operation) {
  const auto found = operations_in_flight_.find(operation);
  if (found == operations_in_flight_.end()) {
    return {};  // duplicate answer; the first one was handled
  }
  std::vector<std::string> tokens = std::move(found->second);
  operations_in_flight_.erase(found);
  for (const std::string& token : tokens) {
    entries_.at(token).in_flight = false;
  }
  return tokens;
}

void ClaimLedger::OnTransacted(TimePoint now,
                               std::uint64_t operation,
                               const TransactResult& result) {
  const std::vector<std::string> tokens = TakeTokens(operation);
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    const auto entry = entries_.find(tokens[i]);
    if (result.status == TableStatus::kCommitted) {
      GR_INVARIANT(i < result.versions.size());
      if (entry->second.phase == Phase::kCompleting) {
        entries_.erase(entry);
      } else {
        Confirm(entry, result.versions[i]);
      }
      continue;
    }
    const TableKey key = KeyOf(entry->second.claim);
    const auto row = std::ranges::find(result.conflicts, key, &TableRow::key);
    if (result.status == TableStatus::kConditionFailed &&
        row != result.conflicts.end()) {
      OnConflict(now, entry, *row);
    } else {
      OnWriteFailed(now, entry, result.status);
    }
  }
  Flush(now);
}

void ClaimLedger::OnWriteFailed(TimePoint now,
                                Entries::iterator entry,
                                TableStatus status) {
  Entry& claim = entry->second;
  if (claim.phase == Phase::kCompleting) {
    // Retried under the same condition: if the lost write took effect, the
    // conflict returns this claim's own row and OnConflict ends the retries.
    claim.due = status == TableStatus::kConditionFailed
                    ? now
                    : now + options_.retry_delay;
    return;
  }
  switch (status) {
    case TableStatus::kConditionFailed:
      // Another claim of the batch conflicted, so nothing was written.
      claim.phase = Phase::kWaiting;
      claim.due = now;
      break;
    case TableStatus::kUnknown:
      claim.phase = Phase::kReading;
      claim.due = now;
      break;
    default:
      Conclude(entry, ClaimOutcome::kUnavailable);
  }
}

void ClaimLedger::OnConflict(TimePoint now,
                             Entries::iterator entry,
                             const TableRow& row) {
  Entry& claim = entry->second;
  const std::optional<Claim> holder = codec_.Decode(row.value);
  const bool own_row = holder.has_value() && holder->token == claim.claim.token;
  if (claim.phase == Phase::kCompleting) {
    const bool completed = own_row && holder->state != ClaimState::kClaimed;
    if (completed || !own_row) {
      entries_.erase(entry);
      return;
    }
    claim.version = row.version;
    claim.due = now;
    return;
  }
  if (own_row) {
    Confirm(entry, row.version);
    return;
  }
  const bool free = row.version == 0 || (holder.has_value() &&
                                         holder->state == ClaimState::kNotRun);
  if (free) {
    claim.version = row.version;
    claim.phase = Phase::kWaiting;
    claim.due = now;
    return;
  }
  if (!holder.has_value()) {
    // A row that can't be decoded may belong to an effect, so it is never
    // replaced.
    Conclude(entry, ClaimOutcome::kUnavailable);
    return;
  }
  ConcludeTaken(entry, *holder, row.version);
}

void ClaimLedger::OnRead(TimePoint now,
                         std::uint64_t operation,
                         const ReadResult& result) {
  for (const std::string& token : TakeTokens(operation)) {
    const auto entry = entries_.find(token);
    if (!result.answered) {
      Entry& claim = entry->second;
      claim.due = now + options_.retry_delay;
      if (++claim.reads >= options_.max_reads) {
        Conclude(entry, ClaimOutcome::kUnavailable);
      }
      continue;
    }
    const TableKey key = KeyOf(entry->second.claim);
    const auto row = std::ranges::find(result.rows, key, &TableRow::key);
    OnReadBack(now, entry, row == result.rows.end() ? nullptr : &*row);
  }
  Flush(now);
}

void ClaimLedger::OnReadBack(TimePoint /*now*/,
                             Entries::iterator entry,
                             const TableRow* row) {
  const std::optional<Claim> holder =
      row == nullptr ? std::nullopt : codec_.Decode(row->value);
  if (holder.has_value() && holder->token == entry->second.claim.token) {
    Confirm(entry, row->version);
    return;
  }
  const bool taken = holder.has_value() && holder->state != ClaimState::kNotRun;
  if (taken) {
    ConcludeTaken(entry, *holder, row->version);
    return;
  }
  // The lost write may still take effect after this read. Writing again could
  // let two tokens compete for the key, and dispatching now would run without a
  // claim, so the token is abandoned and the caller is told that nothing ran.
  Conclude(entry, ClaimOutcome::kUnavailable);
}

void ClaimLedger::Confirm(Entries::iterator entry, std::uint64_t version) {
  entry->second.phase = Phase::kHeld;
  entry->second.version = version;
  results_.push_back(
      {entry->second.request, ClaimOutcome::kConfirmed, entry->first, {}, 0});
}

void ClaimLedger::Conclude(Entries::iterator entry, ClaimOutcome outcome) {
  results_.push_back({entry->second.request, outcome, entry->first, {}, 0});
  entries_.erase(entry);
}

void ClaimLedger::ConcludeTaken(Entries::iterator entry,
                                Claim holder,
                                std::uint64_t version) {
  results_.push_back({entry->second.request, ClaimOutcome::kTaken, entry->first,
                      std::move(holder), version});
  entries_.erase(entry);
}

TimePoint ClaimLedger::NextDue() const {
  TimePoint due = kNever;
  for (const auto& [token, entry] : entries_) {
    if (!entry.in_flight && entry.phase != Phase::kHeld) {
      due = std::min(due, entry.due);
    }
  }
  return due;
}

std::vector<ClaimOperation> ClaimLedger::TakeOperations() {
  return std::exchange(operations_, {});
}

std::vector<ClaimResult> ClaimLedger::TakeResults() {
  return std::exchange(results_, {});
}

}  // namespace gentianroute
