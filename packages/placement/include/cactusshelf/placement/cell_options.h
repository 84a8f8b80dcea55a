#ifndef CACTUSSHELF_PLACEMENT_CELL_OPTIONS_H_
#define CACTUSSHELF_PLACEMENT_CELL_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Relative importance of the metrics of merit. Only their ratios matter. At least one is positive.
struct PlacementWeights {
  double tail_latency = 1;
  double evictions = 1;
  double throughput = 1;
};

// Protections that tests switch off to show that the checks notice. All are on in production.
struct PlacementProtections {
  bool count_unconfirmed_starts = true;  // A start with a lost result holds its resources.
  bool wait_for_old_leases = true;       // A new owner visits workers or waits for their leases.
  bool confirm_stop_before_move = true;  // A task moves only after a confirmed stop or expiry.
  bool require_authority = true;         // Nothing is sent without authority.
  bool drop_stale_states = true;         // Reports older than a known result change nothing.
  bool keep_checkpoints = true;          // A moved task names its last checkpoint.
  bool remember_cancellations = true;    // Cancelled and retired work is refused from then on.
};

struct CellOptions {
  PlacementWeights weights;

  Duration task_lease = std::chrono::seconds(15);
  double clock_rate_margin = 0.05;  // Allowance for differences in clock rate.
  Duration report_period = std::chrono::seconds(5);
  Duration resend_delay = std::chrono::milliseconds(250);

  // Ageing: one step of team priority is worth this much waiting.
  Duration ageing_step = std::chrono::minutes(5);
  // A job that waited this long is placed next: other work is kept off a worker that can hold it.
  Duration starvation_bound = std::chrono::minutes(30);

  // A service on a worker is relieved when its slowdown exceeds the first value in two reports, and
  // no longer once it is below the second. The gap is the hysteresis.
  double mitigation_start_slowdown = 1.5;
  double mitigation_end_slowdown = 1.2;
  std::uint32_t throttle_permille = 400;
  // Time a throttle is given to work before a task is evicted, and the least time it stays.
  Duration throttle_evaluation_period = std::chrono::seconds(20);
  // Evictions for relief, for each 100 workers and hour; also the most that can accumulate.
  double eviction_budget = 60;
  // Time a checkpoint is given before the task is stopped without it.
  Duration checkpoint_timeout = std::chrono::seconds(10);
  // The same when the room is for urgent work, which must start within 2 s.
  Duration urgent_checkpoint_timeout = std::chrono::milliseconds(800);

  // Workers that are ranked for one start.
  std::uint32_t candidates_per_start = 24;

  PlacementProtections protections;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_CELL_OPTIONS_H_
