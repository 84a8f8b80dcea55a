#ifndef CACTUSSHELF_STANDINS_WORKER_COMMANDS_H_
#define CACTUSSHELF_STANDINS_WORKER_COMMANDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

// JSON form of the commands to a worker. To be replaced by worker_messages.h of the placement
// package once that exists; nothing else in the stand-in depends on the JSON form.

namespace cactusshelf {

struct Resources {
  std::int64_t processors_millis = 0;
  std::int64_t memory_bytes = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

struct TaskAttempt {
  TaskId task;
  std::uint64_t attempt = 0;

  friend auto operator<=>(const TaskAttempt&, const TaskAttempt&) = default;
};

struct InstallEpoch {};

struct StartTask {
  TaskAttempt attempt;
  Resources resources;
  Duration lease = std::chrono::seconds(15);
  // Run time at full speed from the start of the task; empty for a task that runs until stopped.
  std::optional<Duration> run_time;
  // As returned for CheckpointTask; empty to start from the beginning.
  std::string checkpoint;
};

struct StopTask {
  TaskAttempt attempt;
};

struct CheckpointTask {
  TaskAttempt attempt;
};

struct ThrottleTask {
  TaskAttempt attempt;
  // Share of its full speed that the task keeps, in thousandths.
  std::int64_t share_millis = 1000;
};

struct RenewLeases {
  std::vector<TaskAttempt> attempts;
  Duration lease = std::chrono::seconds(15);
};

struct WorkerCommand {
  CommandId id;
  std::uint64_t epoch = 0;
  std::variant<InstallEpoch, StartTask, StopTask, CheckpointTask, ThrottleTask, RenewLeases> body;
};

enum class RefusalReason {
  kNone,
  kStaleEpoch,
  kEpochNotInstalled,
  kNoCapacity,
  kAttemptNotNew,
  kNoSuchTask,
};

struct CommandResult {
  CommandId id;
  // kNone if the command was carried out.
  RefusalReason refusal = RefusalReason::kNone;
  // Epoch that is installed on the worker.
  std::uint64_t epoch = 0;
  // For CheckpointTask.
  std::string checkpoint;

  friend bool operator==(const CommandResult&, const CommandResult&) = default;
};

// Throws DecodeError.
WorkerCommand DecodeWorkerCommand(const nlohmann::json& json);

nlohmann::json EncodeResult(const CommandResult& result);

nlohmann::json EncodeResources(const Resources& resources);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_WORKER_COMMANDS_H_
