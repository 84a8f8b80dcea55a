#ifndef CACTUSSHELF_NODE_SNAPSHOT_TRIGGER_H_
#define CACTUSSHELF_NODE_SNAPSHOT_TRIGGER_H_

#include <optional>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/version/log_state.h"

namespace cactusshelf {

// Decides when this member writes a snapshot. Each member waits for a random delay after a snapshot
// becomes due, so that usually one member writes it and the others see it first. Not thread-safe.
class SnapshotTrigger {
 public:
  static constexpr Duration kMaxDelay = std::chrono::seconds(10);

  SnapshotTrigger(Duration log_retention, Random random)
      : log_retention_(log_retention), random_(random) {}

  // Whether to write a snapshot now. Must be called after each read of the log.
  bool Poll(const Now& now, const LogState& state);

 private:
  Duration log_retention_;
  Random random_;
  std::optional<Time> write_at_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_SNAPSHOT_TRIGGER_H_
