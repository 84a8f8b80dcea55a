#include "cell_views.h"

namespace cactusshelf::jobs {

const CellViews::Cell* CellViews::Find(int cell) const {
  const bool known = cell >= 0 && static_cast<std::size_t>(cell) < cells_.size();
  return known ? &cells_[static_cast<std::size_t>(cell)] : nullptr;
}

const JobLogView* CellViews::ViewOf(int cell) const {
  const Cell* found = Find(cell);
  return found == nullptr ? nullptr : found->view;
}

Time CellViews::FreshAt(int cell) const {
  const Cell* found = Find(cell);
  return found == nullptr ? Time{} : found->follower->fresh_at();
}

bool CellViews::IsUnreadableFor(int cell, Duration duration, Time now) const {
  const Cell* found = Find(cell);
  return found == nullptr || found->follower->UnansweredFor(now) >= duration;
}

const JobLogView::Entry* CellViews::RunningEntry(const JobKey& key,
                                                 const JobLogView::Entry& home) const {
  if (!home.handed_over_to) return &home;
  const JobLogView* view = ViewOf(*home.handed_over_to);
  return view == nullptr ? nullptr : view->Find(key);
}

JobState CellViews::StateOf(const JobKey& key, const JobLogView::Entry& home) const {
  const JobLogView::Entry* running = RunningEntry(key, home);
  const JobState state = running == nullptr ? JobState::kQueued : JobLogView::StateOf(*running);
  return home.cancelled && !IsFinal(state) ? JobState::kCancelled : state;
}

int CellViews::PendingJobCount(const std::string& queue) const {
  int n = 0;
  for (const Cell& cell : cells_) {
    for (const auto& [key, entry] : cell.view->entries()) {
      // A copy is counted with the entry in the log of the cell of its name.
      const bool is_home = entry.job != nullptr && !entry.job->home_cell;
      if (!is_home || entry.job->queue.name != queue) continue;
      if (StateOf(key, entry) == JobState::kQueued) ++n;
    }
  }
  return n;
}

}  // namespace cactusshelf::jobs
