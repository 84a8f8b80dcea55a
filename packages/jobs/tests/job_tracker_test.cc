#include "job_tracker.h"

#include <catch2/catch.hpp>

#include "job_simulation.h"

namespace cactusshelf::jobs {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

Duration ObjectiveOf(double stretch, Duration estimate, Duration latency_target) {
  SubmittedJob job;
  job.key = JobKey("00000000000000aa");
  job.spec = SimpleJob(1, 1000);
  job.spec.steps.front().estimate = estimate;
  job.queue.stretch = stretch;
  job.queue.latency_target = latency_target;
  JobTracker tracker(0);
  tracker.Add(std::make_shared<const SubmittedJob>(job), {}, false, kStart);
  return tracker.Find(job.key)->objective;
}

}  // namespace

// The factor and the latency target of a queue are numbers from the configuration. Their product
// and sum left the range of the type and became negative.
TEST_CASE("a job of a queue with an excessive factor or latency target precedes all other jobs") {
  const Duration usual = ObjectiveOf(2, seconds(3), milliseconds(300));
  CHECK(usual == milliseconds(6300));
  CHECK(ObjectiveOf(1e300, seconds(3), {}) > usual);
  CHECK(ObjectiveOf(1, seconds(3), milliseconds(std::int64_t{1} << 52)) > usual);
  CHECK(ObjectiveOf(1e12, hours(24), milliseconds(std::int64_t{1} << 52)) > usual);
  CHECK(ObjectiveOf(-1, seconds(3), {}) == Duration::zero());
}

}  // namespace cactusshelf::jobs
