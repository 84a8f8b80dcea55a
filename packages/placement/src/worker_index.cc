#include "worker_index.h"

#include <algorithm>
#include <limits>

namespace cactusshelf {
namespace {

constexpr Resources kUnset{-1, -1, -1};
constexpr std::size_t kMaxSearchSteps = 1024;

Resources ElementwiseMax(const Resources& left, const Resources& right) {
  return {std::max(left.milliprocessors, right.milliprocessors),
          std::max(left.memory_bytes, right.memory_bytes),
          std::max(left.accelerators, right.accelerators)};
}

}  // namespace

struct WorkerIndex::Search {
  Resources need;
  std::size_t begin = 0;  // Only slots in [begin, end) are returned.
  std::size_t end = 0;
  std::size_t limit = 0;
  std::size_t steps_left = 0;
  std::vector<WorkerSlot> found;

  bool IsDone() const { return found.size() >= limit || steps_left == 0; }
};

void WorkerIndex::Set(WorkerSlot slot, const Resources& amount) {
  if (slot >= slot_count_) {
    Grow(slot + 1);
  }
  tree_[leaf_count_ + slot] = amount;
  UpdateAncestors((leaf_count_ + slot) / 2);
}

void WorkerIndex::Clear(WorkerSlot slot) { Set(slot, kUnset); }

std::vector<WorkerSlot> WorkerIndex::Find(const Resources& need, WorkerSlot start,
                                          std::size_t limit) const {
  Search search{need, start, slot_count_, limit, kMaxSearchSteps, {}};
  if (slot_count_ > 0) {
    Visit(1, 0, leaf_count_, search);
    search.begin = 0;
    search.end = start;
    Visit(1, 0, leaf_count_, search);
  }
  return std::move(search.found);
}

bool WorkerIndex::Contains(const Resources& need) const {
  Search search{need, 0, slot_count_, 1, std::numeric_limits<std::size_t>::max(), {}};
  if (slot_count_ > 0) {
    Visit(1, 0, leaf_count_, search);
  }
  return !search.found.empty();
}

void WorkerIndex::Grow(std::size_t slots) {
  std::vector<Resources> amounts(
      tree_.begin() + static_cast<std::ptrdiff_t>(leaf_count_),
      tree_.begin() + static_cast<std::ptrdiff_t>(leaf_count_ + slot_count_));
  slot_count_ = slots;
  std::size_t width = std::max<std::size_t>(leaf_count_, 1);
  while (width < slots) {
    width *= 2;
  }
  if (width == leaf_count_) {
    return;
  }
  leaf_count_ = width;
  tree_.assign(2 * leaf_count_, kUnset);
  std::copy(amounts.begin(), amounts.end(),
            tree_.begin() + static_cast<std::ptrdiff_t>(leaf_count_));
  for (std::size_t node = leaf_count_ - 1; node > 0; --node) {
    tree_[node] = ElementwiseMax(tree_[2 * node], tree_[2 * node + 1]);
  }
}

void WorkerIndex::UpdateAncestors(std::size_t node) {
  for (; node > 0; node /= 2) {
    const Resources greatest = ElementwiseMax(tree_[2 * node], tree_[2 * node + 1]);
    if (greatest == tree_[node]) {
      return;
    }
    tree_[node] = greatest;
  }
}

void WorkerIndex::Visit(std::size_t node, std::size_t first, std::size_t last,
                        Search& search) const {
  if (search.IsDone() || first >= search.end || last <= search.begin) {
    return;
  }
  --search.steps_left;
  if (!Fits(search.need, tree_[node])) {
    return;
  }
  if (node >= leaf_count_) {
    search.found.push_back(static_cast<WorkerSlot>(first));
    return;
  }
  const std::size_t middle = (first + last) / 2;
  Visit(2 * node, first, middle, search);
  Visit(2 * node + 1, middle, last, search);
}

}  // namespace cactusshelf
