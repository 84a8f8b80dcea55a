#include "log_level_reader.h"

namespace cactusshelf {

void ReadLogLevel(TableReader& reader, Findings& findings, LogLevel& target) {
  std::string text(ToString(target));
  reader.ReadString("log_level", text);
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning, LogLevel::kError}) {
    if (ToString(level) != text) continue;
    target = level;
    return;
  }
  findings.Add(reader.PlaceOf("log_level"),
               "log_level: expected \"debug\", \"info\", \"warning\" or \"error\"");
}

}  // namespace cactusshelf
