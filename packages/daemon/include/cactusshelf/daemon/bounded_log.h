#ifndef CACTUSSHELF_DAEMON_BOUNDED_LOG_H_
#define CACTUSSHELF_DAEMON_BOUNDED_LOG_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Writes log events to a file descriptor without blocking on its reader and limits the number of
// lines per second. Lines over the rate limit or over the buffer limit are dropped and counted; a
// "log_lines_dropped" event before the next accepted line reports the count. The first lines of
// each kind of event in a second are exempt from the rate limit, so that a burst of one kind does
// not hide the others. Not thread-safe.
class BoundedLog {
 public:
  BoundedLog(LogLevel min_level, int fd, std::size_t max_lines_per_second)
      : min_level_(min_level), fd_(fd), max_lines_per_second_(max_lines_per_second) {}
  ~BoundedLog() { Flush(); }
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  void Write(WallTime time, const LogEvent& event);

  void SetMinLevel(LogLevel min_level) { min_level_ = min_level; }

  // Writes as much of the buffered text as the file descriptor accepts without blocking.
  void Flush();

  bool has_pending() const { return !pending_.empty(); }
  std::uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  // Counts the line against the rate limit and returns whether it may be written.
  bool AdmitLine(WallTime time, const LogEvent& event);

  LogLevel min_level_;
  int fd_;
  std::size_t max_lines_per_second_;
  std::string pending_;
  WallTime current_second_{};
  std::size_t lines_in_second_ = 0;
  std::unordered_map<std::string, std::size_t> lines_by_event_;  // In the current second.
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t reported_dropped_lines_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_BOUNDED_LOG_H_
