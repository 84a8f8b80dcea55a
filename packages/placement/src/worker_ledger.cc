#include "worker_ledger.h"

#include <algorithm>
#include <array>

namespace cactusshelf {

void WorkerLedger::SetAvailable(WorkerSlot slot, const Resources& available) {
  if (slot >= entries_.size()) {
    entries_.resize(slot + 1);
  }
  entries_[slot].available = available;
  available_.Set(slot, available);
  Reindex(slot);
}

void WorkerLedger::SetSchedulable(WorkerSlot slot, bool is_schedulable) {
  if (entries_[slot].is_schedulable == is_schedulable) {
    return;
  }
  entries_[slot].is_schedulable = is_schedulable;
  Reindex(slot);
}

void WorkerLedger::Commit(WorkerSlot slot, const Resources& size) {
  entries_[slot].committed += size;
  Reindex(slot);
}

void WorkerLedger::Release(WorkerSlot slot, const Resources& size) {
  entries_[slot].committed -= size;
  Reindex(slot);
}

Resources WorkerLedger::Free(WorkerSlot slot) const {
  return entries_[slot].available - entries_[slot].committed;
}

ResourceKind WorkerLedger::MostLimitingResource(const Resources& size) const {
  std::array<std::size_t, 3> excluded{};
  for (const Entry& entry : entries_) {
    if (const auto kind = FirstExceeded(size, entry.available)) {
      ++excluded[static_cast<std::size_t>(*kind)];
    }
  }
  const auto it = std::max_element(excluded.begin(), excluded.end());
  return static_cast<ResourceKind>(it - excluded.begin());
}

void WorkerLedger::Reindex(WorkerSlot slot) {
  if (entries_[slot].is_schedulable) {
    free_.Set(slot, Free(slot));
  } else {
    free_.Clear(slot);
  }
}

}  // namespace cactusshelf
