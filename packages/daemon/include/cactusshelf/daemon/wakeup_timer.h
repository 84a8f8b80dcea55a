#ifndef CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_
#define CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_

#include <glib.h>

#include <functional>
#include <memory>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// One-shot timer on the default main context that can be set again. Not thread-safe.
class WakeupTimer {
 public:
  // `callback` runs from the main loop each time the timer fires, and may destroy the timer.
  explicit WakeupTimer(std::function<void()> callback);
  ~WakeupTimer();
  WakeupTimer(const WakeupTimer&) = delete;
  WakeupTimer& operator=(const WakeupTimer&) = delete;

  // Fires once after `delay`, or in the next iteration of the main loop if `delay` is not positive.
  // Replaces the time set by an earlier call.
  void FireAfter(Duration delay);

  // Disarms the timer.
  void Clear();

 private:
  std::shared_ptr<const std::function<void()>> callback_;
  GSource* source_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_
