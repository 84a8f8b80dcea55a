#include "job_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "fake_store.h"
#include "job_simulation.h"

// Tests of one process's view of a cell, with a store whose answers the test can hold back.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobNodeOptions Options() {
  JobNodeOptions options;
  options.host = "h";
  options.member = "h/1";
  return options;
}

struct CellFixture {
  CellFixture() {
    QueueRoute route;
    route.policy = {"q", "pool", 0, 3, 2.0, milliseconds(500)};
    state.queues = {1, {route}};
    state.hosts = &hosts;
  }

  void Step() {
    now += milliseconds(10);
    cell.Advance(state, NowAt(now));
    for (const JobEffect& effect : cell.TakeEffects()) {
      if (const auto* append = std::get_if<job_effect::Append>(&effect)) {
        appends.push_back(*append);
        if (!appends_held) CarryOutAppends();
      } else if (const auto* order = std::get_if<job_effect::Order>(&effect)) {
        if (const auto* it = std::get_if<HoldOrder>(&order->order)) holds.push_back(*it);
      } else if (const auto* records = std::get_if<job_effect::ReadRecords>(&effect)) {
        job_event::StreamRead read = store.Read(*records);
        read.has_more = read.has_more || reads_cut_short;
        cell.OnRead(read, state, NowAt(now));
      } else if (const auto* newest = std::get_if<job_effect::ReadNewest>(&effect)) {
        job_event::StreamRead read = store.Read(*newest);
        cell.OnRead(read, state, NowAt(now));
      }
    }
  }

  template <typename Predicate>
  void RunUntil(const Predicate& reached) {
    for (int i = 0; i < 1000 && !reached(); ++i) Step();
    REQUIRE(reached());
  }

  void CarryOutAppends() {
    for (const job_effect::Append& append : std::exchange(appends, {})) {
      cell.OnAppendDone(store.Append(append), state, NowAt(now));
    }
  }

  void AppendToStore(const KeyedRecord& record) { store.Append({0, 0, {record}, "", 0, 0}); }

  void ListWorker() {
    WorkerEntry entry;
    entry.id = "w";
    entry.pool = "pool";
    entry.capacity = {8000, 0, 0};
    cell.scheduler()->OnWorkerListed(entry, NowAt(now));
  }

  // Waits for a hold of the worker.
  HoldOrder AwaitHold() {
    holds.clear();
    RunUntil([this] { return !holds.empty(); });
    return holds.front();
  }

  void Answer(const HoldOrder& hold, const std::vector<EndedRun>& ended) {
    HoldReport report{milliseconds(1000), 1, {}, ended};
    cell.scheduler()->OnHoldAnswer({hold.call, "w", OrderOutcome::kDone, "", report}, NowAt(now));
  }

  FakeStore store;
  std::map<std::string, HostRecord> hosts;
  NodeState state;
  JobNodeOptions options = Options();
  CellViews cells;
  CellChoice cell_choice;
  JobCell cell{0, options, 1, cells, cell_choice};
  Time now{seconds(100)};
  bool appends_held = false;
  bool reads_cut_short = false;  // The store returns a part of the new records each time.
  std::vector<job_effect::Append> appends;  // Not carried out yet.
  std::vector<HoldOrder> holds;
};

}  // namespace

TEST_CASE("an owner that regains a cell does not acknowledge an end before it is stored") {
  // Guards against a task that runs again after its end was acknowledged. A batch was in flight
  // when the cell was lost, and the first append of the next ownership was taken for that batch.
  CellFixture fixture;
  fixture.RunUntil([&] { return fixture.cell.scheduler() != nullptr; });
  SubmittedJob job{JobKey("00000000000000aa"), fixture.state.queues.routes().front().policy,
                   SimpleJob(1, 1000), WallTime{}};
  fixture.AppendToStore(Encode(job));
  fixture.ListWorker();
  const HoldOrder first = fixture.AwaitHold();
  fixture.appends_held = true;
  fixture.Answer(first, {});
  fixture.RunUntil([&] { return !fixture.appends.empty(); });
  fixture.appends.clear();
  OwnerRecord other;
  other.generation = 2;
  other.member = "x/1";
  other.host = "x";
  fixture.AppendToStore(Encode(other));
  fixture.RunUntil([&] { return fixture.cell.scheduler() == nullptr; });
  fixture.appends_held = false;
  fixture.RunUntil([&] { return fixture.cell.scheduler() != nullptr; });

  fixture.appends_held = true;
  fixture.RunUntil([&] { return !fixture.appends.empty(); });
  fixture.ListWorker();
  fixture.Answer(fixture.AwaitHold(), {{1, {job.key, {0, 0, 0}}, 5, RunEnd::kDone, ""}});
  fixture.CarryOutAppends();
  const HoldOrder hold = fixture.AwaitHold();
  CHECK(hold.acknowledged_end == 0);
  fixture.RunUntil([&] { return !fixture.appends.empty(); });
  fixture.CarryOutAppends();
  fixture.Answer(hold, {});
  CHECK(fixture.AwaitHold().acknowledged_end == 1);
}

TEST_CASE("reads that the store cut short count as silence of the owner") {
  // Guards against an owner that is replaced while it is alive, by a process that is far behind in
  // the log and has not read the owner's newest records yet.
  CellFixture fixture;
  OwnerRecord other;
  other.generation = 1;
  other.member = "x/1";
  other.host = "x";
  fixture.AppendToStore(Encode(other));
  fixture.RunUntil([&] { return fixture.cell.log_view().owner().generation == 1; });
  fixture.reads_cut_short = true;
  for (int i = 0; i < 300; ++i) fixture.Step();
  CHECK(fixture.store.log(0).size() == 1);
  fixture.reads_cut_short = false;
  fixture.RunUntil([&] { return fixture.cell.scheduler() != nullptr; });
}

TEST_CASE("an owner that stores only callers' requests stores no heartbeat") {
  // Guards against owners that are replaced while they are alive: other processes take only the
  // owner's own records as a sign of it, and while nothing runs there are no others.
  CellFixture fixture;
  fixture.RunUntil([&] { return fixture.cell.scheduler() != nullptr; });
  for (int i = 0; i < 100; ++i) fixture.Step();
  int silent_steps = 0;
  int max_silent_steps = 0;
  for (int i = 0; i < 300; ++i) {
    SubmittedJob job{JobKey("00000000000000aa"), fixture.state.queues.routes().front().policy,
                     SimpleJob(1, 1000), WallTime{}};
    fixture.cell.OnSubmission({"x:1", 0, static_cast<std::uint64_t>(i) + 1, {Encode(job)}, "x/1"});
    const std::size_t stored = fixture.store.log(0).size();
    fixture.Step();
    const auto& log = fixture.store.log(0);
    const bool heartbeat =
        std::any_of(log.begin() + static_cast<std::ptrdiff_t>(stored), log.end(),
                    [](const KeyedRecord& record) { return record.key == "o/h"; });
    silent_steps = heartbeat ? 0 : silent_steps + 1;
    max_silent_steps = std::max(max_silent_steps, silent_steps);
  }
  CHECK(milliseconds(10) * max_silent_steps < fixture.options.owner_silence / 2);
}

}  // namespace cactusshelf::jobs
