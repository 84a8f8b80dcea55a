#ifndef CACTUSSHELF_DAEMON_LOG_WRITER_H_
#define CACTUSSHELF_DAEMON_LOG_WRITER_H_

#include <cstdio>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Writes log events of at least one level as "time=... level=... event=..." lines.
// Not thread-safe.
class LogWriter {
 public:
  // `stream` outlives the writer.
  LogWriter(LogLevel lowest, std::FILE* stream) : lowest_(lowest), stream_(stream) {}

  void Write(WallTime time, const LogEvent& event);

 private:
  LogLevel lowest_;
  std::FILE* stream_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_LOG_WRITER_H_
