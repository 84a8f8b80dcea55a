#include <algorithm>
#include <catch2/catch.hpp>

#include "cactusshelf/jobs/job_record.h"
#include "cactusshelf/jobs/peer_messages.h"
#include "job_simulation.h"

// Records that may grow beyond what the store takes.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A job whose steps run one after the other, at many times.
JobSpec ManyTimesJob(int occurrences, Duration period) {
  JobSpec spec = SimpleJob(1, 200);
  spec.payload = "duration=20";
  spec.occurrences = occurrences;
  spec.period = period;
  for (int i = 1; i < 4; ++i) {
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().depends_on = {i - 1};
  }
  return spec;
}

}  // namespace

TEST_CASE("the progress of one job outgrows a record and ends all writes of the owner") {
  // Guards against accepted jobs that do not run: each end made the record of a scheduled job
  // longer, until the store refused it. Owners repeated that append, and stored nothing else.
  JobSimulation simulation(81, 3, 6, {});
  simulation.store().SetMaxRecordBytes(2000);
  simulation.RunFor(seconds(4));
  const JobKey scheduled = simulation.Submit(ManyTimesJob(600, milliseconds(50)));
  simulation.RunFor(seconds(40));
  const JobKey other = simulation.Submit(SimpleJob(2, 500));
  simulation.RunFor(seconds(10));
  CHECK(simulation.StateOf(other) == JobState::kCompleted);
  CHECK(simulation.StateOf(scheduled) == JobState::kCompleted);
  CheckNoViolations(simulation);
}

TEST_CASE("a submission that no record can hold ends the ownership") {
  // Guards against a caller that costs each owner its cell: the owner repeated the append with the
  // large record, stored nothing else, and was replaced.
  JobSimulation simulation(83, 3, 6, {});
  simulation.RunFor(seconds(4));
  JobSpec large = SimpleJob(1, 500);
  large.steps.front().image = std::string(kMaxRecordBytes, 'x');
  const JobKey refused = simulation.SubmitTo(0, large);
  simulation.RunFor(seconds(1));
  CHECK(simulation.LogLines("job=" + refused.str() + " outcome=malformed").find("body: the job") !=
        std::string::npos);
  // A host of an earlier version hands it to the owner all the same.
  SubmittedJob job;
  job.key = JobKey("00000000000000aa");
  job.spec = large;
  const Submission submission{"h0", 0, 1, {Encode(job)}, "h0/9"};
  simulation.DeliverPeerMessage(simulation.OwnerIndex(), Encode(submission));
  const JobKey other = simulation.Submit(SimpleJob(2, 500));
  simulation.RunFor(seconds(10));
  CHECK(simulation.StateOf(other) == JobState::kCompleted);
  CHECK(simulation.LogLines("owner_lost").empty());
  CheckNoViolations(simulation);
}

TEST_CASE("a job fits into a record, but not its copy in the log of another cell") {
  // Guards against an owner that repeats the append with the copy.
  JobSimulation simulation(84, 1, 6, {});
  simulation.RunFor(seconds(4));
  JobSpec spec = SimpleJob(1, 500);
  spec.steps.front().image = std::string(kMaxRecordBytes - 300, 'x');
  const JobKey small = simulation.SubmitTo(0, spec);
  simulation.RunFor(seconds(1));
  REQUIRE(simulation.accepted(small));
  const auto& log = simulation.store().log(0);
  const auto stored = std::find_if(
      log.begin(), log.end(), [&](const KeyedRecord& it) { return it.key == "j/" + small.str(); });
  REQUIRE(stored != log.end());
  const std::size_t room = kMaxRecordBytes - 1 - stored->key.size() - stored->value.size();
  spec.steps.front().image += std::string(room, 'x');
  const JobKey full = simulation.SubmitTo(0, spec);
  simulation.RunFor(seconds(1));
  CHECK_FALSE(simulation.accepted(full));
  SubmittedJob copy = std::get<SubmittedJob>(DecodeJobLogRecord(*stored));
  const std::size_t original_size = Encode(copy).value.size();
  copy.home_cell = 31;
  CHECK(Encode(copy).value.size() - original_size <= 9);
}

TEST_CASE("the progress of a scheduled job is lost with its owner") {
  // Guards against occurrences that run again: a later owner takes them for done by their numbers.
  JobSimulation simulation(82, 3, 6, {});
  simulation.RunFor(seconds(4));
  const JobKey key = simulation.Submit(ManyTimesJob(100, milliseconds(100)));
  for (int n = 0; n < 3; ++n) {
    simulation.RunFor(seconds(3));
    simulation.KillNode(simulation.OwnerIndex());
    AwaitOwner(simulation);
  }
  simulation.RunFor(seconds(30));
  CHECK(simulation.StateOf(key) == JobState::kCompleted);
  CheckNoViolations(simulation);
}

}  // namespace cactusshelf::jobs
