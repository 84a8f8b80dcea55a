#ifndef CACTUSSHELF_DAEMON_BOUNDED_LOG_H_
#define CACTUSSHELF_DAEMON_BOUNDED_LOG_H_

#include <cstdint>
#include <string>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Writes log events to a file descriptor without ever waiting for its reader, and at most so many
// lines a second. What cannot be written is dropped and counted; the next line that is written
// says how many were dropped. Not thread-safe.
class BoundedLog {
 public:
  BoundedLog(LogLevel lowest, int fd, std::size_t max_lines_per_second)
      : lowest_(lowest), fd_(fd), max_lines_per_second_(max_lines_per_second) {}
  ~BoundedLog() { Flush(); }
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  void Write(WallTime time, const LogEvent& event);

  void SetLowest(LogLevel lowest) { lowest_ = lowest; }

  // Writes what the reader takes now.
  void Flush();

  bool has_pending() const { return !pending_.empty(); }
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool Admit(WallTime time, LogLevel level);

  LogLevel lowest_;
  int fd_;
  std::size_t max_lines_per_second_;
  std::string pending_;
  WallTime second_{};
  std::size_t lines_in_second_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_BOUNDED_LOG_H_
