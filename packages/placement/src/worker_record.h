#ifndef CACTUSSHELF_PLACEMENT_SRC_WORKER_RECORD_H_
#define CACTUSSHELF_PLACEMENT_SRC_WORKER_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/specs.h"
#include "cactusshelf/placement/worker_messages.h"
#include "composition_history.h"
#include "job.h"

namespace cactusshelf {

// State of one service on a worker.
struct ServiceStatus {
  ServiceIndex service = 0;
  std::uint32_t endpoints = 1;
  double load = 0;      // Requests per second of one endpoint; 0 before the first measurement.
  double slowdown = 1;  // Of the latest measurement.
  WorkerTime measured_at;
  std::uint32_t consecutive_slow_reports = 0;  // Above MitigationPolicy::start_slowdown().
};

// State of one worker. Pointers to placements stay valid until the placement is erased.
struct WorkerRecord {
  WorkerSpec spec;
  std::uint32_t rack = 0;
  std::uint32_t domain = 0;
  bool is_removed = false;         // From the configuration. Polled until it has no tasks.
  bool is_decommissioned = false;  // Removed and without tasks. A worker with the same id that is
                                   // added later gets another slot.

  // Communication. `clock_reading` is the latest reading of the worker's clock that was received,
  // `clock_received_at` the local time at which it arrived.
  std::uint64_t incarnation = 0;  // 0 before the first message.
  bool is_epoch_installed = false;
  bool is_visited = false;  // A report under the current epoch arrived.
  bool is_reachable = false;
  WorkerTime clock_reading;
  Time clock_received_at;
  WorkerTime last_result;  // Reports that were produced earlier are stale.
  WorkerTime last_report;
  CommandId install_id;  // Outstanding commands; empty if none.
  CommandId read_id;
  Time last_poll_at;

  // Tasks.
  std::map<TaskAttempt, Placement> placements;
  Resources usage;           // Sum of the measured or else expected usage of the placements.
  std::string reserved_for;  // Job for which the worker is reserved; empty if none.
  Time reserved_at;
  std::map<ClassIndex, Time> avoid_until;  // Job classes that were evicted from this worker.

  // Interference and its mitigation.
  CompositionHistory history;
  std::vector<ServiceStatus> services;
  Time last_mitigation_at;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_WORKER_RECORD_H_
