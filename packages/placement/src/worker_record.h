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

// What is known of one service on a worker.
struct ServiceStatus {
  ServiceIndex service = 0;
  std::uint32_t endpoints = 1;
  double load = 0;      // Requests per second of one endpoint; 0 until measured.
  double slowdown = 1;  // As measured last.
  WorkerTime measured_at;
  std::uint32_t consecutive_slow_reports = 0;  // Consecutive reports above the limit for relief.
};

// What is known of one worker. Placements are node-stable.
struct WorkerRecord {
  WorkerSpec spec;
  std::uint32_t rack = 0;
  std::uint32_t domain = 0;
  bool is_removed = false;  // From the configuration; still contacted while it has work.
  bool is_decommissioned =
      false;  // Removed and without work; a worker added again gets another slot.

  // Contact. `base_*`: a reading of the worker's clock and the time by which it had been taken.
  std::uint64_t incarnation = 0;  // 0: never heard of.
  bool is_epoch_installed = false;
  bool is_visited = false;  // Since TakeOwnership: a report under the current epoch arrived.
  bool is_reachable = false;
  WorkerTime clock_reading;
  Time clock_received_at;
  WorkerTime last_result;  // Reports produced before this are stale.
  WorkerTime last_report;
  CommandId install_id;  // Outstanding commands; empty if none.
  CommandId read_id;
  Time last_poll_at;

  // Work.
  std::map<TaskAttempt, Placement> placements;
  Resources usage;           // Sum over the placements of the expected or measured use.
  std::string reserved_for;  // Job that room is kept for; empty if none.
  Time reserved_at;
  std::map<ClassIndex, Time> avoid_until;  // Classes that were evicted from here.

  // Interference and relief.
  CompositionHistory history;
  std::vector<ServiceStatus> services;
  Time last_mitigation_at;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_WORKER_RECORD_H_
