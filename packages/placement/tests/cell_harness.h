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

// Sizes for tests, in whole processors and GiB.
Resources Size(int processors, int gib, int accelerators = 0);
WorkerSpec Worker(int number, Resources capacity);
JobSpec MakeJob(const std::string& id, std::uint32_t tasks, Resources size);

// A network of fake workers with owners, under virtual time. Messages take a delay and can be lost
// by a rule. Each owner has its own link rule, so that a worker may be reachable by one only.
class CellHarness {
 public:
  enum class Delivery { kBoth, kCommandOnly, kLateCommandOnly, kNone };
  // How the message from owner `owner` to `worker` is delivered.
  using DeliveryRule =
      std::function<Delivery(int owner, const WorkerId& worker, const WorkerCommand&)>;

  explicit CellHarness(std::vector<WorkerSpec> workers, double work_seconds = 60);

  // Adds an owner that knows the workers and one team "team" of customer "customer".
  CellScheduler& AddOwner(CellOptions options = {}, std::uint64_t seed = 1);
  CellScheduler& owner(int i) { return *owners_[static_cast<std::size_t>(i)].scheduler; }
  FakeWorker& worker(int i) { return *workers_[static_cast<std::size_t>(i)]; }
  std::size_t worker_count() const { return workers_.size(); }

  // Takes ownership with lasting authority.
  void TakeOwnership(int owner, Epoch epoch, Time old_authority_end);
  // A paused owner handles nothing; what it should have done happens when it resumes.
  void Pause(int owner) { owners_[static_cast<std::size_t>(owner)].is_paused = true; }
  void Resume(int owner) { owners_[static_cast<std::size_t>(owner)].is_paused = false; }

  // An input to an owner, which gets it at its next step unless it is paused.
  void Post(int owner, std::function<void()> input) { inbox_[owner].push_back(std::move(input)); }

  void RunFor(Duration duration);
  Time now() const { return now_; }

  // Running attempts of the task over all workers.
  int RunningCount(const TaskId& task) const;
  int RunningCount() const;

  DeliveryRule delivery_rule = [](int, const WorkerId&, const WorkerCommand&) {
    return Delivery::kBoth;
  };
  std::function<Duration()> delay = [] { return Duration(std::chrono::milliseconds(5)); };
  // Seconds of work of a task.
  std::function<double(const TaskId&)> task_seconds;
  // Called after each step of time.
  std::function<void()> on_step = [] {};
  // Called for each command that an owner sends, and for each report before the owner gets it.
  std::function<void(int owner, const WorkerCommand&)> on_command = [](int, const WorkerCommand&) {
  };
  std::function<void(int owner, const WorkerId&, const WorkerState&)> on_report =
      [](int, const WorkerId&, const WorkerState&) {};
  std::function<void(int owner, const WorkerId&, const CommandResult&)> on_result =
      [](int, const WorkerId&, const CommandResult&) {};

  std::vector<StartTask> starts;  // As executed, in order.
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
  // Messages for a paused owner.
  std::map<int, std::vector<std::function<void()>>> inbox_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_TESTS_CELL_HARNESS_H_
