#ifndef CACTUSSHELF_BASE_DISTRIBUTION_H_
#define CACTUSSHELF_BASE_DISTRIBUTION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Count, mean, maximum and estimated quantiles (0.5, 0.99, 0.999) of durations, in constant memory.
// Mean, maximum and quantiles are zero while there are no values. Not thread-safe.
class Distribution {
 public:
  Distribution();
  ~Distribution();
  Distribution(Distribution&&) noexcept;
  Distribution& operator=(Distribution&&) noexcept;

  void Add(Duration value);

  std::uint64_t count() const;
  Duration Mean() const;
  Duration Max() const;
  Duration Median() const;
  Duration P99() const;
  Duration P999() const;

  // Prometheus summary of the metric `name`, in seconds.
  std::string Format(std::string_view name) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_DISTRIBUTION_H_
