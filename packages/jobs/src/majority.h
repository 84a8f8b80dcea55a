#ifndef CACTUSSHELF_JOBS_SRC_MAJORITY_H_
#define CACTUSSHELF_JOBS_SRC_MAJORITY_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "cactusshelf/base/time.h"

namespace cactusshelf::jobs {

// The latest time that more than half of `times` have reached; zero if there are none. Thread-safe.
inline Time MajorityTime(std::vector<Time> times) {
  if (times.empty()) return {};
  const auto least = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), least, times.end(), std::greater<>());
  return *least;
}

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_MAJORITY_H_
