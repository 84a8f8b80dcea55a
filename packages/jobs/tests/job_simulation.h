#ifndef CACTUSSHELF_JOBS_TESTS_JOB_SIMULATION_H_
#define CACTUSSHELF_JOBS_TESTS_JOB_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/jobs/job_log_view.h"
#include "cactusshelf/jobs/job_node.h"
#include "fake_store.h"
#include "fake_worker.h"
#include "processor_costs.h"
#include "restart_check.h"

namespace cactusshelf::jobs {

// Faults that the simulation injects, as a probability for each call or as the mean time between
// events; 0 turns a fault off.
struct SimulationFaults {
  double lost_store_answer = 0;   // The call takes effect, but its answer is lost.
  double late_append = 0;         // No answer; the append takes effect up to 3 s later.
  double lost_worker_answer = 0;  // The order takes effect, but its answer is lost.
  double late_order = 0;          // No answer; the order takes effect up to 5 s later.
  double failed_run = 0;
  double lost_peer_message = 0;
  Duration node_kill_period{};  // A node starts again after up to 2 s.
  Duration node_freeze_period{};
  Duration store_partition_period{};  // One node loses the store for up to 5 s.
  Duration worker_crash_period{};
  Duration worker_partition_period{};  // One worker is unreachable for up to 6 s; its runs go on.
};

struct SimulationOptions {
  bool relays = true;   // Owners may send orders through other nodes.
  JobNodeOptions node;  // Names and addresses are set per node.
  // Workers delay answers to holds as ordered. Otherwise they answer at once.
  bool long_polls = false;
  // While a node is busy with an event and its effects, others wait. Absent: no event takes time.
  std::optional<ProcessorCosts> processor_costs;
  // Capacity of a worker.
  std::int64_t worker_milliprocessors = 8000;
};

// A group of nodes and workers that is cut off from the other nodes and workers.
struct GroupPartition {
  // The nodes that reach the store during the partition.
  enum class StoreAccess { kOthers, kGroup, kAll };

  std::set<int> nodes;
  std::set<int> workers;
  StoreAccess store_access = StoreAccess::kOthers;
};

// Deterministic simulation of job nodes, a store and workers in virtual time, with seeded delays
// and faults. Checks the scheduler's invariants at each start of a task, at each acceptance and
// cancellation that it is stored, and the promise for long-running tasks that have stopped all the
// time; collects violations.
class JobSimulation {
 public:
  JobSimulation(std::uint64_t seed, int nodes, int workers, const SimulationFaults& faults,
                const SimulationOptions& options = {});
  ~JobSimulation();

  // Submits a job to random nodes until it is accepted, at most five times. Returns its key.
  JobKey Submit(JobSpec spec);
  void Cancel(const JobKey& key);
  // Asks a random node for the state of a job.
  void Read(const JobKey& key) { SendRequest(key, Verb::kRead, 1); }

  void RunFor(Duration duration);
  // Replaces the probabilities; periods that were zero at the beginning stay without effect.
  void SetFaults(const SimulationFaults& faults) { faults_ = faults; }
  void StopFaults() { faults_ = {}; }

  Time now() const { return now_; }
  Random& random() { return random_; }
  // State of a job as reported to a caller. Advances virtual time. Records a violation and returns
  // kQueued if no node answers.
  JobState StateOf(const JobKey& key);
  bool accepted(const JobKey& key) const { return accepted_.contains(key); }
  // True if a caller was told that the job is cancelled.
  bool cancelled(const JobKey& key) const { return jobs_.at(key).cancelled != Time{}; }
  std::vector<JobKey> accepted_jobs() const;
  int owners() const;
  int running_tasks() const;
  bool IsRunning(const TaskRef& task) const;
  // Long-running tasks of accepted jobs that run on no worker although nobody asked to cancel them.
  // Precondition: the steps that they depend on are done.
  std::vector<TaskRef> AbsentLongRunningTasks() const;
  std::uint64_t starts() const { return starts_; }
  const std::vector<std::string>& violations() const { return violations_; }
  FakeWorker& worker(int i) { return *workers_[static_cast<std::size_t>(i)]; }
  // Index of a worker, at or after `first`, on which tasks run. Precondition: there is one.
  int BusyWorker(int first);
  FakeStore& store() { return store_; }
  int CellCount();
  // The process of a node ends. It starts again after up to 2 s.
  void KillNode(int i);
  // The process of a node ends. Another one starts after `pause`.
  void RestartNode(int i, Duration pause);
  // The process of a node ends, and does not start again.
  void LoseNode(int i);
  void KillAllNodes();
  // Lists a worker as draining.
  void DrainWorker(int i);
  void FreezeNode(int i, Duration duration);
  // The store is unreachable for one node.
  void PartitionNodeFromStore(int i, Duration duration);
  // Submits a job to one node, without repeats.
  JobKey SubmitTo(int i, JobSpec spec);
  // Cancels a job at one node, without repeats.
  void CancelAt(int i, const JobKey& key);
  // As Submit, under a name that belongs to the given cell.
  JobKey SubmitInCell(int cell, JobSpec spec);
  // Number of listed workers that belong to the given cell.
  int WorkersOfCell(int cell);
  // Number of tasks that run on the workers of the given cell.
  int RunningTasksOfCell(int cell);
  // Index of the first node that owns a cell, or -1.
  int OwnerIndex() const;
  void PartitionWorker(int i, Duration duration);
  // Orders of one node do not reach the worker.
  void PartitionWorkerFromNode(int worker, int node, Duration duration);
  // Messages between two nodes are lost.
  void PartitionNodes(int a, int b, Duration duration);
  // Cuts a node off from the store, from the other nodes and from all workers but those of `side`,
  // and the other nodes from these. Ends earlier cuts between single nodes and workers.
  void PartitionNodeWithWorkers(int node, const std::set<int>& side, Duration duration);
  // As PartitionNodeWithWorkers, for a group of nodes that reach each other.
  void PartitionGroup(const GroupPartition& group, Duration duration);
  // The worker carries out the orders that are sent to it within `duration` only `delay` later;
  // their senders get no answer. Orders that name an incarnation are lost with the connection if it
  // ends before; any other order is carried out in whatever incarnation the worker then is.
  void DelayOrdersTo(int i, Duration duration, Duration delay);
  void CrashWorker(int i);
  // The worker is lost for good. It is no longer listed after `unlisted_after`.
  void LoseWorker(int i, Duration unlisted_after);
  // The worker is drained, and lost for good after `drain_time` when it is also unlisted.
  void RetireWorker(int i, Duration drain_time);
  // True once the worker was lost for good.
  bool IsGone(int i) { return gone_workers_.contains(worker(i).entry().id); }
  // Time for which a node has been busy, and its longest time for one event with its effects.
  Duration busy_time(int i) const { return nodes_[static_cast<std::size_t>(i)].busy_time; }
  Duration longest_busy_time(int i) const {
    return nodes_[static_cast<std::size_t>(i)].longest_busy_time;
  }
  // Orders of its own cells that a node has sent to workers itself, not through a relay.
  int direct_orders(int i) const { return nodes_[static_cast<std::size_t>(i)].direct_orders; }
  // The worker fails what runs there, and all that is started there until StopFailingRuns.
  void StartFailingRuns(int i);
  void StopFailingRuns(int i);
  // The worker turns away all starts from now on, as an unhealthy one does.
  void StartRejecting(int i) { worker(i).RejectStarts(); }
  void HangWorker(int i) { worker(i).Hang(now_); }
  // A node receives `bytes` from another process.
  void DeliverPeerMessage(int i, const std::string& bytes);
  // All log lines that contain `part`.
  std::string LogLines(const std::string& part) const;

 private:
  struct Node {
    std::string host;
    std::unique_ptr<JobNode> node;
    int incarnation = 0;
    Time frozen_until;
    Time store_partitioned_until;
    std::vector<JobEvent> held_events;  // Events that arrived while the node was frozen.
    bool timer_set = false;
    // With processor costs: events that arrived while the node was busy, and when it is idle again.
    std::deque<JobEvent> inbox;
    Time busy_until;
    Duration busy_time{};
    Duration longest_busy_time{};
    int direct_orders = 0;
  };
  struct Submitted {
    JobSpec spec;
    Time cancelled;  // When a cancellation was acknowledged; zero if none was.
    bool cancel_sent = false;
    bool refused_only = true;  // Every submission of the job was answered with a refusal.
  };
  struct Event {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Schedule(Time at, std::function<void()> action);
  Duration Delay();
  void StartNode(int i);
  void Deliver(int i, int incarnation, JobEvent event);
  void Handle(int i, JobEvent event);
  // Hands a busy node's next event to it once it is idle.
  void ScheduleInbox(int i);
  // Carries out a node's effects one after the other, from `now() + busy` on.
  void PerformEffectsSlowly(int i, Duration busy);
  void PerformEffects(int i);
  void ArmTimer(int i);
  void Perform(int i, const job_effect::Reply& reply);
  void Perform(int i, const job_effect::ReadRecords& read);
  void Perform(int i, const job_effect::ReadNewest& read);
  void Perform(int i, const job_effect::Append& append);
  void Perform(int i, const job_effect::Order& order);
  void Perform(int i, const job_effect::SendToPeer& message);
  void Perform(int i, const job_effect::WriteLogEvent& event);
  void Perform(int i, const job_effect::Stop& stop);
  // Records when a start was first sent, and whether its sender could reach the store.
  void RecordSentStart(int i, const WorkerOrder& order);
  template <typename Order, typename Call>
  auto CallWorker(FakeWorker& worker, const Order& order, const Call& call);
  template <typename Order, typename Call, typename Done>
  void PerformOrder(int i, const Order& order, Call call, Done done);
  JobKey NewJob(JobSpec spec);
  JobKey NewKey();
  void AddJob(const JobKey& key, JobSpec spec);
  void SendRequest(const JobKey& key, Verb verb, int tries);
  void SendRequestTo(int i, const JobKey& key, Verb verb, int tries);
  void ScheduleFaults();
  void ScheduleRestartCheck();
  void CheckRestarts();
  // True while a fault lasts that a test or the fault schedule has begun.
  bool IsDisturbed();
  std::vector<RestartCheck::Task> DueLongRunningTasks() const;
  // Free capacity of the workers that are listed, not draining and sound.
  std::vector<Resources> UsableCapacity();
  // `answer` is called once a run ends on the worker, and after `wait` at the latest.
  void AddWaitingHold(const FakeWorker& worker, Duration wait, std::function<void()> answer);
  void AnswerWaitingHolds(const FakeWorker& worker);
  void ScheduleRepeating(Duration SimulationFaults::*period, const std::function<void()>& action);
  void CheckStart(const FakeWorker& worker, const StartOrder& order);
  // Checks that the store holds what a caller was told at `now()`.
  void CheckAcceptance(const JobKey& key);
  void CheckCancellation(const JobKey& key);
  struct StoredJob {
    JobLogView log_view;  // Of the records of this job and the layout only.
    Time last_stored_at;  // When the newest of the records was stored.
  };
  // The log of the cell of the job's name says which cell runs it, and that cell's log has the
  // progress.
  StoredJob ReadStoredJob(const JobKey& key);
  // True if the stored roster says that the task can run on no other worker than one whose leases
  // are limited.
  bool IsListedElsewhere(const FakeWorker& worker, const TaskRef& task) const;
  // Keeps the stored rosters of each cell up to date.
  void NoteStoredRecord(int cell, const KeyedRecord& record);
  void RecordViolation(const std::string& text);
  bool IsCompletionProcessed(const StartOrder& order);
  // As above, by the log of one cell.
  bool IsCompletionProcessed(const StartOrder& order, int cell);
  // True if a run of the task ended as done, and the lease of its worker expired after that.
  bool HasExpiredLeaseSinceDone(const TaskRef& task) const;
  // True if the records of the job were dropped, however long ago.
  bool WasDropped(const JobKey& job);
  job_event::AppendDone AppendNow(const job_effect::Append& append);
  FakeWorker* FindWorker(const std::string& id);
  // True while messages between the two nodes, or orders of the node to the worker, are lost.
  bool IsPeerPartitioned(int from, int to) const;
  bool IsWorkerPartitioned(const std::string& worker, int node) const;
  Now Clock() const;

  Random random_;
  SimulationFaults faults_;
  SimulationOptions options_;
  Time now_{std::chrono::seconds(1)};
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  FakeStore store_;
  std::map<std::pair<int, std::int64_t>, Time> stored_at_;  // By cell and offset.
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::map<std::string, Time> worker_partitioned_until_;
  std::map<std::pair<std::string, int>, Time> link_partitioned_until_;  // By worker and node.
  std::map<std::pair<int, int>, Time> peers_partitioned_until_;         // By sender and receiver.
  struct OrderDelay {
    Time until;
    Duration delay{};
  };
  std::map<std::string, OrderDelay> order_delays_;  // By worker.
  std::set<std::string> failing_workers_;
  std::set<std::string> gone_workers_;  // Lost for good.
  std::set<std::string> draining_workers_;
  std::map<std::string, FakeWorker*> workers_by_id_;
  // Answers to holds that wait for the end of a run, by worker and in order.
  std::map<std::string, std::map<std::uint64_t, std::function<void()>>> waiting_holds_;
  std::uint64_t next_waiting_hold_ = 1;
  std::map<int, JobLogView> stored_rosters_;  // By cell; without jobs.
  RestartCheck restart_check_;
  // Offsets of the records of each job and of the layout, by cell and name.
  std::map<std::pair<int, std::string>, std::vector<std::size_t>> record_offsets_;
  std::map<JobKey, Submitted> jobs_;
  std::vector<JobKey> long_running_jobs_;  // Those with a long-running step.
  std::map<JobKey, bool> accepted_;
  std::uint64_t next_caller_ = 1;
  struct PendingRequest {
    JobKey key;
    Verb verb{};
    int tries = 0;
  };
  std::map<CallerId, PendingRequest> pending_requests_;
  std::map<JobKey, JobState> states_;
  // When a start was first sent, and whether its sender could reach the store.
  struct SentStart {
    Time at;
    bool store_reachable = true;
  };
  std::map<std::pair<TaskRef, std::int64_t>, SentStart> sent_starts_;  // Starts, by run.
  // Of the order that a worker is carrying out now.
  Time current_order_sent_at_;
  bool sender_store_reachable_ = true;
  std::uint64_t starts_ = 0;
  std::vector<std::string> violations_;
  std::vector<std::string> log_;
};

// Fails the running test once for each violation.
void CheckNoViolations(const JobSimulation& simulation);

// Number of seeds of a test with random schedules: CACTUSSHELF_SEEDS if it is set, else `n`.
std::uint64_t SeedCount(std::uint64_t n);

// Lost and late calls and failed runs, without faults of whole processes.
SimulationFaults CallFaults();

// Fails the running test, naming the seed, for each violation of a schedule whose faults have
// ended, and for each long-running task that does not run.
void CheckScheduleEnd(const JobSimulation& simulation, std::uint64_t seed);

// Readings of the monotonic and the wall clock at `time`. Both start at zero.
Now NowAt(Time time);

// A job with one step of `count` tasks that need `milliprocessors` each.
JobSpec SimpleJob(int count, std::int64_t milliprocessors);

// As SimpleJob, with tasks that run until the job is cancelled.
JobSpec LongRunningJob(int count, std::int64_t milliprocessors = 1500);

// Submits a job with long-running tasks and waits until all of them run. Precondition: the
// simulation has just begun.
void StartLongRunningTasks(JobSimulation& simulation, int count,
                           std::int64_t milliprocessors = 1500);

// Waits until a node owns a cell, at most 6 s.
void AwaitOwner(JobSimulation& simulation);

// Drains a worker until nothing runs there, at most 3 s.
void DrainUntilIdle(JobSimulation& simulation, int worker);

// Time until `count` tasks run, at most 20 s.
Duration TimeUntilRunning(JobSimulation& simulation, int count);

// A simulation of two workers that are filled by the long-running tasks of 16 jobs.
std::unique_ptr<JobSimulation> FilledSimulation();

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_TESTS_JOB_SIMULATION_H_
