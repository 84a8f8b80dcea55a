#include "worker_speed.h"

#include <catch2/catch.hpp>

#include "placer.h"

// Workers on which tasks make slow progress or none.
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

TEST_CASE(
    "a worker whose tasks make no progress counts as slow within two seconds, and recovers later") {
  WorkerSpeed speed;
  CHECK(speed.SpeedAt(kStart) == Approx(1.0));
  for (int i = 0; i < 4; ++i) {
    speed.Observe(0.0, seconds(1), milliseconds(500), kStart + milliseconds(500) * i);
  }
  CHECK(speed.SpeedAt(kStart + milliseconds(1500)) < 0.4);
  CHECK(speed.SpeedAt(kStart + seconds(20)) > 0.9);
}

TEST_CASE("one task that takes twice its estimate does not make its worker slow") {
  // Guards against wrong estimates of single tasks that move short tasks away from healthy workers.
  WorkerSpeed speed;
  speed.Observe(0.25, seconds(1), milliseconds(500), kStart);
  CHECK(speed.SpeedAt(kStart) > 0.8);
}

TEST_CASE("short tasks go to a slow worker only if no other worker has capacity") {
  // Guards against placing tasks on a worker that has become slow, because its server is slow or
  // hangs, which delays their jobs.
  SchedulerOptions options;
  InterferenceModel model;
  WorkerState slow(EntryOf("slow"), options);
  WorkerState healthy(EntryOf("sound"), options);
  Run existing;
  existing.task = {JobKey("a"), {0, 0, 0}};
  existing.need.milliprocessors = 8000;
  existing.milliprocessors = 8000;
  slow.AddRun(existing);
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
  placer.BeginPass({&slow, &healthy});
  CHECK(placer.Choose(request, now) == &healthy);
  placer.BeginPass({&slow});
  CHECK(placer.Choose(request, now) == &slow);
}

}  // namespace cactusshelf::jobs
