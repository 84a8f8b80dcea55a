#include "cactusshelf/jobs/cell_room.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace cactusshelf::jobs {
namespace {

constexpr std::int64_t kParts = PoolRoom::kPartsPerWorker;
// A change of more than one part in this many of all workers is reported at once.
constexpr std::int64_t kSignificantFraction = 50;

// Precondition: divisor > 0.
std::int64_t CeilOfQuotient(std::int64_t dividend, std::int64_t divisor) {
  return dividend > 0 ? (dividend + divisor - 1) / divisor : dividend / divisor;
}

std::int64_t FreePartsOf(std::int64_t free, std::int64_t capacity) {
  if (capacity <= 0) return kParts;
  return std::clamp<std::int64_t>(free * kParts / capacity, 0, kParts);
}

std::int64_t NeededParts(std::int64_t need, std::int64_t capacity) {
  if (need <= 0) return 0;
  if (capacity <= 0 || need > capacity) return kParts + 1;
  return CeilOfQuotient(need * kParts, capacity);
}

}  // namespace

int PartsOf(const Resources& need, const Resources& capacity) {
  return static_cast<int>(std::max({NeededParts(need.milliprocessors, capacity.milliprocessors),
                                    NeededParts(need.memory_bytes, capacity.memory_bytes),
                                    NeededParts(need.accelerators, capacity.accelerators)}));
}

void PoolRoom::AddWorker(const Resources& free, const Resources& capacity) {
  const std::int64_t parts = std::min(FreePartsOf(free.milliprocessors, capacity.milliprocessors),
                                      FreePartsOf(free.memory_bytes, capacity.memory_bytes));
  ++workers_by_free_parts[static_cast<std::size_t>(parts)];
}

int PoolRoom::workers() const {
  return std::accumulate(workers_by_free_parts.begin(), workers_by_free_parts.end(), 0);
}

std::int64_t PoolRoom::RoomFor(int parts) const {
  std::int64_t n = -CeilOfQuotient(waiting_parts, parts);
  for (std::size_t free = 0; free < workers_by_free_parts.size(); ++free)
    n += workers_by_free_parts[free] * (static_cast<std::int64_t>(free) / parts);
  return n;
}

std::int64_t PoolRoom::FreeParts() const {
  std::int64_t n = -waiting_parts;
  for (std::size_t free = 0; free < workers_by_free_parts.size(); ++free)
    n += workers_by_free_parts[free] * static_cast<std::int64_t>(free);
  return n;
}

double PoolRoom::FreeShareFor(int parts) const {
  const std::int64_t all = workers() * (kParts / parts);
  return all == 0 ? 0.0 : static_cast<double>(RoomFor(parts)) / static_cast<double>(all);
}

bool CellRoom::DiffersMuchFrom(const CellRoom& other) const {
  return std::any_of(pools.begin(), pools.end(), [&](const auto& it) {
    const auto& [name, pool] = it;
    const auto before = other.pools.find(name);
    if (before == other.pools.end()) return true;
    const std::int64_t all = std::int64_t{pool.workers()} * kParts;
    const std::int64_t change = std::abs(pool.FreeParts() - before->second.FreeParts());
    return change * kSignificantFraction > all;
  });
}

}  // namespace cactusshelf::jobs
