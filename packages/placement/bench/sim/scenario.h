#ifndef CACTUSSHELF_PLACEMENT_BENCH_SIM_SCENARIO_H_
#define CACTUSSHELF_PLACEMENT_BENCH_SIM_SCENARIO_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/cell_options.h"
#include "cactusshelf/placement/specs.h"

namespace cactusshelf::sim {

enum class ScenarioKind { kSteady, kLoadShift, kNoisyWave, kWrongSizes, kRackLost, kCancelFlood };

inline constexpr ScenarioKind kAllScenarios[] = {
    ScenarioKind::kSteady,     ScenarioKind::kLoadShift, ScenarioKind::kNoisyWave,
    ScenarioKind::kWrongSizes, ScenarioKind::kRackLost,  ScenarioKind::kCancelFlood,
};

const char* ToString(ScenarioKind kind);

// One of the two deployments in section 1.2 of docs/design.md.
struct Site {
  const char* name;
  int workers;
  int processors;
  int memory_gib;
  int domains;
  PlacementWeights weights;
};

inline constexpr Site kConsorcio{"consorcio", 65, 16, 60, 4, {8, 2, 1}};
inline constexpr Site kCooperativa{"cooperativa", 50, 32, 125, 3, {1, 8, 4}};

inline constexpr int kClasses = 8;
inline constexpr int kWorkersPerRack = 8;
inline constexpr Duration kScenarioLength = std::chrono::minutes(20);

struct Arrival {
  Time at;
  JobSpec job;
  Time cancel_at = Time::max();
};

// Ground truth of a task, which the schedulers do not see.
struct TaskTruth {
  int job_class = 0;
  double work_seconds = 0;
  double processors = 0;
  double memory_gib = 0;
};

// Arrivals and ground truth of one run, the same for every scheduler.
struct Scenario {
  ScenarioKind kind;
  Site site;
  std::vector<WorkerSpec> workers;
  std::vector<TeamSpec> teams;
  std::vector<Arrival> arrivals;  // In order of time.
  std::unordered_map<TaskId, TaskTruth> truth;
};

Scenario MakeScenario(const Site& site, ScenarioKind kind, std::uint64_t seed);

// Requests per second of one endpoint, relative to the typical load.
double LoadAt(ScenarioKind kind, Time now);

// Effect of one task on the logarithm of the latency of the service on its worker.
double TrueEffect(ScenarioKind kind, int job_class, Time now);

}  // namespace cactusshelf::sim

#endif  // CACTUSSHELF_PLACEMENT_BENCH_SIM_SCENARIO_H_
