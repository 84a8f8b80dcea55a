#include "cactusshelf/daemon/log_writer.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <iterator>

namespace cactusshelf {

void LogWriter::Write(WallTime time, const LogEvent& event) {
  if (event.level() < lowest_) return;
  const auto second = std::chrono::floor<std::chrono::seconds>(time);
  const auto millisecond = (time - second).count();
  const std::tm utc = fmt::gmtime(std::chrono::system_clock::to_time_t(second));
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", utc,
                 millisecond, event.Format());
  std::fwrite(line.data(), 1, line.size(), stream_);
}

}  // namespace cactusshelf
