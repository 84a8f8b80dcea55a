#ifndef CACTUSSHELF_DAEMON_SRC_LOG_LINE_H_
#define CACTUSSHELF_DAEMON_SRC_LOG_LINE_H_

#include <string>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Returns "time=... level=... event=..." followed by a newline. Thread-safe.
std::string FormatLogLine(WallTime time, const LogEvent& event);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SRC_LOG_LINE_H_
