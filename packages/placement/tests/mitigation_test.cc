#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>

#include "cell_harness.h"

namespace cactusshelf {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Epoch kEpoch = 5;

CellOptions OptionsWithWeights(double tail_latency, double evictions, double throughput) {
  CellOptions options;
  options.weights = {tail_latency, evictions, throughput};
  return options;
}

// A cell whose workers run a service that a task of class "noisy" slows down by a factor of three
// to four, even if the task is throttled.
class InterferenceFixture {
 public:
  explicit InterferenceFixture(CellOptions options) : cell_(Workers(), 100000) {
    cell_.AddOwner(options);
    for (int i = 0; i < static_cast<int>(cell_.worker_count()); ++i) {
      cell_.worker(i).measure = [this, i](WorkerState& state) { Measure(i, state); };
    }
    cell_.on_command = [this](int, const WorkerCommand& command) { RecordCommand(command); };
    cell_.TakeOwnership(0, kEpoch, cell_.now());
    // The model needs measurements of the service without interference first.
    cell_.RunFor(minutes(3));
  }

  CellHarness& cell() { return cell_; }
  void AdmitNoisy(std::uint32_t tasks) {
    JobSpec job = MakeJob("noisy", tasks, Size(1, 1));
    job.job_class = JobClass("noisy");
    cell_.owner(0).AdmitJob(cell_.now(), job);
  }
  std::uint64_t MitigationCount(const std::string& reason) {
    return cell_.owner(0).counters().Get("cactusshelf_placement_relief_total", reason);
  }

  std::vector<std::string> steps;  // Mitigation commands, in order.
  double full_effect = 1.2;
  double throttled_effect = 1.1;

 private:
  static std::vector<WorkerSpec> Workers() {
    std::vector<WorkerSpec> workers;
    for (int i = 0; i < 4; ++i) {
      workers.push_back(Worker(i, Size(8, 32)));
      workers.back().services.push_back({ServiceId("service"), 1, Size(2, 4)});
    }
    return workers;
  }

  void Measure(int i, WorkerState& state) {
    double effect = 0;
    for (const auto& [id, task] : cell_.worker(i).running()) {
      if (task.start.job_class == JobClass("noisy")) {
        effect += task.permille == 1000 ? full_effect : throttled_effect;
      }
    }
    const auto p99 = Duration(static_cast<std::int64_t>(40000 * std::exp(effect)));
    state.services.push_back(
        {ServiceId("service"), p99, 100, WorkerTime{state.worker_time.ms - 1}});
  }

  void RecordCommand(const WorkerCommand& command) {
    if (const auto* throttle = std::get_if<ThrottleTask>(&command)) {
      steps.emplace_back(throttle->permille < 1000 ? "throttle" : "lift");
    } else if (std::holds_alternative<CheckpointTask>(command)) {
      steps.emplace_back("checkpoint");
    } else if (std::holds_alternative<StopTask>(command)) {
      steps.emplace_back("stop");
    }
  }

  CellHarness cell_;
};

TEST_CASE("a task is not evicted before a throttle has failed and a checkpoint was taken") {
  InterferenceFixture fixture(OptionsWithWeights(8, 1, 1));
  fixture.AdmitNoisy(1);
  fixture.cell().RunFor(minutes(3));
  REQUIRE(fixture.steps.size() >= 3);
  CHECK(fixture.steps[0] == "throttle");
  CHECK(fixture.steps[1] == "checkpoint");
  CHECK(fixture.steps[2] == "stop");
  REQUIRE(fixture.cell().starts.size() >= 2);
  CHECK(fixture.cell().starts[1].header.worker != fixture.cell().starts[0].header.worker);
  CHECK_FALSE(fixture.cell().starts[1].checkpoint.empty());
}

TEST_CASE("a sufficient throttle is not followed by an eviction or by frequent lifts") {
  InterferenceFixture fixture(OptionsWithWeights(8, 1, 1));
  fixture.throttled_effect = 0.1;
  fixture.AdmitNoisy(1);
  fixture.cell().RunFor(minutes(120));
  CHECK(fixture.MitigationCount("evicted") == 0);
  // The interference returns after each lift, so the throttles get longer: 40 s, 80 s, and so on.
  CHECK(fixture.MitigationCount("throttled") >= 1);
  CHECK(fixture.MitigationCount("throttled") <= 9);
}

TEST_CASE("a throttle does not stay after the interference has ended") {
  InterferenceFixture fixture(OptionsWithWeights(8, 1, 1));
  fixture.throttled_effect = 0.1;
  fixture.AdmitNoisy(4);
  fixture.cell().RunFor(minutes(3));
  CHECK(fixture.MitigationCount("throttled") >= 1);
  fixture.full_effect = 0;
  fixture.throttled_effect = 0;
  fixture.cell().RunFor(minutes(60));
  CHECK(fixture.MitigationCount("throttle_lifted") == fixture.MitigationCount("throttled"));
}

TEST_CASE("evictions because of interference do not exceed their budget") {
  for (const double budget : {0.0, 100.0}) {
    CellOptions options = OptionsWithWeights(8, 1, 1);
    options.eviction_budget = budget;
    InterferenceFixture fixture(options);
    fixture.AdmitNoisy(12);
    fixture.cell().RunFor(minutes(60));
    // One initial eviction, and the budget of 4 workers for one hour.
    const std::uint64_t max_evictions =
        budget > 0 ? 1 + static_cast<std::uint64_t>(budget * 4 / 100) : 0;
    CHECK(fixture.MitigationCount("evicted") <= max_evictions);
    CHECK((fixture.MitigationCount("evicted") > 0) == (budget > 0));
  }
}

TEST_CASE("interference does not cause evictions when their weight is high") {
  InterferenceFixture fixture(OptionsWithWeights(1, 8, 4));
  fixture.AdmitNoisy(1);
  fixture.cell().RunFor(minutes(10));
  CHECK(fixture.MitigationCount("evicted") == 0);
}

}  // namespace
}  // namespace cactusshelf
