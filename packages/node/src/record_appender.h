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

// Appends records one after the other and repeats an append whose answer was lost. The fold
// applies a repeated record once. Not thread-safe.
class RecordAppender {
 public:
  // Appends of one member start no closer together than this, so that 7 members stay within 40
  // appends a second.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(200);
  static constexpr Duration kFirstRetry = std::chrono::milliseconds(250);
  static constexpr Duration kLastRetry = std::chrono::seconds(5);

  void Add(LogRecord record);

  // The append to start now, if any.
  std::optional<node_effect::AppendToLog> Poll(Time now);

  // The record that was appended.
  std::optional<LogRecord> OnDone(Time now, AppendToken token);
  void OnFailed(Time now, AppendToken token);

  std::optional<Time> NextWakeup() const;
  bool idle() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }

  // Drops records that are waiting and for which `unneeded` is true.
  void DropWaiting(const std::function<bool(const LogRecord&)>& unneeded);

 private:
  bool IsCurrent(AppendToken token) const { return in_flight_ && *in_flight_ == token; }

  std::deque<LogRecord> queue_;
  std::optional<AppendToken> in_flight_;
  std::uint64_t last_token_ = 0;
  Time not_before_{};
  Duration retry_delay_ = kFirstRetry;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_RECORD_APPENDER_H_
