#include "cactusshelf/daemon/log_writer.h"

#include "log_line.h"

namespace cactusshelf {

void LogWriter::Write(WallTime time, const LogEvent& event) {
  if (event.level() < min_level_) return;
  const std::string line = FormatLogLine(time, event);
  std::fwrite(line.data(), 1, line.size(), stream_);
}

}  // namespace cactusshelf
