#include "cactusshelf/base/random.h"

#include <cassert>
#include <cmath>

namespace cactusshelf {

double ToUnitInterval(std::uint64_t bits) {
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(bits >> (64 - kMantissaBits)), -kMantissaBits);
}

std::uint64_t Random::Below(std::uint64_t bound) {
  assert(bound > 0);
  // 2^64 is in general not a multiple of `bound`. Rejecting the lowest 2^64 mod `bound` values
  // avoids modulo bias.
  const std::uint64_t min_accepted = -bound % bound;
  std::uint64_t n = engine_();
  while (n < min_accepted) {
    n = engine_();
  }
  return n % bound;
}

double Random::Real() { return ToUnitInterval(engine_()); }

double Random::Exponential(double mean) {
  assert(mean > 0);
  return -mean * std::log1p(-Real());
}

Duration Random::Between(Duration low, Duration high) {
  assert(low <= high);
  const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + Duration(static_cast<Duration::rep>(Below(span)));
}

}  // namespace cactusshelf
