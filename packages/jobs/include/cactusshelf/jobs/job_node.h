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
  // Where other processes reach this one. Empty: it takes no part in relaying orders.
  std::string peer_address;
  std::string domain;         // Failure domain.
  int milliprocessors = 200;  // Of this host.
  // One owner schedules so many workers; beyond that there are several cells of fewer, each with
  // an owner. A cell that is full cannot use the room of another, so cells are large.
  std::size_t single_cell_max_workers = 640;
  std::size_t multi_cell_max_workers = 400;
  SchedulerOptions scheduler;
  // Between two reads of the job log by a process that is not the owner.
  Duration follow_period = std::chrono::milliseconds(300);
  // A read by the owner waits so long for a record.
  Duration owner_read_wait = std::chrono::milliseconds(400);
  // A read of the configuration waits so long for a new version.
  Duration configuration_read_wait = std::chrono::milliseconds(1000);
  Duration worker_list_period = std::chrono::milliseconds(400);
  // An owner with nothing else to store says so often that it is alive.
  Duration heartbeat_period = std::chrono::milliseconds(400);
  // A process that should own a cell only if no other does claims it so much later.
  Duration standby_delay{};
  // Between two appends of the owner, in which changes are collected.
  Duration store_period = std::chrono::milliseconds(20);
  Duration owner_silence = std::chrono::milliseconds(1300);
  Duration election_jitter = std::chrono::milliseconds(300);
  // Reads of the store that have not succeeded for so long count as failing.
  Duration store_read_timeout = std::chrono::milliseconds(1500);
  // A longer time between two events means that the process stood still.
  Duration max_event_gap = std::chrono::milliseconds(500);
  // After the request to end, callers are still served for this time, in which the load balancer
  // notices that the process is not ready.
  Duration min_drain_time = std::chrono::milliseconds(2500);
  // A job that is over is forgotten after this time.
  Duration status_retention = std::chrono::seconds(130);
};

// One process of the job service: answers callers, follows the job log, and, while it is the owner,
// schedules the jobs on the workers. Deterministic: each input is an event with its time, each
// output an effect. Not thread-safe.
class JobNode {
 public:
  JobNode(const JobNodeOptions& options, std::uint64_t seed);
  ~JobNode();

  // Call once, before Handle.
  void Start(const Now& now);
  void Handle(const Now& now, JobEvent event);
  std::vector<JobEffect> TakeEffects();

  // When the next Timer event is due.
  std::optional<Time> NextWakeup() const;

  // True while callers should be sent to this process.
  bool ready(Time now) const;
  bool is_owner() const;

  // Prometheus text.
  std::string Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_NODE_H_
