#ifndef CACTUSSHELF_PLACEMENT_SRC_WORKER_LEDGER_H_
#define CACTUSSHELF_PLACEMENT_SRC_WORKER_LEDGER_H_

#include <cstdint>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "worker_index.h"

namespace cactusshelf {

// What is committed on each worker, by declared size. A task counts from the emission of its start
// until it is known to have ended. Not thread-safe.
class WorkerLedger {
 public:
  // Capacity that batch work may use: that of the worker without its endpoints.
  void SetAvailable(WorkerSlot slot, const Resources& available);
  const Resources& available(WorkerSlot slot) const { return entries_[slot].available; }

  // A closed worker is not offered for starts; its commitments stay.
  void SetSchedulable(WorkerSlot slot, bool is_schedulable);
  bool is_schedulable(WorkerSlot slot) const { return entries_[slot].is_schedulable; }

  void Commit(WorkerSlot slot, const Resources& size);
  void Release(WorkerSlot slot, const Resources& size);
  const Resources& committed(WorkerSlot slot) const { return entries_[slot].committed; }

  // Available minus committed. Negative if the capacity was reduced below the commitments.
  Resources Free(WorkerSlot slot) const;

  // Open workers with room for `size`, at most `limit`, from `start` and around.
  std::vector<WorkerSlot> FindWithFree(const Resources& size, WorkerSlot start,
                                       std::size_t limit) const {
    return free_.Find(size, start, limit);
  }

  // Workers, open or not, that could hold `size` if they were empty.
  std::vector<WorkerSlot> FindWithCapacity(const Resources& size, WorkerSlot start,
                                           std::size_t limit) const {
    return available_.Find(size, start, limit);
  }

  // True if some worker could hold `size` when empty.
  bool FitsEmptyWorker(const Resources& size) const { return available_.Contains(size); }

  // The resource that most often rules out a worker for `size`. Precondition:
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
  WorkerIndex free_;       // Of open workers.
  WorkerIndex available_;  // Of all workers.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_WORKER_LEDGER_H_
