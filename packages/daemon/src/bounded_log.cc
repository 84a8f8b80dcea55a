#include "cactusshelf/daemon/bounded_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include "log_line.h"

namespace cactusshelf {
namespace {

constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;
// Largest write that does not block on a pipe that poll() reports as writable (PIPE_BUF on Linux).
constexpr std::size_t kMaxAtomicWriteBytes = 4096;
// Lines of each kind of event in a second that the rate limit does not apply to.
constexpr std::size_t kExemptLinesPerEvent = 8;

bool IsWritable(int fd) {
  pollfd poll_entry{fd, POLLOUT, 0};
  return poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

}  // namespace

bool BoundedLog::AdmitLine(WallTime time, const LogEvent& event) {
  const WallTime second = std::chrono::floor<std::chrono::seconds>(time);
  if (second != current_second_) {
    current_second_ = second;
    lines_in_second_ = 0;
    lines_by_event_.clear();
  }
  ++lines_in_second_;
  const bool exempt = ++lines_by_event_[event.name()] <= kExemptLinesPerEvent;
  // Warnings and errors are rare and are exempt from the limit.
  return lines_in_second_ <= max_lines_per_second_ || exempt || event.level() >= LogLevel::kWarning;
}

void BoundedLog::Write(WallTime time, const LogEvent& event) {
  if (event.level() < min_level_) return;
  if (!AdmitLine(time, event) || pending_.size() >= kMaxPendingBytes) {
    ++dropped_lines_;
    return;
  }
  if (dropped_lines_ != reported_dropped_lines_) {
    pending_ += FormatLogLine(time, LogEvent(LogLevel::kWarning, "log_lines_dropped")
                                        .With("lines", dropped_lines_ - reported_dropped_lines_));
    reported_dropped_lines_ = dropped_lines_;
  }
  pending_ += FormatLogLine(time, event);
  if (pending_.size() >= kMaxAtomicWriteBytes) Flush();
}

void BoundedLog::Flush() {
  std::size_t written = 0;
  while (written < pending_.size() && IsWritable(fd_)) {
    const std::size_t n = std::min(pending_.size() - written, kMaxAtomicWriteBytes);
    const ssize_t result = write(fd_, pending_.data() + written, n);
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  pending_.erase(0, written);
}

}  // namespace cactusshelf
