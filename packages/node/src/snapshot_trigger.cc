#include "snapshot_trigger.h"

#include "cactusshelf/version/snapshot.h"

namespace cactusshelf {

bool SnapshotTrigger::Poll(const Now& now, const LogState& state) {
  if (!Snapshot::IsDue(state, log_retention_, now.wall)) {
    write_at_.reset();
    return false;
  }
  if (!write_at_) {
    write_at_ = now.monotonic + random_.Between(Duration::zero(), kMaxDelay);
  }
  if (now.monotonic < *write_at_) {
    return false;
  }
  // Schedules a retry in case the record does not reach the log.
  write_at_ = now.monotonic + kMaxDelay + random_.Between(Duration::zero(), kMaxDelay);
  return true;
}

}  // namespace cactusshelf
