#include "snapshot_trigger.h"

#include "cactusshelf/version/snapshot.h"

namespace cactusshelf {

bool SnapshotTrigger::Poll(const Now& now, const LogState& state) {
  if (!Snapshot::IsDue(state, log_retention_, now.wall)) {
    next_trigger_.reset();
    return false;
  }
  if (!next_trigger_) {
    next_trigger_ = now.monotonic + random_.Between(Duration::zero(), kMaxDelay);
  }
  if (now.monotonic < *next_trigger_) {
    return false;
  }
  // Schedules a retry in case the record does not reach the log.
  next_trigger_ = now.monotonic + kMaxDelay + random_.Between(Duration::zero(), kMaxDelay);
  return true;
}

}  // namespace cactusshelf
