#include "sim/cell_driver.h"

#include <chrono>
#include <utility>

namespace cactusshelf::sim {
namespace {

constexpr Epoch kEpoch = 1;
constexpr Duration kDelay = std::chrono::milliseconds(5);
constexpr Duration kLossTimeout = std::chrono::seconds(1);

}  // namespace

CellDriver::CellDriver(const CellOptions& options, CellModel& model, const Scenario& scenario,
                       std::uint64_t seed)
    : model_(model), scheduler_(options, Random(seed)) {
  for (std::size_t i = 0; i < scenario.workers.size(); ++i) {
    worker_indexes_[scenario.workers[i].id] = i;
  }
  scheduler_.ApplyTeams(kSimStart, scenario.teams);
  scheduler_.ApplyWorkers(kSimStart, scenario.workers);
  scheduler_.SetAuthority(kSimStart, Time::max());
  scheduler_.TakeOwnership(kSimStart, kEpoch, kSimStart);
}

void CellDriver::Admit(Time now, const JobSpec& job) { scheduler_.AdmitJob(now, job); }

void CellDriver::Step(Time now) {
  while (!network_.empty() && network_.begin()->first <= now) {
    const std::function<void(Time)> message = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    message(now);
  }
  if (const auto wakeup = scheduler_.NextWakeup(); wakeup.has_value() && *wakeup <= now) {
    scheduler_.OnTimer(now);
  }
  for (CellEffect& effect : scheduler_.TakeEffects()) {
    std::visit(
        [&](auto& any) {
          using Effect = std::decay_t<decltype(any)>;
          if constexpr (std::is_same_v<Effect, JobFinished>) {
            scheduler_.CancelJob(now, any.job);
          } else if constexpr (!std::is_same_v<Effect, JobRefused>) {
            Send(now, any);
          }
        },
        effect);
  }
}

void CellDriver::Send(Time now, const WorkerCommand& command) {
  network_.emplace(now + kDelay, [this, command](Time later) { Deliver(later, command); });
}

void CellDriver::Deliver(Time now, const WorkerCommand& command) {
  const CommandId id = HeaderOf(command).id;
  const WorkerId worker = HeaderOf(command).worker;
  const std::size_t worker_index = worker_indexes_.at(worker);
  if (model_.IsDown(worker_index)) {
    network_.emplace(now + kLossTimeout,
                     [this, id](Time later) { scheduler_.OnCommandLost(later, id); });
    return;
  }
  const CommandResult result = model_.Execute(now, worker_index, command);
  if (std::holds_alternative<ReadState>(command) && result.status == CommandStatus::kDone) {
    network_.emplace(now + kDelay,
                     [this, worker, state = model_.worker(worker_index).State(now)](Time later) {
                       scheduler_.OnWorkerState(later, worker, state);
                     });
    return;
  }
  network_.emplace(now + kDelay, [this, id, result](Time later) {
    scheduler_.OnCommandResult(later, id, result);
  });
}

}  // namespace cactusshelf::sim
