#include "room_claims.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace cactusshelf::jobs {

template <typename Predicate>
void RoomClaims::RemoveIf(const Predicate& obsolete) {
  const auto removed =
      std::erase_if(claims_, [&](const auto& it) { return obsolete(it.first, it.second); });
  if (removed == 0) return;
  claimed_.clear();
  for (const auto& [task, claim] : claims_) claimed_[claim.worker] += claim.need;
}

void RoomClaims::KeepWorkers(const std::vector<WorkerState*>& workers) {
  if (claims_.empty()) return;
  const std::unordered_set<const WorkerState*> kept(workers.begin(), workers.end());
  RemoveIf([&](const TaskRef&, const Claim& claim) { return !kept.contains(claim.worker); });
}

void RoomClaims::KeepTasks(const std::set<TaskRef>& tasks) {
  RemoveIf([&](const TaskRef& task, const Claim&) { return !tasks.contains(task); });
}

void RoomClaims::Add(const TaskRef& task, WorkerState& worker, const Resources& need) {
  Remove(task);
  claims_[task] = {&worker, need};
  claimed_[&worker] += need;
}

void RoomClaims::Remove(const TaskRef& task) {
  const auto it = claims_.find(task);
  if (it == claims_.end()) return;
  claimed_[it->second.worker] -= it->second.need;
  claims_.erase(it);
}

WorkerState* RoomClaims::WorkerOf(const TaskRef& task) const {
  const auto it = claims_.find(task);
  return it == claims_.end() ? nullptr : it->second.worker;
}

Resources RoomClaims::ClaimedByOthers(const WorkerState& worker, const TaskRef& task) const {
  const auto sum = claimed_.find(&worker);
  if (sum == claimed_.end()) return {};
  const auto own = claims_.find(task);
  const bool counted = own != claims_.end() && own->second.worker == &worker;
  return counted ? sum->second - own->second.need : sum->second;
}

namespace {

// A run that has outlasted its estimate is expected to take as much more time as it took beyond it.
Time ExpectedEnd(const Run& run, Time now) {
  const Time estimated = run.started_at + run.estimate;
  return estimated > now ? estimated : now + (now - estimated);
}

}  // namespace

std::optional<Time> ExpectedRoomAt(const WorkerState& worker, const Resources& need, Time now) {
  Resources free = worker.Free();
  if (Fits(need, free)) return now;
  if (!Fits(need, free + worker.short_task_use())) return std::nullopt;
  std::vector<std::pair<Time, Resources>> ends;
  for (const auto& [ref, run] : worker.runs()) {
    if (!run.long_running) ends.emplace_back(ExpectedEnd(run, now), run.need);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  for (const auto& [end, freed] : ends) {
    free += freed;
    if (Fits(need, free)) return end;
  }
  return std::nullopt;
}

}  // namespace cactusshelf::jobs
