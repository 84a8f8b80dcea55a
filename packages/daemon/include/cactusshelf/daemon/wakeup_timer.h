#ifndef CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_
#define CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_

#include <glib.h>

#include <functional>
#include <memory>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// One timer source on the default main context. Not thread-safe.
class WakeupTimer {
 public:
  // `callback` runs from the main loop each time the timer fires, and may destroy the timer.
  explicit WakeupTimer(std::function<void()> callback);
  ~WakeupTimer();
  WakeupTimer(const WakeupTimer&) = delete;
  WakeupTimer& operator=(const WakeupTimer&) = delete;

  // Fires once after `delay`, or at the next iteration if it is not positive. Replaces the
  // time set before.
  void FireAfter(Duration delay);

  void Clear();

 private:
  std::shared_ptr<const std::function<void()>> callback_;
  GSource* source_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_
