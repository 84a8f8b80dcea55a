#ifndef CACTUSSHELF_JOBS_SRC_SHORT_TASK_SHARE_H_
#define CACTUSSHELF_JOBS_SRC_SHORT_TASK_SHARE_H_

#include <cstdint>
#include <optional>

#include "cactusshelf/base/time.h"

namespace cactusshelf::jobs {

// The part of one pool's processors that short tasks can count on.
//
// The pattern that it answers: a pool is full of long-running tasks and more of them wait. A short
// task gives its room back within seconds, a long-running task does not. If waiting long-running
// tasks took whatever becomes free, short tasks would soon have no room at all.
//
// The share follows the demand of short tasks, up to a limit beyond which long-running tasks come
// first. Room of the share that stays idle is given to long-running tasks. Not thread-safe.
class ShortTaskShare {
 public:
  // `min_fraction` of the pool's processors belongs to the share even without any demand.
  explicit ShortTaskShare(double min_fraction) : min_fraction_(min_fraction) {}

  // Starts a placement pass on a pool of `capacity`, in which short tasks use `used` and wait for
  // `waiting`, all in milliprocessors.
  void BeginPass(std::int64_t capacity, std::int64_t used, std::int64_t waiting, Time now);

  // Records that a short task that needs `milliprocessors` was placed in this pass.
  void OnShortTaskPlaced(std::int64_t milliprocessors) { used_ += milliprocessors; }

  // Records that a long-running task was kept waiting in this pass although the pool has room.
  void OnLongRunningTaskKeptWaiting() { room_idle_ = true; }
  // True if each pass for some time has kept long-running tasks waiting in spite of such room.
  // Short tasks do not need it, wherever in the pool it is at each moment.
  bool YieldsRoom(Time now) const;

  // Size of the share in milliprocessors.
  std::int64_t Size() const;
  // Milliprocessors of the share that no short task uses.
  std::int64_t Unused() const;
  // True if short tasks use more than their share.
  bool exceeded() const { return used_ > Size(); }

 private:
  double min_fraction_;
  std::int64_t capacity_ = 0;
  std::int64_t used_ = 0;
  double recent_demand_ = 0;  // Decaying maximum, in milliprocessors.
  std::optional<Time> last_pass_at_;
  bool room_idle_ = false;  // In this pass.
  std::optional<Time> room_idle_since_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_SHORT_TASK_SHARE_H_
