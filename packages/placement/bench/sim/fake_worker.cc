#include "sim/fake_worker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cactusshelf {
namespace {

constexpr std::uint32_t kFullRatePermille = 1000;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string CheckpointOf(double progress) {
  return "p" + std::to_string(static_cast<std::int64_t>(progress * 1000));
}

}  // namespace

double ProgressOf(const std::string& checkpoint) {
  return checkpoint.empty() ? 0 : static_cast<double>(std::stoll(checkpoint.substr(1))) / 1000;
}

FakeWorker::FakeWorker(WorkerSpec spec, WorkFunction work)
    : spec_(std::move(spec)), work_(std::move(work)) {}

CommandResult FakeWorker::Execute(Time now, const WorkerCommand& command) {
  Advance(now);
  const CommandHeader& header = HeaderOf(command);
  const auto known = results_.find(header.id);
  const CommandStatus status = known != results_.end() ? known->second : ExecuteOnce(now, command);
  results_.emplace(header.id, status);
  return {status, epoch_, incarnation_, Clock(now)};
}

CommandStatus FakeWorker::ExecuteOnce(Time now, const WorkerCommand& command) {
  const CommandHeader& header = HeaderOf(command);
  if (std::holds_alternative<InstallEpoch>(command)) {
    if (header.epoch < epoch_ && has_fencing_) {
      return CommandStatus::kWrongEpoch;
    }
    epoch_ = std::max(epoch_, header.epoch);
    return CommandStatus::kDone;
  }
  if (header.incarnation != incarnation_) {
    return CommandStatus::kWrongIncarnation;
  }
  if (header.epoch != epoch_ && has_fencing_) {
    return CommandStatus::kWrongEpoch;
  }
  if (const auto* start = std::get_if<StartTask>(&command)) {
    return start->lease_until <= Clock(now) ? CommandStatus::kExpired : Start(*start);
  }
  if (const auto* renew = std::get_if<RenewLeases>(&command)) {
    for (const TaskAttempt& task : renew->tasks) {
      if (const auto it = running_.find(task); it != running_.end()) {
        it->second.lease_until = std::max(it->second.lease_until, renew->lease_until);
      }
    }
    for (const TaskAttempt& task : renew->forget) {
      ended_.erase(task);
    }
    return CommandStatus::kDone;
  }
  if (const auto* stop = std::get_if<StopTask>(&command)) {
    if (running_.contains(stop->task)) {
      End(stop->task, TaskEnd::kStopped);
      return CommandStatus::kDone;
    }
    return used_attempts_.insert(stop->task).second ? CommandStatus::kDone
                                                    : CommandStatus::kUnknownTask;
  }
  if (const auto* checkpoint = std::get_if<CheckpointTask>(&command)) {
    const auto it = running_.find(checkpoint->task);
    if (it == running_.end()) {
      return CommandStatus::kUnknownTask;
    }
    it->second.checkpoint = CheckpointOf(it->second.progress);
    return CommandStatus::kDone;
  }
  if (const auto* throttle = std::get_if<ThrottleTask>(&command)) {
    const auto it = running_.find(throttle->task);
    if (it == running_.end()) {
      return CommandStatus::kUnknownTask;
    }
    it->second.permille = throttle->permille;
  }
  return CommandStatus::kDone;
}

CommandStatus FakeWorker::Start(const StartTask& command) {
  if (!used_attempts_.insert(command.task).second) {
    ++refused_attempts;
    return CommandStatus::kAttemptUsed;
  }
  const double initial_progress = ProgressOf(command.checkpoint);
  running_[command.task] = {command,           initial_progress,
                            initial_progress,  command.checkpoint,
                            kFullRatePermille, command.lease_until};
  return CommandStatus::kDone;
}

WorkerState FakeWorker::State(Time now) {
  Advance(now);
  WorkerState state{epoch_, incarnation_, Clock(now), {}, {}, {}};
  for (const auto& [id, task] : running_) {
    RunningTask running;
    running.task = id;
    running.job_class = task.start.job_class;
    running.customer = task.start.customer;
    running.phase =
        task.permille == kFullRatePermille ? TaskPhase::kRunning : TaskPhase::kThrottled;
    running.size = task.start.size;
    running.checkpoint = task.checkpoint;
    state.running.push_back(std::move(running));
  }
  for (const auto& [id, task] : ended_) {
    state.ended.push_back(task);
  }
  measure(state);
  return state;
}

void FakeWorker::Advance(Time now) {
  if (now <= advanced_until_) {
    return;
  }
  const double seconds = Seconds(now - advanced_until_);
  advanced_until_ = now;
  std::vector<std::pair<TaskAttempt, TaskEnd>> ends;
  for (auto& [id, task] : running_) {
    task.progress += seconds * rate_(task) * task.permille / kFullRatePermille;
    if (task.progress >= work_(id.task)) {
      ends.emplace_back(id, fails(task.start) ? TaskEnd::kFailed : TaskEnd::kFinished);
    } else if (task.lease_until <= Clock(now)) {
      ends.emplace_back(id, TaskEnd::kLeaseExpired);
    }
  }
  for (const auto& [id, end] : ends) {
    End(id, end);
  }
}

void FakeWorker::Restart(Time now) {
  Advance(now);
  for (const auto& [id, task] : running_) {
    lost_work_seconds += task.progress - ProgressOf(task.checkpoint);
  }
  running_.clear();
  ended_.clear();
  used_attempts_.clear();
  results_.clear();
  epoch_ = 0;
  ++incarnation_;
  booted_ = now;
}

Resources FakeWorker::Committed() const {
  Resources committed;
  for (const auto& [id, task] : running_) {
    committed += task.start.size;
  }
  return committed;
}

void FakeWorker::End(const TaskAttempt& id, TaskEnd end) {
  const FakeTask& task = running_.at(id);
  if (end != TaskEnd::kFinished) {
    lost_work_seconds += task.progress - ProgressOf(task.checkpoint);
  }
  ended_[id] = {id, task.start.job_class, end, task.checkpoint};
  running_.erase(id);
}

WorkerTime FakeWorker::Clock(Time now) const {
  return {static_cast<std::int64_t>(Seconds(now - booted_) * 1000 * clock_rate_) + 1};
}

}  // namespace cactusshelf
