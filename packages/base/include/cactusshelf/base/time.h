#ifndef CACTUSSHELF_BASE_TIME_H_
#define CACTUSSHELF_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace cactusshelf {

// Monotonic clock of one process. State machines do not read the clock; their callers pass the time
// in. The epoch is arbitrary, so times of different processes must not be compared.
struct MonotonicClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::microseconds;
using Time = MonotonicClock::time_point;

// Whole milliseconds of `duration`, rounded towards zero, as written to logs. Thread-safe.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Wall clock time with millisecond resolution, as used in log records and request ids.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Monotonic and wall clock time, read together when an event arrives.
struct Now {
  Time monotonic;
  WallTime wall;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_TIME_H_
