#include "log_line.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cactusshelf {

std::string FormatLogLine(WallTime time, const LogEvent& event) {
  const auto second = std::chrono::floor<std::chrono::seconds>(time);
  const auto millisecond = (time - second).count();
  const std::tm utc = fmt::gmtime(std::chrono::system_clock::to_time_t(second));
  return fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", utc, millisecond, event.Format());
}

}  // namespace cactusshelf
