#ifndef CACTUSSHELF_NODE_RECORD_APPENDER_H_
#define CACTUSSHELF_NODE_RECORD_APPENDER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "cactusshelf/base/time.h"
#include "cactusshelf/node/node_effect.h"
#include "cactusshelf/version/log_record.h"

namespace cactusshelf {

// Queue of records that are appended to the log one at a time. A failed append is retried with
// exponential backoff; the fold applies a repeated record only once. Not thread-safe.
class RecordAppender {
 public:
  // Shortest interval between appends of one member, so that 7 members stay within 40 appends per
  // second.
  static constexpr Duration kMinAppendInterval = std::chrono::milliseconds(200);
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(250);
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

  void Add(LogRecord record);

  // Returns the append to start at `now`, if any.
  std::optional<node_effect::AppendToLog> Poll(Time now);

  // Returns the record that was appended; empty if `token` is not the append in flight.
  std::optional<LogRecord> OnDone(Time now, AppendToken token);
  void OnFailed(Time now, AppendToken token);

  std::optional<Time> NextWakeup() const;
  bool idle() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }

  // Removes queued records for which `is_obsolete` returns true, except a record in flight.
  void RemoveQueued(const std::function<bool(const LogRecord&)>& is_obsolete);

 private:
  bool IsInFlight(AppendToken token) const { return in_flight_ && *in_flight_ == token; }

  std::deque<LogRecord> queue_;
  std::optional<AppendToken> in_flight_;
  std::uint64_t last_token_ = 0;
  Time next_append_{};
  Duration retry_delay_ = kInitialRetryDelay;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_RECORD_APPENDER_H_
