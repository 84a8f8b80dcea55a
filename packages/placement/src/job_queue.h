#ifndef CACTUSSHELF_PLACEMENT_SRC_JOB_QUEUE_H_
#define CACTUSSHELF_PLACEMENT_SRC_JOB_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/specs.h"
#include "job.h"

namespace cactusshelf {

// Jobs with waiting tasks in the order in which they are started, and the quotas of the teams.
//
// Jobs that cannot start for the same reason (the quota of their team, a quarantined class, no
// capacity for their shape) are blocked as one group. They are not tried until the group is
// released. Insertion costs O(log n), removal and so cancellation O(1). Jobs are owned by the
// caller and must be removed before they are destroyed. Not thread-safe.
class JobQueue {
 public:
  explicit JobQueue(Duration ageing_step) : ageing_step_(ageing_step) {}

  // Replaces the teams. Teams that are not listed get no quota and keep the usage charged to them.
  void ApplyTeams(const std::vector<TeamSpec>& teams);
  bool HasTeam(const TeamId& team) const;
  const Resources& quota(const TeamId& team) const { return teams_.at(team).quota; }

  // Sets the key of a new job from its time of admission, the priority of its team and its urgency.
  void AssignKey(Job& job);

  // Makes the job ready, or blocks it if others of its shape are blocked for lack of capacity. No
  // effect if the job is in the queue already.
  void Add(Job& job);
  void Remove(Job& job);

  const JobSet& urgent() const { return urgent_; }
  const JobSet& normal() const { return normal_; }

  // Number of ready and blocked jobs.
  std::size_t size() const { return size_; }

  // Returns the first job in queue order among the ready normal jobs and those that are blocked for
  // lack of capacity. Null if there is none.
  Job* OldestWaitingForCapacity() const;

  bool HasQuota(const Job& job) const;
  void ChargeQuota(const TeamId& team, const Resources& size);
  // May release a job that is blocked by the quota.
  void RefundQuota(const TeamId& team, const Resources& size);

  // Releases the first job that is blocked by the quota if one of its tasks fits into the quota.
  void ReleaseNextOfTeam(const TeamId& team);

  void BlockByQuota(Job& job);
  void BlockByClass(Job& job);
  void BlockByShape(Job& job);

  bool HasBlockedClass(ClassIndex job_class) const;
  void ReleaseFirstOfClass(ClassIndex job_class);
  void ReleaseClass(ClassIndex job_class);

  // Releases the first job of some of the blocked shapes that fit into `free`. Examines a bounded
  // number of shapes. Returns true if a job was released.
  bool ReleaseFitting(const Resources& free);
  // The same for shapes of any size, after changes other than of free capacity.
  bool ReleaseSomeShapes();
  // Releases the next blocked job of the same shape as `like`, after `like` was started.
  void ReleaseNextOfShape(const Job& like);

 private:
  struct Team {
    Resources quota;
    Resources used;
    int priority = 0;
    JobSet blocked;
  };
  struct Shape {
    ClassIndex job_class;
    std::int64_t milliprocessors;
    std::int64_t memory_bytes;
    std::int64_t accelerators;

    friend auto operator<=>(const Shape&, const Shape&) = default;
  };

  static Shape ShapeOf(const Job& job);
  void Insert(JobSet& set, Job& job);
  void MakeReady(Job& job);
  template <typename Predicate>
  bool ReleaseShapesWhere(Predicate predicate);

  Duration ageing_step_;
  std::uint64_t next_sequence_ = 0;
  std::size_t size_ = 0;
  JobSet urgent_;
  JobSet normal_;
  std::unordered_map<TeamId, Team> teams_;
  std::unordered_map<ClassIndex, JobSet> blocked_by_class_;
  std::map<Shape, JobSet> blocked_by_shape_;
  Shape next_shape_{};  // First shape that the next bounded scan examines.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_JOB_QUEUE_H_
