#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/jobs/job_node.h"
#include "cactusshelf/jobs/job_record.h"
#include "cactusshelf/jobs/peer_messages.h"
#include "job_simulation.h"

// Damaged messages and records of other processes. Each must end as a DecodeError, since any other
// exception ends the process.
namespace cactusshelf::jobs {
namespace {

constexpr int kMutationsPerSample = 4000;
constexpr char kJob[] = "00000000000000aa";

// Changes, removes, inserts or repeats some bytes.
std::string Mutate(std::string bytes, Random& random) {
  const std::uint64_t changes = 1 + random.Next() % 3;
  for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random.Next() % bytes.size();
    switch (random.Next() % 4) {
      case 0:
        bytes[at] = static_cast<char>(random.Next());
        break;
      case 1:
        bytes.erase(at, 1 + random.Next() % 4);
        break;
      case 2:
        bytes.insert(at, 1, static_cast<char>(random.Next()));
        break;
      default:
        bytes.insert(at, bytes.substr(at, 1 + random.Next() % 16));
        break;
    }
  }
  return bytes;
}

StartOrder SampleStart() {
  StartOrder start;
  start.call = CallId{7};
  start.worker = {"w0", "10.0.0.1:80", "a"};
  start.token = 3;
  start.task = {JobKey(kJob), {0, 1, 2}};
  start.run = 4;
  start.payload = "payload";
  start.checkpoint = "saved";
  return start;
}

AnswerBatch SampleAnswers() {
  HoldAnswer hold;
  hold.call = CallId{8};
  hold.worker = "w0";
  hold.outcome = OrderOutcome::kDone;
  hold.report.incarnation = 5;
  hold.report.running = {{{JobKey(kJob), {0, 1, 2}}, 4, "saved", 40, 1200}};
  hold.report.ended = {{9, {JobKey(kJob), {0, 1, 3}}, 2, RunEnd::kDone, ""}};
  AnswerBatch batch;
  batch.host = "h1";
  batch.answers = {job_event::HoldDone{hold}};
  return batch;
}

std::vector<std::string> SampleMessages() {
  OrderBatch orders{"10.0.0.2:70", RelayTimestamp{}, {SampleStart()}};
  HoldOrder hold;
  hold.worker = SampleStart().worker;
  hold.lease_end = WorkerClock(4000);
  orders.orders.emplace_back(hold);
  const Submission submission{"10.0.0.2:70", 0, 1, {{std::string("c/") + kJob, "\x80"}}, "h1/2"};
  return {Encode(orders),
          Encode(SampleAnswers()),
          Encode(submission),
          Encode(SubmissionStored{0, 1, 17, "h1/2", 3}),
          Encode(OwnershipNotice{"10.0.0.2:70", 0, 3, std::chrono::seconds(9)}),
          Encode(OwnershipAnswer{"h1", "h1/2", 0, 3, std::chrono::seconds(5),
                                 std::chrono::seconds(2), std::chrono::seconds(9)})};
}

std::vector<KeyedRecord> SampleRecords() {
  SubmittedJob job;
  job.key = JobKey(kJob);
  job.queue.name = "q";
  job.spec = LongRunningJob(3);
  const ProgressRecord progress{
      JobKey(kJob),
      {JobState::kRunning, {{{0, 0, 1}, true, 3, {}}, {{0, 0, 2}, false, 3, {2, 3}}}}};
  const ProgressRecord numbered{
      JobKey(kJob),
      {JobState::kRunning, {{{0, 0, 1}, true, 0, {}}, {{0, 0, 2}, false, 3, {2, 3}}}, {3}}};
  OwnerRecord owner;
  owner.host = "h0";
  owner.member = "h0/1";
  return {Encode(job),
          Encode(progress),
          Encode(numbered),
          Encode(owner),
          Encode(RosterRecord{{"w0", "w1"}}),
          Encode(RosterTasksRecord{{{"w0", {{JobKey(kJob), {0, 0, 1}}}}}}),
          Encode(CellCountRecord{2}),
          Encode(HandOverRecord{JobKey(kJob), 1}),
          Encode(LeaseRecord{std::chrono::seconds(4), {{"w0", 7}}}),
          Encode(VotingHostsRecord{3, {{"h0", "h0/1"}}})};
}

}  // namespace

TEST_CASE("a damaged peer message throws something else than a decode error") {
  Random random(1);
  for (const std::string& sample : SampleMessages()) {
    for (int i = 0; i < kMutationsPerSample; ++i) {
      try {
        DecodePeerMessage(Mutate(sample, random));
      } catch (const DecodeError&) {
      }
    }
  }
}

TEST_CASE("a damaged record throws something else than a decode error") {
  Random random(2);
  for (const KeyedRecord& sample : SampleRecords()) {
    for (int i = 0; i < kMutationsPerSample; ++i) {
      KeyedRecord record = sample;
      record.value = Mutate(record.value, random);
      if (random.Next() % 8 == 0) record.key = Mutate(record.key, random);
      try {
        DecodeJobLogRecord(record);
      } catch (const DecodeError&) {
      }
    }
  }
}

TEST_CASE("a damaged message of another process ends the process that reads it") {
  // Guards against messages that can be decoded and that the node trusts, such as the number of a
  // cell or the index of a task that does not exist.
  JobSimulation simulation(51, 3, 3, {});
  simulation.RunFor(std::chrono::seconds(3));
  simulation.Submit(LongRunningJob(3));
  simulation.RunFor(std::chrono::seconds(1));
  Random random(3);
  int owner = simulation.OwnerIndex();
  for (const std::string& sample : SampleMessages()) {
    // A batch of orders that can be decoded is carried out, which is no matter of damage.
    if (sample == SampleMessages().front()) continue;
    for (int i = 0; i < kMutationsPerSample / 10; ++i) {
      // A damaged notice may tell the owner of a successor. The next one is found by election.
      if (simulation.OwnerIndex() >= 0) owner = simulation.OwnerIndex();
      simulation.DeliverPeerMessage(owner, Mutate(sample, random));
    }
    simulation.RunFor(std::chrono::seconds(1));
  }
  const JobKey key = simulation.Submit(SimpleJob(1, 500));
  simulation.RunFor(std::chrono::seconds(5));
  CHECK(simulation.StateOf(key) == JobState::kCompleted);
  CHECK(simulation.running_tasks() == 3);
}

TEST_CASE("a damaged record of the log ends the processes that read it") {
  JobSimulation simulation(52, 3, 3, {});
  simulation.RunFor(std::chrono::seconds(3));
  Random random(4);
  for (const KeyedRecord& sample : SampleRecords()) {
    // Claims, submissions and numbers of cells that can be decoded are valid.
    const bool valid_if_decoded = sample.key.starts_with("o/") || sample.key.starts_with("j/");
    if (valid_if_decoded || sample.key == "layout") continue;
    for (int i = 0; i < 100; ++i) {
      KeyedRecord record = sample;
      record.value = Mutate(record.value, random);
      simulation.store().Append({0, 0, {record}, "", 0, 0});
    }
  }
  simulation.RunFor(std::chrono::seconds(3));
  const JobKey key = simulation.Submit(SimpleJob(1, 500));
  simulation.RunFor(std::chrono::seconds(5));
  CHECK(simulation.StateOf(key) == JobState::kCompleted);
}

}  // namespace cactusshelf::jobs
