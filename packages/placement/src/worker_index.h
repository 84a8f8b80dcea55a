#ifndef CACTUSSHELF_PLACEMENT_SRC_WORKER_INDEX_H_
#define CACTUSSHELF_PLACEMENT_SRC_WORKER_INDEX_H_

#include <cstdint>
#include <vector>

#include "cactusshelf/base/resources.h"

namespace cactusshelf {

// Index of a worker in the tables of one cell.
using WorkerSlot = std::uint32_t;

// Finds workers with enough of every resource without visiting all workers. Each node of a binary
// tree over the slots holds the maximum amount of each resource in its subtree. An update costs
// O(log n). A search skips the subtrees whose maximum is too small. Not thread-safe.
class WorkerIndex {
 public:
  // Sets the amount of a slot and grows the index if needed. Nothing fits into a slot without
  // amount.
  void Set(WorkerSlot slot, const Resources& amount);

  // Removes the amount of the slot.
  void Clear(WorkerSlot slot);

  // Returns at most `limit` slots that hold at least `need`, in circular slot order from `start`.
  // The search ends after a bounded number of steps. It may miss slots if each resource is
  // plentiful in some slots but few slots have enough of all; a search from another start covers
  // the others.
  std::vector<WorkerSlot> Find(const Resources& need, WorkerSlot start, std::size_t limit) const;

  // True if some slot holds `need`. The search has no step limit and visits each slot at most once.
  bool Contains(const Resources& need) const;

  std::size_t size() const { return slot_count_; }

 private:
  struct Search;

  void Grow(std::size_t slots);
  void UpdateAncestors(std::size_t node);
  void Visit(std::size_t node, std::size_t first, std::size_t last, Search& search) const;

  std::size_t slot_count_ = 0;
  std::size_t leaf_count_ = 0;  // Of the tree; a power of two.
  std::vector<Resources> tree_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_WORKER_INDEX_H_
