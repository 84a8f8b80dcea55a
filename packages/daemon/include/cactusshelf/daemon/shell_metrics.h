#ifndef CACTUSSHELF_DAEMON_SHELL_METRICS_H_
#define CACTUSSHELF_DAEMON_SHELL_METRICS_H_

#include <string>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/distribution.h"

namespace cactusshelf {

// Metrics of the shell, to which its adapters add theirs. Not thread-safe.
struct ShellMetrics {
  Counters counters;
  Distribution request_time;  // From the receipt of a complete request to its response.
  Distribution attempt_time;  // From SendAttempt to the end of the attempt.
  Distribution event_time;    // Handling of one event, including its effects.

  // Returns the metrics in the Prometheus text format.
  std::string Format() const;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SHELL_METRICS_H_
