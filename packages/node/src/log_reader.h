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

// Reads the log in a loop and folds its records. While reads fail, takes records from peers that
// are ahead, and checks them by their chain. Not thread-safe.
class LogReader {
 public:
  // How long the log service may hold a read. Authority needs a read that began within 2 s, so the
  // reads have to be shorter than half of that.
  static constexpr Duration kReadWait = std::chrono::milliseconds(500);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
  static constexpr Duration kCatchUpAfter = std::chrono::seconds(1);

  // Called after each record, when state() includes it and none of the later ones: the order of
  // changes of members and configuration decides who holds what.
  using OnApplied = std::function<void(const LogFollower::AppliedRecord&)>;

  struct Result {
    bool reached_end = false;
    // Records were skipped by loading a snapshot.
    bool skipped = false;
    // Why the reply could not be used; empty if it could.
    std::string fault;
  };

  const LogState& state() const { return follower_.state(); }
  bool loaded() const { return loaded_; }

  // The read to start now, if any.
  std::optional<node_effect::ReadLog> Poll(Time now);

  Result OnRead(Time now, const node_event::LogRead& read, const OnApplied& on_applied);
  void OnReadFailed(Time now);

  // Whether to ask a peer whose state is at `peer_offset` for records.
  bool WantsCatchUp(Time now, Offset peer_offset);
  CatchUpReply Answer(const CatchUp& request) const;
  Result OnCatchUpReply(const CatchUpReply& reply, const OnApplied& on_applied);

  std::optional<Time> NextWakeup() const;
  const Counters& counters() const { return counters_; }

 private:
  Result Consume(const ReadReply& reply, const OnApplied& on_applied);
  void ConsumeOne(const ReadReply& reply, const OnApplied& on_applied, Result& result);

  LogFollower follower_;
  RecordCache cache_;
  bool loaded_ = false;
  bool reading_ = false;
  Time next_read_{};
  Time last_success_{};
  Time next_catch_up_{};
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_LOG_READER_H_
