#ifndef CACTUSSHELF_PLACEMENT_TESTS_CELL_HARNESS_H_
#define CACTUSSHELF_PLACEMENT_TESTS_CELL_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusshelf/placement/cell_scheduler.h"
#include "sim/fake_worker.h"

namespace cactusshelf {

inline constexpr Time kStart{std::chrono::hours(1)};

// Resources in whole processors and GiB.
Resources Size(int processors, int gib, int accelerators = 0);
WorkerSpec Worker(int number, Resources capacity);
JobSpec MakeJob(const std::string& id, std::uint32_t tasks, Resources size);

// Owners and fake workers on a simulated network, in virtual time. Messages are delayed and may be
// lost according to a rule. The rule depends on the owner, so that a worker may be reachable by
// only one of the owners.
class CellHarness {
 public:
  enum class Delivery { kBoth, kCommandOnly, kLateCommandOnly, kNone };
  // Decides how a command from `owner` to `worker` is delivered.
  using DeliveryRule =
      std::function<Delivery(int owner, const WorkerId& worker, const WorkerCommand&)>;

  explicit CellHarness(std::vector<WorkerSpec> workers, double work_seconds = 60);

  // Adds an owner with all workers and the team "team" of customer "customer".
  CellScheduler& AddOwner(CellOptions options = {}, std::uint64_t seed = 1);
  CellScheduler& owner(int i) { return *owners_[static_cast<std::size_t>(i)].scheduler; }
  FakeWorker& worker(int i) { return *workers_[static_cast<std::size_t>(i)]; }
  std::size_t worker_count() const { return workers_.size(); }

  // Takes ownership with authority for the rest of the test.
  void TakeOwnership(int owner, Epoch epoch, Time old_authority_end);
  // A paused owner handles no input or timer. Both are handled after it resumes.
  void Pause(int owner) { owners_[static_cast<std::size_t>(owner)].is_paused = true; }
  void Resume(int owner) { owners_[static_cast<std::size_t>(owner)].is_paused = false; }

  // Queues an input that the owner handles in its next time step in which it is not paused.
  void Post(int owner, std::function<void()> input) { inbox_[owner].push_back(std::move(input)); }

  void RunFor(Duration duration);
  Time now() const { return now_; }

  // Number of running attempts on all workers: of one task, or of all.
  int RunningCount(const TaskId& task) const;
  int RunningCount() const;

  DeliveryRule delivery_rule = [](int, const WorkerId&, const WorkerCommand&) {
    return Delivery::kBoth;
  };
  std::function<Duration()> delay = [] { return Duration(std::chrono::milliseconds(5)); };
  // Run time of a task in seconds.
  std::function<double(const TaskId&)> task_seconds;
  // Called after each time step.
  std::function<void()> on_step = [] {};
  // Called for each command that an owner sends, and for each report and result before the owner
  // handles it.
  std::function<void(int owner, const WorkerCommand&)> on_command = [](int, const WorkerCommand&) {
  };
  std::function<void(int owner, const WorkerId&, const WorkerState&)> on_report =
      [](int, const WorkerId&, const WorkerState&) {};
  std::function<void(int owner, const WorkerId&, const CommandResult&)> on_result =
      [](int, const WorkerId&, const CommandResult&) {};

  std::vector<StartTask> starts;  // Executed starts, in order.
  std::vector<Time> start_times;
  std::vector<JobId> finished;
  std::vector<JobRefused> refused;

 private:
  struct Owner {
    std::unique_ptr<CellScheduler> scheduler;
    bool is_paused = false;
  };

  void CollectEffects(int owner);
  void Dispatch(int owner, const WorkerCommand& command);
  void Execute(int owner, FakeWorker& worker, const WorkerCommand& command, bool is_answered);

  Time now_ = kStart;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::map<WorkerId, FakeWorker*> by_id_;
  std::vector<Owner> owners_;
  std::multimap<Time, std::function<void()>> network_;
  // Messages that the owners have not handled yet.
  std::map<int, std::vector<std::function<void()>>> inbox_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_TESTS_CELL_HARNESS_H_
