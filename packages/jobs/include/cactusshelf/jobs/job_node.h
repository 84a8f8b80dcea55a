#ifndef CACTUSSHELF_JOBS_JOB_NODE_H_
#define CACTUSSHELF_JOBS_JOB_NODE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_event.h"
#include "cactusshelf/jobs/scheduler_options.h"

namespace cactusshelf::jobs {

struct JobNodeOptions {
  std::string host;    // Name of this entry host.
  std::string member;  // Name of this process, unique over restarts.
  // Address for messages from other processes. Empty: this process takes no part in relaying.
  std::string peer_address;
  std::string domain;         // Failure domain.
  int milliprocessors = 200;  // Of this host.
  // Up to single_cell_max_workers form one cell; more are divided into cells of about
  // multi_cell_target_workers, each with its own owner. Cells are large because a full cell cannot
  // use the free capacity of another.
  std::size_t single_cell_max_workers = 640;
  std::size_t multi_cell_target_workers = 400;
  SchedulerOptions scheduler;
  // Interval between two reads of the job log by a process that is not the owner.
  Duration follow_period = std::chrono::milliseconds(300);
  // Longest time that a read of the job log by the owner waits for a record.
  Duration owner_read_wait = std::chrono::milliseconds(400);
  // Longest time that a read of the configuration waits for a new version.
  Duration configuration_read_wait = std::chrono::milliseconds(1000);
  // Interval at which the owner reads the list of workers.
  Duration worker_list_period = std::chrono::milliseconds(400);
  // An owner with nothing else to store appends a heartbeat at this interval.
  Duration heartbeat_period = std::chrono::milliseconds(400);
  // Additional delay of a claim by a process that should own a cell only if no other claims it.
  Duration standby_delay{};
  // Least interval between two appends of the owner; changes in between are batched.
  Duration store_period = std::chrono::milliseconds(20);
  // Time without records of the owner after which other processes claim the cell.
  Duration owner_silence = std::chrono::milliseconds(1300);
  // Upper bound of a random delay that is added to owner_silence.
  Duration election_jitter = std::chrono::milliseconds(300);
  // The store counts as unreachable once reads have not succeeded for this long.
  Duration store_read_timeout = std::chrono::milliseconds(1500);
  // A longer gap between two events means that the process was paused.
  Duration max_event_gap = std::chrono::milliseconds(500);
  // After a drain request, callers are served for at least this time, so that load balancers notice
  // that the process is not ready. The process ends after at most twice this time.
  Duration min_drain_time = std::chrono::milliseconds(2500);
  // A finished job is dropped from the job log after this time.
  Duration status_retention = std::chrono::seconds(130);
};

// One process of the job service: answers callers, follows the job logs and, while it owns a cell,
// schedules that cell's jobs on its workers. Deterministic: all inputs are events with their times,
// all outputs are effects. Not thread-safe.
class JobNode {
 public:
  JobNode(const JobNodeOptions& options, std::uint64_t seed);
  ~JobNode();

  // Call once, before Handle.
  void Start(const Now& now);
  void Handle(const Now& now, JobEvent event);
  // Returns the effects since the last call, to be carried out in order.
  std::vector<JobEffect> TakeEffects();

  // Time at which the next Timer event is due.
  std::optional<Time> NextWakeup() const;

  // True while load balancers should send callers to this process.
  bool ready(Time now) const;
  // True while this process owns at least one cell.
  bool is_owner() const;

  // Metrics in the Prometheus text format.
  std::string Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_NODE_H_
