#ifndef CACTUSSHELF_PLACEMENT_BENCH_SIM_BASELINE_SCHEDULER_H_
#define CACTUSSHELF_PLACEMENT_BENCH_SIM_BASELINE_SCHEDULER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "cactusshelf/base/random.h"
#include "sim/cell_model.h"

namespace cactusshelf::sim {

enum class BaselineKind { kFirstFit, kBestFit, kRandom };

// A scheduler that commits by declared size without estimates of usage or interference: first fit,
// best fit by declared size, or a random worker on which the task fits. Its commands take effect at
// once and it sees ended tasks at once, which is an advantage over a scheduler that exchanges
// messages. For urgent work it takes checkpoints of the batch tasks that started last on the worker
// chosen by its rule, and evicts them.
class BaselineScheduler {
 public:
  BaselineScheduler(BaselineKind kind, CellModel& model, std::uint64_t seed);

  void Admit(const JobSpec& job);
  void Cancel(Time now, const JobId& job);
  void Step(Time now);

 private:
  struct WaitingTask {
    JobSpec job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::string checkpoint;
  };
  struct PlacedTask {
    WaitingTask task;
    std::size_t worker = 0;
    Time started_at;
  };

  void CollectEndedTasks(Time now);
  void Place(Time now, std::deque<WaitingTask>& queue);
  std::optional<std::size_t> ChooseWorker(const Resources& size);
  bool PreemptForTask(Time now, const Resources& size);
  std::vector<TaskAttempt> SelectVictims(std::size_t worker, const Resources& size) const;
  void Start(Time now, std::size_t worker, WaitingTask task);
  void Requeue(WaitingTask task);
  Resources ComputeFree(std::size_t worker) const;
  CommandHeader NextHeader(std::size_t worker);

  BaselineKind kind_;
  CellModel& model_;
  Random random_;
  std::deque<WaitingTask> urgent_;
  std::deque<WaitingTask> normal_;
  std::unordered_set<JobId> cancelled_;
  std::map<TaskAttempt, PlacedTask> placed_;
  std::vector<std::uint64_t> incarnations_;
  std::vector<Resources> free_;  // By worker index.
  std::uint64_t next_command_ = 0;
};

}  // namespace cactusshelf::sim

#endif  // CACTUSSHELF_PLACEMENT_BENCH_SIM_BASELINE_SCHEDULER_H_
