#ifndef CACTUSSHELF_BASE_COUNTERS_H_
#define CACTUSSHELF_BASE_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusshelf {

// Counters named "<metric>" with one "reason" label, for instance
// cactusshelf_refusals_total{reason="queue_full"}. Not thread-safe.
class Counters {
 public:
  void Add(std::string_view metric, std::string_view reason, std::uint64_t n = 1);

  // Zero for a counter that was never added to.
  std::uint64_t Get(std::string_view metric, std::string_view reason) const;

  // Sum over the reasons of `metric`.
  std::uint64_t Total(std::string_view metric) const;

  // Adds the values of `other`.
  void Merge(const Counters& other);

  // Prometheus text exposition format, ordered by name.
  std::string Format() const;

 private:
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> values_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_COUNTERS_H_
