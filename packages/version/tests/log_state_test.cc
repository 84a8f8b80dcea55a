#include "cactusshelf/version/log_state.h"

#include <catch2/catch.hpp>

#include "cactusshelf/version/snapshot.h"
#include "support.h"

namespace cactusshelf {
namespace {

TEST_CASE("of two publishes with the same base, the second is rejected with the differences") {
  LogFixture fixture;
  REQUIRE(As<PublishAccepted>(fixture.Publish({{"c", std::string(kCustomers)}})));
  const Revision base = fixture.state.revision();
  const LogChange first = fixture.Append(Publish{"a", base, {{"j", std::string(kJob)}}});
  std::string other(kJob);
  other.replace(other.find("tasks = 4"), 9, "tasks = 9");
  const LogChange second =
      fixture.Append(Publish{"b", base, {{"j", other}, {"c", std::string(kCustomers)}}});
  REQUIRE(As<PublishAccepted>(first));
  const auto* rejected = As<PublishRejected>(second);
  REQUIRE(rejected);
  CHECK(rejected->reason == PublishRejection::kConflict);
  CHECK(rejected->current_revision == As<PublishAccepted>(first)->revision);
  CHECK(rejected->files == std::vector<std::string>{"j"});
  CHECK(rejected->entries == std::set<EntryKey>{{EntryKind::kJob, "index"}});
  CHECK(fixture.state.configuration()->Find(JobId("index"))->tasks == 4);
}

TEST_CASE("a publish repeated after a lost reply reports the first acceptance") {
  LogFixture fixture;
  const Publish publish{"id-1", std::nullopt, {{"c", std::string(kCustomers)}}};
  const LogChange first = fixture.Append(publish);
  REQUIRE(As<PublishAccepted>(fixture.Publish({{"j", std::string(kJob)}})));
  const LogChange second = fixture.Append(publish);
  REQUIRE(As<PublishRepeated>(second));
  CHECK(As<PublishRepeated>(second)->revision == As<PublishAccepted>(first)->revision);
  CHECK(fixture.state.configuration()->Find(JobId("index")) != nullptr);
}

TEST_CASE("a publication id with different contents is not treated as a repetition") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}}, "id-1");
  const LogChange change = fixture.Publish({{"j", std::string(kJob)}}, "id-1");
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->reason == PublishRejection::kIdReused);
}

TEST_CASE("a record that cannot be decoded changes nothing but offset and chain") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  fixture.Join("a");
  std::string torn = EncodeRecord(Leave{MemberId("a/1")});
  torn.resize(torn.size() - 1);
  const std::string chain = fixture.state.chain();
  const auto configuration = fixture.state.configuration();
  for (const std::string& bytes : {torn, std::string(), std::string("\xff\x00", 2)}) {
    CHECK(As<RecordRefused>(fixture.AppendBytes(bytes)));
  }
  CHECK(fixture.state.configuration() == configuration);
  CHECK(fixture.state.members().size() == 1);
  CHECK(fixture.state.offset() == 5);
  CHECK(fixture.state.chain() != chain);
  CHECK(fixture.state.counters().Get("cactusshelf_log_refused_total", "malformed") == 3);
}

TEST_CASE("an invalid publish is rejected with its findings and the configuration stays") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  const Revision revision = fixture.state.revision();
  const LogChange change = fixture.Publish({{"c", std::nullopt}, {"j", std::string(kJob)}});
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->reason == PublishRejection::kInvalid);
  CHECK(As<PublishRejected>(change)->findings.items().size() == 1);
  CHECK(fixture.state.revision() == revision);
}

TEST_CASE("a fold never moves to a lower offset and does not skip a record") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  fixture.Join("a");
  const std::string chain = fixture.state.chain();
  const StoredRecord& first = fixture.log.records().front();
  CHECK(As<RecordRefused>(fixture.state.Apply(first.offset, first.time, first.data)));
  CHECK_THROWS_AS(fixture.state.Apply(3, first.time, first.data), LogGapError);
  CHECK(fixture.state.chain() == chain);
  CHECK(fixture.state.offset() == 2);
}

TEST_CASE("a removed incarnation does not come back when its join is delivered late") {
  LogFixture fixture;
  fixture.Join("a");
  fixture.Join("b");
  CHECK(As<Unchanged>(fixture.Join("a")));
  CHECK(As<MemberDeparted>(fixture.Append(
      Remove{MemberId("a/1"), MemberId("b/1"), RemoveReason::kNotListed, MemberId()})));
  CHECK(fixture.state.membership_epoch() == 3);
  CHECK(As<RecordRefused>(fixture.Join("a")));
  CHECK(As<MemberJoined>(fixture.Join("a", 2)));
}

TEST_CASE("a single failure detector cannot remove a member") {
  LogFixture fixture;
  fixture.Join("a");
  fixture.Join("b");
  for (const char* confirmed_by : {"", "a/1", "b/1", "c/1"}) {
    const LogChange change = fixture.Append(
        Remove{MemberId("a/1"), MemberId("b/1"), RemoveReason::kFailed, MemberId(confirmed_by)});
    REQUIRE(As<RecordRefused>(change));
    CHECK(As<RecordRefused>(change)->reason == "remove_not_confirmed");
  }
  fixture.Join("c");
  CHECK(As<MemberDeparted>(fixture.Append(
      Remove{MemberId("a/1"), MemberId("b/1"), RemoveReason::kFailed, MemberId("c/1")})));
}

TEST_CASE("a job is assigned to one cell only and does not restart under its name while it stops") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}, {"w", std::string(kWorkers)}});
  fixture.Publish({{"j", std::string(kJob)}});
  fixture.Join("a");
  const auto update = [&](JobEvent event, const char* cell) {
    return fixture.Append(Jobs{MemberId("a/1"), {{JobId("index"), event, CellId(cell), ""}}});
  };
  CHECK(As<RecordRefused>(update(JobEvent::kAssigned, "c9")));
  CHECK(As<JobsChanged>(update(JobEvent::kAssigned, "c1")));
  CHECK(As<Unchanged>(update(JobEvent::kAssigned, "c1")));
  fixture.Publish({{"j", std::nullopt}});
  CHECK(fixture.state.jobs().at(JobId("index")).status == JobStatus::kCancelled);
  CHECK(As<PublishRejected>(fixture.Publish({{"j", std::string(kJob)}})));
  CHECK(As<RecordRefused>(update(JobEvent::kFinished, "c9")));
  CHECK(As<JobsChanged>(update(JobEvent::kFinished, "c1")));
  CHECK(fixture.state.jobs().empty());
  CHECK(As<PublishAccepted>(fixture.Publish({{"j", std::string(kJob)}})));
}

TEST_CASE("a snapshot that disagrees with the chain is counted and changes nothing") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  SnapshotRecord snapshot = Snapshot::Record(fixture.state, MemberId("a/1"));
  snapshot.chain[0] = snapshot.chain[0] == '0' ? '1' : '0';
  const LogChange change = fixture.Append(snapshot);
  REQUIRE(As<SnapshotCompared>(change));
  CHECK(As<SnapshotCompared>(change)->result == SnapshotComparison::kDiffers);
  CHECK(fixture.state.last_snapshot_offset() == 0);
  CHECK(fixture.state.counters().Get("cactusshelf_log_refused_total", "snapshot_disagrees") == 1);
  CHECK_THROWS_AS(Snapshot::Load(snapshot), DecodeError);
}

}  // namespace
}  // namespace cactusshelf
