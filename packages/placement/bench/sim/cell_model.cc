#include "sim/cell_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cactusshelf::sim {
namespace {

using std::chrono::seconds;

constexpr double kBaseP99Ms = 40;
// Request latencies have a log-normal distribution with this deviation of the logarithm. The 99%
// quantile is kP99Deviations deviations above the median.
constexpr double kLatencyDeviation = 0.5;
constexpr double kP99Deviations = 2.326;
constexpr int kRequestsPerSample = 8;
constexpr int kUniformsPerNormal = 6;
// Number of steps between checks for a task that runs on two workers.
constexpr std::uint64_t kDuplicateCheckSteps = 4;
constexpr double kMeasurementNoise = 0.12;
constexpr Duration kMeasurementLag = seconds(4);
constexpr double kEndpointProcessorUse = 2.5;  // Processors at the typical load.
constexpr double kEndpointMemoryGib = 6;
constexpr double kTypicalRequestsPerSecond = 100;
constexpr double kCombinedClassEffect = 0.2;
constexpr Duration kRackDownAt = seconds(500);
constexpr Duration kRackUpAt = seconds(800);

JobId JobOf(const TaskId& task) { return JobId(task.str().substr(0, task.str().rfind('/'))); }

double Quantile(std::vector<float> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto at = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

}  // namespace

CellModel::CellModel(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(seed) {
  for (const WorkerSpec& spec : scenario.workers) {
    workers_.push_back(std::make_unique<ModelWorker>());
    ModelWorker& worker = *workers_.back();
    worker.fake = std::make_unique<FakeWorker>(
        spec, [this](const TaskId& task) { return TruthOf(task).work_seconds; });
    worker.fake->Advance(kSimStart - seconds(60));
    worker.fake->set_rate([&worker](const FakeTask&) { return worker.speed; });
    worker.fake->measure = [this, &worker](WorkerState& state) { FillReport(worker, state); };
    worker.fake->fails = [this](const StartTask& start) {
      const TaskTruth& truth = TruthOf(start.task.task);
      finished_work_ += truth.work_seconds * truth.processors;
      return false;
    };
  }
}

void CellModel::Step(Time now) {
  now_ = now;
  const bool is_lost = scenario_.kind == ScenarioKind::kRackLost &&
                       now >= kSimStart + kRackDownAt && now < kSimStart + kRackUpAt;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    ModelWorker& worker = *workers_[i];
    const bool is_down = is_lost && i < kWorkersPerRack;
    if (is_down && !worker.is_down) {
      for (const auto& [id, task] : worker.fake->running()) {
        wasted_processor_seconds_ +=
            (task.progress - ProgressOf(task.checkpoint)) * TruthOf(id.task).processors;
      }
      worker.fake->Restart(now);
    }
    worker.is_down = is_down;
    if (!is_down) {
      StepWorker(now, worker);
    }
  }
  if (++steps_ % kDuplicateCheckSteps == 0) {
    CheckDuplicateTasks();
  }
}

void CellModel::StepWorker(Time now, ModelWorker& worker) {
  worker.fake->Advance(now);
  std::vector<Running> running = RunningOn(worker);
  while (KillForMemory(worker, running)) {
    running = RunningOn(worker);
  }
  double used = kEndpointProcessorUse * LoadAt(scenario_.kind, now);
  for (const Running& item : running) {
    used += item.truth->processors * item.task->permille / 1000;
  }
  const double pressure =
      used * 1000 / static_cast<double>(worker.fake->spec().capacity.milliprocessors);
  worker.speed = 1 / std::max(1.0, pressure);
  const double p99 = Latency(now, running, pressure);
  const double median = p99 / std::exp(kLatencyDeviation * kP99Deviations);
  for (int i = 0; i < kRequestsPerSample; ++i) {
    // A sum of uniform numbers, scaled to a variance of 1, approximates a normal distribution.
    double sum = 0;
    for (int j = 0; j < kUniformsPerNormal; ++j) {
      sum += random_.Real();
    }
    const double normal = (sum - kUniformsPerNormal / 2.0) * std::sqrt(12.0 / kUniformsPerNormal);
    latencies_.push_back(static_cast<float>(median * std::exp(kLatencyDeviation * normal)));
  }
  Measure(now, worker, running, p99);
  if (!Fits(worker.fake->Committed(), worker.fake->spec().capacity)) {
    ++overcommitted_steps_;
  }
}

std::vector<CellModel::Running> CellModel::RunningOn(const ModelWorker& worker) const {
  std::vector<Running> running;
  running.reserve(worker.fake->running().size());
  for (const auto& [id, task] : worker.fake->running()) {
    running.push_back({&id, &task, &TruthOf(id.task)});
  }
  return running;
}

// Kills the task with the highest memory usage if memory is exhausted. Returns true if one was
// killed.
bool CellModel::KillForMemory(ModelWorker& worker, const std::vector<Running>& running) {
  double used = kEndpointMemoryGib;
  const Running* largest = nullptr;
  for (const Running& item : running) {
    used += item.truth->memory_gib;
    if (largest == nullptr || item.truth->memory_gib > largest->truth->memory_gib) {
      largest = &item;
    }
  }
  const double capacity =
      static_cast<double>(worker.fake->spec().capacity.memory_bytes) / (1 << 30);
  if (largest == nullptr || used <= capacity) {
    return false;
  }
  wasted_processor_seconds_ += (largest->task->progress - ProgressOf(largest->task->checkpoint)) *
                               largest->truth->processors;
  ++evictions_;
  const TaskAttempt killed = *largest->id;
  worker.fake->Kill(killed);
  return true;
}

double CellModel::Latency(Time now, const std::vector<Running>& running, double pressure) const {
  double effect = 0;
  bool has_class_3 = false;
  bool has_class_5 = false;
  for (const Running& item : running) {
    const int job_class = item.truth->job_class;
    effect += TrueEffect(scenario_.kind, job_class, now) * item.task->permille / 1000;
    has_class_3 = has_class_3 || job_class == 3;
    has_class_5 = has_class_5 || job_class == 5;
  }
  effect += has_class_3 && has_class_5 ? kCombinedClassEffect : 0;
  const double load = LoadAt(scenario_.kind, now);
  const double contention =
      1 + 0.5 * std::max(0.0, pressure - 0.8) + 3 * std::max(0.0, pressure - 1);
  return kBaseP99Ms * std::sqrt(load) * contention * std::exp(effect);
}

void CellModel::Measure(Time now, ModelWorker& worker, const std::vector<Running>& running,
                        double p99_ms) {
  Measurement measurement;
  measurement.at = now;
  measurement.p99_ms = p99_ms * std::exp(kMeasurementNoise * (2 * random_.Real() - 1));
  measurement.load = LoadAt(scenario_.kind, now);
  measurement.processors.reserve(running.size());
  for (const Running& item : running) {
    measurement.processors.emplace_back(
        *item.id, item.truth->processors * item.task->permille / 1000 * worker.speed);
  }
  worker.measured.push_back(std::move(measurement));
  while (worker.measured.size() > 1 && worker.measured[1].at + kMeasurementLag <= now) {
    worker.measured.pop_front();
  }
}

// Adds the measurement of some seconds ago to a report.
void CellModel::FillReport(const ModelWorker& worker, WorkerState& state) const {
  if (worker.measured.empty() || worker.measured.front().at + kMeasurementLag > now_) {
    return;
  }
  const Measurement& measured = worker.measured.front();
  const std::int64_t age_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now_ - measured.at).count();
  const WorkerTime at{state.worker_time.ms - age_ms};
  state.services.push_back(
      {ServiceId("service"), Duration(static_cast<std::int64_t>(measured.p99_ms * 1000)),
       static_cast<std::uint32_t>(kTypicalRequestsPerSecond * measured.load), at});
  for (RunningTask& task : state.running) {
    const auto it = std::lower_bound(
        measured.processors.begin(), measured.processors.end(), task.task,
        [](const auto& item, const TaskAttempt& wanted) { return item.first < wanted; });
    if (it != measured.processors.end() && it->first == task.task) {
      task.usage.milliprocessors = static_cast<std::int64_t>(it->second * 1000);
      task.usage.memory_bytes =
          static_cast<std::int64_t>(TruthOf(task.task.task).memory_gib * (1 << 30));
      task.measured_at = at;
    }
  }
}

CommandResult CellModel::Execute(Time now, std::size_t i, const WorkerCommand& command) {
  FakeWorker& worker = *workers_[i]->fake;
  if (const auto* stop = std::get_if<StopTask>(&command)) {
    worker.Advance(now);
    const auto it = worker.running().find(stop->task);
    if (it != worker.running().end() && !cancelled_.contains(JobOf(stop->task.task))) {
      ++evictions_;
      wasted_processor_seconds_ += (it->second.progress - ProgressOf(it->second.checkpoint)) *
                                   TruthOf(stop->task.task).processors;
    }
  }
  const CommandResult result = worker.Execute(now, command);
  if (const auto* start = std::get_if<StartTask>(&command);
      start != nullptr && result.status == CommandStatus::kDone) {
    first_start_.try_emplace(start->task.task, now);
  }
  return result;
}

void CellModel::CheckDuplicateTasks() {
  std::unordered_set<TaskId> seen;
  for (const auto& worker : workers_) {
    for (const auto& [id, task] : worker->fake->running()) {
      duplicate_task_steps_ += seen.insert(id.task).second ? 0 : 1;
    }
  }
}

Metrics CellModel::Finish(Time now) {
  std::vector<float> all;
  std::vector<float> urgent;
  for (const Arrival& arrival : scenario_.arrivals) {
    for (std::uint32_t i = 0; i < arrival.job.tasks; ++i) {
      const auto it = first_start_.find(TaskId(arrival.job.id.str() + "/" + std::to_string(i)));
      if (it == first_start_.end() && arrival.cancel_at != Time::max()) {
        continue;
      }
      // A task that has not started has waited at least until now.
      const Time started = it == first_start_.end() ? now : it->second;
      const auto waited =
          static_cast<float>(std::chrono::duration<double>(started - arrival.at).count());
      all.push_back(waited);
      if (arrival.job.urgent) {
        urgent.push_back(waited);
      }
    }
  }
  Metrics metrics;
  metrics.p99_ms = Quantile(latencies_, 0.99);
  metrics.throughput = finished_work_ / std::chrono::duration<double>(now - kSimStart).count();
  metrics.evictions = evictions_;
  metrics.wasted_processor_seconds = wasted_processor_seconds_;
  metrics.start_p99_s = Quantile(all, 0.99);
  metrics.urgent_start_p99_s = Quantile(urgent, 0.99);
  metrics.overcommitted_steps = overcommitted_steps_;
  metrics.duplicate_task_steps = duplicate_task_steps_;
  return metrics;
}

}  // namespace cactusshelf::sim
