#ifndef CACTUSSHELF_PLACEMENT_SRC_JOB_H_
#define CACTUSSHELF_PLACEMENT_SRC_JOB_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/specs.h"
#include "cactusshelf/placement/worker_messages.h"
#include "interner.h"
#include "worker_index.h"

namespace cactusshelf {

struct Job;

enum class PlacementPhase {
  kStarting,       // A start was emitted but is not confirmed.
  kRunning,        // Confirmed by the worker.
  kCheckpointing,  // Runs until a checkpoint is reported, then is stopped.
  kStopping,       // A stop was emitted but is not confirmed.
};

// One attempt of a task that runs or may run on a worker.
struct Placement {
  TaskAttempt id;
  Job* job = nullptr;  // Null if the job is cancelled or not admitted.
  std::uint32_t task_index = 0;
  WorkerSlot slot = 0;
  std::uint32_t rack = 0;
  std::uint32_t domain = 0;
  ClassIndex job_class = 0;
  CustomerId customer;
  TeamId team;  // Team whose quota is charged with the size; empty if none.
  Resources size;
  Resources usage;               // Latest measurement.
  WorkerTime usage_measured_at;  // 0 before the first measurement.
  PlacementPhase phase = PlacementPhase::kStarting;
  std::uint64_t incarnation = 0;  // Of the worker, when the start was sent or last reported.
  Time lease_bound;               // All leases of all owners have expired at this time.
  WorkerTime lease_until;         // Lease end in the start command.
  WorkerTime confirmed_at;        // Latest worker time at which the worker had the start.
  Time started_at;
  std::uint32_t rate_permille = 1000;  // Share of the normal rate; 1000 if not throttled.
  bool is_in_history = false;
  std::string checkpoint;           // Latest reported.
  std::string previous_checkpoint;  // Latest before the eviction began.
  Time throttled_at;
  std::uint32_t throttle_count = 0;  // Number of throttles so far.
  CommandId stop_id;                 // Outstanding stop; empty if none.
};

struct Task {
  Attempt last_attempt;
  std::string checkpoint;
  Placement* placement = nullptr;
  bool is_finished = false;
};

// Sort key of waiting jobs. Ageing raises all jobs at the same rate, so that the order of two jobs
// never changes and the key is computed only once, when the job is admitted.
struct QueueKey {
  Duration rank{};  // Time of admission minus the bonus for priority. Lower is first.
  std::uint64_t sequence = 0;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

struct JobOrder {
  bool operator()(const Job* left, const Job* right) const;
};
using JobSet = std::set<Job*, JobOrder>;

struct Job {
  JobSpec spec;
  ClassIndex job_class = 0;
  Time admitted_at;
  QueueKey key;
  std::vector<Task> tasks;
  std::vector<std::uint32_t> waiting_tasks;  // Indexes of tasks to start, from the back.
  std::uint32_t unfinished_tasks = 0;
  bool is_finish_reported = false;
  std::optional<Time> reports_requested_at;  // Before a preemption; empty if none is prepared.
  std::map<std::uint32_t, std::uint32_t> tasks_by_rack;
  std::map<std::uint32_t, std::uint32_t> tasks_by_domain;

  // Set and position in which the job waits. Maintained by JobQueue.
  JobSet* queue = nullptr;
  JobSet::iterator queue_position;
};

inline bool JobOrder::operator()(const Job* left, const Job* right) const {
  return left->key < right->key;
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_JOB_H_
