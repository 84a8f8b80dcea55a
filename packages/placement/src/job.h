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
  kStarting,       // A start was emitted and not confirmed.
  kRunning,        // Confirmed by the worker.
  kCheckpointing,  // Runs until a checkpoint is reported, then is stopped.
  kStopping,       // A stop was emitted and not confirmed.
};

// One attempt of a task that runs or may run on a worker.
struct Placement {
  TaskAttempt id;
  Job* job = nullptr;  // Null once the job is cancelled, or if it is not known.
  std::uint32_t task_index = 0;
  WorkerSlot slot = 0;
  std::uint32_t rack = 0;
  std::uint32_t domain = 0;
  ClassIndex job_class = 0;
  CustomerId customer;
  TeamId team;  // Charged with the size; empty if none is.
  Resources size;
  Resources usage;               // Latest measurement.
  WorkerTime usage_measured_at;  // 0 until measured.
  PlacementPhase phase = PlacementPhase::kStarting;
  std::uint64_t incarnation = 0;  // Of the worker that was told to run it.
  Time lease_bound;               // No lease granted by any owner lasts past this.
  WorkerTime lease_until;         // Of the start.
  WorkerTime confirmed_at;        // The worker was known to run it, or to have the start.
  Time started_at;
  std::uint32_t rate_permille = 1000;  // Share of the normal rate that was asked for.
  bool is_in_history = false;
  std::string checkpoint;           // Latest reported.
  std::string previous_checkpoint;  // The latest when a checkpoint was asked for.
  Time throttled_at;
  std::uint32_t throttle_count = 0;  // Times it was throttled.
  CommandId stop_id;                 // Outstanding stop; empty if none.
};

struct Task {
  Attempt last_attempt;
  std::string checkpoint;
  Placement* placement = nullptr;
  bool is_finished = false;
};

// Order of waiting jobs. Waiting raises all jobs at the same rate, so the order of two jobs never
// changes and the key is fixed when the job is admitted.
struct QueueKey {
  Duration rank{};  // Time of admission, less the head start of its priority. Lower goes first.
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
  std::vector<std::uint32_t> waiting_tasks;  // Indexes of tasks to start; the last goes first.
  std::uint32_t unfinished_tasks = 0;
  bool is_finish_reported = false;
  std::optional<Time> reports_requested_at;  // Of an urgent job: when workers were asked for room.
  std::map<std::uint32_t, std::uint32_t> tasks_by_rack;
  std::map<std::uint32_t, std::uint32_t> tasks_by_domain;

  // Where the job waits; kept by JobQueue.
  JobSet* queue = nullptr;
  JobSet::iterator queue_position;
};

inline bool JobOrder::operator()(const Job* left, const Job* right) const {
  return left->key < right->key;
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_JOB_H_
