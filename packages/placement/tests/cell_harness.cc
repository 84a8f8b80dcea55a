#include "cell_harness.h"

#include <chrono>
#include <utility>

namespace cactusshelf {
namespace {

constexpr Duration kLossTimeout = std::chrono::milliseconds(500);
// Longer than the time until the report that is requested after a loss.
constexpr Duration kLateDelivery = std::chrono::seconds(3);
constexpr Duration kTimeStep = std::chrono::milliseconds(50);

}  // namespace

Resources Size(int processors, int gib, int accelerators) {
  return {std::int64_t{1000} * processors, static_cast<std::int64_t>(gib) << 30, accelerators};
}

WorkerSpec Worker(int number, Resources capacity) {
  return {WorkerId("w" + std::to_string(number)),
          DomainId("d" + std::to_string(number % 2)),
          RackId("r" + std::to_string(number % 4)),
          capacity,
          {}};
}

JobSpec MakeJob(const std::string& id, std::uint32_t tasks, Resources size) {
  return {JobId(id), TeamId("team"), CustomerId("customer"),  JobClass("class"),
          tasks,     size,           std::chrono::minutes(1), false};
}

CellHarness::CellHarness(std::vector<WorkerSpec> workers, double work_seconds)
    : task_seconds([work_seconds](const TaskId&) { return work_seconds; }) {
  for (WorkerSpec& spec : workers) {
    workers_.push_back(std::make_unique<FakeWorker>(
        std::move(spec), [this](const TaskId& task) { return task_seconds(task); }));
    FakeWorker& worker = *workers_.back();
    worker.Advance(kStart - std::chrono::minutes(1));
    by_id_[worker.spec().id] = &worker;
  }
}

CellScheduler& CellHarness::AddOwner(CellOptions options, std::uint64_t seed) {
  owners_.push_back({std::make_unique<CellScheduler>(options, Random(seed)), false});
  CellScheduler& scheduler = *owners_.back().scheduler;
  std::vector<WorkerSpec> specs;
  for (const auto& worker : workers_) {
    specs.push_back(worker->spec());
  }
  scheduler.ApplyTeams(now_,
                       {{TeamId("team"), CustomerId("customer"), 0, Size(10000, 100000, 100)}});
  scheduler.ApplyWorkers(now_, std::move(specs));
  return scheduler;
}

void CellHarness::TakeOwnership(int i, Epoch epoch, Time old_authority_end) {
  owner(i).SetAuthority(now_, now_ + std::chrono::hours(1000));
  owner(i).TakeOwnership(now_, epoch, old_authority_end);
}

void CellHarness::RunFor(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    now_ += kTimeStep;
    while (!network_.empty() && network_.begin()->first <= now_) {
      const std::function<void()> message = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      message();
    }
    for (int i = 0; i < static_cast<int>(owners_.size()); ++i) {
      if (!owners_[static_cast<std::size_t>(i)].is_paused) {
        CollectEffects(i);
        for (const auto& message : std::exchange(inbox_[i], {})) {
          message();
          CollectEffects(i);
        }
        if (const auto wakeup = owner(i).NextWakeup(); wakeup.has_value() && *wakeup <= now_) {
          owner(i).OnTimer(now_);
        }
        CollectEffects(i);
      }
    }
    for (const auto& worker : workers_) {
      worker->Advance(now_);
    }
    on_step();
  }
}

void CellHarness::CollectEffects(int i) {
  for (CellEffect& effect : owner(i).TakeEffects()) {
    std::visit(
        [&](auto& any) {
          using Effect = std::decay_t<decltype(any)>;
          if constexpr (std::is_same_v<Effect, JobFinished>) {
            finished.push_back(any.job);
          } else if constexpr (std::is_same_v<Effect, JobRefused>) {
            refused.push_back(any);
          } else {
            Dispatch(i, any);
          }
        },
        effect);
  }
}

void CellHarness::Dispatch(int i, const WorkerCommand& command) {
  const CommandHeader& header = HeaderOf(command);
  const CommandId id = header.id;
  on_command(i, command);
  // The shell drops a command that is no longer valid.
  const bool is_expired = now_ >= header.valid_until;
  const Delivery delivery = is_expired ? Delivery::kNone : delivery_rule(i, header.worker, command);
  FakeWorker& worker = *by_id_.at(header.worker);
  if (delivery != Delivery::kNone) {
    const Duration latency = delivery == Delivery::kLateCommandOnly ? kLateDelivery : delay();
    network_.emplace(now_ + latency, [this, i, &worker, command, delivery] {
      Execute(i, worker, command, delivery == Delivery::kBoth);
    });
  }
  if (delivery != Delivery::kBoth) {
    network_.emplace(now_ + kLossTimeout, [this, i, id] {
      inbox_[i].push_back([this, i, id] { owner(i).OnCommandLost(now_, id); });
    });
  }
}

void CellHarness::Execute(int i, FakeWorker& worker, const WorkerCommand& command,
                          bool is_answered) {
  const bool is_start = std::holds_alternative<StartTask>(command);
  const std::size_t before = worker.running().size();
  const CommandResult result = worker.Execute(now_, command);
  if (is_start && worker.running().size() > before) {
    starts.push_back(std::get<StartTask>(command));
    start_times.push_back(now_);
  }
  if (!is_answered) {
    return;
  }
  if (std::holds_alternative<ReadState>(command) && result.status == CommandStatus::kDone) {
    const WorkerState state = worker.State(now_);
    network_.emplace(now_ + delay(), [this, i, id = worker.spec().id, state] {
      inbox_[i].push_back([this, i, id, state] {
        on_report(i, id, state);
        owner(i).OnWorkerState(now_, id, state);
      });
    });
    return;
  }
  const CommandId id = HeaderOf(command).id;
  network_.emplace(now_ + delay(), [this, i, worker_id = worker.spec().id, id, result] {
    inbox_[i].push_back([this, i, worker_id, id, result] {
      on_result(i, worker_id, result);
      owner(i).OnCommandResult(now_, id, result);
    });
  });
}

int CellHarness::RunningCount(const TaskId& task) const {
  int count = 0;
  for (const auto& worker : workers_) {
    for (const auto& [id, running] : worker->running()) {
      count += id.task == task ? 1 : 0;
    }
  }
  return count;
}

int CellHarness::RunningCount() const {
  int count = 0;
  for (const auto& worker : workers_) {
    count += static_cast<int>(worker->running().size());
  }
  return count;
}

}  // namespace cactusshelf
