#ifndef CACTUSSHELF_PLACEMENT_WORKER_MESSAGES_H_
#define CACTUSSHELF_PLACEMENT_WORKER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

// The messages between the owner of a cell and a worker, with their JSON encoding.
//
// Rules that a worker follows:
// - A worker holds one epoch. InstallEpoch replaces it by an epoch that is equal or higher. A
//   worker refuses every other command that does not name exactly the held epoch with
//   kWrongEpoch.
// - A worker refuses a command for another incarnation than its own with kWrongIncarnation, except
//   for InstallEpoch. A restarted worker holds epoch 0 and has a higher incarnation.
// - A worker stores the first result of each command id and returns it for a repeated command.
// - Lease ends are readings of the worker's own clock, so that a delayed command cannot extend a
//   lease past the time that its sender assumed. A start whose lease has already expired is refused
//   with kExpired. A task whose lease expires is ended with kLeaseExpired.
// - A start of an attempt that was started or stopped before is refused with kAttemptUsed. A stop
//   of an attempt that was never started marks the attempt as used and is answered with kDone; a
//   stop of an attempt that already ended is answered with kUnknownTask.
// - The checkpoint in a start is the latest checkpoint of the attempt until a newer one is taken.
// - An ended task stays in the state report, with its checkpoint, until a RenewLeases lists it in
//   `forget`.
namespace cactusshelf {

// Ownership epoch of a cell: the log offset of a membership record.
using Epoch = std::uint64_t;

// Reading of a worker's own monotonic clock. Comparable only within one incarnation of one worker.
struct WorkerTime {
  std::int64_t ms = 0;

  friend auto operator<=>(const WorkerTime&, const WorkerTime&) = default;
};

// Identifies one start of a task. Ordered: a later start has a greater attempt, also across owners.
struct Attempt {
  Epoch epoch = 0;
  std::uint32_t number = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

struct TaskAttempt {
  TaskId task;
  Attempt attempt;

  friend bool operator==(const TaskAttempt&, const TaskAttempt&) = default;
  friend bool operator<(const TaskAttempt& left, const TaskAttempt& right) {
    const int order = left.task.str().compare(right.task.str());
    return order < 0 || (order == 0 && left.attempt < right.attempt);
  }
};

// Part of every command. `worker` and `valid_until` are used by the sender only and are not
// encoded: the shell drops a command at or after `valid_until` and reports it as lost.
struct CommandHeader {
  CommandId id;
  Epoch epoch = 0;
  std::uint64_t incarnation = 0;
  WorkerId worker;
  Time valid_until;
};

// Makes the worker refuse commands of older epochs.
struct InstallEpoch {
  CommandHeader header;
};

struct StartTask {
  CommandHeader header;
  TaskAttempt task;
  JobClass job_class;
  CustomerId customer;
  Resources size;
  std::string checkpoint;  // Empty: start from the beginning.
  WorkerTime lease_until;
};

// Ends the attempt at once. Progress since the last checkpoint is lost.
struct StopTask {
  CommandHeader header;
  TaskAttempt task;
};

// Takes a checkpoint while the task keeps running. The state report contains the new checkpoint.
struct CheckpointTask {
  CommandHeader header;
  TaskAttempt task;
};

// Limits the processor time of the task to a share of its normal rate.
struct ThrottleTask {
  CommandHeader header;
  TaskAttempt task;
  std::uint32_t permille = 1000;  // 1 to 1000; 1000 lifts the limit.
};

struct RenewLeases {
  CommandHeader header;
  std::vector<TaskAttempt> tasks;
  WorkerTime lease_until;
  std::vector<TaskAttempt> forget;  // Ended tasks to remove from the state report.
};

// Requests a WorkerState. The answer is the state (GET /v1/state), not a CommandResult.
struct ReadState {
  CommandHeader header;
};

using WorkerCommand = std::variant<InstallEpoch, StartTask, StopTask, CheckpointTask, ThrottleTask,
                                   RenewLeases, ReadState>;

enum class CommandStatus {
  kDone,
  kWrongEpoch,
  kWrongIncarnation,
  kAttemptUsed,
  kExpired,
  kNoCapacity,
  kUnknownTask,
};

struct CommandResult {
  CommandStatus status = CommandStatus::kDone;
  Epoch epoch_held = 0;
  std::uint64_t incarnation = 0;
  WorkerTime worker_time;  // Worker time at which the result was produced.

  friend bool operator==(const CommandResult&, const CommandResult&) = default;
};

enum class TaskPhase { kRunning, kThrottled };

struct RunningTask {
  TaskAttempt task;
  JobClass job_class;
  CustomerId customer;
  TaskPhase phase = TaskPhase::kRunning;
  Resources size;          // As committed by the start.
  Resources usage;         // As measured at `measured_at`.
  WorkerTime measured_at;  // Earlier than the report; 0 before the first measurement.
  std::string checkpoint;  // The latest; empty if none.

  friend bool operator==(const RunningTask&, const RunningTask&) = default;
};

enum class TaskEnd { kFinished, kFailed, kStopped, kLeaseExpired };

struct EndedTask {
  TaskAttempt task;
  JobClass job_class;
  TaskEnd end = TaskEnd::kFinished;
  std::string checkpoint;  // The latest; empty if none.

  friend bool operator==(const EndedTask&, const EndedTask&) = default;
};

// Latency of the endpoints of one service on the worker, over a short window before `measured_at`.
struct ServiceMeasurement {
  ServiceId service;
  Duration p99{};
  std::uint32_t requests_per_second = 0;  // Sum over the endpoints on this worker.
  WorkerTime measured_at;

  friend bool operator==(const ServiceMeasurement&, const ServiceMeasurement&) = default;
};

struct WorkerState {
  Epoch epoch_held = 0;
  std::uint64_t incarnation = 0;  // Increases with each restart of the worker.
  WorkerTime worker_time;         // Worker time at which the report was produced.
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  std::vector<ServiceMeasurement> services;

  friend bool operator==(const WorkerState&, const WorkerState&) = default;
};

const CommandHeader& HeaderOf(const WorkerCommand& command);

// JSON encoding. The decoders throw DecodeError if a field is missing, unknown, of the wrong type
// or out of range. They leave `worker` and `valid_until` of a command unset.
void to_json(nlohmann::json& json, const WorkerCommand& command);
void from_json(const nlohmann::json& json, WorkerCommand& command);
void to_json(nlohmann::json& json, const CommandResult& result);
void from_json(const nlohmann::json& json, CommandResult& result);
void to_json(nlohmann::json& json, const WorkerState& state);
void from_json(const nlohmann::json& json, WorkerState& state);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_WORKER_MESSAGES_H_
