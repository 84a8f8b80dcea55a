#include "sim/baseline_scheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cactusshelf::sim {
namespace {

constexpr Epoch kEpoch = 1;
constexpr WorkerTime kNoExpiry{std::int64_t{1} << 50};
// Maximum number of tasks without a fitting worker that one pass skips.
constexpr std::size_t kMaxBackfillTasks = 200;

}  // namespace

BaselineScheduler::BaselineScheduler(BaselineKind kind, CellModel& model, std::uint64_t seed)
    : kind_(kind),
      model_(model),
      random_(seed),
      incarnations_(model.size(), 0),
      free_(model.size()) {}

void BaselineScheduler::Admit(const JobSpec& job) {
  for (std::uint32_t i = 0; i < job.tasks; ++i) {
    (job.urgent ? urgent_ : normal_).push_back({job, i, 0, {}});
  }
}

void BaselineScheduler::Cancel(Time now, const JobId& job) {
  cancelled_.insert(job);
  const auto is_of_job = [&](const WaitingTask& task) { return task.job.id == job; };
  std::erase_if(urgent_, is_of_job);
  std::erase_if(normal_, is_of_job);
  for (const auto& [id, placed] : placed_) {
    if (placed.task.job.id == job) {
      model_.Execute(now, placed.worker, StopTask{NextHeader(placed.worker), id});
    }
  }
}

void BaselineScheduler::Step(Time now) {
  CollectEndedTasks(now);
  Place(now, urgent_);
  Place(now, normal_);
}

void BaselineScheduler::CollectEndedTasks(Time now) {
  for (std::size_t i = 0; i < model_.size(); ++i) {
    FakeWorker& worker = model_.worker(i);
    if (worker.incarnation() != incarnations_[i]) {
      // The worker restarted and lost its tasks.
      incarnations_[i] = worker.incarnation();
      InstallEpoch install{NextHeader(i)};
      model_.Execute(now, i, install);
      std::vector<WaitingTask> lost;
      std::erase_if(placed_, [&](const auto& item) {
        if (item.second.worker == i) {
          lost.push_back(item.second.task);
        }
        return item.second.worker == i;
      });
      for (WaitingTask& task : lost) {
        Requeue(std::move(task));
      }
    }
    RenewLeases renew{NextHeader(i), {}, {}, {}};
    for (const auto& [id, ended] : worker.ended()) {
      const auto it = placed_.find(id);
      renew.forget.push_back(id);
      if (it == placed_.end()) {
        continue;
      }
      WaitingTask task = std::move(it->second.task);
      placed_.erase(it);
      if (ended.end != TaskEnd::kFinished) {
        task.checkpoint = ended.checkpoint;
        Requeue(std::move(task));
      }
    }
    if (!renew.forget.empty()) {
      model_.Execute(now, i, renew);
    }
    free_[i] = ComputeFree(i);
  }
}

void BaselineScheduler::Requeue(WaitingTask task) {
  if (!cancelled_.contains(task.job.id)) {
    (task.job.urgent ? urgent_ : normal_).push_front(std::move(task));
  }
}

void BaselineScheduler::Place(Time now, std::deque<WaitingTask>& queue) {
  std::size_t skipped = 0;
  std::vector<Resources> unplaceable_sizes;
  for (std::size_t i = 0; i < queue.size() && skipped < kMaxBackfillTasks;) {
    const Resources size = queue[i].job.size;
    if (std::find(unplaceable_sizes.begin(), unplaceable_sizes.end(), size) !=
        unplaceable_sizes.end()) {
      ++skipped;
      ++i;
      continue;
    }
    std::optional<std::size_t> worker = ChooseWorker(size);
    if (!worker.has_value() && queue[i].job.urgent && PreemptForTask(now, size)) {
      worker = ChooseWorker(size);
    }
    if (!worker.has_value()) {
      unplaceable_sizes.push_back(size);
      ++skipped;
      ++i;
      continue;
    }
    WaitingTask task = std::move(queue[i]);
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
    Start(now, *worker, std::move(task));
  }
}

std::optional<std::size_t> BaselineScheduler::ChooseWorker(const Resources& size) {
  std::vector<std::size_t> fitting;
  for (std::size_t i = 0; i < model_.size(); ++i) {
    if (!model_.IsDown(i) && Fits(size, free_[i])) {
      fitting.push_back(i);
    }
  }
  if (fitting.empty()) {
    return std::nullopt;
  }
  switch (kind_) {
    case BaselineKind::kFirstFit:
      return fitting.front();
    case BaselineKind::kBestFit:
      return *std::min_element(fitting.begin(), fitting.end(),
                               [&](std::size_t left, std::size_t right) {
                                 return free_[left].milliprocessors < free_[right].milliprocessors;
                               });
    case BaselineKind::kRandom:
      return fitting[random_.Below(fitting.size())];
  }
  return std::nullopt;
}

bool BaselineScheduler::PreemptForTask(Time now, const Resources& size) {
  std::vector<std::pair<std::size_t, std::vector<TaskAttempt>>> options;
  for (std::size_t i = 0; i < model_.size(); ++i) {
    if (std::vector<TaskAttempt> victims = SelectVictims(i, size);
        !victims.empty() && !model_.IsDown(i)) {
      options.emplace_back(i, std::move(victims));
    }
  }
  if (options.empty()) {
    return false;
  }
  std::size_t chosen = 0;
  if (kind_ == BaselineKind::kRandom) {
    chosen = random_.Below(options.size());
  } else if (kind_ == BaselineKind::kBestFit) {
    const auto it =
        std::min_element(options.begin(), options.end(), [](const auto& left, const auto& right) {
          return left.second.size() < right.second.size();
        });
    chosen = static_cast<std::size_t>(it - options.begin());
  }
  const auto& [worker, victims] = options[chosen];
  for (const TaskAttempt& id : victims) {
    model_.Execute(now, worker, CheckpointTask{NextHeader(worker), id});
    WaitingTask task = placed_.at(id).task;
    task.checkpoint = model_.worker(worker).running().at(id).checkpoint;
    model_.Execute(now, worker, StopTask{NextHeader(worker), id});
    placed_.erase(id);
    Requeue(std::move(task));
  }
  free_[worker] = ComputeFree(worker);
  return true;
}

std::vector<TaskAttempt> BaselineScheduler::SelectVictims(std::size_t worker,
                                                          const Resources& size) const {
  std::vector<const std::pair<const TaskAttempt, PlacedTask>*> preemptible;
  for (const auto& item : placed_) {
    if (item.second.worker == worker && !item.second.task.job.urgent &&
        model_.worker(worker).running().contains(item.first)) {
      preemptible.push_back(&item);
    }
  }
  std::stable_sort(preemptible.begin(), preemptible.end(), [](const auto* left, const auto* right) {
    return left->second.started_at > right->second.started_at;
  });
  Resources free = free_[worker];
  std::vector<TaskAttempt> victims;
  for (const auto* item : preemptible) {
    if (Fits(size, free)) {
      break;
    }
    free += item->second.task.job.size;
    victims.push_back(item->first);
  }
  return Fits(size, free) ? victims : std::vector<TaskAttempt>{};
}

void BaselineScheduler::Start(Time now, std::size_t worker, WaitingTask task) {
  StartTask start;
  start.header = NextHeader(worker);
  start.task = {TaskId(task.job.id.str() + "/" + std::to_string(task.index)),
                {kEpoch, ++task.attempt}};
  start.job_class = task.job.job_class;
  start.customer = task.job.customer;
  start.size = task.job.size;
  start.checkpoint = task.checkpoint;
  start.lease_until = kNoExpiry;
  model_.Execute(now, worker, start);
  free_[worker] -= start.size;
  placed_[start.task] = {std::move(task), worker, now};
}

Resources BaselineScheduler::ComputeFree(std::size_t i) const {
  const WorkerSpec& spec = model_.worker(i).spec();
  Resources free = spec.capacity - model_.worker(i).Committed();
  for (const ServiceOnWorker& service : spec.services) {
    free -= service.endpoint_size * service.endpoints;
  }
  return free;
}

CommandHeader BaselineScheduler::NextHeader(std::size_t worker) {
  return {CommandId(std::to_string(next_command_++)), kEpoch, incarnations_[worker],
          model_.worker(worker).spec().id, Time::max()};
}

}  // namespace cactusshelf::sim
