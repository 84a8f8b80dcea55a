#ifndef CACTUSSHELF_PLACEMENT_SRC_WORKER_LEDGER_H_
#define CACTUSSHELF_PLACEMENT_SRC_WORKER_LEDGER_H_

#include <cstdint>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "worker_index.h"

namespace cactusshelf {

// Resources that are committed on each worker, by the declared sizes of tasks. A task is counted
// from the emission of its start until it is known to have ended. Not thread-safe.
class WorkerLedger {
 public:
  // Sets the capacity for batch tasks: that of the worker minus its endpoints.
  void SetAvailable(WorkerSlot slot, const Resources& available);
  const Resources& available(WorkerSlot slot) const { return entries_[slot].available; }

  // FindWithFreeCapacity does not return a worker that is not schedulable. Its commitments stay.
  void SetSchedulable(WorkerSlot slot, bool is_schedulable);
  bool is_schedulable(WorkerSlot slot) const { return entries_[slot].is_schedulable; }

  void Commit(WorkerSlot slot, const Resources& size);
  void Release(WorkerSlot slot, const Resources& size);
  const Resources& committed(WorkerSlot slot) const { return entries_[slot].committed; }

  // Available minus committed resources. Negative if the capacity was reduced below the
  // commitments.
  Resources Free(WorkerSlot slot) const;

  // Returns at most `limit` schedulable workers on which `size` fits, in circular slot order from
  // `start`.
  std::vector<WorkerSlot> FindWithFreeCapacity(const Resources& size, WorkerSlot start,
                                               std::size_t limit) const {
    return free_.Find(size, start, limit);
  }

  // Returns at most `limit` workers, schedulable or not, on which `size` would fit if they were
  // empty.
  std::vector<WorkerSlot> FindWithTotalCapacity(const Resources& size, WorkerSlot start,
                                                std::size_t limit) const {
    return available_.Find(size, start, limit);
  }

  // True if `size` would fit on some worker if it were empty.
  bool FitsEmptyWorker(const Resources& size) const { return available_.Contains(size); }

  // Returns the resource that excludes most workers for `size`. Precondition:
  // !FitsEmptyWorker(size).
  ResourceKind MostLimitingResource(const Resources& size) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Resources available;
    Resources committed;
    bool is_schedulable = false;
  };

  void Reindex(WorkerSlot slot);

  std::vector<Entry> entries_;
  WorkerIndex free_;       // Free resources of schedulable workers.
  WorkerIndex available_;  // Capacity of all workers.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_WORKER_LEDGER_H_
