#include "cactusshelf/daemon/bounded_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include "log_line.h"

namespace cactusshelf {
namespace {

constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;
// A pipe that is writable takes so many bytes at once without waiting (POSIX's PIPE_BUF).
constexpr std::size_t kAtomicBytes = 4096;

bool IsWritable(int fd) {
  pollfd poller{fd, POLLOUT, 0};
  return poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT) != 0;
}

}  // namespace

bool BoundedLog::Admit(WallTime time, LogLevel level) {
  const WallTime second = std::chrono::floor<std::chrono::seconds>(time);
  if (second != second_) {
    second_ = second;
    lines_in_second_ = 0;
  }
  ++lines_in_second_;
  // Warnings and errors are rare and pass.
  return lines_in_second_ <= max_lines_per_second_ || level >= LogLevel::kWarning;
}

void BoundedLog::Write(WallTime time, const LogEvent& event) {
  if (event.level() < lowest_) return;
  if (!Admit(time, event.level()) || pending_.size() >= kMaxPendingBytes) {
    ++dropped_;
    return;
  }
  if (dropped_ != reported_) {
    pending_ += FormatLogLine(
        time,
        LogEvent(LogLevel::kWarning, "log_lines_dropped").With("lines", dropped_ - reported_));
    reported_ = dropped_;
  }
  pending_ += FormatLogLine(time, event);
  if (pending_.size() >= kAtomicBytes) Flush();
}

void BoundedLog::Flush() {
  std::size_t written = 0;
  while (written < pending_.size() && IsWritable(fd_)) {
    const std::size_t n = std::min(pending_.size() - written, kAtomicBytes);
    const ssize_t result = write(fd_, pending_.data() + written, n);
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  pending_.erase(0, written);
}

}  // namespace cactusshelf
