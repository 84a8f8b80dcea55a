#ifndef CACTUSSHELF_PLACEMENT_BENCH_SIM_CELL_DRIVER_H_
#define CACTUSSHELF_PLACEMENT_BENCH_SIM_CELL_DRIVER_H_

#include <functional>
#include <map>
#include <unordered_map>

#include "cactusshelf/placement/cell_scheduler.h"
#include "sim/cell_model.h"

namespace cactusshelf::sim {

// Runs a CellScheduler against the model, with delayed messages.
class CellDriver {
 public:
  CellDriver(const CellOptions& options, CellModel& model, const Scenario& scenario,
             std::uint64_t seed);

  void Admit(Time now, const JobSpec& job);
  void Cancel(Time now, const JobId& job) { scheduler_.CancelJob(now, job); }
  void Step(Time now);

  const Counters& counters() const { return scheduler_.counters(); }

 private:
  void Send(Time now, const WorkerCommand& command);
  void Deliver(Time now, const WorkerCommand& command);

  CellModel& model_;
  CellScheduler scheduler_;
  std::unordered_map<WorkerId, std::size_t> worker_indexes_;
  std::multimap<Time, std::function<void(Time)>> network_;
};

}  // namespace cactusshelf::sim

#endif  // CACTUSSHELF_PLACEMENT_BENCH_SIM_CELL_DRIVER_H_
