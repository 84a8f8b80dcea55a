#include "scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>

// Tests of the scheduler alone: each test chooses the answers of the workers and their order.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kToken = 7;
constexpr char kJob[] = "00000000000000aa";

SubmittedJob LongRunningJob(const std::string& key, int count) {
  SubmittedJob job;
  job.key = JobKey(key);
  job.queue.name = "q";
  job.queue.service = "pool";
  job.queue.max_attempts = 3;
  StepSpec step;
  step.count = count;
  step.need.milliprocessors = 500;
  step.long_running = true;
  job.spec.steps = {step};
  return job;
}

// A scheduler whose changes are stored, and whose ownership is confirmed, at once. Orders stay open
// until the test answers them.
struct SchedulerFixture {
  // `leases` is the stored record of the earlier owners.
  explicit SchedulerFixture(std::int64_t generation = 1, const LeaseRecord& leases = {})
      : SchedulerFixture(generation, ViewOf(leases)) {}
  SchedulerFixture(std::int64_t generation, JobLogView view)
      : log_view(std::move(view)),
        scheduler({}, 0, kToken, generation, EarlierOwners{true}, log_view, Clock()) {}

  static JobLogView ViewOf(const LeaseRecord& leases) {
    JobLogView view;
    view.Apply(leases, 0);
    return view;
  }

  Now Clock() const {
    return {now, WallTime(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()))};
  }

  void ListWorker(const std::string& id) {
    WorkerEntry entry;
    entry.id = id;
    entry.pool = "pool";
    entry.capacity = {8000, 0, 0};
    scheduler.OnWorkerListed(entry, Clock());
  }

  void Submit(const SubmittedJob& job) {
    log_view.Apply(job, 1);
    scheduler.OnJob(log_view.Find(job.key)->job, Clock());
  }

  void RunFor(Duration duration) {
    const Time end = now + duration;
    while (now < end) {
      now += milliseconds(10);
      scheduler.ConfirmHeartbeat(now);
      scheduler.Decide(Clock());
      while (const auto batch = scheduler.TakeChanges(Clock())) {
        for (const KeyedRecord& it : batch->records) NoteStored(DecodeJobLogRecord(it));
        scheduler.OnStored(batch->id, Clock());
      }
      for (WorkerOrder& order : scheduler.TakeOrders()) open_orders.push_back(std::move(order));
      for (const LogEvent& event : scheduler.TakeLog()) log += event.Format() + "\n";
    }
  }

  void NoteStored(const JobLogRecord& record) {
    if (const auto* leases = std::get_if<RosterLeasesRecord>(&record)) stored_leases = *leases;
  }

  // Removes the oldest open order of a type to a worker, and returns it if there is one.
  template <typename Order>
  std::optional<Order> TakeOrder(const std::string& worker) {
    const auto it = std::find_if(open_orders.begin(), open_orders.end(), [&](const auto& order) {
      const auto* typed = std::get_if<Order>(&order);
      return typed != nullptr && typed->worker.id == worker;
    });
    if (it == open_orders.end()) return std::nullopt;
    Order order = std::get<Order>(*it);
    open_orders.erase(it);
    return order;
  }

  // As TakeOrder, but waits for the order for at most two seconds.
  template <typename Order>
  Order AwaitOrder(const std::string& worker) {
    for (int i = 0; i < 200; ++i) {
      if (auto order = TakeOrder<Order>(worker)) return *order;
      RunFor(milliseconds(10));
    }
    FAIL("no such order to " << worker << "\n" << log);
    return {};
  }

  void AnswerHold(const HoldOrder& hold, OrderOutcome outcome, HoldReport report = {}) {
    scheduler.OnHoldAnswer({hold.call, hold.worker.id, outcome, "", std::move(report)}, Clock());
  }

  // Answers the open hold of a worker.
  void Report(const std::string& worker, HoldReport report) {
    AnswerHold(AwaitOrder<HoldOrder>(worker), OrderOutcome::kDone, std::move(report));
  }

  // A report without runs or ends.
  HoldReport EmptyReport(std::int64_t incarnation = 1) const {
    HoldReport report;
    report.incarnation = incarnation;
    report.clock = std::chrono::duration_cast<WorkerClock>(now.time_since_epoch());
    return report;
  }

  // `clock` is that of the worker when it answers.
  void AnswerStart(const StartOrder& start, OrderOutcome outcome,
                   std::optional<WorkerClock> clock = std::nullopt) {
    scheduler.OnStartAnswer({start.call, start.worker.id, outcome, "", clock}, Clock());
  }

  // Leaves the open hold of a worker without an answer.
  void LeaveHoldUnanswered(const std::string& worker) {
    AnswerHold(AwaitOrder<HoldOrder>(worker), OrderOutcome::kNoAnswer);
  }

  // Answers the holds of `idle`, which runs nothing, and no hold of `unreachable`.
  void RunUntil(Time end, const std::string& unreachable, const std::string& idle) {
    while (now < end) {
      RunFor(milliseconds(10));
      while (const auto hold = TakeOrder<HoldOrder>(idle)) {
        AnswerHold(*hold, OrderOutcome::kDone, EmptyReport());
      }
      while (const auto hold = TakeOrder<HoldOrder>(unreachable)) {
        AnswerHold(*hold, OrderOutcome::kNoAnswer);
      }
    }
  }

  // Starts the task of a new job on a worker, which confirms it. Returns the run's number.
  std::int64_t StartTask(const std::string& worker) {
    Submit(LongRunningJob(kJob, 1));
    const auto start = AwaitOrder<StartOrder>(worker);
    AnswerStart(start, OrderOutcome::kDone);
    return start.run;
  }

  Time now{seconds(100)};
  JobLogView log_view;
  Scheduler scheduler;
  std::vector<WorkerOrder> open_orders;
  RosterLeasesRecord stored_leases;  // The last one that was stored.
  std::string log;
};

// What an earlier owner has stored of the leases on a worker that it did not reach.
enum class StoredLease : std::uint8_t { kNone, kEnd, kEndAndExclusive };

// What earlier owners have stored: w1 and w2 may run something, w1 only `task`. The leases on w1
// end 0.5 s after the record is read.
JobLogView ViewWithLostWorker(std::int64_t generation, const TaskRef& task, StoredLease lease) {
  JobLogView view;
  OwnerRecord claim;
  claim.host = "h";
  claim.generation = generation;
  claim.limits_since = 1;
  view.Apply(claim, 0);
  view.Apply(LeaseRecord{seconds(4), {}, true, generation - 1}, 1);
  view.Apply(RosterRecord{{"w1", "w2"}}, 2);
  view.Apply(RosterTasksRecord{{{"w1", {task}}}}, 3);
  view.SetReadTime(Time{seconds(100)});
  RosterLeasesRecord leases{generation - 1, {{"w1", milliseconds(500)}}, {}};
  if (lease == StoredLease::kEndAndExclusive) leases.exclusive = {"w1"};
  if (lease != StoredLease::kNone) view.Apply(leases, 4);
  view.Apply(LongRunningJob(kJob, 1), 5);
  view.Apply(ProgressRecord{JobKey(kJob), {JobState::kRunning, {}}}, 6);
  return view;
}

}  // namespace

TEST_CASE("a late order renews a lease that outlasts the start of its task elsewhere") {
  // Guards against two runs of a task. An order with a lease by the clock of an earlier incarnation
  // got no answer, and the next incarnation carried it out seconds later (seed 189). Now each order
  // with a lease names its incarnation, so that no other gets it.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  const auto hold = fixture.AwaitOrder<HoldOrder>("w1");
  REQUIRE(hold.lease_end.has_value());
  CHECK(hold.incarnation == 1);
  fixture.RunFor(milliseconds(600));
  fixture.AnswerHold(hold, OrderOutcome::kNoAnswer);
  // The new incarnation was started before the hold was sent.
  HoldReport report = fixture.EmptyReport(2);
  report.clock = milliseconds(1000);
  fixture.Report("w1", report);
  fixture.Submit(LongRunningJob(kJob, 1));
  const auto start = fixture.AwaitOrder<StartOrder>("w1");
  const Time start_sent_at = fixture.now;
  CHECK(start.incarnation == 2);
  // The lease lasts for at most 4 s from the time that the clock of incarnation 2 then showed.
  CHECK(start.lease_end <= report.clock + seconds(4) + milliseconds(20));
  fixture.AnswerStart(start, OrderOutcome::kNoAnswer);
  fixture.LeaveHoldUnanswered("w1");
  fixture.ListWorker("w2");
  fixture.Report("w2", fixture.EmptyReport());
  fixture.RunUntil(start_sent_at + milliseconds(4040), "w1", "w2");
  CHECK_FALSE(fixture.TakeOrder<StartOrder>("w2").has_value());
  fixture.RunUntil(start_sent_at + milliseconds(4200), "w1", "w2");
  CHECK(fixture.TakeOrder<StartOrder>("w2").has_value());
}

TEST_CASE("a start that a restarted worker cannot get any more holds its task") {
  // Guards against tasks that wait for a start without an answer: the worker has restarted, and the
  // start named the earlier incarnation.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  fixture.Submit(LongRunningJob(kJob, 1));
  const auto first = fixture.AwaitOrder<StartOrder>("w1");
  HoldReport report = fixture.EmptyReport(2);
  report.clock = milliseconds(50);
  fixture.Report("w1", report);
  const auto second = fixture.AwaitOrder<StartOrder>("w1");
  CHECK(second.run > first.run);
  CHECK(second.incarnation == 2);
  // The late answer of the earlier incarnation says nothing of the new run.
  fixture.AnswerStart(first, OrderOutcome::kNoAnswer);
  fixture.AnswerStart(second, OrderOutcome::kDone, report.clock);
  fixture.RunFor(milliseconds(20));
  CHECK_FALSE(fixture.TakeOrder<StartOrder>("w1").has_value());
}

TEST_CASE("a run that a restarted worker began counts as running for the longest lease") {
  // Guards against two runs of a task: the start reached a new incarnation of the worker, which was
  // then cut off before it had reported, and the owner counted the lease of the earlier one.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  fixture.Submit(LongRunningJob(kJob, 1));
  const auto start = fixture.AwaitOrder<StartOrder>("w1");
  const Time answered_at = fixture.now;
  fixture.AnswerStart(start, OrderOutcome::kDone, milliseconds(50));
  CHECK(fixture.log.find("worker_restart_suspected") == std::string::npos);
  fixture.RunFor(milliseconds(10));
  CHECK(fixture.log.find("worker_restart_suspected") != std::string::npos);
  fixture.LeaveHoldUnanswered("w1");
  fixture.ListWorker("w2");
  fixture.Report("w2", fixture.EmptyReport());
  // The lease that a worker grants lasts for at most 10 s, on a clock that is up to 2% slow. The
  // hold that was under way names the earlier incarnation, so it renews no lease of the new one.
  fixture.RunUntil(answered_at + milliseconds(10'200), "w1", "w2");
  CHECK_FALSE(fixture.TakeOrder<StartOrder>("w2").has_value());
  fixture.RunUntil(answered_at + milliseconds(10'500), "w1", "w2");
  CHECK(fixture.TakeOrder<StartOrder>("w2").has_value());
}

TEST_CASE("a new owner counts another lease than its predecessors may have granted") {
  // Guards against two runs of a task, or one that waits for 10 s: earlier versions granted leases
  // that another incarnation may take for the longest one, others grant none but their own.
  struct Case {
    LeaseRecord stored;
    Duration expected;  // By a slow clock.
  };
  const auto [stored, expected] =
      GENERATE(Case{{seconds(4), {}, true, 1}, milliseconds(4080)},
               Case{{seconds(6), {}, true, 1}, milliseconds(6120)},
               Case{{seconds(4), {}, false}, milliseconds(10'200)},
               Case{{seconds(4), {{"w1", 2}}, false}, milliseconds(10'200)},
               Case{{seconds(4), {{"w1", 1}}, false}, milliseconds(4080)});
  SchedulerFixture fixture(2, stored);
  fixture.Submit(LongRunningJob(kJob, 1));
  fixture.ListWorker("w1");
  HoldReport report = fixture.EmptyReport();
  report.running = {{{JobKey(kJob), {0, 0, 0}}, 50, "", 0, 0}};
  fixture.Report("w1", report);
  const Time reported_at = fixture.now;
  fixture.LeaveHoldUnanswered("w1");
  fixture.ListWorker("w2");
  fixture.Report("w2", fixture.EmptyReport());
  fixture.RunUntil(reported_at + expected - milliseconds(10), "w1", "w2");
  CHECK_FALSE(fixture.TakeOrder<StartOrder>("w2").has_value());
  fixture.RunUntil(reported_at + expected + milliseconds(200), "w1", "w2");
  CHECK(fixture.TakeOrder<StartOrder>("w2").has_value());
}

TEST_CASE(
    "a new owner does not take the leases of an earlier version's short reign for bound ones") {
  // Guards against two runs of a task while versions are mixed: an owner of an earlier version
  // leaves the record of its predecessor as it is for the first seconds, and grants leases that
  // another incarnation may take for the longest one.
  JobLogView view;
  view.Apply(LeaseRecord{seconds(4), {}, true, 1}, 0);
  HostRecord earlier{"old", "10.0.0.1:1", "", 1000};
  earlier.binds_orders = false;
  view.Apply(earlier, 1);
  OwnerRecord claim;
  claim.generation = 2;
  claim.host = "old";
  claim.member = "old";
  view.Apply(claim, 2);
  SchedulerFixture fixture(3, view);
  fixture.Submit(LongRunningJob(kJob, 1));
  fixture.ListWorker("w1");
  HoldReport report = fixture.EmptyReport();
  report.running = {{{JobKey(kJob), {0, 0, 0}}, 50, "", 0, 0}};
  fixture.Report("w1", report);
  const Time reported_at = fixture.now;
  fixture.LeaveHoldUnanswered("w1");
  fixture.ListWorker("w2");
  fixture.Report("w2", fixture.EmptyReport());
  fixture.RunUntil(reported_at + milliseconds(10'190), "w1", "w2");
  CHECK_FALSE(fixture.TakeOrder<StartOrder>("w2").has_value());
}

TEST_CASE("the stop of a start that is on its way waits for the answer to the start") {
  // Guards against a start that is carried out although its job was cancelled before it left the
  // host: the stop would have taken it back from the batch to a relay.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  fixture.Submit(LongRunningJob(kJob, 2));
  fixture.AwaitOrder<StartOrder>("w1");
  fixture.AwaitOrder<StartOrder>("w1");
  fixture.scheduler.OnCancel(JobKey(kJob), fixture.Clock());
  fixture.RunFor(milliseconds(20));
  CHECK(fixture.TakeOrder<StopOrder>("w1").has_value());
  CHECK(fixture.TakeOrder<StopOrder>("w1").has_value());
}

TEST_CASE("an incarnation that answered a start is known although it has not reported the run") {
  // Guards against tasks that wait for 16 s: only a start without an answer may reach a later
  // incarnation of the worker.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  fixture.RunUntil(fixture.now + seconds(11), "none", "w1");
  fixture.Submit(LongRunningJob(kJob, 1));
  const auto start = fixture.AwaitOrder<StartOrder>("w1");
  const WorkerClock clock = std::chrono::duration_cast<WorkerClock>(fixture.now.time_since_epoch());
  fixture.AnswerStart(start, OrderOutcome::kDone, clock);
  fixture.LeaveHoldUnanswered("w1");
  fixture.ListWorker("w2");
  fixture.Report("w2", fixture.EmptyReport());
  fixture.RunUntil(fixture.now + milliseconds(4300), "w1", "w2");
  CHECK(fixture.TakeOrder<StartOrder>("w2").has_value());
}

TEST_CASE("a queued start is not sent with a lease by the clock of an earlier incarnation") {
  // Guards against a lease that outlasts what the owner assumes. The worker restarted while starts
  // were queued, and the new incarnation granted them the longest lease.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  fixture.Submit(LongRunningJob(kJob, 3));
  const auto first = fixture.AwaitOrder<StartOrder>("w1");
  HoldReport report = fixture.EmptyReport(2);
  report.clock = milliseconds(50);
  fixture.Report("w1", report);
  fixture.AnswerStart(first, OrderOutcome::kNoAnswer);
  fixture.AnswerStart(fixture.AwaitOrder<StartOrder>("w1"), OrderOutcome::kNoAnswer);
  const auto queued = fixture.AwaitOrder<StartOrder>("w1");
  CHECK(queued.lease_end < seconds(7));
}

TEST_CASE("a task runs again after an adopted run with a number below its highest is gone") {
  // Guards against a task that counts as placed and has no run. A run of an earlier owner was
  // adopted after starts of this owner had failed, and its end was taken for that of an old run.
  SchedulerFixture fixture(2);
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  fixture.Submit(LongRunningJob(kJob, 1));
  const TaskRef task{JobKey(kJob), {0, 0, 0}};
  const auto start = fixture.AwaitOrder<StartOrder>("w1");
  HoldReport report = fixture.EmptyReport();
  report.running = {{task, start.run - 1, "", 0, 0}};
  fixture.ListWorker("w2");
  fixture.AnswerStart(start, OrderOutcome::kRejected);
  fixture.Report("w2", report);
  fixture.RunFor(milliseconds(20));
  REQUIRE(fixture.log.find("run_adopted") != std::string::npos);

  SECTION("it ends") {
    report.running.clear();
    report.ended = {{1, task, start.run - 1, RunEnd::kFailed, ""}};
    fixture.Report("w2", report);
  }
  SECTION("its worker restarts") { fixture.Report("w2", fixture.EmptyReport(2)); }
  fixture.RunFor(seconds(1));
  const bool runs_again =
      fixture.TakeOrder<StartOrder>("w1") || fixture.TakeOrder<StartOrder>("w2");
  CHECK(runs_again);
}

TEST_CASE("the end of an older run does not count as the end of the run that replaced it") {
  // Guards against two runs of a task: after the loss of a run the task was placed again, and the
  // end of the lost run was then reported.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  const std::int64_t first = fixture.StartTask("w1");
  const auto lost_hold = fixture.AwaitOrder<HoldOrder>("w1");
  fixture.AnswerHold(lost_hold, OrderOutcome::kNoAnswer);
  fixture.ListWorker("w2");
  fixture.Report("w2", fixture.EmptyReport());
  fixture.RunUntil(fixture.now + seconds(11), "w1", "w2");
  const auto second = fixture.TakeOrder<StartOrder>("w2");
  REQUIRE(second.has_value());
  fixture.AnswerStart(*second, OrderOutcome::kDone);
  HoldReport report = fixture.EmptyReport();
  report.ended = {{1, {JobKey(kJob), {0, 0, 0}}, first, RunEnd::kLeaseExpired, ""}};
  fixture.Report("w1", report);
  fixture.RunFor(seconds(1));
  CHECK_FALSE(fixture.TakeOrder<StartOrder>("w1").has_value());
}

TEST_CASE(
    "a task runs again after a run with a higher number replaced it on its worker and ended") {
  // Guards against a task that counts as placed and has no run: the tracked run was removed with
  // the end of the other run.
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  const std::int64_t run = fixture.StartTask("w1");
  HoldReport report = fixture.EmptyReport();
  report.ended = {{1, {JobKey(kJob), {0, 0, 0}}, run + 5, RunEnd::kFailed, ""}};
  fixture.Report("w1", report);
  CHECK(fixture.AwaitOrder<StartOrder>("w1").run > run + 5);
}

TEST_CASE("an answer to an order of a forgotten worker does not apply to its new entry") {
  // Guards against two runs of a task. A worker was forgotten while a hold was open, and listed
  // again; the late answer did not list the run that had started since, which was taken for lost.
  SchedulerFixture fixture;
  fixture.ListWorker("w2");
  fixture.Report("w2", fixture.EmptyReport());
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  fixture.LeaveHoldUnanswered("w1");
  fixture.scheduler.OnWorkerUnlisted("w1", fixture.Clock());
  fixture.RunFor(seconds(12));
  const auto old_hold = fixture.AwaitOrder<HoldOrder>("w1");
  const HoldReport old_report = fixture.EmptyReport();
  fixture.scheduler.OnWorkerUnlisted("w2", fixture.Clock());
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  HoldReport report = fixture.EmptyReport();
  report.running = {{{JobKey(kJob), {0, 0, 0}}, fixture.StartTask("w1"), "", 0, 0}};
  fixture.Report("w1", report);
  fixture.AwaitOrder<HoldOrder>("w1");
  fixture.AnswerHold(old_hold, OrderOutcome::kDone, old_report);
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.log.find("run_lost") == std::string::npos);
}

TEST_CASE("one step of the owner starts any number of tasks") {
  // Guards against an owner whose loop is blocked by starts, so that its heartbeat and the leases
  // of its workers are late.
  constexpr int kWorkers = 30;
  constexpr std::size_t kTasks = 400;
  constexpr std::size_t kMaxStarts = 128;
  SchedulerFixture fixture;
  const auto name = [](int i) { return "w" + std::to_string(i); };
  for (int i = 0; i < kWorkers; ++i) fixture.ListWorker(name(i));
  for (int i = 0; i < kWorkers; ++i) fixture.Report(name(i), fixture.EmptyReport());
  fixture.RunFor(milliseconds(50));
  fixture.Submit(LongRunningJob(kJob, kTasks));
  const auto count_starts = [&fixture] {
    std::size_t n = 0;
    std::size_t at = fixture.log.find("event=run_start ");
    for (; at != std::string::npos; at = fixture.log.find("event=run_start ", at + 1)) ++n;
    return n;
  };
  for (int step = 0; step < 20; ++step) {
    const std::size_t starts = count_starts();
    fixture.RunFor(milliseconds(10));
    CHECK(count_starts() - starts <= kMaxStarts);
  }
  CHECK(count_starts() == kTasks);
}

TEST_CASE("the runs of a new owner are not refused after many restarts of a long-running task") {
  // Guards against a task that waits although its worker has room. Its runs had used more numbers
  // than an owner has, so the worker refused the lower numbers of the next owner.
  constexpr int kRestarts = 2000;
  SchedulerFixture fixture;
  fixture.ListWorker("w1");
  fixture.Report("w1", fixture.EmptyReport());
  std::int64_t run = fixture.StartTask("w1");
  for (int i = 1; i <= kRestarts; ++i) {
    HoldReport report = fixture.EmptyReport();
    report.ended = {{i, {JobKey(kJob), {0, 0, 0}}, run, RunEnd::kFailed, ""}};
    fixture.Report("w1", report);
    const auto start = fixture.AwaitOrder<StartOrder>("w1");
    fixture.AnswerStart(start, OrderOutcome::kDone);
    run = start.run;
  }
  SchedulerFixture next_owner(2);
  next_owner.ListWorker("w1");
  next_owner.Report("w1", next_owner.EmptyReport());
  CHECK(next_owner.StartTask("w1") > run);
}

TEST_CASE("a task starts although it may run on a worker that has not reported") {
  // Guards against tasks that run twice: the roster lists the task on a lost worker, but an earlier
  // owner had started it elsewhere before it could store so.
  const TaskRef task{JobKey(kJob), {0, 0, 0}};
  const auto lease = GENERATE(StoredLease::kEnd, StoredLease::kEndAndExclusive);
  SchedulerFixture fixture(3, ViewWithLostWorker(3, task, lease));
  fixture.ListWorker("w3");
  fixture.Report("w3", fixture.EmptyReport());
  fixture.RunUntil(Time{seconds(100)} + milliseconds(480), "w2", "w3");
  CHECK_FALSE(fixture.TakeOrder<StartOrder>("w3").has_value());
  fixture.RunUntil(Time{seconds(100)} + milliseconds(3000), "w2", "w3");
  const bool starts = fixture.TakeOrder<StartOrder>("w3").has_value();
  CHECK(starts == (lease == StoredLease::kEndAndExclusive));
}

TEST_CASE("a new owner without a quorum asks the store to confirm it as fast as it can") {
  // Guards against 50 appends a second for as long as less than half of the roster answers: the
  // stored leases on a lost worker have ended, but it is awaited until the quorum.
  JobLogView view = ViewWithLostWorker(3, {JobKey(kJob), {0, 0, 0}}, StoredLease::kEnd);
  // Another owner than the predecessor stored its leases last, so a quorum is needed.
  view.Apply(LeaseRecord{seconds(4), {}, true, 1}, 7);
  OwnerRecord claim = view.owner();
  claim.bound_since = 1;
  view.Apply(claim, 8);
  SchedulerFixture fixture(3, std::move(view));
  fixture.RunFor(seconds(2));
  CHECK_FALSE(fixture.scheduler.awaits_confirmation());
}

TEST_CASE("the roster says that a task runs on a lost worker only, while it runs elsewhere") {
  // Guards against the same: the earlier owner listed the task on a worker that was draining, and
  // started it on another before it stored a later roster.
  const TaskRef task{JobKey(kJob), {0, 0, 0}};
  SchedulerFixture fixture(3, ViewWithLostWorker(3, task, StoredLease::kNone));
  fixture.ListWorker("w2");
  HoldReport report = fixture.EmptyReport();
  report.running = {{task, 50, "", 0, 0}};
  fixture.Report("w2", report);
  fixture.RunFor(milliseconds(450));
  REQUIRE(fixture.stored_leases.remaining.contains("w1"));
  CHECK(fixture.stored_leases.exclusive.empty());
}

}  // namespace cactusshelf::jobs
