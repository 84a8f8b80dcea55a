#include <catch2/catch.hpp>

#include "batch_writer.h"
#include "cactusshelf/base/errors.h"
#include "cactusshelf/jobs/job_log_view.h"
#include "cactusshelf/jobs/queue_table.h"
#include "stream_follower.h"

// Tests of the job log: encoding of records, the view built from them, appends and reads.
namespace cactusshelf::jobs {
namespace {

using job_event::AppendDone;
using job_event::AppendOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{std::chrono::seconds(10)};

JobKey Key() { return JobKey("0123456789abcdef"); }

SubmittedJob FullJob() {
  StepSpec step;
  step.count = 3;
  step.need = {1500, std::int64_t{1} << 30, 2};
  step.estimate = milliseconds(900);
  step.checkpointing = true;
  step.gang = true;
  step.same_rack = true;
  step.required_label = "a";
  step.preferred_rack = "r1";
  step.max_per_worker = 2;
  step.image = "img";
  step.latency_target = milliseconds(50);
  step.max_unavailable = 1;
  SubmittedJob job;
  job.key = Key();
  job.queue = {"q", "pool", 2, 4, 1.5, milliseconds(300)};
  job.spec.payload = "payload";
  job.spec.steps = {step, step};
  job.spec.steps[1].depends_on = {0};
  job.spec.occurrences = 4;
  job.spec.period = std::chrono::seconds(60);
  return job;
}

AppendDone Answer(const job_effect::Append& append, AppendOutcome outcome) {
  AppendDone done;
  done.append_id = append.append_id;
  done.outcome = outcome;
  return done;
}

KeyedRecord Claim(const std::string& host, std::int64_t generation, std::int64_t offset) {
  OwnerRecord owner;
  owner.host = host;
  owner.member = host + "/1";
  owner.generation = generation;
  KeyedRecord record = Encode(owner);
  record.offset = offset;
  return record;
}

// The record as it stands at an offset of the log.
KeyedRecord At(KeyedRecord record, std::int64_t offset) {
  record.offset = offset;
  return record;
}

void Apply(JobLogView& log_view, const KeyedRecord& record) {
  log_view.Apply(DecodeJobLogRecord(record), record.offset);
}

}  // namespace

TEST_CASE("a submission loses or swaps no field when it is encoded and decoded") {
  const auto decoded = std::get<SubmittedJob>(DecodeJobLogRecord(Encode(FullJob())));
  const StepSpec& step = decoded.spec.steps.at(1);
  CHECK(decoded.key == Key());
  CHECK(decoded.queue.stretch == 1.5);
  CHECK(decoded.spec.occurrences == 4);
  CHECK(step.need == FullJob().spec.steps[1].need);
  CHECK(step.depends_on == std::vector<int>{0});
  CHECK((step.gang && step.same_rack && step.checkpointing && !step.best_effort));
  CHECK(step.latency_target == milliseconds(50));
}

TEST_CASE("malformed records and records with unknown keys are refused") {
  CHECK_THROWS_AS(DecodeJobLogRecord({"", "x", 0}), DecodeError);
  CHECK_THROWS_AS(DecodeJobLogRecord({"x/abc", "\x80", 0}), DecodeError);
  CHECK_THROWS_AS(DecodeJobLogRecord({"j/abc", "\xff\xff", 0}), DecodeError);
  CHECK_THROWS_AS(DecodeJobLogRecord({"p/abc", "\x82\x18\x63\x80", 0}), DecodeError);
  CHECK_THROWS_AS(DecodeJobLogRecord({"roster", "", 0}), DecodeError);
}

TEST_CASE(
    "of two claims of one generation the first in the log is valid, in whatever order they are "
    "read") {
  // Guards against: a claim that was conditional on the end of the log failed whenever a submission
  // was appended first.
  const KeyedRecord first = Claim("b", 1, 10);
  const KeyedRecord second = Claim("a", 1, 11);
  JobLogView forward;
  Apply(forward, first);
  Apply(forward, second);
  JobLogView backward;
  Apply(backward, second);
  Apply(backward, first);
  CHECK(forward.owner().host == "b");
  CHECK(backward.owner().host == "b");
  CHECK(forward.owner().epoch == 11);
}

TEST_CASE(
    "a later claim of the same generation does not replace an owner that has stored its epoch") {
  JobLogView log_view;
  Apply(log_view, Claim("b", 1, 10));
  Apply(log_view, Claim("a", 1, 11));
  OwnerRecord heartbeat = log_view.owner();
  KeyedRecord record = Encode(heartbeat);
  record.offset = 50;
  Apply(log_view, record);
  CHECK(log_view.owner().host == "b");
  CHECK(log_view.owner().epoch == 11);
  Apply(log_view, Claim("a", 2, 60));
  CHECK(log_view.owner().host == "a");
  CHECK(log_view.owner().epoch == 61);
}

TEST_CASE("tasks of a worker in an earlier roster are taken for those of a later one") {
  // Guards against tasks that run twice: a later roster lists the worker for any task, and the
  // newest records of both keys were read, in whatever order.
  const TaskRef task{Key(), {0, 1, 2}};
  const KeyedRecord roster = Encode(RosterRecord{{"w0", "w1"}});
  const KeyedRecord tasks = Encode(RosterTasksRecord{{{"w1", {task}}}});
  JobLogView forward;
  Apply(forward, At(roster, 7));
  Apply(forward, At(tasks, 8));
  CHECK(forward.roster_tasks().at("w1") == std::vector<TaskRef>{task});
  JobLogView backward;
  Apply(backward, At(tasks, 8));
  Apply(backward, At(roster, 7));
  CHECK(backward.roster_tasks().size() == 1);
  Apply(forward, At(roster, 9));
  CHECK(forward.roster_tasks().empty());
}

TEST_CASE("the stored end of leases is taken for that of a later roster or owner") {
  // Guards against tasks that run twice: a later roster, or an owner that does not know the record,
  // grants leases on the worker again.
  OwnerRecord claim;
  claim.host = "b";
  claim.generation = 4;
  claim.limits_since = 3;
  const KeyedRecord roster = Encode(RosterRecord{{"w0", "w1"}});
  const KeyedRecord leases = Encode(RosterLeasesRecord{3, {{"w1", milliseconds(1500)}}, {"w1"}});
  const Time read_at{seconds(100)};
  JobLogView log_view;
  Apply(log_view, At(Encode(claim), 1));
  log_view.SetReadTime(read_at);
  Apply(log_view, At(roster, 7));
  Apply(log_view, At(leases, 8));
  log_view.SetReadTime(read_at + seconds(1));
  const auto holds = [&] {
    const auto stored = log_view.RosterLeases();
    return stored.size() == 1 && stored.at("w1").end == read_at + milliseconds(1500) &&
           stored.at("w1").exclusive;
  };
  CHECK(holds());
  claim.limits_since = 4;
  Apply(log_view, At(Encode(claim), 9));
  CHECK(log_view.RosterLeases().empty());
  claim.limits_since = 0;
  Apply(log_view, At(Encode(claim), 10));
  CHECK(log_view.RosterLeases().empty());
  claim.limits_since = 3;
  Apply(log_view, At(Encode(claim), 11));
  CHECK(holds());
  Apply(log_view, At(roster, 12));
  CHECK(log_view.RosterLeases().empty());
}

TEST_CASE("an impossible lease in a roster's record of leases is refused") {
  const auto encoded = [](Duration remaining) {
    return Encode(RosterLeasesRecord{1, {{"w", remaining}}, {}});
  };
  CHECK_NOTHROW(DecodeJobLogRecord(encoded(seconds(4))));
  CHECK_THROWS_AS(DecodeJobLogRecord(encoded(-seconds(1))), DecodeError);
  CHECK_THROWS_AS(DecodeJobLogRecord(encoded(std::chrono::hours(1))), DecodeError);
}

TEST_CASE("a repeated submission does not undo a cancellation, and a dropped job is unknown") {
  JobLogView log_view;
  Apply(log_view, Encode(FullJob()));
  Apply(log_view, Encode(CancelRecord{Key()}));
  Apply(log_view, Encode(FullJob()));
  REQUIRE(log_view.Find(Key()) != nullptr);
  CHECK(JobLogView::StateOf(*log_view.Find(Key())) == JobState::kCancelled);
  for (const KeyedRecord& record : EncodeDrop(Key())) Apply(log_view, record);
  CHECK(log_view.Find(Key()) == nullptr);
}

TEST_CASE(
    "an append without an answer is retried with the same sequence number until its result is "
    "known") {
  BatchWriter writer("p", 1, 0, 100, BatchWriter::RetryPolicy::kDropRefused);
  writer.Begin({{"k", "v", 0}}, kStart);
  const auto first = writer.NextAppend(kStart);
  REQUIRE(first);
  CHECK(writer.OnDone(Answer(*first, AppendOutcome::kNoAnswer), kStart) ==
        BatchWriter::Result::kRetry);
  CHECK(writer.has_unanswered_append());
  const auto second = writer.NextAppend(kStart + milliseconds(200));
  REQUIRE(second);
  CHECK(second->sequence == first->sequence);
  CHECK(second->append_id != first->append_id);
  // A refusal does not tell the result of the earlier append without an answer.
  CHECK(writer.OnDone(Answer(*second, AppendOutcome::kRefused), kStart + milliseconds(210)) ==
        BatchWriter::Result::kRetry);
  const auto third = writer.NextAppend(kStart + milliseconds(500));
  REQUIRE(third);
  CHECK(writer.OnDone(Answer(*third, AppendOutcome::kDone), kStart + milliseconds(510)) ==
        BatchWriter::Result::kStored);
  CHECK_FALSE(writer.busy());
}

TEST_CASE("a refused batch is dropped by an entry host and retried by the owner") {
  BatchWriter host("p", 1, 0, 100, BatchWriter::RetryPolicy::kDropRefused);
  BatchWriter owner("owner", 7, 0, 200, BatchWriter::RetryPolicy::kRetryUntilStored);
  for (BatchWriter* it : {&host, &owner}) it->Begin({{"k", "v", 0}}, kStart);
  const auto from_host = host.NextAppend(kStart);
  const auto from_owner = owner.NextAppend(kStart);
  CHECK(host.OnDone(Answer(*from_host, AppendOutcome::kRefused), kStart) ==
        BatchWriter::Result::kRefused);
  CHECK(owner.OnDone(Answer(*from_owner, AppendOutcome::kRefused), kStart) ==
        BatchWriter::Result::kRetry);
}

TEST_CASE("a follower restarts from the newest records after its read position was trimmed") {
  StreamFollower follower(Stream::kJobs);
  follower.SetReadTiming(milliseconds(100), {});
  REQUIRE(std::holds_alternative<job_effect::ReadNewest>(*follower.NextRequest(kStart)));
  job_event::StreamRead page;
  page.newest = true;
  page.outcome = ReadOutcome::kDone;
  page.next_offset = 20;
  page.has_more = true;
  page.last_key = "m";
  follower.OnRead(page, kStart);
  const auto next = follower.NextRequest(kStart);
  REQUIRE(std::get<job_effect::ReadNewest>(*next).after_key == "m");
  page.next_offset = 25;
  page.has_more = false;
  follower.OnRead(page, kStart);
  // Records written between the two pages are read again.
  CHECK(std::get<job_effect::ReadRecords>(*follower.NextRequest(kStart)).from == 20);
  job_event::StreamRead trimmed;
  trimmed.outcome = ReadOutcome::kTrimmed;
  follower.OnRead(trimmed, kStart);
  CHECK_FALSE(follower.loaded());
  CHECK(std::holds_alternative<job_effect::ReadNewest>(*follower.NextRequest(kStart)));
}

TEST_CASE("a read that the store cut short counts as a read to the end of the log") {
  // Guards against an owner that takes itself for the present one: after a pause more records wait
  // than one read returns, and the claim of its successor is among the later ones.
  StreamFollower follower(Stream::kJobs);
  follower.SetReadTiming(milliseconds(100), {});
  follower.NextRequest(kStart);
  job_event::StreamRead page;
  page.newest = true;
  page.outcome = ReadOutcome::kDone;
  follower.OnRead(page, kStart);
  REQUIRE(follower.fresh_at() == kStart);
  const Time later = kStart + seconds(1);
  REQUIRE(follower.NextRequest(later));
  job_event::StreamRead read;
  read.outcome = ReadOutcome::kDone;
  read.next_offset = 10;
  read.has_more = true;
  CHECK(follower.OnRead(read, later));
  CHECK(follower.fresh_at() == kStart);
  const auto rest = follower.NextRequest(later);
  REQUIRE(rest);
  CHECK(std::get<job_effect::ReadRecords>(*rest).from == 10);
  read.has_more = false;
  follower.OnRead(read, later);
  CHECK(follower.fresh_at() == later);
}

TEST_CASE("a page that was requested before a restart does not complete the new listing") {
  // Guards against a listing without its first pages: the last page of the earlier listing was
  // taken for a page of the new one, so that the workers on the earlier pages were unknown to a new
  // owner.
  StreamFollower follower(Stream::kWorkers);
  follower.NextRequest(kStart);
  job_event::StreamRead page;
  page.newest = true;
  page.outcome = ReadOutcome::kDone;
  page.next_offset = 20;
  page.has_more = true;
  page.last_key = "m";
  follower.OnRead(page, kStart);
  REQUIRE(std::get<job_effect::ReadNewest>(*follower.NextRequest(kStart)).after_key == "m");
  follower.Restart(kStart);
  page.has_more = false;
  page.last_key = "z";
  follower.OnRead(page, kStart);
  CHECK_FALSE(follower.loaded());
  const auto first = follower.NextRequest(kStart);
  REQUIRE(first);
  REQUIRE(std::holds_alternative<job_effect::ReadNewest>(*first));
  CHECK(std::get<job_effect::ReadNewest>(*first).after_key.empty());
  follower.OnRead(page, kStart);
  CHECK(follower.loaded());
}

TEST_CASE("the longest prefix of a path selects the queue, and the host's port does not matter") {
  QueueRoute shorter{"h.example", "/a/", {}};
  QueueRoute longer{"h.example", "/a/b/", {}};
  shorter.policy.name = "shorter";
  longer.policy.name = "longer";
  const QueueTable table(3, {shorter, longer});
  CHECK(table.Find("h.example:80", "/a/b/0").route->policy.name == "longer");
  CHECK(table.Find("h.example", "/a/0").rest == "0");
  CHECK(table.Find("other", "/a/0").route == nullptr);
  CHECK(table.Find("h.example", "/c").route == nullptr);
}

TEST_CASE("a malformed task name is refused, and a valid one is parsed unchanged") {
  const TaskRef ref{Key(), {1, 2, 33}};
  CHECK(ParseTaskRef(ToString(ref)) == ref);
  for (const char* text : {"", "abc", "abc.1.2", "abc.1.2.x", "abc.1.2.3.4", "abc.1.-2.3"}) {
    CHECK_THROWS_AS(ParseTaskRef(text), DecodeError);
  }
}

}  // namespace cactusshelf::jobs
