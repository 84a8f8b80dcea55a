#ifndef CACTUSSHELF_DAEMON_LOG_WRITER_H_
#define CACTUSSHELF_DAEMON_LOG_WRITER_H_

#include <cstdio>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Writes log events at or above a minimum level as "time=... level=... event=..." lines.
// Not thread-safe.
class LogWriter {
 public:
  // `stream` must outlive the writer.
  LogWriter(LogLevel min_level, std::FILE* stream) : min_level_(min_level), stream_(stream) {}

  void Write(WallTime time, const LogEvent& event);

 private:
  LogLevel min_level_;
  std::FILE* stream_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_LOG_WRITER_H_
