#ifndef CACTUSSHELF_JOBS_CELL_ROOM_H_
#define CACTUSSHELF_JOBS_CELL_ROOM_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "cactusshelf/base/resources.h"

namespace cactusshelf::jobs {

// What the workers of one pool in one cell have free. Amounts are parts of a worker, by the
// resource of which a worker has the smallest or a task needs the largest part, so that workers of
// different size count alike. Not thread-safe.
struct PoolRoom {
  static constexpr int kPartsPerWorker = 32;

  // Number of usable workers by their free parts.
  std::array<int, kPartsPerWorker + 1> workers_by_free_parts{};
  // Parts that waiting tasks need.
  std::int64_t waiting_parts = 0;

  void AddWorker(const Resources& free, const Resources& capacity);
  int workers() const;
  // Number of tasks that need `parts` each for which there is room beside the waiting tasks.
  // Precondition: parts > 0.
  std::int64_t RoomFor(int parts) const;
  // Free parts of all workers less those that waiting tasks need; may be negative.
  std::int64_t FreeParts() const;
  // As a fraction of the tasks of this size that fit on the workers when they are idle; 0 if none.
  double FreeShareFor(int parts) const;

  friend bool operator==(const PoolRoom&, const PoolRoom&) = default;
};

// The smallest number of parts of a worker that holds `need`; more than all if it does not fit.
int PartsOf(const Resources& need, const Resources& capacity);

// Sent by the owner of a cell to the owners of the other cells.
struct CellRoom {
  int cell = 0;
  std::map<std::string, PoolRoom> pools;

  // True if the free parts of a pool differ by a significant part of its workers.
  bool DiffersMuchFrom(const CellRoom& other) const;
  friend bool operator==(const CellRoom&, const CellRoom&) = default;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_CELL_ROOM_H_
