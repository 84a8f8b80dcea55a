#include <utility>

#include "job_cell.h"

// Jobs that one cell hands over to another.
namespace cactusshelf::jobs {
namespace {

// Time between two reports of the cell's room to the owners of other cells, and the least time if
// it has changed much.
constexpr Duration kRoomReportPeriod = std::chrono::milliseconds(100);
constexpr Duration kMinRoomReportPeriod = std::chrono::milliseconds(20);
constexpr Duration kRoomLogPeriod = std::chrono::seconds(5);
// Greatest time between two comparisons with the jobs of other cells.
constexpr Duration kHandOverCheckPeriod = std::chrono::milliseconds(1000);

}  // namespace

std::optional<CellRoom> JobCell::TakeRoomReport(const Now& now) {
  const bool due = scheduler_ != nullptr && multiple_cells_ && now.monotonic >= next_room_check_;
  if (!due || releasing_) return std::nullopt;
  next_room_check_ = now.monotonic + kMinRoomReportPeriod;
  CellRoom room = scheduler_->MeasureRoom(now);
  const bool is_old = now.monotonic >= room_reported_at_ + kRoomReportPeriod;
  if (!is_old && !room.DiffersMuchFrom(reported_room_)) return std::nullopt;
  room_reported_at_ = now.monotonic;
  reported_room_ = room;
  LogRoom(room, now);
  return room;
}

void JobCell::LogRoom(const CellRoom& room, const Now& now) {
  if (now.monotonic < next_room_log_) return;
  next_room_log_ = now.monotonic + kRoomLogPeriod;
  for (const auto& [name, pool] : room.pools) {
    Log(LogEvent(LogLevel::kInfo, "cell_room")
            .With("pool", name)
            .With("workers", pool.workers())
            .With("free_parts", pool.FreeParts())
            .With("waiting_parts", pool.waiting_parts)
            .With("parts_per_worker", PoolRoom::kPartsPerWorker));
  }
}

void JobCell::OnCancelStored(const JobKey& key, const Now& now) {
  scheduler_->OnCancel(key, now);
  const JobLogView::Entry* entry = log_view_.Find(key);
  if (entry != nullptr && entry->handed_over_to) cells_to_notify_.insert(*entry->handed_over_to);
}

std::uint64_t JobCell::CountHandOverChanges() const {
  std::uint64_t n = 0;
  for (int cell = 0; const JobLogView* view = cells_.ViewOf(cell); ++cell) {
    if (cell != index_ && KnowsLogOf(cell)) n += view->hand_over_changes() + 1;
  }
  return n;
}

void JobCell::TakeOverJobs(const Now& now) {
  if (!multiple_cells_ || releasing_) return;
  const std::uint64_t changes = CountHandOverChanges();
  const bool changed = std::exchange(hand_over_changes_applied_, changes) != changes;
  const bool due = now.monotonic >= next_hand_over_check_;
  if (!changed && !due) return;
  for (int cell = 0; const JobLogView* view = cells_.ViewOf(cell); ++cell) {
    if (cell == index_ || !KnowsLogOf(cell)) continue;
    for (const JobKey& key : view->JobsHandedOverTo(index_)) TakeOverJob(cell, key, now);
    scheduler_->OnHomeLogRead(cell);
  }
  if (!due) return;
  next_hand_over_check_ = now.monotonic + kHandOverCheckPeriod;
  NoteFinishedElsewhere(now);
}

bool JobCell::IsCancelledAtHome(const JobLogView::Entry& entry) const {
  if (!entry.job->home_cell) return false;
  const JobLogView* view = cells_.ViewOf(*entry.job->home_cell);
  const JobLogView::Entry* home = view == nullptr ? nullptr : view->Find(entry.job->key);
  return home != nullptr && home->cancelled;
}

void JobCell::TakeOverJob(int home_cell, const JobKey& key, const Now& now) {
  const JobLogView::Entry* home = cells_.ViewOf(home_cell)->Find(key);
  if (home == nullptr) return;
  const JobLogView::Entry* copy = log_view_.Find(key);
  if (copy != nullptr) {
    copies_in_flight_.erase(key);
    if (home->cancelled && !IsFinal(copy->progress.state)) scheduler_->OnCancel(key, now);
    return;
  }
  if (home->cancelled || !copies_in_flight_.insert(key).second) return;
  SubmittedJob job = *home->job;
  job.home_cell = home_cell;
  Log(LogEvent(LogLevel::kInfo, "job_taken_over")
          .With("job", key.str())
          .With("home_cell", home_cell));
  Submission copying;
  copying.cell = index_;
  copying.records.push_back(Encode(job));
  OnSubmission(std::move(copying));
}

void JobCell::NoteFinishedElsewhere(const Now& now) {
  for (int cell = 0; cells_.ViewOf(cell) != nullptr; ++cell) {
    for (const JobKey& key : log_view_.JobsHandedOverTo(cell)) {
      const JobLogView::Entry* entry = log_view_.Find(key);
      const bool finished = entry != nullptr && IsFinal(cells_.StateOf(key, *entry));
      if (finished) finished_at_.try_emplace(key, now.monotonic);
    }
  }
}

bool JobCell::MayDrop(const JobKey& key) const {
  const JobLogView::Entry* entry = log_view_.Find(key);
  if (entry == nullptr || !entry->job->home_cell) return true;
  const int home_cell = *entry->job->home_cell;
  const JobLogView* home = cells_.ViewOf(home_cell);
  return home != nullptr && KnowsLogOf(home_cell) && home->Find(key) == nullptr;
}

}  // namespace cactusshelf::jobs
