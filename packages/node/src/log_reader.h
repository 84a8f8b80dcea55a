#ifndef CACTUSSHELF_NODE_LOG_READER_H_
#define CACTUSSHELF_NODE_LOG_READER_H_

#include <functional>
#include <optional>
#include <string>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/node/node_effect.h"
#include "cactusshelf/node/node_event.h"
#include "cactusshelf/version/log_follower.h"
#include "record_cache.h"

namespace cactusshelf {

// Reads the log continuously and folds its records. While reads fail, applies records from peers
// that are ahead, after verifying them against the peer's chain. Not thread-safe.
class LogReader {
 public:
  // Longest time that the log service may hold a read. Authority requires a read that began within
  // the last 2 s, so reads must take less than half of that.
  static constexpr Duration kLongPollTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kReadRetryDelay = std::chrono::milliseconds(300);
  // Time without a successful read after which records are requested from peers, and the shortest
  // interval between such requests.
  static constexpr Duration kCatchUpInterval = std::chrono::seconds(1);

  // Called after each record, when state() includes this record and no later one. Ownership depends
  // on the order of membership and configuration changes, so changes must be handled one by one.
  using AppliedCallback = std::function<void(const LogFollower::AppliedRecord&)>;

  struct Result {
    bool reached_end = false;
    // Whether records were skipped by loading a snapshot.
    bool records_skipped = false;
    // Reason why the reply could not be used; empty on success.
    std::string error;
  };

  const LogState& state() const { return follower_.state(); }
  // Whether the end of the log has been reached at least once.
  bool loaded() const { return loaded_; }

  // Returns the read to start at `now`, if any.
  std::optional<node_effect::ReadLog> Poll(Time now);

  Result OnRead(Time now, const node_event::LogRead& read, const AppliedCallback& on_applied);
  void OnReadFailed(Time now);

  // Whether to request records from a peer whose state is at `peer_offset`. If so, further requests
  // are suppressed for kCatchUpInterval.
  bool ShouldRequestCatchUp(Time now, Offset peer_offset);
  CatchUpReply MakeCatchUpReply(const CatchUpRequest& request) const;
  Result OnCatchUpReply(const CatchUpReply& reply, const AppliedCallback& on_applied);

  std::optional<Time> NextWakeup() const;
  const Counters& counters() const { return counters_; }

 private:
  Result ApplyReply(const ReadReply& reply, const AppliedCallback& on_applied);
  void ApplyToFollower(const ReadReply& reply, const AppliedCallback& on_applied, Result& result);

  LogFollower follower_;
  RecordCache record_cache_;
  bool loaded_ = false;
  bool read_pending_ = false;
  Time next_read_{};
  Time last_read_success_{};
  Time next_catch_up_request_{};
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_LOG_READER_H_
