#ifndef CACTUSSHELF_PLACEMENT_CELL_OPTIONS_H_
#define CACTUSSHELF_PLACEMENT_CELL_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Relative weights of the optimization goals. Only the ratios matter. At least one is positive.
struct PlacementWeights {
  double tail_latency = 1;
  double evictions = 1;
  double throughput = 1;
};

// Safeguards that tests disable to show that the invariant checks detect it. All are enabled in
// production.
struct PlacementProtections {
  bool count_unconfirmed_starts = true;  // A start without a result holds its resources.
  bool wait_for_old_leases = true;       // A new owner reads each worker or awaits its leases.
  bool confirm_stop_before_move = true;  // A task moves only after a confirmed stop or expiry.
  bool require_authority = true;         // No command is sent without authority.
  bool drop_stale_states = true;         // Reports older than a known result are ignored.
  bool keep_checkpoints = true;          // A moved task resumes from its last checkpoint.
  bool remember_cancellations = true;    // Cancelled jobs and retired customers stay refused.
};

struct CellOptions {
  PlacementWeights weights;

  Duration task_lease = std::chrono::seconds(15);
  double clock_rate_margin = 0.05;  // Allowance for differences in clock rate.
  Duration report_period = std::chrono::seconds(5);
  Duration resend_delay = std::chrono::milliseconds(250);

  // Waiting time that raises a job as much as one step of team priority does.
  Duration ageing_step = std::chrono::minutes(5);
  // A job that has waited this long gets a worker reserved, on which no other task is started.
  Duration starvation_bound = std::chrono::minutes(30);

  // Tasks on the worker of a service are throttled or evicted when the slowdown of the service
  // exceeds the first value in two consecutive reports. Throttles are lifted when the slowdown is
  // below the second value. The difference between both gives hysteresis.
  double mitigation_start_slowdown = 1.5;
  double mitigation_end_slowdown = 1.2;
  std::uint32_t throttle_permille = 400;
  // Time that a throttle gets to take effect before the task may be evicted. Throttles stay for a
  // multiple of it.
  Duration throttle_evaluation_period = std::chrono::seconds(20);
  // Evictions because of interference or memory pressure, per 100 workers and hour. Unused
  // evictions accumulate up to this number.
  double eviction_budget = 60;
  // Time that a task gets to take a checkpoint before it is stopped without one.
  Duration checkpoint_timeout = std::chrono::seconds(10);
  // The same for a task that is preempted by urgent work, which must start within 2 s.
  Duration urgent_checkpoint_timeout = std::chrono::milliseconds(800);

  // Maximum number of workers that are ranked for one start.
  std::uint32_t candidates_per_start = 24;

  PlacementProtections protections;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_CELL_OPTIONS_H_
