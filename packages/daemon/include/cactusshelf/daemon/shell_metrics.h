#ifndef CACTUSSHELF_DAEMON_SHELL_METRICS_H_
#define CACTUSSHELF_DAEMON_SHELL_METRICS_H_

#include <string>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/distribution.h"

namespace cactusshelf {

// Counters and distributions of the shell itself, shared by its adapters. Not thread-safe.
struct ShellMetrics {
  Counters counters;
  Distribution request_time;  // From a complete request of a caller to its response.
  Distribution attempt_time;  // From SendAttempt to the end of the attempt.
  Distribution event_time;    // Handling of one event with its effects.

  // Prometheus text.
  std::string Format() const;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SHELL_METRICS_H_
