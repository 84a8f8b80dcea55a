#ifndef CACTUSSHELF_BASE_RANDOM_H_
#define CACTUSSHELF_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Number in [0, 1) made of the highest bits of `bits`, as many as a double holds. Thread-safe.
double ToUnitInterval(std::uint64_t bits);

// Seeded pseudo-random number generator. Yields the same results on every platform, which the
// standard does not guarantee for the distributions of <random>. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }

  // Uniform in [0, bound). Precondition: bound > 0.
  std::uint64_t Below(std::uint64_t bound);

  // Uniform in [0, 1).
  double Real();

  // Exponentially distributed with the given mean. Precondition: mean > 0.
  double Exponential(double mean);

  // Uniform in [low, high]. Precondition: low <= high.
  Duration Between(Duration low, Duration high);

  // True with the given probability.
  bool Chance(double probability) { return Real() < probability; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_RANDOM_H_
