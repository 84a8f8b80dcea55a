#ifndef CACTUSSHELF_STANDINS_TIMER_H_
#define CACTUSSHELF_STANDINS_TIMER_H_

#include <functional>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Runs `action` once on the default GLib main loop after `delay`. If `delay` is zero or negative,
// runs `action` before returning.
void RunAfter(Duration delay, std::function<void()> action);

// Runs `action` on the default GLib main loop every `period` until the process ends.
void RunEvery(Duration period, std::function<void()> action);

Time MonotonicNow();
WallTime WallNow();

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_TIMER_H_
