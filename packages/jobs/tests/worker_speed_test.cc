#include "worker_speed.h"

#include <catch2/catch.hpp>

#include "placer.h"

// Workers on which tasks get on slowly, or stand still.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

WorkerEntry EntryOf(const std::string& id) {
  WorkerEntry entry;
  entry.id = id;
  entry.pool = "pool";
  entry.capacity = {16'000, std::int64_t{64} << 30, 0};
  return entry;
}

}  // namespace

TEST_CASE("a worker whose tasks stand still is slow within a second, and trusted again later") {
  WorkerSpeed speed;
  CHECK(speed.SpeedAt(kStart) == Approx(1.0));
  for (int i = 0; i < 4; ++i) {
    speed.Observe(0.0, seconds(1), milliseconds(500), kStart + milliseconds(500) * i);
  }
  CHECK(speed.SpeedAt(kStart + milliseconds(1500)) < 0.4);
  CHECK(speed.SpeedAt(kStart + seconds(20)) > 0.9);
}

TEST_CASE("one task with an estimate half as long as it takes does not make a worker slow") {
  // Guards against: estimates that are far off moved short tasks away from sound workers.
  WorkerSpeed speed;
  speed.Observe(0.25, seconds(1), milliseconds(500), kStart);
  CHECK(speed.SpeedAt(kStart) > 0.8);
}

TEST_CASE("short tasks go to a slow worker only if no other has room") {
  // Guards against: tasks were packed on workers that had turned slow, and their jobs with them
  // (srv_slow and srv_grey hang: ctua-despacho, trouble-1).
  SchedulerOptions options;
  InterferenceModel model;
  WorkerState slow(EntryOf("slow"), options);
  WorkerState sound(EntryOf("sound"), options);
  Run filling;
  filling.task = {JobKey("a"), {0, 0, 0}};
  filling.need.milliprocessors = 8000;
  filling.milliprocessors = 8000;
  slow.AddRun(filling);
  for (int i = 0; i < 4; ++i) {
    slow.speed.Observe(0.0, seconds(1), milliseconds(500), kStart + milliseconds(500) * i);
  }
  StepSpec step;
  step.count = 1;
  step.need.milliprocessors = 4000;
  SubmittedJob job;
  job.spec.steps = {step};
  PlacementRequest request;
  request.job = &job;
  request.service = "pool";
  const Time now = kStart + milliseconds(1500);
  Placer placer(options, model);
  placer.BeginPass({&slow, &sound});
  CHECK(placer.Choose(request, now) == &sound);
  placer.BeginPass({&slow});
  CHECK(placer.Choose(request, now) == &slow);
}

}  // namespace cactusshelf::jobs
