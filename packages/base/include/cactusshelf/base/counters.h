#ifndef CACTUSSHELF_BASE_COUNTERS_H_
#define CACTUSSHELF_BASE_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusshelf {

// Metric counters with a single label, "reason", for instance
// cactusshelf_refusals_total{reason="queue_full"}. Not thread-safe.
class Counters {
 public:
  void Add(std::string_view metric, std::string_view reason, std::uint64_t count = 1);

  // Value of the counter; zero if nothing was ever added.
  std::uint64_t Get(std::string_view metric, std::string_view reason) const;

  // Sum over the reasons of `metric`.
  std::uint64_t Total(std::string_view metric) const;

  // Adds each counter of `other` to the one of the same metric and reason.
  void Merge(const Counters& other);

  // Prometheus text exposition format, ordered by metric and reason.
  std::string Format() const;

 private:
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> values_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_COUNTERS_H_
