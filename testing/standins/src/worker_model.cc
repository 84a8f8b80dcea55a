#include "worker_model.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

constexpr std::int64_t kFullRatePermille = 1000;
// Number of measurements kept per task; with one measurement per second, usage can be reported with
// a lag of up to two minutes.
constexpr std::size_t kMaxMeasurements = 120;
constexpr std::string_view kCheckpointPrefix = "progress_ms:";

std::string MakeCheckpoint(std::int64_t progress_ms) {
  return std::string(kCheckpointPrefix) + std::to_string(progress_ms);
}

std::int64_t ParseCheckpoint(const std::string& checkpoint) {
  if (checkpoint.empty()) {
    return 0;
  }
  if (!checkpoint.starts_with(kCheckpointPrefix)) {
    throw DecodeError("invalid checkpoint: " + checkpoint);
  }
  return std::stoll(checkpoint.substr(kCheckpointPrefix.size()));
}

std::string AttemptKey(const TaskAttempt& task) {
  return task.task.str() + "@" + std::to_string(task.attempt.epoch) + "." +
         std::to_string(task.attempt.number);
}

bool IsSameAttempt(const TaskAttempt& left, const TaskAttempt& right) {
  return left.task == right.task && left.attempt == right.attempt;
}

std::int64_t Scale(std::int64_t amount, double factor) {
  return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

TaskEvent::Kind EventKindOf(TaskEnd end) {
  switch (end) {
    case TaskEnd::kFinished:
      return TaskEvent::Kind::kFinished;
    case TaskEnd::kFailed:
      return TaskEvent::Kind::kFailed;
    case TaskEnd::kStopped:
      return TaskEvent::Kind::kStopped;
    case TaskEnd::kLeaseExpired:
      return TaskEvent::Kind::kLeaseExpired;
  }
  return TaskEvent::Kind::kFailed;
}

}  // namespace

CommandResult WorkerModel::Execute(const WorkerCommand& command, WorkerTime now) {
  Advance(now);
  const std::string& id = HeaderOf(command).id.str();
  if (const auto it = results_.find(id); it != results_.end()) {
    ++counts_.repeated_commands;
    return it->second;
  }
  CommandStatus status = CheckHeader(command);
  if (status == CommandStatus::kDone) {
    status = std::visit([&](const auto& body) { return Apply(body, now); }, command);
  }
  CommandResult result{status, epoch_, incarnation_, now};
  results_.emplace(id, result);
  return result;
}

CommandStatus WorkerModel::CheckHeader(const WorkerCommand& command) {
  const CommandHeader& header = HeaderOf(command);
  const bool installs_epoch = std::holds_alternative<InstallEpoch>(command);
  if (installs_epoch ? header.epoch < epoch_ : header.epoch != epoch_) {
    ++counts_.wrong_epochs;
    return CommandStatus::kWrongEpoch;
  }
  if (!installs_epoch && header.incarnation != incarnation_) {
    return CommandStatus::kWrongIncarnation;
  }
  return CommandStatus::kDone;
}

CommandStatus WorkerModel::Apply(const InstallEpoch& command, WorkerTime /*now*/) {
  epoch_ = command.header.epoch;
  return CommandStatus::kDone;
}

CommandStatus WorkerModel::Apply(const StartTask& command, WorkerTime now) {
  if (used_attempts_.contains(AttemptKey(command.task))) {
    ++counts_.used_attempts;
    return CommandStatus::kAttemptUsed;
  }
  if (tasks_.contains(command.task.task.str())) {
    ++counts_.double_starts;
    return CommandStatus::kAttemptUsed;
  }
  if (command.lease_until.ms <= now.ms) {
    return CommandStatus::kExpired;
  }
  if (!Fits(Committed() + command.size, capacity_)) {
    ++counts_.overcommit_attempts;
    return CommandStatus::kNoCapacity;
  }
  Task task;
  task.report.task = command.task;
  task.report.job_class = command.job_class;
  task.report.customer = command.customer;
  task.report.size = command.size;
  task.report.checkpoint = command.checkpoint;
  task.lease_until = command.lease_until;
  task.progress_ms = ParseCheckpoint(command.checkpoint);
  task.progress_time = now;
  used_attempts_.insert(AttemptKey(command.task));
  const std::string& name = command.task.task.str();
  tasks_.emplace(name, std::move(task));
  history_.push_back(
      {now, TaskEvent::Kind::kStarted, command.task, command.customer, command.header.epoch});
  if (fail_tasks_on_start) {
    EndTask(name, TaskEnd::kFailed, now);
  }
  return CommandStatus::kDone;
}

CommandStatus WorkerModel::Apply(const StopTask& command, WorkerTime now) {
  used_attempts_.insert(AttemptKey(command.task));
  if (FindTask(command.task) == nullptr) {
    return CommandStatus::kUnknownTask;
  }
  EndTask(command.task.task.str(), TaskEnd::kStopped, now);
  return CommandStatus::kDone;
}

CommandStatus WorkerModel::Apply(const CheckpointTask& command, WorkerTime /*now*/) {
  Task* task = FindTask(command.task);
  if (task == nullptr) {
    return CommandStatus::kUnknownTask;
  }
  task->report.checkpoint = MakeCheckpoint(task->progress_ms);
  return CommandStatus::kDone;
}

CommandStatus WorkerModel::Apply(const ThrottleTask& command, WorkerTime /*now*/) {
  Task* task = FindTask(command.task);
  if (task == nullptr) {
    return CommandStatus::kUnknownTask;
  }
  task->rate_permille = command.permille;
  task->report.phase =
      command.permille < kFullRatePermille ? TaskPhase::kThrottled : TaskPhase::kRunning;
  return CommandStatus::kDone;
}

CommandStatus WorkerModel::Apply(const RenewLeases& command, WorkerTime /*now*/) {
  CommandStatus status = CommandStatus::kDone;
  for (const TaskAttempt& attempt : command.tasks) {
    Task* task = FindTask(attempt);
    if (task == nullptr) {
      status = CommandStatus::kUnknownTask;
    } else {
      task->lease_until.ms = std::max(task->lease_until.ms, command.lease_until.ms);
    }
  }
  for (const TaskAttempt& attempt : command.forget) {
    std::erase_if(ended_,
                  [&](const EndedTask& ended) { return IsSameAttempt(ended.task, attempt); });
  }
  return status;
}

CommandStatus WorkerModel::Apply(const ReadState& /*command*/, WorkerTime /*now*/) {
  return CommandStatus::kDone;
}

void WorkerModel::Advance(WorkerTime now) {
  std::vector<std::pair<std::string, TaskEnd>> ends;
  for (auto& [name, task] : tasks_) {
    task.progress_ms += (now.ms - task.progress_time.ms) * task.rate_permille / kFullRatePermille;
    task.progress_time = now;
    if (now.ms >= task.lease_until.ms) {
      ends.emplace_back(name, TaskEnd::kLeaseExpired);
    } else if (IsDone(task)) {
      ends.emplace_back(name, TaskEnd::kFinished);
    }
  }
  for (const auto& [name, end] : ends) {
    EndTask(name, end, now);
  }
}

void WorkerModel::MeasureUsage(WorkerTime now) {
  for (auto& [name, task] : tasks_) {
    const Resources& size = task.report.size;
    const double rate = usage_factor * task.rate_permille / kFullRatePermille;
    const Resources usage = {Scale(size.milliprocessors, rate),
                             Scale(size.memory_bytes, usage_factor), size.accelerators};
    task.measurements.push_back({now, usage});
    if (task.measurements.size() > kMaxMeasurements) {
      task.measurements.pop_front();
    }
  }
}

WorkerState WorkerModel::State(WorkerTime now) {
  Advance(now);
  WorkerState state;
  state.epoch_held = epoch_;
  state.incarnation = incarnation_;
  state.worker_time = now;
  state.ended = ended_;
  state.services = services;
  const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(usage_lag).count();
  state.running.reserve(tasks_.size());
  for (const auto& [name, task] : tasks_) {
    RunningTask report = task.report;
    for (const Measurement& measurement : task.measurements) {
      if (measurement.time.ms <= now.ms - lag) {
        report.usage = measurement.usage;
        report.measured_at = measurement.time;
      }
    }
    state.running.push_back(std::move(report));
  }
  return state;
}

Resources WorkerModel::Committed() const {
  Resources sum;
  for (const auto& [name, task] : tasks_) {
    sum += task.report.size;
  }
  return sum;
}

WorkerModel::Task* WorkerModel::FindTask(const TaskAttempt& task) {
  const auto it = tasks_.find(task.task.str());
  return it != tasks_.end() && IsSameAttempt(it->second.report.task, task) ? &it->second : nullptr;
}

bool WorkerModel::IsDone(const Task& task) const {
  const auto it = run_times.find(task.report.job_class.str());
  return it != run_times.end() && std::chrono::milliseconds(task.progress_ms) >= it->second;
}

void WorkerModel::EndTask(const std::string& task, TaskEnd end, WorkerTime now) {
  const RunningTask& report = tasks_.at(task).report;
  ended_.push_back({report.task, report.job_class, end, report.checkpoint});
  history_.push_back({now, EventKindOf(end), report.task, report.customer, epoch_});
  tasks_.erase(task);
}

}  // namespace cactusshelf
