#ifndef CACTUSSHELF_JOBS_SRC_SCHEDULER_H_
#define CACTUSSHELF_JOBS_SRC_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "best_effort_throttle.h"
#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/log_event.h"
#include "cell_choice.h"
#include "host_votes.h"
#include "job_tracker.h"
#include "placer.h"
#include "takeover_quorum.h"
#include "worker_state.h"

namespace cactusshelf::jobs {

// Records of one owner that are appended to the job log together.
struct ChangeBatch {
  std::uint64_t id = 0;
  std::vector<KeyedRecord> records;
};

// What is known of the earlier owners of a cell when a process becomes its owner.
struct EarlierOwners {
  // The last one certainly sends no more orders.
  bool last_has_ended = false;
  // When the newest record of any of them was read, or any later time.
  Time last_record_read_at = Time::max();
  // The answers of the other hosts to the new owner; null if no host is asked.
  const HostVotes* votes = nullptr;
};

// Decides which task runs on which worker, on behalf of the owner of the jobs and workers of one
// job log.
//
// A task runs on one worker at a time. After an unanswered start, the task starts on another worker
// only once a stop has been confirmed. Runs on an unreachable worker count as running until the
// worker's lease has expired by any clock. A new owner first raises the fencing token of every
// worker and adopts its runs. It does not start jobs that were accepted under earlier owners until
// all workers have reported or orders of earlier owners can no longer have an effect.
//
// The end of a run is acknowledged to the worker only after its effect is stored. Not thread-safe.
class Scheduler {
 public:
  // Upper bound on the number of cells.
  static constexpr int kMaxCells = 32;

  // `cell` is the index of the cell, at most kMaxCells - 1. `log_view` is the state of the job log,
  // read at least up to the record that made this process the owner. It and the votes of
  // `earlier_owners` must outlive the scheduler.
  Scheduler(const SchedulerOptions& options, int cell, std::int64_t token, std::int64_t generation,
            const EarlierOwners& earlier_owners, const JobLogView& log_view, const Now& now);

  void OnJob(const std::shared_ptr<const SubmittedJob>& job, const Now& now);
  void OnJobDropped(const JobKey& key) { tracker_.Forget(key); }
  // Sets where jobs of which nothing was started may be handed over; null for nowhere.
  void SetOtherCells(CellChoice* other_cells) { other_cells_ = other_cells; }
  // Sets whether records of progress have JobProgress::step_counts, which all hosts must read.
  void StoreTaskNumbers(bool numbered) { tracker_.StoreTaskNumbers(numbered); }
  void OnCancel(const JobKey& key, const Now& now);
  void OnWorkerListed(WorkerEntry entry, const Now& now);
  void OnWorkerUnlisted(const std::string& id, const Now& now);

  void OnHoldAnswer(const HoldAnswer& answer, const Now& now);
  void OnStartAnswer(const OrderAnswer& answer, const Now& now);
  void OnStopAnswer(const OrderAnswer& answer, const Now& now);
  void OnPaceAnswer(const OrderAnswer& answer, const Now& now);

  // The process was suspended, so another process may own the workers by now. Each worker has to
  // accept the token again before a task is started on it.
  void OnPaused(const Now& now);

  // The store has shown that no other process had become the owner by the time `at`.
  void ConfirmOwnership(Time at);
  // As ConfirmOwnership, and a record of this owner that was stored after `at` shows others that it
  // is at work. Only this lets it grant leases by the store.
  void ConfirmHeartbeat(Time at);
  // A run, or an awaited worker, would be given up if ownership were confirmed until now.
  bool awaits_confirmation() const { return awaits_confirmation_; }

  // Sets the service of a queue according to the configuration in force.
  void SetQueueService(const std::string& queue, const std::string& service);

  // Performs all actions that are due at `now`: expires leases, places tasks and sends orders.
  void Decide(const Now& now);

  std::vector<WorkerOrder> TakeOrders();
  std::vector<LogEvent> TakeLog();

  // Returns the records to be stored, or nothing. Batches must be stored in order, and each must be
  // confirmed with OnStored.
  std::optional<ChangeBatch> TakeChanges(const Now& now);
  bool has_changes() const {
    return tracker_.has_changes() || roster_changed_ || leases_changed_ || voting_hosts_changed();
  }
  void OnStored(std::uint64_t batch, const Now& now);
  // Returns the cells to which jobs were handed over since the last call. Their owners have to know
  // of it once the changes are stored.
  std::set<int> TakeHandOverTargets() { return std::exchange(hand_over_targets_, {}); }

  // The log of another cell has been read since this process became the owner, and the
  // cancellations of the jobs that it has handed over have been applied. Until then none of these
  // is started.
  void OnHomeLogRead(int cell) {
    placement_needed_ = read_home_logs_.insert(cell).second || placement_needed_;
  }

  // What the workers have free and the waiting tasks need, by pool.
  CellRoom MeasureRoom(const Now& now);

  // True while the votes of hosts decide what this owner may do next.
  bool needs_host_votes() const { return needs_host_votes_; }

  // True once a worker has refused the token as outdated: another process is the owner.
  bool fenced() const { return fenced_; }

  const Counters& counters() const { return counters_; }

 private:
  // What becomes allowed once a roster is stored.
  struct RosterBatch {
    std::vector<std::string> voters;     // All workers that it lists.
    std::vector<std::string> startable;  // Those that it lists for any task.
    std::vector<std::string> unlimited;  // Workers of which it does not say when leases end.
    std::set<TaskRef> limited_tasks;     // Tasks on the workers of which it does.
  };
  struct PendingOrder {
    std::string worker;
    TaskRef task;
    std::int64_t run = 0;
    int percent = 0;
    std::int64_t incarnation = 0;  // Of the worker when the order was made.
    Time made_at;
    std::int64_t acknowledged_end = 0;  // Of a hold.
    bool renews_lease = false;          // A hold with a lease.
  };

  WorkerState* FindWorker(const std::string& id);
  // Records an order that is to be answered. `task` and `run` are empty for a hold.
  PendingOrder& AddPendingOrder(CallId call, const WorkerState& worker, const TaskRef& task,
                                std::int64_t run, const Now& now);
  PendingOrder TakePendingOrder(CallId call);
  CallId NextCall() { return CallId{next_call_++}; }

  // Records that the worker may have restarted, if an order to it got no answer.
  static void NoteWhetherAnswered(WorkerState& worker, OrderOutcome outcome);
  // Records what the answer to an order other than a hold shows of the worker's incarnation.
  // Returns true if it came from the present incarnation, for certain.
  bool CheckIncarnation(WorkerState& worker, const PendingOrder& order, const OrderAnswer& answer,
                        const Now& now);
  // Processes a hold that the worker answered: its incarnation, its clock, and that it has accepted
  // this owner's token. `after_quorum` tells whether the hold was sent after the quorum. Before it
  // the worker may still restart and run tasks of an earlier owner that has most of the voters, and
  // that owner must not miss an end: the report does not count for the takeover, and its ends wait.
  void OnTokenAccepted(WorkerState& worker, const HoldReport& report, bool after_quorum,
                       const Now& now);
  void ApplyReport(WorkerState& worker, const HoldReport& report, bool after_quorum,
                   const Now& now);
  void ApplyEnd(WorkerState& worker, const EndedRun& end, const Now& now);
  void ApplyRunning(WorkerState& worker, const RunningTask& running, const Now& now);
  // Updates the observed speed of the worker, and stops a short run without progress.
  void ApplyProgress(WorkerState& worker, Run& run, int percent, const Now& now);
  void AdoptRun(WorkerState& worker, const RunningTask& running);
  void ResolveUnreportedRuns(WorkerState& worker, const HoldReport& report, const Now& now);
  void UpdateQuarantine(WorkerState& worker, const Run& run, RunEnd end, const Now& now);
  void MarkRunLost(WorkerState& worker, TaskRef task, std::string_view reason, const Now& now);
  // Marks the runs for which `ended` is true as lost.
  template <typename Predicate>
  void MarkRunsLostIf(WorkerState& worker, const Predicate& ended, std::string_view reason,
                      const Now& now) {
    std::vector<TaskRef> lost;
    for (const auto& [ref, run] : worker.runs()) {
      if (ended(run)) lost.push_back(ref);
    }
    for (const TaskRef& ref : lost) MarkRunLost(worker, ref, reason, now);
  }
  // Gives up the runs of earlier incarnations of a worker once that is safe.
  void ResolveRunsAfterRestart(WorkerState& worker, const Now& now);
  // No other owner has processed ends of runs by this time.
  Time EndsConfirmedAt() const;
  void ExpireLeases(const Now& now);
  // A new owner starts no jobs of earlier owners until all workers on which any task may run have
  // reported, or the leases of earlier owners have ended. Tasks that may run on other workers wait
  // for those.
  void CheckTakeover(const Now& now);
  void CompleteTakeover(const Now& now);
  // True if an unreported worker cannot run anything any more that earlier owners began.
  bool IsAwaitEnded(const std::string& id) const;
  // Waits no longer for workers on which everything has ended that earlier owners began.
  void DropAwaitedWorkers();
  // Until when an unreported worker may run something.
  Time AwaitedUntil(const std::string& id) const;
  void UpdateAwaitedTasks();
  // Logs for which workers the takeover waits, and why.
  void ReportTakeover(const Now& now);
  // Why a worker of the stored roster has not reported yet, as a text for the log.
  std::string_view WhyAwaited(const std::string& id) const;
  // Adds the number of awaited workers by reason, and the names of some.
  void AddAwaitedWorkers(LogEvent& event) const;
  void LogRosterDrop(const std::string& id, std::string_view reason);
  // Records that the worker answered a hold with a lease.
  void OnLeaseRenewed(WorkerState& worker, const Now& now);
  // Logs once how long after the ownership was gained the last worker got its first lease.
  void ReportRenewedLeases(const Now& now);
  // The longest lease that earlier owners may have granted to the incarnation of the worker whose
  // first report to this owner is `report`.
  Duration MaxEarlierLease(const WorkerState& worker, const HoldReport& report) const;
  // Compares the stored leases with the present ones.
  void CheckStoredLeases(const Now& now);
  // When more than half of `voters` had certainly not accepted a later owner; zero if never.
  Time MajorityConfirmedAt(const std::vector<std::string>& voters) const;
  // When more than half of the hosts of each record that may be the stored one had not learned of a
  // later owner; Time::max() if no record is in force.
  Time HostsConfirmedAt(const Now& now) const;
  // When this owner was last certain, without the store, that it had no successor.
  Time VotersConfirmedAt(const Now& now) const;
  // Until when whole leases may be granted by what the store has shown.
  Time AuthorityByStore() const;
  // Finds out until when this owner may grant whole leases.
  void UpdateAuthority(const Now& now);
  // The longest lease that may be granted now; zero for none.
  Duration GrantableLease(const Now& now) const;
  // Sets WorkerState::incarnation_known. An incarnation that this owner first reached after it was
  // last confirmed may have followed one that had accepted a later owner.
  void CheckIncarnationKnown(WorkerState& worker, const Now& now) const;
  // Records a lease that is granted to the worker now, and returns its end, if one may be granted.
  // Precondition: worker.has_clock().
  std::optional<WorkerClock> GrantLease(WorkerState& worker, const Now& now);
  // Precondition: the quorum is reached.
  void SetEndOfEarlierLeases();
  // Finds out whether anything but the votes of workers shows that earlier owners get no evidence
  // any more: the votes of hosts, the owners' own answers, or the time.
  void CheckQuorum(const Now& now);
  // Finds out whether all earlier owners that may still grant leases have answered.
  void CheckEarlierOwners();
  // `reason` tells what has shown it, as a text for the log. Earlier owners have got no evidence
  // after `last_vote_at`.
  void OnQuorumReached(std::string_view reason, Time last_vote_at, const Now& now);
  // True if the owner of each generation that may still grant leases is among earlier_claims_, so
  // that its host has claimed no other since.
  bool HasOwnerOfEachGeneration() const;
  // Sets needs_host_votes_.
  void CheckHostVotesNeeded(const Now& now);
  // Hands over the hosts that answer, if they have changed.
  void CheckVotingHosts(const Now& now);
  bool voting_hosts_changed() const { return voting_hosts_batch_ && voting_hosts_batch_id_ == 0; }
  // True if the worker, which accepts orders of this owner only, has been unreachable for so long
  // that the roster should say when the leases there end.
  static bool IsLost(const WorkerState& worker, const Now& now);
  // True if the worker, which accepts orders of this owner only, is draining. What runs there ends
  // within its last lease.
  static bool IsLeaving(const WorkerState& worker);
  // As IsLost, for an unreported worker. Includes workers of which the earlier owner has stored
  // when the leases end, until they are reached and stay.
  bool IsUnreportedLost(const std::string& id, const Now& now) const;
  // True if the last roster that was handed over says when the leases on the worker end.
  bool IsLimitedByLastRoster(const std::string& id) const;
  // True if no task has another run than the one on the worker whose tasks these are.
  bool HoldsOnlyRunOfEach(const std::vector<TaskRef>& tasks);
  // Adds to the batch until when the workers that this owner does not reach, or that are leaving,
  // may run something. No lease is granted there until a later roster is stored that says nothing
  // of them.
  void AddRosterLeases(ChangeBatch& batch, RosterBatch& roster, const Now& now);
  // How the roster has to list the worker, which has reported to this owner or was in no roster of
  // earlier ones. While nothing is started there without a later roster, only those tasks may run
  // there whose runs are tracked: each run is tracked from the decision to start it until it has
  // certainly ended, and orders of earlier owners are refused by the accepted token.
  RosterEntry RosterEntryOf(const WorkerState& worker, const Now& now) const;
  // True if the last roster lists the worker without a task that may run there.
  static bool RunsUnlistedTask(const WorkerState& worker);
  // Processes the first report of a worker that was in the stored roster when the ownership was
  // gained.
  void OnAwaitedWorkerReported(WorkerState& worker);
  // Sets roster_changed_ if the roster lacks a worker or a task, or lists some in vain.
  void CheckRoster(const Now& now);
  // Adds the workers that may run something on orders of this or an earlier owner. No task starts
  // on a worker that is not listed for any task until a later roster is stored.
  void AddRosterRecords(ChangeBatch& batch, const Now& now);
  void UpdateRosterEntry(WorkerState& worker, const Now& now);
  void OnRosterStored(std::uint64_t batch);
  bool AllListedWorkersAcceptedToken() const;

  void SendHolds(const Now& now);
  void SendHold(WorkerState& worker, const Now& now);
  void SendStops(WorkerState& worker, const Now& now);
  void SendStop(WorkerState& worker, Run& run, const Now& now);
  bool ShouldRun(const TaskRef& ref);
  // Stops the runs of a job that has ended, or of those of its tasks that are done.
  void StopObsoleteRuns(const JobKey& job, const Now& now);
  void SendPaceOrders(WorkerState& worker, const Now& now);

  // Logs why tasks wait, for the tasks that have waited longest.
  void ReportWaitingTasks(const Now& now);
  LogEvent ExplainWait(const ReadyStep& ready, int index, const Now& now);

  // Notes that another cell may run the job while nothing of it is started.
  void AddUnstartedJob(const SubmittedJob& job);
  // True if nothing of the job runs, or has run, on orders of this or an earlier owner. An earlier
  // run that was lost with its worker, and whose lease has ended, does not count.
  bool IsUnstarted(const JobKey& key);
  // Hands jobs of which nothing was started over to cells that have more room for them.
  void HandOverJobs(const Now& now);
  // As MeasureRoom, without what the jobs need that may be handed over.
  CellRoom MeasureRoomForUnstartedJobs(const Now& now);
  // The step of the job that takes most of its pool.
  RoomDemand DemandOf(const TrackedJob& job);

  // Starts of one placement pass, not counting the rest of a gang. What is left is placed in the
  // next pass; holds, reports and the owner's appends come between.
  static constexpr int kMaxStartsPerPass = 128;
  void PlaceReadySteps(const Now& now);
  std::vector<WorkerState*> PlaceableWorkers();
  // True if tasks may be placed on the worker.
  bool IsPlaceable(const WorkerState& worker) const;
  // A long-running task that has stopped and waits for a worker.
  struct WaitingRestart {
    ReadyStep step;
    int index = 0;
    Time since;  // When it stopped.

    TaskId task() const { return {step.occurrence, step.step, index}; }
  };
  // Returns the restarts of the given steps, those first that stopped first. Includes tasks whose
  // retry delay has not ended.
  std::vector<WaitingRestart> CollectRestarts(const std::vector<ReadyStep>& ready,
                                              bool best_effort_due) const;
  // Returns the long-running tasks that are about to stop, since their workers do not answer or
  // leave.
  std::vector<WaitingRestart> CollectExpectedRestarts();
  PlacementRequest MakeRestartRequest(const WaitingRestart& restart, const Now& now);
  // Starts the given tasks where they fit and claims room for the others, and awaits room for the
  // `expected` ones, before any other task is placed in the pass.
  void PlaceRestarts(const std::vector<WaitingRestart>& restarts,
                     const std::vector<WaitingRestart>& expected, const Now& now);
  // True if the task has no run and may start: no earlier run of it may be at work anywhere.
  bool WaitsForWorker(TrackedJob& job, const TaskId& id) const;
  // True if the job was handed over to this cell, and may have been cancelled since.
  bool AwaitsHomeLog(const SubmittedJob& job) const {
    return job.home_cell && !read_home_logs_.contains(*job.home_cell);
  }
  void PlaceStep(const ReadyStep& ready, const Now& now);
  void PlaceGang(const ReadyStep& ready, const std::vector<WorkerState*>& workers, const Now& now);
  PlacementRequest MakePlacementRequest(TrackedJob& job, const TaskId& task, Time now);
  void StartTask(WorkerState& worker, TrackedJob& job, const TaskId& task, std::int64_t run,
                 const Now& now);
  Run MakeAdoptedRun(const WorkerState& worker, const TaskRef& ref);
  Run MakeRun(const SubmittedJob& job, const TaskId& task, std::int64_t number);
  const std::string& ServiceOf(const SubmittedJob& job) const;
  // Adds or removes a run. Its task cannot start on another worker while the run is present.
  void AddRun(WorkerState& worker, Run run);
  void RemoveRun(WorkerState& worker, const TaskRef& task);

  // Sends a hold at once. Queues other orders while the worker has too many orders in flight.
  void Enqueue(WorkerState& worker, WorkerOrder order);
  // As Enqueue, without regard to the number of orders in flight.
  void SendAtOnce(WorkerState& worker, WorkerOrder order);
  void SendQueuedOrders(WorkerState& worker);
  // Removes an answered order, and sends the next queued order of its worker.
  PendingOrder CompleteOrder(CallId call);
  // As CompleteOrder. Returns the run that the order was for, or null if the run has been
  // removed.
  Run* CompleteRunOrder(const OrderAnswer& answer, PendingOrder& order, const Now& now);
  // Cancels queued starts for which `obsolete` is true; they have not been sent to the worker.
  template <typename Predicate>
  void CancelQueuedStarts(WorkerState& worker, const Predicate& obsolete, const Now& now);
  void CancelAllQueuedStarts(WorkerState& worker, const Now& now);

  void Log(LogEvent event) { log_.push_back(std::move(event)); }

  // Evacuates draining workers, and sends due stop and pace orders of all runs, including repeats
  // of unanswered ones.
  void SweepRuns(const Now& now);
  // Stops the runs on a draining worker that would not end before the worker leaves, and all runs
  // before its last lease ends.
  void EvacuateDrainingWorker(WorkerState& worker, const Now& now);

  SchedulerOptions options_;
  const JobLogView& log_view_;
  std::int64_t token_;
  InterferenceModel interference_;
  Placer placer_;
  JobTracker tracker_;
  BestEffortThrottle throttle_;
  std::map<std::string, WorkerState> workers_;
  std::map<std::string, std::string> queue_services_;
  int cell_;
  CellChoice* other_cells_ = nullptr;
  // Jobs that may be handed over and had no start by the last pass.
  std::set<JobKey> unstarted_jobs_;
  std::set<int> hand_over_targets_;
  std::set<int> read_home_logs_;  // Other cells of which OnHomeLogRead was called.
  std::unordered_map<std::uint64_t, PendingOrder> pending_;
  std::uint64_t next_call_;
  std::vector<WorkerOrder> orders_;
  std::vector<LogEvent> log_;
  Counters counters_;
  std::uint64_t next_batch_ = 1;
  std::uint64_t last_stored_batch_ = 0;
  // Workers of the stored roster that have not reported to this owner yet.
  std::set<std::string> unreported_workers_;
  // Those of them on which only the given tasks may run, and these tasks together.
  std::map<std::string, std::vector<TaskRef>> awaited_tasks_;
  std::set<TaskRef> awaited_task_set_;
  // Of unreported workers of which the earlier owner has stored when the leases there end.
  std::map<std::string, Time> awaited_until_;
  // Unreported workers of which the listed tasks run nowhere else.
  std::set<std::string> exclusive_workers_;
  bool taking_over_;
  Time gained_at_;
  Time last_earlier_record_at_;  // EarlierOwners::last_record_read_at.
  Time next_takeover_report_;
  int renewed_workers_ = 0;     // Workers that have got a lease from this owner.
  Time last_first_renewal_at_;  // When the last of them got its first lease.
  bool renewal_reported_ = false;
  // Orders of earlier owners can have no effect after this time. Unknown before the quorum.
  Time takeover_end_ = Time::max();
  bool roster_changed_ = false;
  Time next_roster_drop_;
  std::int64_t generation_;
  // Claims of owners that may still grant leases when the ownership is gained, and the time at
  // which those of them that other claims of their hosts have followed had stopped.
  std::vector<OwnerRecord> earlier_claims_;
  Time followed_owners_ended_at_;
  LeaseRecord stored_leases_;  // As last handed over to be stored, by this or an earlier owner.
  bool leases_changed_ = false;
  // No lease of earlier owners lasts longer, bound or not. Unknown before the quorum.
  Time earlier_leases_end_ = Time::max();
  // When earlier owners got their last evidence from workers or hosts. Unknown before the quorum.
  Time last_earlier_vote_at_;
  // No earlier owner grants leases after this time. Unknown before the quorum.
  Time last_earlier_grant_ = Time::max();
  // The same, as shown by the earlier owners themselves.
  std::optional<Time> earlier_owners_ended_at_;
  TakeoverQuorum quorum_;
  std::vector<std::string> voters_;  // Workers of the stored roster.
  const HostVotes* host_votes_;
  VotingHostsRecord voting_hosts_;                       // In force.
  std::optional<VotingHostsRecord> voting_hosts_batch_;  // To be stored, or not known to be.
  std::uint64_t voting_hosts_batch_id_ = 0;              // 0: not handed over.
  Time next_voting_hosts_check_;
  bool needs_host_votes_ = false;
  // Whole leases may be granted until then, and later ones may not last longer than they.
  Time authority_until_;
  Time majority_confirmed_at_;  // MajorityConfirmedAt of all rosters that may be the stored one.
  Time next_majority_check_;
  bool may_grant_leases_ = true;
  // All leases that any owner has granted, and that may still last, are bound to an incarnation.
  bool earlier_leases_bound_;
  Time next_lease_check_;
  std::map<std::uint64_t, RosterBatch> roster_batches_;  // Not stored yet.
  // Workers of which the stored roster, or one that may be stored, says when the leases there end.
  std::set<std::string> lease_limited_;
  // Tasks that such a roster lists on one of these workers only. They start nowhere else until a
  // later roster is stored, so that the next owner knows where they may run.
  std::set<TaskRef> limited_tasks_;
  // Tasks that earlier owners listed on one of these workers, where they have ended. They start
  // before the takeover is complete.
  std::set<TaskRef> released_tasks_;
  bool fenced_ = false;
  // The process was suspended, and neither the log nor the workers have confirmed since then that
  // it is still the owner. Nothing is started in this state.
  bool ownership_unconfirmed_ = false;
  Time resumed_at_;  // End of the last suspension.
  // A successor may renew leases whose end this owner expects. Leases that end later than this time
  // are therefore not taken for ended.
  Time ownership_confirmed_at_;
  Time heartbeat_confirmed_at_;  // As given to ConfirmHeartbeat.
  bool awaits_confirmation_ = false;
  Time next_decision_;
  Time next_interference_export_;  // Next time to store the interference model.
  Time next_sweep_;
  Time next_wait_report_;
  Time next_placement_;
  Time placement_deadline_;
  Time next_best_effort_placement_;
  bool placement_needed_ = true;
  int starts_in_pass_ = 0;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_SCHEDULER_H_
