#ifndef CACTUSSHELF_JOBS_SRC_SCHEDULER_H_
#define CACTUSSHELF_JOBS_SRC_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/log_event.h"
#include "job_tracker.h"
#include "pace_control.h"
#include "placer.h"
#include "worker_state.h"

namespace cactusshelf::jobs {

// Changes of one owner that go to the job log together.
struct ChangeBatch {
  std::uint64_t id = 0;
  std::vector<KeyedRecord> records;
};

// The owner of the jobs and workers of one job log: decides which task runs on which worker.
//
// A task runs in one place only. A start that was not answered is settled by a stop before the task
// may run elsewhere; what ran on an unreachable worker counts as running until its lease has
// certainly ended. A new owner first raises the token of every worker and takes over what runs
// there. Until all workers have reported, or the orders of earlier owners can have no effect any
// more, it starts none of the jobs that were accepted under earlier owners.
//
// An end is acknowledged to the worker only after its effect is stored. Not thread-safe.
class Scheduler {
 public:
  // `ledger` is what the log says, at least up to the record that made this process the owner. It
  // outlives the scheduler. `predecessor_ended` if the earlier owner certainly gives no more
  // orders.
  Scheduler(const SchedulerOptions& options, std::int64_t token, std::int64_t generation,
            bool predecessor_ended, const JobLogView& ledger, const Now& now);

  void OnJob(const std::shared_ptr<const SubmittedJob>& job, const Now& now);
  void OnForgotten(const JobKey& key) { tracker_.Forget(key); }
  void OnCancel(const JobKey& key, const Now& now);
  void OnWorkerListed(WorkerEntry entry, const Now& now);
  void OnWorkerUnlisted(const std::string& id, const Now& now);

  void OnHoldAnswer(const HoldAnswer& answer, const Now& now);
  void OnStartAnswer(const OrderAnswer& answer, const Now& now);
  void OnStopAnswer(const OrderAnswer& answer, const Now& now);
  void OnPaceAnswer(const OrderAnswer& answer, const Now& now);

  // The process stood still for a while, so that another may own the workers by now: each worker
  // has to confirm the token before anything starts there.
  void OnPaused(const Now& now);

  // Nobody else owned the workers when the log was read after the last pause.
  void ConfirmOwner() { in_doubt_ = false; }

  // Service of a queue, as in force now.
  void SetQueueService(const std::string& queue, const std::string& service);

  // Makes the decisions that are due.
  void Decide(const Now& now);

  std::vector<WorkerOrder> TakeOrders();
  std::vector<LogEvent> TakeLog();

  // What is to be stored, or nothing. Batches are stored in order; OnStored confirms each.
  std::optional<ChangeBatch> TakeChanges(const Now& now);
  bool has_changes() const { return tracker_.has_changes() || roster_changed_; }
  void OnStored(std::uint64_t batch, const Now& now);

  // A worker has seen a higher token: another process is the owner.
  bool fenced() const { return fenced_; }

  const Counters& counters() const { return counters_; }

 private:
  struct PendingOrder {
    std::string worker;
    TaskRef task;
    std::int64_t run = 0;
    int percent = 0;
  };

  WorkerState* FindWorker(const std::string& id);
  PendingOrder TakePending(CallId call);
  CallId NextCall() { return CallId{next_call_++}; }

  void Visit(WorkerState& worker, const HoldReport& report, const Now& now);
  void ApplyReport(WorkerState& worker, const HoldReport& report, const Now& now);
  void ApplyEnd(WorkerState& worker, const EndedRun& end, const Now& now);
  void ApplyRunning(WorkerState& worker, const RunningTask& running, const Now& now);
  // Learns the worker's speed, and gives up a short run that stands still.
  void ApplyProgress(WorkerState& worker, Run& run, int percent, const Now& now);
  void Adopt(WorkerState& worker, const RunningTask& running);
  void SettleMissing(WorkerState& worker, const HoldReport& report, const Now& now);
  void JudgeWorker(WorkerState& worker, const EndedRun& end, const Now& now);
  void LoseRun(WorkerState& worker, TaskRef task, std::string_view reason, const Now& now);
  void LoseRunsOfEarlierLife(WorkerState& worker, const Now& now);
  void LoseAllRuns(WorkerState& worker, std::string_view reason, const Now& now);
  void ForgetLapsed(const Now& now);
  void CheckTakeover(const Now& now);
  bool AllListedVisited() const;

  void SendHolds(const Now& now);
  void SendHold(WorkerState& worker, const Now& now);
  void SendStops(WorkerState& worker, const Now& now);
  void SendStop(WorkerState& worker, Run& run, const Now& now);
  bool IsWanted(const TaskRef& ref);
  // Stops runs of a job that is over, or of its tasks that are done.
  void StopUnwantedRuns(const JobKey& job, const Now& now);
  void SendPaces(WorkerState& worker);

  void Place(const Now& now);
  std::vector<WorkerState*> PlaceableWorkers();
  void PlaceStep(const ReadyStep& ready, const Now& now);
  void PlaceGang(const ReadyStep& ready, const std::vector<WorkerState*>& workers, const Now& now);
  PlacementRequest RequestFor(TrackedJob& job, const TaskId& task, Time now);
  void StartTask(WorkerState& worker, TrackedJob& job, const TaskId& task, std::int64_t run,
                 const Now& now);
  Run MakeForeignRun(const WorkerState& worker, const TaskRef& ref);
  Run MakeRun(const SubmittedJob& job, const TaskId& task, std::int64_t number);
  const std::string& ServiceOf(const SubmittedJob& job) const;
  // Adds and removes runs, which also block their tasks from starting elsewhere.
  void AddRun(WorkerState& worker, Run run);
  void RemoveRun(WorkerState& worker, const TaskRef& task);

  // Sends `order` when the worker has few others to answer; holds go at once.
  void Enqueue(WorkerState& worker, WorkerOrder order);
  void SendWaiting(WorkerState& worker);
  // The order was answered, so that the next may go.
  PendingOrder TakeOrder(CallId call);
  Run* TakeOrderedRun(const OrderAnswer& answer, PendingOrder& order);
  // Takes back starts that wait for earlier orders to the worker.
  template <typename Unwanted>
  void DropWaitingStarts(WorkerState& worker, const Unwanted& unwanted, const Now& now);
  void DropAllWaitingStarts(WorkerState& worker, const Now& now);

  void Log(LogEvent event) { log_.push_back(std::move(event)); }

  // Looks at all runs: stops and paces that were not answered are due again.
  void Sweep(const Now& now);
  // Evacuates a worker that is leaving.
  void StopRunsOnLeaving(WorkerState& worker);

  SchedulerOptions options_;
  const JobLogView& ledger_;
  std::int64_t token_;
  NeighbourModel neighbours_;
  Placer placer_;
  JobTracker tracker_;
  PaceControl pace_;
  std::map<std::string, WorkerState> workers_;
  std::map<std::string, std::string> queue_services_;
  std::unordered_map<std::uint64_t, PendingOrder> pending_;
  std::uint64_t next_call_ = 1;
  std::vector<WorkerOrder> orders_;
  std::vector<LogEvent> log_;
  Counters counters_;
  std::uint64_t next_batch_ = 1;
  std::uint64_t stored_batch_ = 0;
  // Workers named by the stored roster of earlier owners that have not reported to this one.
  std::set<std::string> unreported_;
  bool taking_over_;
  Time takeover_end_;  // Orders of earlier owners have no effect after this time.
  bool roster_changed_ = false;
  std::map<std::uint64_t, std::vector<std::string>> roster_batches_;
  bool fenced_ = false;
  // The process stood still, and neither the log nor the workers have said since that it is still
  // the owner. Nothing starts meanwhile.
  bool in_doubt_ = false;
  Time next_review_;
  Time next_export_;  // Of what was learned of neighbours.
  Time next_sweep_;
  Time next_placement_;
  Time forced_placement_;
  Time next_best_effort_;
  bool placement_wanted_ = true;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_SCHEDULER_H_
