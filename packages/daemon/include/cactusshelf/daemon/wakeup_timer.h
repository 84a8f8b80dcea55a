#ifndef CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_
#define CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_

#include <glib.h>

#include <functional>
#include <memory>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// One-shot timer on the default main context that can be set again. Setting it to a later time,
// which is what most events do, costs no system call: GLib wakes the main loop up with each change
// of a source, so the source keeps the earlier time and is set anew when that has come. Not
// thread-safe.
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
  // Runs the callback of the timer `data` if it is due, or sets the source anew.
  static gboolean Fire(gpointer data);
  // Lets the source wake the main loop up at `ready_time`.
  void SetSource(gint64 ready_time);

  std::shared_ptr<const std::function<void()>> callback_;
  GSource* source_;
  // Monotonic times in microseconds.
  gint64 due_;           // When the callback is to run.
  gint64 source_ready_;  // When the source wakes the main loop up; not after due_.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_WAKEUP_TIMER_H_
