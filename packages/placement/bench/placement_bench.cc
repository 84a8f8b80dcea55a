// Compares CellScheduler with three baseline schedulers on the same arrivals, in virtual time. With
// --check the exit status is 1 if a bound does not hold.
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <future>
#include <string>
#include <vector>

#include "sim/baseline_scheduler.h"
#include "sim/cell_driver.h"
#include "sim/cell_model.h"
#include "sim/scenario.h"

namespace cactusshelf::sim {
namespace {

constexpr Duration kTimeStep = std::chrono::milliseconds(100);
constexpr int kStepsPerModelStep = 5;
constexpr std::uint64_t kDefaultSeed = 11;
constexpr std::uint64_t kModelSeed = 12;
constexpr std::uint64_t kSchedulerSeed = 13;
constexpr double kMaxUrgentStartSeconds = 2;  // Seconds.

enum class Policy { kCactusshelf, kFirstFit, kBestFit, kRandom };

constexpr Policy kPolicies[] = {Policy::kCactusshelf, Policy::kFirstFit, Policy::kBestFit,
                                Policy::kRandom};

const char* ToString(Policy policy) {
  switch (policy) {
    case Policy::kCactusshelf:
      return "cactusshelf";
    case Policy::kFirstFit:
      return "first fit";
    case Policy::kBestFit:
      return "best fit";
    case Policy::kRandom:
      return "random";
  }
  return "";
}

struct Result {
  Metrics metrics;
  std::string counters;
};

// Passes the arrivals and cancellations to a scheduler and advances the model.
template <typename AdmitFunction, typename CancelFunction, typename StepFunction>
Metrics RunScenario(const Scenario& scenario, CellModel& model, AdmitFunction admit,
                    CancelFunction cancel, StepFunction step) {
  std::multimap<Time, JobId> cancellations;
  std::size_t next = 0;
  std::int64_t count = 0;
  const Time end = kSimStart + kScenarioLength;
  for (Time now = kSimStart; now < end; now += kTimeStep, ++count) {
    if (count % kStepsPerModelStep == 0) {
      model.Step(now);
    }
    for (; next < scenario.arrivals.size() && scenario.arrivals[next].at <= now; ++next) {
      const Arrival& arrival = scenario.arrivals[next];
      admit(now, arrival.job);
      if (arrival.cancel_at != Time::max()) {
        cancellations.emplace(arrival.cancel_at, arrival.job.id);
      }
    }
    while (!cancellations.empty() && cancellations.begin()->first <= now) {
      model.Cancel(cancellations.begin()->second);
      cancel(now, cancellations.begin()->second);
      cancellations.erase(cancellations.begin());
    }
    step(now);
  }
  return model.Finish(end);
}

Result RunCactusshelf(const Scenario& scenario) {
  CellModel model(scenario, kModelSeed);
  CellOptions options;
  options.weights = scenario.site.weights;
  CellDriver driver(options, model, scenario, kSchedulerSeed);
  Result result;
  result.metrics = RunScenario(
      scenario, model, [&](Time now, const JobSpec& job) { driver.Admit(now, job); },
      [&](Time now, const JobId& job) { driver.Cancel(now, job); },
      [&](Time now) { driver.Step(now); });
  result.counters = driver.counters().Format();
  return result;
}

Result RunBaseline(const Scenario& scenario, BaselineKind kind) {
  CellModel model(scenario, kModelSeed);
  BaselineScheduler scheduler(kind, model, kSchedulerSeed);
  return {RunScenario(
              scenario, model, [&](Time, const JobSpec& job) { scheduler.Admit(job); },
              [&](Time now, const JobId& job) { scheduler.Cancel(now, job); },
              [&](Time now) { scheduler.Step(now); }),
          {}};
}

Result Run(const Scenario& scenario, Policy policy) {
  switch (policy) {
    case Policy::kCactusshelf:
      return RunCactusshelf(scenario);
    case Policy::kFirstFit:
      return RunBaseline(scenario, BaselineKind::kFirstFit);
    case Policy::kBestFit:
      return RunBaseline(scenario, BaselineKind::kBestFit);
    case Policy::kRandom:
      return RunBaseline(scenario, BaselineKind::kRandom);
  }
  return {};
}

// Collects the bounds that do not hold.
class BoundChecker {
 public:
  void Check(bool is_met, const std::string& text) {
    if (!is_met) {
      violations_.push_back(text);
    }
  }

  // Prints the bounds that do not hold. Returns true if all hold.
  bool Report() const {
    for (const std::string& text : violations_) {
      fmt::print("bound does not hold: {}\n", text);
    }
    return violations_.empty();
  }

 private:
  std::vector<std::string> violations_;
};

void CheckBounds(const Scenario& scenario, const std::vector<Result>& results,
                 BoundChecker& checker) {
  const std::string label = fmt::format("{}, {}", scenario.site.name, ToString(scenario.kind));
  const Metrics& cactusshelf = results[0].metrics;
  checker.Check(cactusshelf.overcommitted_steps == 0,
                label + ": a worker was committed beyond its capacity");
  checker.Check(cactusshelf.duplicate_task_steps == 0,
                label + ": a task ran on two workers at a time");
  checker.Check(cactusshelf.urgent_start_p99_s <= kMaxUrgentStartSeconds,
                label + ": p99 of urgent starts exceeds 2 s");
  const bool is_latency_first =
      scenario.site.weights.tail_latency > scenario.site.weights.evictions;
  for (std::size_t i = 1; i < results.size(); ++i) {
    const Metrics& baseline = results[i].metrics;
    const char* const name = ToString(kPolicies[i]);
    if (is_latency_first) {
      checker.Check(cactusshelf.p99_ms < baseline.p99_ms, label + ": p99 not better than " + name);
    } else {
      // No baseline can have fewer than zero evictions.
      checker.Check(cactusshelf.evictions < baseline.evictions || cactusshelf.evictions == 0,
                    label + ": not fewer evictions than " + name);
    }
  }
}

void PrintTable(const Scenario& scenario, const std::vector<Result>& results) {
  for (std::size_t i = 0; i < results.size(); ++i) {
    const Metrics& m = results[i].metrics;
    fmt::print("| {} | {} | {} | {:.0f} | {:.1f} | {} | {:.0f} | {:.1f} | {:.1f} |\n",
               scenario.site.name, ToString(scenario.kind), ToString(kPolicies[i]), m.p99_ms,
               m.throughput, m.evictions, m.wasted_processor_seconds, m.start_p99_s,
               m.urgent_start_p99_s);
  }
}

int Main(std::uint64_t seed, bool is_check, bool has_counters) {
  std::vector<Scenario> scenarios;
  for (const Site& site : {kConsorcio, kCooperativa}) {
    for (const ScenarioKind kind : kAllScenarios) {
      scenarios.push_back(MakeScenario(site, kind, seed));
    }
  }
  fmt::print(
      "| site | scenario | scheduler | service p99 (ms) | throughput (processors) | evictions | "
      "wasted work (processor s) | start p99 (s) | urgent start p99 (s) |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  BoundChecker checker;
  for (const Scenario& scenario : scenarios) {
    // Each run has its own model and seeds, so the results do not depend on thread scheduling.
    std::vector<std::future<Result>> runs;
    for (const Policy policy : kPolicies) {
      runs.push_back(
          std::async(std::launch::async, [&scenario, policy] { return Run(scenario, policy); }));
    }
    std::vector<Result> results;
    results.reserve(runs.size());
    for (std::future<Result>& run : runs) {
      results.push_back(run.get());
    }
    PrintTable(scenario, results);
    if (has_counters) {
      fmt::print("{}", results[0].counters);
    }
    CheckBounds(scenario, results, checker);
  }
  return checker.Report() || !is_check ? 0 : 1;
}

}  // namespace
}  // namespace cactusshelf::sim

int main(int argc, char** argv) {
  cxxopts::Options options("placement_bench",
                           "Compares the cell scheduler with baseline schedulers");
  options.add_options()("check", "exit with 1 if a bound does not hold")(
      "counters", "print the counters of the cell scheduler")(
      "seed", "seed of the arrivals",
      cxxopts::value<std::uint64_t>()->default_value(
          std::to_string(cactusshelf::sim::kDefaultSeed)))("help", "print the options");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    fmt::print("{}", options.help());
    return 0;
  }
  return cactusshelf::sim::Main(parsed["seed"].as<std::uint64_t>(), parsed.count("check") > 0,
                                parsed.count("counters") > 0);
}
