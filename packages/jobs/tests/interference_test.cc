#include <catch2/catch.hpp>

#include "best_effort_throttle.h"
#include "cactusshelf/jobs/job_log_view.h"
#include "placer.h"

// Interference between best-effort and serving tasks on one worker.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr double kStrongEffect = 0.06;  // Pressure per processor.

// A worker with one serving task and one best-effort task of two processors.
struct Fixture {
  Fixture() {
    WorkerEntry entry;
    entry.id = "w";
    entry.pool = "pool";
    entry.capacity = {16'000, std::int64_t{64} << 30, 0};
    worker = std::make_unique<WorkerState>(entry, options);
    serving_image = model.ImageIndex("serving");
    best_effort_image = model.ImageIndex("fill");
    Run serving;
    serving.task = {JobKey("a"), {0, 0, 0}};
    serving.phase = RunPhase::kRunning;
    serving.long_running = true;
    serving.image_index = serving_image;
    serving.latency_target = milliseconds(50);
    serving.milliprocessors = 4000;
    serving.need.milliprocessors = 4000;
    worker->AddRun(serving);
    Run best_effort;
    best_effort.task = {JobKey("b"), {0, 0, 0}};
    best_effort.phase = RunPhase::kRunning;
    best_effort.best_effort = true;
    best_effort.image_index = best_effort_image;
    best_effort.milliprocessors = 2000;
    worker->AddRun(best_effort);
  }

  void Report(std::int64_t tail_ms, std::int64_t used_milliprocessors, Time now) {
    worker->FindRun({JobKey("a"), {0, 0, 0}})->load = tail_ms;
    worker->FindRun({JobKey("b"), {0, 0, 0}})->load = used_milliprocessors;
    throttle.Update(*worker, model, now);
  }

  int best_effort_cpu_share() {
    return worker->FindRun({JobKey("b"), {0, 0, 0}})->cpu_share_percent;
  }

  SchedulerOptions options;
  InterferenceModel model;
  BestEffortThrottle throttle;
  int serving_image = 0;
  int best_effort_image = 0;
  std::unique_ptr<WorkerState> worker;
};

}  // namespace

TEST_CASE("pressure is 0.8 at the latency target and grows with the tail latency") {
  CHECK(TailLatencyPressure(milliseconds(50), milliseconds(50)) == Approx(0.8));
  CHECK(TailLatencyPressure(milliseconds(10), milliseconds(50)) == Approx(0.0).margin(1e-9));
  CHECK(TailLatencyPressure(milliseconds(500), milliseconds(50)) > 0.95);
}

TEST_CASE(
    "the model does not blame a harmless image whose usage changed along with a disturbing one") {
  InterferenceModel model;
  const int serving = model.ImageIndex("s");
  const int disturbing = model.ImageIndex("loud");
  const int harmless = model.ImageIndex("quiet");
  for (int i = 0; i < 40; ++i) {
    const double disturbing_use = i % 3;
    const double harmless_use = i % 2;
    const BestEffortUsage before{{disturbing, 0.0}, {harmless, 1.0 - harmless_use}};
    const BestEffortUsage after{{disturbing, disturbing_use}, {harmless, harmless_use}};
    model.Learn(serving, before, after, kStrongEffect * disturbing_use);
  }
  CHECK(model.EffectPerProcessor(serving, disturbing) == Approx(kStrongEffect).margin(0.01));
  CHECK(model.EffectPerProcessor(serving, harmless) < 0.012);
}

TEST_CASE("a new owner restores the interference model of the earlier owner") {
  // Guards against a model that starts empty after each change of owner, so that best-effort tasks
  // were placed without regard to interference. In a benchmark, the value of the measured windows
  // fell from 0.9 to 0.6.
  InterferenceModel model;
  const int serving = model.ImageIndex("s");
  const int disturbing = model.ImageIndex("loud");
  for (int i = 0; i < 40; ++i) {
    const double use = i % 3;
    model.Learn(serving, {{disturbing, 0.0}}, {{disturbing, use}}, kStrongEffect * use);
  }
  const KeyedRecord stored = Encode(model.Export());
  JobLogView log_view;
  log_view.Apply(DecodeJobLogRecord(stored), 0);
  InterferenceModel next;
  next.ImageIndex("another");  // Gives the images other indexes than before.
  next.Import(log_view.interference());
  CHECK(next.EffectPerProcessor(next.ImageIndex("s"), next.ImageIndex("loud")) ==
        Approx(model.EffectPerProcessor(serving, disturbing)));
}

TEST_CASE("best-effort tasks pause once a serving task was above its target for a second") {
  // Guards against slow throttling: halving the CPU share with each report took longer than the
  // callers of the serving task can wait.
  Fixture fixture;
  for (int i = 0; i <= 6; ++i) fixture.Report(60, 2000, kStart + milliseconds(500) * i);
  CHECK(fixture.best_effort_cpu_share() == 0);
}

TEST_CASE("the CPU share is restored when the serving task is well below its target") {
  Fixture fixture;
  for (int i = 0; i <= 6; ++i) fixture.Report(60, 2000, kStart + milliseconds(500) * i);
  for (int i = 7; i <= 12; ++i) fixture.Report(14, 0, kStart + milliseconds(500) * i);
  CHECK(fixture.best_effort_cpu_share() == 100);
}

TEST_CASE("a best-effort task is not placed beside a serving task without pressure headroom") {
  Fixture fixture;
  fixture.worker->token_accepted = true;
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
  request.image_index = fixture.best_effort_image;
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
