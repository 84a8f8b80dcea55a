#include "cactusshelf/daemon/shell_metrics.h"

namespace cactusshelf {

std::string ShellMetrics::Format() const {
  return counters.Format() + request_time.Format("cactusshelf_shell_request_seconds") +
         attempt_time.Format("cactusshelf_shell_attempt_seconds") +
         event_time.Format("cactusshelf_shell_event_seconds");
}

}  // namespace cactusshelf
