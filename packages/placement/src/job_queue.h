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

// Jobs with waiting tasks, in the order in which they are to be started, and the quotas of teams.
//
// A job that cannot start for a reason it shares with others (the quota of its team, a quarantined
// class, no room for its size) waits in a group for that reason and costs nothing until the group
// is released. Entering costs O(log n); leaving, and so cancelling, O(1). Jobs are owned by the
// caller and must be removed before they are destroyed. Not thread-safe.
class JobQueue {
 public:
  explicit JobQueue(Duration ageing_step) : ageing_step_(ageing_step) {}

  // Teams that are no longer named keep their use and get no quota.
  void ApplyTeams(const std::vector<TeamSpec>& teams);
  bool HasTeam(const TeamId& team) const;
  const Resources& quota(const TeamId& team) const { return teams_.at(team).quota; }

  // Sets the key of a new job from its priority and time of admission.
  void AssignKey(Job& job);

  // Makes a job ready, unless its size is known not to fit. No effect if it waits already.
  void Add(Job& job);
  void Remove(Job& job);

  const JobSet& urgent() const { return urgent_; }
  const JobSet& normal() const { return normal_; }

  // Jobs that wait, for whatever reason.
  std::size_t size() const { return size_; }

  // The job that was admitted first among the heads of the ready jobs and of the groups for lack
  // of room. Null if there is none.
  Job* OldestWaitingForCapacity() const;

  bool HasQuota(const Job& job) const;
  void ChargeQuota(const TeamId& team, const Resources& size);
  // May make a job ready that waits for the quota.
  void RefundQuota(const TeamId& team, const Resources& size);

  // Makes the first job that waits for the quota ready if the quota has room for one task of it.
  void ReleaseNextOfTeam(const TeamId& team);

  void BlockByQuota(Job& job);
  void BlockByClass(Job& job);
  void BlockByShape(Job& job);

  bool HasBlockedClass(ClassIndex job_class) const;
  void ReleaseFirstOfClass(ClassIndex job_class);
  void ReleaseClass(ClassIndex job_class);

  // Makes ready the first job of some of the sizes that fit `room`, and looks at a bounded number
  // of sizes. Returns true if any was released.
  bool ReleaseFitting(const Resources& room);
  // The same without regard to room, for changes other than of free capacity.
  bool ReleaseSomeShapes();
  // A job of this size was started and left the queue: the next one may be tried.
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
  Shape next_shape_{};  // Where the next bounded look at the sizes begins.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_JOB_QUEUE_H_
