#ifndef CACTUSSHELF_JOBS_TESTS_FAKE_WORKER_H_
#define CACTUSSHELF_JOBS_TESTS_FAKE_WORKER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/jobs/worker_calls.h"

namespace cactusshelf::jobs {

// A worker that starts every task it is ordered to, like the platform's workers: it keeps the
// highest fencing token, runs all tasks under one lease on its own clock, and reports ends until
// they are acknowledged.
class FakeWorker {
 public:
  // Duration and end of a run, chosen when the run starts.
  struct RunPlan {
    Duration duration{};
    RunEnd end = RunEnd::kDone;
  };
  struct ActiveRun {
    std::int64_t run = 0;
    Time begins;
    Time ends;  // Practically never for a long-running task.
    RunEnd end = RunEnd::kDone;
    Time stops = Time::max();  // When a stop takes effect.
  };
  using Planner = std::function<RunPlan(const StartOrder&)>;
  using StartObserver = std::function<void(const FakeWorker&, const StartOrder&)>;

  FakeWorker(WorkerEntry entry, double clock_rate, Planner planner, StartObserver observer)
      : entry_(std::move(entry)),
        clock_rate_(clock_rate),
        planner_(std::move(planner)),
        observer_(std::move(observer)) {}

  const WorkerEntry& entry() const { return entry_; }

  // Ends the runs that are due by `now`, and all runs if the lease has expired. Returns true if it
  // ended any.
  bool Advance(Time now);

  HoldAnswer Hold(const HoldOrder& order, Time now);
  OrderAnswer Start(const StartOrder& order, Time now);
  OrderAnswer Stop(const StopOrder& order, Time now);
  OrderAnswer Pace(const PaceOrder& order, Time now);

  // Orders to any other address do not reach the worker.
  void SetAddress(std::string address) { entry_.address = std::move(address); }

  // Loses all state; a new incarnation answers from now on.
  void Crash(Time now);

  // Ends one run, or everything that runs, as failed.
  void FailRun(const TaskRef& task, Time now);
  void FailAllRuns(Time now);

  // From now on a stopped run ends only this long after the stop.
  void SetStopTime(Duration time) { stop_time_ = time; }

  // From now on all starts are turned away, and have no effect.
  void RejectStarts() { rejects_starts_ = true; }

  // From now on runs make no progress and do not end by themselves, but can be stopped.
  void Hang(Time now) {
    hung_since_ = now;
    next_end_at_ = {};
  }
  bool hung() const { return hung_since_ != Time::max(); }
  bool rejects_starts() const { return rejects_starts_; }

  // True if the lease has expired since a run of `task` ended as done.
  bool LeaseExpiredSinceDone(const TaskRef& task) const {
    return done_before_lease_expiry_.contains(task);
  }

  // True if the end of a run of `task` as done was acknowledged before the lease expired, to
  // whichever incarnation.
  bool DoneAndAcknowledged(const TaskRef& task) const {
    return done_and_acknowledged_.contains(task);
  }

  const std::map<TaskRef, ActiveRun>& running() const { return running_; }
  // CPU share in percent that a task is limited to.
  int CpuSharePercentOf(const TaskRef& task) const {
    const auto it = cpu_shares_.find(task);
    return it == cpu_shares_.end() ? 100 : it->second;
  }
  void SetCpuSharePercent(const TaskRef& task, int percent) { cpu_shares_[task] = percent; }
  // Number of the last acknowledged end.
  std::int64_t acknowledged() const { return acknowledged_; }
  const std::vector<EndedRun>& ended() const { return ended_; }

 private:
  WorkerClock Clock(Time now) const;
  static constexpr std::size_t kMaxListedEnds = 500;
  static constexpr WorkerClock kLongestLease = std::chrono::seconds(10);

  int ProgressPercentOf(const ActiveRun& active, Time now) const;
  void ExtendLease(WorkerClock lease_end, Time now);
  bool AcceptToken(std::int64_t token);
  void Acknowledge(std::int64_t end);
  void EndRun(TaskRef task, RunEnd end);
  void StopRun(ActiveRun& active, const TaskRef& task, Time now);
  // A time before which no run ends by itself or with the lease.
  Time NextEnd(Time now) const;

  WorkerEntry entry_;
  double clock_rate_;
  Planner planner_;
  StartObserver observer_;
  Time started_at_;
  Time hung_since_ = Time::max();
  bool rejects_starts_ = false;
  Duration stop_time_{};
  std::int64_t token_ = 0;
  std::map<TaskRef, ActiveRun> running_;
  std::map<TaskRef, std::int64_t> highest_ended_;  // Highest run number that was stopped or ended.
  std::vector<EndedRun> ended_;
  std::map<TaskRef, int> cpu_shares_;
  std::set<TaskRef> done_;                      // Done since the lease last expired.
  std::set<TaskRef> done_before_lease_expiry_;  // Done before the lease last expired.
  std::set<TaskRef> done_and_acknowledged_;     // Kept when the worker crashes.
  std::int64_t next_end_ = 1;
  std::int64_t acknowledged_ = 0;
  WorkerClock lease_end_{};
  Time next_end_at_;  // As NextEnd; zero after each change.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_TESTS_FAKE_WORKER_H_
