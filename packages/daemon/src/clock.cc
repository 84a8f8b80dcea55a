#include "cactusshelf/daemon/clock.h"

#include <glib.h>

namespace cactusshelf {

Now SystemClock::Read() const {
  const Time monotonic{Duration(g_get_monotonic_time())};
  const auto wall = std::chrono::system_clock::now();
  return Now{monotonic, std::chrono::floor<std::chrono::milliseconds>(wall)};
}

}  // namespace cactusshelf
