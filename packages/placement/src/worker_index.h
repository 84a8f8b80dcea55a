#ifndef CACTUSSHELF_PLACEMENT_SRC_WORKER_INDEX_H_
#define CACTUSSHELF_PLACEMENT_SRC_WORKER_INDEX_H_

#include <cstdint>
#include <vector>

#include "cactusshelf/base/resources.h"

namespace cactusshelf {

// Position of a worker in the tables of one cell.
using WorkerSlot = std::uint32_t;

// Finds workers with enough of every resource without visiting all workers. A binary tree over the
// slots holds the greatest amount of each resource below each node; an update costs O(log n), and a
// search leaves out every part of the tree that is too small. Not thread-safe.
class WorkerIndex {
 public:
  // Grows to hold `slot` if needed. A slot that was never set fits nothing.
  void Set(WorkerSlot slot, const Resources& amount);

  // Makes the slot fit nothing.
  void Clear(WorkerSlot slot);

  // Slots that hold at least `need`, in slot order from `start` and around, at most `limit`. The
  // search gives up after a bounded number of steps, so it may miss slots when each resource is
  // plentiful somewhere but hardly any slot has all of them; another start then covers the rest.
  std::vector<WorkerSlot> Find(const Resources& need, WorkerSlot start, std::size_t limit) const;

  // True if some slot holds `need`. Exact; visits at most all slots.
  bool Contains(const Resources& need) const;

  // Number of slots.
  std::size_t size() const { return slot_count_; }

 private:
  struct Search;

  void Grow(std::size_t slots);
  void UpdateAncestors(std::size_t node);
  void Visit(std::size_t node, std::size_t first, std::size_t last, Search& search) const;

  std::size_t slot_count_ = 0;
  std::size_t leaf_count_ = 0;  // Leaves of the tree, a power of two.
  std::vector<Resources> tree_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_WORKER_INDEX_H_
