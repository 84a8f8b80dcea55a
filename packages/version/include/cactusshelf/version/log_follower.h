#ifndef CACTUSSHELF_VERSION_LOG_FOLLOWER_H_
#define CACTUSSHELF_VERSION_LOG_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/version/log_protocol.h"
#include "cactusshelf/version/log_record.h"
#include "cactusshelf/version/log_state.h"

namespace cactusshelf {

// The log was trimmed and holds no snapshot that a reader could start from.
class NoSnapshotError : public Error {
 public:
  using Error::Error;
};

// Folds the replies to consecutive reads of the log, starting from the latest snapshot if the
// records before it were trimmed. Not thread-safe.
class LogFollower {
 public:
  struct AppliedRecord {
    Offset offset = 0;
    WallTime time{};
    LogChange change;
  };

  LogFollower() = default;
  explicit LogFollower(LogState state) : state_(std::move(state)) {}

  // Offset from which to read next.
  Offset next_read() const { return scan_ ? scan_->next : state_.offset(); }

  // Applies a reply to a read from next_read(); skips records that were applied before. Throws
  // NoSnapshotError if the log was trimmed past the state and holds no usable snapshot, and
  // LogGapError or DecodeError for a reply that contradicts itself or earlier replies. After an
  // exception, the state includes the records before the fault but no others of the reply.
  std::vector<AppliedRecord> Consume(const ReadReply& reply);

  // Whether the state includes all records that the last reply reported.
  bool caught_up() const { return !scan_ && state_.offset() >= log_end_; }

  // False while the follower searches a trimmed log for the latest snapshot; until then, state() is
  // the state before the search.
  bool loaded() const { return !scan_.has_value(); }
  const LogState& state() const { return state_; }

  // Number of snapshots that could not be loaded.
  std::uint64_t rejected_snapshots() const { return rejected_snapshots_; }

 private:
  // Number of snapshots kept during a search in case the latest cannot be loaded. Bounds memory.
  static constexpr std::size_t kMaxCandidates = 3;

  // Search for the latest usable snapshot in a trimmed log.
  struct Scan {
    Offset next = 0;
    // Ordered by the offset of their state, since a slow node may append an older state after a
    // newer one.
    std::map<Offset, SnapshotRecord> candidates;
  };

  void ScanReply(const ReadReply& reply);
  void FinishScan(Offset first);

  LogState state_;
  std::optional<Scan> scan_;
  Offset log_end_ = 0;
  std::uint64_t rejected_snapshots_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_LOG_FOLLOWER_H_
