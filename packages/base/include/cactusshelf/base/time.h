#ifndef CACTUSSHELF_BASE_TIME_H_
#define CACTUSSHELF_BASE_TIME_H_

#include <chrono>

namespace cactusshelf {

// Monotonic time of one process, supplied by the caller of each state machine.
// The epoch is arbitrary, so values of different processes must not be compared.
struct MonotonicClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::microseconds;
using Time = MonotonicClock::time_point;

// Civil time with millisecond resolution, as carried by log records and request ids.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// The two clocks, read together when an event arrives.
struct Now {
  Time monotonic;
  WallTime wall;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_TIME_H_
