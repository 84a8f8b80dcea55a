#ifndef CACTUSSHELF_BASE_RESOURCES_H_
#define CACTUSSHELF_BASE_RESOURCES_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace cactusshelf {

enum class ResourceKind { kProcessors, kMemory, kAccelerators };

// "processors", "memory" or "accelerators".
std::string_view ToString(ResourceKind kind);

// Amounts of the resources of a worker. Differences may be negative.
struct Resources {
  std::int64_t milliprocessors = 0;  // A processor is 1,000 milliprocessors.
  std::int64_t memory_bytes = 0;
  std::int64_t accelerators = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources left, const Resources& right) { return left += right; }
  friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
  friend Resources operator*(const Resources& amount, std::int64_t n) {
    return {amount.milliprocessors * n, amount.memory_bytes * n, amount.accelerators * n};
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

// True if `need` does not exceed `available` for any resource.
bool Fits(const Resources& need, const Resources& available);

// First resource, in the order of ResourceKind, for which `need` exceeds `available`. Empty if
// `need` fits.
std::optional<ResourceKind> FirstExceeded(const Resources& need, const Resources& available);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_RESOURCES_H_
