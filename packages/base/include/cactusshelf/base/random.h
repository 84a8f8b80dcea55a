#ifndef CACTUSSHELF_BASE_RANDOM_H_
#define CACTUSSHELF_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Seeded random source with results that are the same on every platform; the distributions of
// <random> are not specified to be. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }

  // Uniform in [0, bound). Precondition: bound > 0.
  std::uint64_t Below(std::uint64_t bound);

  // Uniform in [0, 1).
  double Real();

  // Exponential with the given mean. Precondition: mean > 0.
  double Exponential(double mean);

  // Uniform in [low, high]. Precondition: low <= high.
  Duration Between(Duration low, Duration high);

  bool Chance(double probability) { return Real() < probability; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_RANDOM_H_
