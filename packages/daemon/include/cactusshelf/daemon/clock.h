#ifndef CACTUSSHELF_DAEMON_CLOCK_H_
#define CACTUSSHELF_DAEMON_CLOCK_H_

#include <concepts>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Source of the time that the shell passes to the node. Each call to Read() reads the clocks
// again.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Read() } -> std::same_as<Now>;
};

// The clocks of the operating system. The monotonic clock is that of the GLib main loop.
// Thread-safe.
class SystemClock {
 public:
  Now Read() const;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_CLOCK_H_
