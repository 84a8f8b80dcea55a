#include "cactusshelf/version/log_follower.h"

#include <fmt/format.h>

#include <algorithm>

#include "cactusshelf/version/snapshot.h"

namespace cactusshelf {
namespace {

void CheckReply(const ReadReply& reply, Offset expected) {
  if (reply.first > reply.next || reply.next < expected) {
    throw LogGapError(
        fmt::format("the log ends at {}, but record {} was read before", reply.next, expected));
  }
  Offset next = expected;
  for (const StoredRecord& it : reply.records) {
    if (it.offset > next || it.offset >= reply.next) {
      throw LogGapError(fmt::format("the log returned record {} instead of {}", it.offset, next));
    }
    next = std::max(next, it.offset + 1);
  }
}

}  // namespace

std::vector<LogFollower::AppliedRecord> LogFollower::Consume(const ReadReply& reply) {
  if (!scan_ && reply.first > state_.offset()) {
    scan_ = Scan{reply.first, {}};
  } else if (scan_ && reply.first > scan_->next) {
    // The log was trimmed past the search position. The candidates found so far may still be
    // usable.
    scan_->next = reply.first;
  }
  CheckReply(reply, next_read());
  log_end_ = reply.next;
  if (scan_) {
    ScanReply(reply);
    return {};
  }
  std::vector<AppliedRecord> applied;
  for (const StoredRecord& it : reply.records) {
    if (it.offset >= state_.offset()) {
      applied.push_back({it.offset, it.time, state_.Apply(it.offset, it.time, it.data)});
    }
  }
  return applied;
}

void LogFollower::ScanReply(const ReadReply& reply) {
  for (const StoredRecord& it : reply.records) {
    if (it.offset != scan_->next) {
      continue;
    }
    ++scan_->next;
    try {
      LogRecord record = DecodeRecord(it.data);
      auto* snapshot = std::get_if<SnapshotRecord>(&record);
      if (snapshot != nullptr && snapshot->offset <= it.offset) {
        const Offset offset = snapshot->offset;
        scan_->candidates.insert_or_assign(offset, std::move(*snapshot));
      }
      if (scan_->candidates.size() > kMaxCandidates) {
        scan_->candidates.erase(scan_->candidates.begin());
      }
    } catch (const RecordError&) {
      // LogState counts the undecodable record when the record is applied.
    }
  }
  if (scan_->next >= reply.next) {
    FinishScan(reply.first);
  }
}

void LogFollower::FinishScan(Offset first) {
  const auto candidates = std::move(scan_->candidates);
  scan_.reset();
  for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
    // The log must still contain all records from the offset of the snapshot on.
    if (it->first < first) {
      continue;
    }
    try {
      state_ = Snapshot::Load(it->second);
      return;
    } catch (const DecodeError&) {
      ++rejected_snapshots_;
    }
  }
  throw NoSnapshotError(
      fmt::format("the log starts at record {} and holds no snapshot to start from", first));
}

}  // namespace cactusshelf
