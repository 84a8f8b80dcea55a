#include "cactusshelf/base/resources.h"

namespace cactusshelf {

std::string_view ToString(ResourceKind kind) {
  switch (kind) {
    case ResourceKind::kProcessors:
      return "processors";
    case ResourceKind::kMemory:
      return "memory";
    case ResourceKind::kAccelerators:
      return "accelerators";
  }
  return "";
}

Resources& Resources::operator+=(const Resources& other) {
  milliprocessors += other.milliprocessors;
  memory_bytes += other.memory_bytes;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  milliprocessors -= other.milliprocessors;
  memory_bytes -= other.memory_bytes;
  accelerators -= other.accelerators;
  return *this;
}

std::optional<ResourceKind> FirstExceeded(const Resources& need, const Resources& available) {
  if (need.milliprocessors > available.milliprocessors) {
    return ResourceKind::kProcessors;
  }
  if (need.memory_bytes > available.memory_bytes) {
    return ResourceKind::kMemory;
  }
  if (need.accelerators > available.accelerators) {
    return ResourceKind::kAccelerators;
  }
  return std::nullopt;
}

bool Fits(const Resources& need, const Resources& available) {
  return !FirstExceeded(need, available).has_value();
}

}  // namespace cactusshelf
