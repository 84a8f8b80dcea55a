#include "worker_index.h"

#include <algorithm>
#include <limits>

namespace cactusshelf {
namespace {

constexpr Resources kNothing{-1, -1, -1};
constexpr std::size_t kMostSteps = 1024;

Resources Greatest(const Resources& left, const Resources& right) {
  return {std::max(left.milliprocessors, right.milliprocessors),
          std::max(left.memory_bytes, right.memory_bytes),
          std::max(left.accelerators, right.accelerators)};
}

}  // namespace

struct WorkerIndex::Search {
  Resources need;
  std::size_t begin = 0;  // Slots in [begin, end) are wanted.
  std::size_t end = 0;
  std::size_t limit = 0;
  std::size_t steps_left = 0;
  std::vector<WorkerSlot> found;

  bool IsDone() const { return found.size() >= limit || steps_left == 0; }
};

void WorkerIndex::Set(WorkerSlot slot, const Resources& amount) {
  if (slot >= leaves_) {
    Grow(slot + 1);
  }
  greatest_[width_ + slot] = amount;
  Update((width_ + slot) / 2);
}

void WorkerIndex::Clear(WorkerSlot slot) { Set(slot, kNothing); }

std::vector<WorkerSlot> WorkerIndex::Find(const Resources& need, WorkerSlot start,
                                          std::size_t limit) const {
  Search search{need, start, leaves_, limit, kMostSteps, {}};
  if (leaves_ > 0) {
    Visit(1, 0, width_, search);
    search.begin = 0;
    search.end = start;
    Visit(1, 0, width_, search);
  }
  return std::move(search.found);
}

bool WorkerIndex::Contains(const Resources& need) const {
  Search search{need, 0, leaves_, 1, std::numeric_limits<std::size_t>::max(), {}};
  if (leaves_ > 0) {
    Visit(1, 0, width_, search);
  }
  return !search.found.empty();
}

void WorkerIndex::Grow(std::size_t slots) {
  std::vector<Resources> amounts(greatest_.begin() + static_cast<std::ptrdiff_t>(width_),
                                 greatest_.begin() + static_cast<std::ptrdiff_t>(width_ + leaves_));
  leaves_ = slots;
  std::size_t width = std::max<std::size_t>(width_, 1);
  while (width < slots) {
    width *= 2;
  }
  if (width == width_) {
    return;
  }
  width_ = width;
  greatest_.assign(2 * width_, kNothing);
  std::copy(amounts.begin(), amounts.end(),
            greatest_.begin() + static_cast<std::ptrdiff_t>(width_));
  for (std::size_t node = width_ - 1; node > 0; --node) {
    greatest_[node] = Greatest(greatest_[2 * node], greatest_[2 * node + 1]);
  }
}

void WorkerIndex::Update(std::size_t node) {
  for (; node > 0; node /= 2) {
    const Resources greatest = Greatest(greatest_[2 * node], greatest_[2 * node + 1]);
    if (greatest == greatest_[node]) {
      return;
    }
    greatest_[node] = greatest;
  }
}

void WorkerIndex::Visit(std::size_t node, std::size_t first, std::size_t last,
                        Search& search) const {
  if (search.IsDone() || first >= search.end || last <= search.begin) {
    return;
  }
  --search.steps_left;
  if (!Fits(search.need, greatest_[node])) {
    return;
  }
  if (node >= width_) {
    search.found.push_back(static_cast<WorkerSlot>(first));
    return;
  }
  const std::size_t middle = (first + last) / 2;
  Visit(2 * node, first, middle, search);
  Visit(2 * node + 1, middle, last, search);
}

}  // namespace cactusshelf
