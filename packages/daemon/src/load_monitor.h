#ifndef CACTUSSHELF_DAEMON_LOAD_MONITOR_H_
#define CACTUSSHELF_DAEMON_LOAD_MONITOR_H_

#include <functional>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/daemon/wakeup_timer.h"

namespace cactusshelf {

// Reports at regular intervals how many processors this process has used, so that a slow answer can
// be traced to a host that had no processor time left. Not thread-safe.
class LoadMonitor {
 public:
  // `log` outlives the monitor.
  explicit LoadMonitor(std::function<void(const LogEvent&)> log);

 private:
  void Report();

  std::function<void(const LogEvent&)> log_;
  Duration used_{};  // Processor time of the process at `at_`.
  Time at_;
  WakeupTimer timer_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_LOAD_MONITOR_H_
