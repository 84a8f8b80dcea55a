#include <catch2/catch.hpp>

#include "cactusshelf/jobs/job_log_view.h"
#include "pace_control.h"
#include "placer.h"

// Best-effort tasks beside serving ones.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr double kStrongEffect = 0.06;  // Pressure a processor.

// A worker with one serving task and one best-effort task of two processors.
struct Fixture {
  Fixture() {
    WorkerEntry entry;
    entry.id = "w";
    entry.pool = "pool";
    entry.capacity = {16'000, std::int64_t{64} << 30, 0};
    worker = std::make_unique<WorkerState>(entry, options);
    serving_image = model.ImageIndex("serving");
    fill_image = model.ImageIndex("fill");
    Run serving;
    serving.task = {JobKey("a"), {0, 0, 0}};
    serving.phase = RunPhase::kRunning;
    serving.long_running = true;
    serving.image_index = serving_image;
    serving.latency_target = milliseconds(50);
    serving.milliprocessors = 4000;
    serving.need.milliprocessors = 4000;
    worker->AddRun(serving);
    Run fill;
    fill.task = {JobKey("b"), {0, 0, 0}};
    fill.phase = RunPhase::kRunning;
    fill.best_effort = true;
    fill.image_index = fill_image;
    fill.milliprocessors = 2000;
    worker->AddRun(fill);
  }

  void Report(std::int64_t tail_ms, std::int64_t fill_use, Time now) {
    worker->FindRun({JobKey("a"), {0, 0, 0}})->load = tail_ms;
    worker->FindRun({JobKey("b"), {0, 0, 0}})->load = fill_use;
    pace.Update(*worker, model, now);
  }

  int fill_pace() { return worker->FindRun({JobKey("b"), {0, 0, 0}})->pace; }

  SchedulerOptions options;
  NeighbourModel model;
  PaceControl pace;
  int serving_image = 0;
  int fill_image = 0;
  std::unique_ptr<WorkerState> worker;
};

}  // namespace

TEST_CASE("pressure is 0.8 at the target and grows with the tail") {
  CHECK(PressureOf(milliseconds(50), milliseconds(50)) == Approx(0.8));
  CHECK(PressureOf(milliseconds(10), milliseconds(50)) == Approx(0.0).margin(1e-9));
  CHECK(PressureOf(milliseconds(500), milliseconds(50)) > 0.95);
}

TEST_CASE("the model tells a disturbing image from a harmless one that changed with it") {
  NeighbourModel model;
  const int serving = model.ImageIndex("s");
  const int loud = model.ImageIndex("loud");
  const int quiet = model.ImageIndex("quiet");
  for (int i = 0; i < 40; ++i) {
    const double loud_use = i % 3;
    const double quiet_use = i % 2;
    const FillUse before{{loud, 0.0}, {quiet, 1.0 - quiet_use}};
    const FillUse after{{loud, loud_use}, {quiet, quiet_use}};
    model.Learn(serving, before, after, kStrongEffect * loud_use);
  }
  CHECK(model.Effect(serving, loud) == Approx(kStrongEffect).margin(0.01));
  CHECK(model.Effect(serving, quiet) < 0.012);
}

TEST_CASE("a new owner knows what the earlier one has learned of neighbours") {
  // Guards against: after each change of the owner best-effort tasks were placed without regard to
  // whom they disturb (caarg-grown, trouble-1: worth of the windows fell from 0.9 to 0.6).
  NeighbourModel model;
  const int serving = model.ImageIndex("s");
  const int loud = model.ImageIndex("loud");
  for (int i = 0; i < 40; ++i) {
    const double use = i % 3;
    model.Learn(serving, {{loud, 0.0}}, {{loud, use}}, kStrongEffect * use);
  }
  const KeyedRecord stored = Encode(model.Export());
  JobLogView ledger;
  ledger.Apply(DecodeJobLogRecord(stored), 0);
  NeighbourModel next;
  next.ImageIndex("another");  // Images are numbered anew.
  next.Import(ledger.neighbours());
  CHECK(next.Effect(next.ImageIndex("s"), next.ImageIndex("loud")) ==
        Approx(model.Effect(serving, loud)));
}

TEST_CASE("a neighbour over its target for a second pauses what runs beside it") {
  // Guards against: halving the pace from report to report took longer than callers of the serving
  // task may be kept waiting (caarg-grown, quiet-1).
  Fixture fixture;
  for (int i = 0; i <= 6; ++i) fixture.Report(60, 2000, kStart + milliseconds(500) * i);
  CHECK(fixture.fill_pace() == 0);
}

TEST_CASE("the pace comes back when the neighbour is well under its target") {
  Fixture fixture;
  for (int i = 0; i <= 6; ++i) fixture.Report(60, 2000, kStart + milliseconds(500) * i);
  for (int i = 7; i <= 12; ++i) fixture.Report(14, 0, kStart + milliseconds(500) * i);
  CHECK(fixture.fill_pace() == 100);
}

TEST_CASE("a best-effort task is not placed beside a neighbour that has no room for it") {
  Fixture fixture;
  fixture.worker->visited = true;
  for (int i = 0; i <= 3; ++i) fixture.Report(40, 2000, kStart + milliseconds(500) * i);
  StepSpec step;
  step.count = 1;
  step.best_effort = true;
  step.need.milliprocessors = 3000;
  SubmittedJob job;
  job.spec.steps = {step};
  PlacementRequest request;
  request.job = &job;
  request.service = "pool";
  request.image_index = fixture.fill_image;
  Placer placer(fixture.options, fixture.model);
  placer.BeginPass({fixture.worker.get()});
  CHECK(placer.Choose(request, kStart) == nullptr);
  for (int i = 4; i <= 40; ++i) fixture.Report(12, 2000, kStart + milliseconds(500) * i);
  placer.BeginPass({fixture.worker.get()});
  CHECK(placer.Choose(request, kStart) == fixture.worker.get());
}

TEST_CASE("serving tasks of one image are packed together") {
  Fixture fixture;
  WorkerEntry other_entry = fixture.worker->entry();
  other_entry.id = "empty";
  WorkerState empty(other_entry, fixture.options);
  StepSpec step;
  step.count = 1;
  step.long_running = true;
  step.need.milliprocessors = 4000;
  step.image = "serving";
  SubmittedJob job;
  job.spec.steps = {step};
  PlacementRequest request;
  request.job = &job;
  request.service = "pool";
  request.image_index = fixture.serving_image;
  Placer placer(fixture.options, fixture.model);
  placer.BeginPass({fixture.worker.get(), &empty});
  CHECK(placer.Choose(request, kStart) == fixture.worker.get());
  request.image_index = fixture.model.ImageIndex("another");
  CHECK(placer.Choose(request, kStart) == &empty);
}

}  // namespace cactusshelf::jobs
