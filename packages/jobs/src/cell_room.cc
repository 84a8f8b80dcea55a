#include "cactusshelf/jobs/cell_room.h"

#include <algorithm>
#include <numeric>

namespace cactusshelf::jobs {
namespace {

constexpr std::int64_t kParts = PoolRoom::kPartsPerWorker;

std::int64_t FreeParts(std::int64_t free, std::int64_t capacity) {
  if (capacity <= 0) return kParts;
  return std::clamp<std::int64_t>(free * kParts / capacity, 0, kParts);
}

std::int64_t NeededParts(std::int64_t need, std::int64_t capacity) {
  if (need <= 0) return 0;
  if (capacity <= 0 || need > capacity) return kParts + 1;
  return (need * kParts + capacity - 1) / capacity;
}

}  // namespace

int PartsOf(const Resources& need, const Resources& capacity) {
  return static_cast<int>(std::max({NeededParts(need.milliprocessors, capacity.milliprocessors),
                                    NeededParts(need.memory_bytes, capacity.memory_bytes),
                                    NeededParts(need.accelerators, capacity.accelerators)}));
}

void PoolRoom::AddWorker(const Resources& free, const Resources& capacity) {
  const std::int64_t parts = std::min(FreeParts(free.milliprocessors, capacity.milliprocessors),
                                      FreeParts(free.memory_bytes, capacity.memory_bytes));
  ++workers_by_free_parts[static_cast<std::size_t>(parts)];
}

int PoolRoom::workers() const {
  return std::accumulate(workers_by_free_parts.begin(), workers_by_free_parts.end(), 0);
}

std::int64_t PoolRoom::RoomFor(int parts) const {
  std::int64_t n = -(waiting_parts + parts - 1) / parts;
  for (std::size_t free = 0; free < workers_by_free_parts.size(); ++free)
    n += workers_by_free_parts[free] * (static_cast<std::int64_t>(free) / parts);
  return n;
}

double PoolRoom::FreeShareFor(int parts) const {
  const std::int64_t all = workers() * (kParts / parts);
  return all == 0 ? 0.0 : static_cast<double>(RoomFor(parts)) / static_cast<double>(all);
}

}  // namespace cactusshelf::jobs
