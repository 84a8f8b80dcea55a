#ifndef CACTUSSHELF_DAEMON_LOAD_MONITOR_H_
#define CACTUSSHELF_DAEMON_LOAD_MONITOR_H_

#include <functional>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/daemon/wakeup_timer.h"

namespace cactusshelf {

// Logs the CPU use of this process at regular intervals, so that a slow response can be attributed
// to CPU saturation of the host. Not thread-safe.
class LoadMonitor {
 public:
  // `log` is called from the main loop; what it refers to must outlive the monitor.
  explicit LoadMonitor(std::function<void(const LogEvent&)> log);

 private:
  void Report();

  std::function<void(const LogEvent&)> log_;
  Duration last_processor_time_{};  // CPU time of the process at `last_report_time_`.
  Time last_report_time_;
  WakeupTimer timer_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_LOAD_MONITOR_H_
