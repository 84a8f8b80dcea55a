#include "worker_model.h"

#include <string>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

constexpr std::int64_t kFullShare = 1000;
// Longest lag with which usage can be reported.
constexpr Duration kUsageHistory = std::chrono::minutes(2);
constexpr std::string_view kCheckpointPrefix = "progress_us:";

std::string MakeCheckpoint(Duration progress) {
  return std::string(kCheckpointPrefix) + std::to_string(progress.count());
}

Duration ParseCheckpoint(const std::string& checkpoint) {
  if (checkpoint.empty()) {
    return Duration::zero();
  }
  if (!checkpoint.starts_with(kCheckpointPrefix)) {
    throw DecodeError("not a checkpoint: " + checkpoint);
  }
  return Duration(std::stoll(checkpoint.substr(kCheckpointPrefix.size())));
}

void UpdateProgress(RunningTask& task, Time now) {
  task.progress += (now - task.progress_time) * task.share_millis / kFullShare;
  task.progress_time = now;
}

std::int64_t Share(std::int64_t amount, double factor) {
  return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

}  // namespace

CommandResult WorkerModel::Execute(const WorkerCommand& command, Time now) {
  Advance(now);
  if (const auto it = results_.find(command.id); it != results_.end()) {
    ++counts_.repeated_commands;
    return it->second;
  }
  const CommandResult result = ExecuteNew(command, now);
  results_.emplace(command.id, result);
  return result;
}

CommandResult WorkerModel::ExecuteNew(const WorkerCommand& command, Time now) {
  CommandResult result;
  result.id = command.id;
  if (command.epoch < epoch_) {
    ++counts_.stale_epochs;
    result.refusal = RefusalReason::kStaleEpoch;
  } else if (command.epoch > epoch_ && !std::holds_alternative<InstallEpoch>(command.body)) {
    result.refusal = RefusalReason::kEpochNotInstalled;
  } else {
    result.refusal = std::visit(
        [&](const auto& body) { return Run(body, command.epoch, now, result); }, command.body);
  }
  result.epoch = epoch_;
  return result;
}

RefusalReason WorkerModel::Run(const InstallEpoch& /*install*/, std::uint64_t epoch, Time /*now*/,
                               CommandResult& /*result*/) {
  epoch_ = epoch;
  return RefusalReason::kNone;
}

RefusalReason WorkerModel::Run(const StartTask& start, std::uint64_t epoch, Time now,
                               CommandResult& /*result*/) {
  const TaskId& task = start.attempt.task;
  const auto last = last_attempts_.find(task);
  if (last != last_attempts_.end() && start.attempt.attempt <= last->second) {
    ++counts_.repeated_attempts;
    return RefusalReason::kAttemptNotNew;
  }
  if (tasks_.contains(task)) {
    return RefusalReason::kAttemptNotNew;
  }
  if (!Fits(start.resources)) {
    ++counts_.overcommit_attempts;
    return RefusalReason::kNoCapacity;
  }
  RunningTask running;
  running.attempt = start.attempt;
  running.resources = start.resources;
  running.lease_end = now + start.lease;
  running.progress = ParseCheckpoint(start.checkpoint);
  running.progress_time = now;
  running.run_time = start.run_time;
  last_attempts_[task] = start.attempt.attempt;
  tasks_.emplace(task, running);
  history_.push_back({now, TaskEventKind::kStarted, start.attempt, epoch});
  if (fail_everything) {
    End(task, TaskEventKind::kFailed, now);
  }
  return RefusalReason::kNone;
}

RefusalReason WorkerModel::Run(const StopTask& stop, std::uint64_t /*epoch*/, Time now,
                               CommandResult& /*result*/) {
  if (Find(stop.attempt) == nullptr) {
    return RefusalReason::kNoSuchTask;
  }
  End(stop.attempt.task, TaskEventKind::kStopped, now);
  return RefusalReason::kNone;
}

RefusalReason WorkerModel::Run(const CheckpointTask& checkpoint, std::uint64_t /*epoch*/, Time now,
                               CommandResult& result) {
  RunningTask* task = Find(checkpoint.attempt);
  if (task == nullptr) {
    return RefusalReason::kNoSuchTask;
  }
  UpdateProgress(*task, now);
  result.checkpoint = MakeCheckpoint(task->progress);
  return RefusalReason::kNone;
}

RefusalReason WorkerModel::Run(const ThrottleTask& throttle, std::uint64_t /*epoch*/, Time now,
                               CommandResult& /*result*/) {
  RunningTask* task = Find(throttle.attempt);
  if (task == nullptr) {
    return RefusalReason::kNoSuchTask;
  }
  UpdateProgress(*task, now);
  task->share_millis = throttle.share_millis;
  return RefusalReason::kNone;
}

RefusalReason WorkerModel::Run(const RenewLeases& renewal, std::uint64_t /*epoch*/, Time now,
                               CommandResult& /*result*/) {
  RefusalReason refusal = RefusalReason::kNone;
  for (const TaskAttempt& attempt : renewal.attempts) {
    RunningTask* task = Find(attempt);
    if (task == nullptr) {
      refusal = RefusalReason::kNoSuchTask;
    } else {
      task->lease_end = now + renewal.lease;
    }
  }
  return refusal;
}

void WorkerModel::Advance(Time now) {
  std::vector<std::pair<TaskId, TaskEventKind>> ended;
  for (auto& [id, task] : tasks_) {
    UpdateProgress(task, now);
    if (task.run_time && task.progress >= *task.run_time) {
      ended.emplace_back(id, TaskEventKind::kFinished);
    } else if (now >= task.lease_end) {
      ended.emplace_back(id, TaskEventKind::kLeaseExpired);
    }
  }
  for (const auto& [id, kind] : ended) {
    End(id, kind, now);
  }
}

void WorkerModel::SampleUsage(Time now) {
  for (const auto& [id, task] : tasks_) {
    const double share = usage_factor * static_cast<double>(task.share_millis) / kFullShare;
    const Resources used = {Share(task.resources.processors_millis, share),
                            Share(task.resources.memory_bytes, usage_factor),
                            task.resources.accelerators};
    samples_.push_back({now, task.attempt, used});
  }
  while (!samples_.empty() && now - samples_.front().time > kUsageHistory) {
    samples_.pop_front();
  }
}

std::vector<UsageSample> WorkerModel::Usage(Duration lag, Time now) const {
  std::map<TaskAttempt, UsageSample> latest;
  for (const UsageSample& sample : samples_) {
    if (sample.time <= now - lag) {
      latest[sample.attempt] = sample;
    }
  }
  std::vector<UsageSample> result;
  for (const auto& [attempt, sample] : latest) {
    result.push_back(sample);
  }
  return result;
}

Resources WorkerModel::Committed() const {
  Resources sum;
  for (const auto& [id, task] : tasks_) {
    sum.processors_millis += task.resources.processors_millis;
    sum.memory_bytes += task.resources.memory_bytes;
    sum.accelerators += task.resources.accelerators;
  }
  return sum;
}

RunningTask* WorkerModel::Find(const TaskAttempt& attempt) {
  const auto it = tasks_.find(attempt.task);
  return it != tasks_.end() && it->second.attempt == attempt ? &it->second : nullptr;
}

bool WorkerModel::Fits(const Resources& resources) const {
  const Resources used = Committed();
  return used.processors_millis + resources.processors_millis <= capacity_.processors_millis &&
         used.memory_bytes + resources.memory_bytes <= capacity_.memory_bytes &&
         used.accelerators + resources.accelerators <= capacity_.accelerators;
}

void WorkerModel::End(const TaskId& task, TaskEventKind kind, Time now) {
  history_.push_back({now, kind, tasks_.at(task).attempt, epoch_});
  tasks_.erase(task);
}

}  // namespace cactusshelf
