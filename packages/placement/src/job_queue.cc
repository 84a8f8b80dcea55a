#include "job_queue.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace cactusshelf {
namespace {

// Bound the work after each end of a task if the waiting jobs have many different shapes.
constexpr std::size_t kMaxShapesExamined = 64;
constexpr std::size_t kMaxShapesReleased = 4;
// Moves urgent jobs ahead of the other jobs of their team that wait for the same quota.
constexpr Duration kUrgentHeadStart = std::chrono::hours(24);

}  // namespace

void JobQueue::ApplyTeams(const std::vector<TeamSpec>& teams) {
  for (auto& [id, team] : teams_) {
    team.quota = {};
  }
  for (const TeamSpec& spec : teams) {
    Team& team = teams_[spec.id];
    team.quota = spec.quota;
    team.priority = spec.priority;
    // The quota may have increased. Jobs that still exceed it are blocked again when they are
    // tried.
    while (!team.blocked.empty()) {
      Job& job = **team.blocked.begin();
      Remove(job);
      MakeReady(job);
    }
  }
}

bool JobQueue::HasTeam(const TeamId& team) const { return teams_.contains(team); }

void JobQueue::AssignKey(Job& job) {
  const auto team = teams_.find(job.spec.team);
  const int priority = team == teams_.end() ? 0 : team->second.priority;
  job.key = {job.admitted_at.time_since_epoch() - priority * ageing_step_, next_sequence_++};
  if (job.spec.urgent) {
    job.key.rank -= kUrgentHeadStart;
  }
}

void JobQueue::Add(Job& job) {
  if (job.queue != nullptr) {
    return;
  }
  if (!job.spec.urgent) {
    const auto it = blocked_by_shape_.find(ShapeOf(job));
    if (it != blocked_by_shape_.end()) {
      Insert(it->second, job);
      return;
    }
  }
  MakeReady(job);
}

void JobQueue::Remove(Job& job) {
  if (job.queue == nullptr) {
    return;
  }
  JobSet* const set = job.queue;
  set->erase(job.queue_position);
  job.queue = nullptr;
  --size_;
  // Add blocks a job whose shape has a group. In an empty group no earlier job would release it.
  if (set->empty() && set != &urgent_ && set != &normal_) {
    const auto it = blocked_by_shape_.find(ShapeOf(job));
    if (it != blocked_by_shape_.end() && &it->second == set) {
      blocked_by_shape_.erase(it);
    }
  }
}

Job* JobQueue::OldestWaitingForCapacity() const {
  Job* oldest = normal_.empty() ? nullptr : *normal_.begin();
  for (const auto& [shape, jobs] : blocked_by_shape_) {
    if (oldest == nullptr || JobOrder()(*jobs.begin(), oldest)) {
      oldest = *jobs.begin();
    }
  }
  return oldest;
}

bool JobQueue::HasQuota(const Job& job) const {
  const Team& team = teams_.at(job.spec.team);
  return Fits(team.used + job.spec.size, team.quota);
}

void JobQueue::ChargeQuota(const TeamId& team, const Resources& size) {
  teams_.at(team).used += size;
}

void JobQueue::RefundQuota(const TeamId& id, const Resources& size) {
  teams_.at(id).used -= size;
  ReleaseNextOfTeam(id);
}

void JobQueue::ReleaseNextOfTeam(const TeamId& id) {
  Team& team = teams_.at(id);
  if (!team.blocked.empty() && HasQuota(**team.blocked.begin())) {
    Job& job = **team.blocked.begin();
    Remove(job);
    MakeReady(job);
  }
}

void JobQueue::BlockByQuota(Job& job) {
  Remove(job);
  Insert(teams_.at(job.spec.team).blocked, job);
}

void JobQueue::BlockByClass(Job& job) {
  Remove(job);
  Insert(blocked_by_class_[job.job_class], job);
}

void JobQueue::BlockByShape(Job& job) {
  Remove(job);
  Insert(blocked_by_shape_[ShapeOf(job)], job);
}

bool JobQueue::HasBlockedClass(ClassIndex job_class) const {
  const auto it = blocked_by_class_.find(job_class);
  return it != blocked_by_class_.end() && !it->second.empty();
}

void JobQueue::ReleaseFirstOfClass(ClassIndex job_class) {
  if (HasBlockedClass(job_class)) {
    Job& job = **blocked_by_class_[job_class].begin();
    Remove(job);
    MakeReady(job);
  }
}

void JobQueue::ReleaseClass(ClassIndex job_class) {
  while (HasBlockedClass(job_class)) {
    ReleaseFirstOfClass(job_class);
  }
}

bool JobQueue::ReleaseFitting(const Resources& free) {
  return ReleaseShapesWhere([&](const Job& job) { return Fits(job.spec.size, free); });
}

bool JobQueue::ReleaseSomeShapes() {
  return ReleaseShapesWhere([](const Job&) { return true; });
}

void JobQueue::ReleaseNextOfShape(const Job& like) {
  const auto it = blocked_by_shape_.find(ShapeOf(like));
  if (it != blocked_by_shape_.end()) {
    Job& job = **it->second.begin();
    Remove(job);
    MakeReady(job);
  }
}

JobQueue::Shape JobQueue::ShapeOf(const Job& job) {
  return {job.job_class, job.spec.size.milliprocessors, job.spec.size.memory_bytes,
          job.spec.size.accelerators};
}

void JobQueue::Insert(JobSet& set, Job& job) {
  assert(job.queue == nullptr);
  job.queue_position = set.insert(&job).first;
  job.queue = &set;
  ++size_;
}

void JobQueue::MakeReady(Job& job) { Insert(job.spec.urgent ? urgent_ : normal_, job); }

template <typename Predicate>
bool JobQueue::ReleaseShapesWhere(Predicate predicate) {
  std::vector<Job*> heads;
  auto it = blocked_by_shape_.lower_bound(next_shape_);
  const std::size_t examined_shapes = std::min(kMaxShapesExamined, blocked_by_shape_.size());
  for (std::size_t i = 0; i < examined_shapes; ++i, ++it) {
    if (it == blocked_by_shape_.end()) {
      it = blocked_by_shape_.begin();
    }
    if (predicate(**it->second.begin())) {
      heads.push_back(*it->second.begin());
    }
  }
  next_shape_ = it == blocked_by_shape_.end() ? Shape{} : it->first;
  std::sort(heads.begin(), heads.end(), JobOrder());
  heads.resize(std::min(heads.size(), kMaxShapesReleased));
  for (Job* job : heads) {
    Remove(*job);
    MakeReady(*job);
  }
  return !heads.empty();
}

}  // namespace cactusshelf
