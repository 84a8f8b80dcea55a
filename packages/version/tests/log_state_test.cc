#include "cactusshelf/version/log_state.h"

#include <catch2/catch.hpp>

#include "cactusshelf/version/snapshot.h"
#include "support.h"

namespace cactusshelf {
namespace {

TEST_CASE("of two operators with the same base one wins and the other is told what differs") {
  LogFixture it;
  REQUIRE(As<PublishAccepted>(it.Publish({{"c", std::string(kCustomers)}})));
  const Revision base = it.state.revision();
  const LogChange first = it.Append(Publish{"a", base, {{"j", std::string(kJob)}}});
  std::string other(kJob);
  other.replace(other.find("tasks = 4"), 9, "tasks = 9");
  const LogChange second =
      it.Append(Publish{"b", base, {{"j", other}, {"c", std::string(kCustomers)}}});
  REQUIRE(As<PublishAccepted>(first));
  const auto* rejected = As<PublishRejected>(second);
  REQUIRE(rejected);
  CHECK(rejected->reason == PublishRejection::kConflict);
  CHECK(rejected->current_revision == As<PublishAccepted>(first)->revision);
  CHECK(rejected->files == std::vector<std::string>{"j"});
  CHECK(rejected->entries == std::set<EntryKey>{{EntryKind::kJob, "index"}});
  CHECK(it.state.configuration()->Find(JobId("index"))->tasks == 4);
}

TEST_CASE("a publish repeated after a lost answer reports the first acceptance") {
  LogFixture it;
  const Publish publish{"id-1", std::nullopt, {{"c", std::string(kCustomers)}}};
  const LogChange first = it.Append(publish);
  REQUIRE(As<PublishAccepted>(it.Publish({{"j", std::string(kJob)}})));
  const LogChange second = it.Append(publish);
  REQUIRE(As<PublishRepeated>(second));
  CHECK(As<PublishRepeated>(second)->revision == As<PublishAccepted>(first)->revision);
  CHECK(it.state.configuration()->Find(JobId("index")) != nullptr);
}

TEST_CASE("a publication id with other contents is not taken for a repetition") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}}, "id-1");
  const LogChange change = it.Publish({{"j", std::string(kJob)}}, "id-1");
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->reason == PublishRejection::kIdReused);
}

TEST_CASE("a record that cannot be decoded changes nothing but offset and chain") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  it.Join("a");
  std::string torn = EncodeRecord(Leave{MemberId("a/1")});
  torn.resize(torn.size() - 1);
  const std::string chain = it.state.chain();
  const auto configuration = it.state.configuration();
  for (const std::string& bytes : {torn, std::string(), std::string("\xff\x00", 2)}) {
    CHECK(As<RecordRefused>(it.AppendBytes(bytes)));
  }
  CHECK(it.state.configuration() == configuration);
  CHECK(it.state.members().size() == 1);
  CHECK(it.state.offset() == 5);
  CHECK(it.state.chain() != chain);
  CHECK(it.state.counters().Get("cactusshelf_log_refused_total", "malformed") == 3);
}

TEST_CASE("an invalid publish is rejected with its findings and the configuration stays") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  const Revision revision = it.state.revision();
  const LogChange change = it.Publish({{"c", std::nullopt}, {"j", std::string(kJob)}});
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->reason == PublishRejection::kInvalid);
  CHECK(As<PublishRejected>(change)->findings.items().size() == 1);
  CHECK(it.state.revision() == revision);
}

TEST_CASE("a fold never moves to a lower offset and does not skip a record") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  it.Join("a");
  const std::string chain = it.state.chain();
  const StoredRecord& first = it.log.records().front();
  CHECK(As<RecordRefused>(it.state.Apply(first.offset, first.time, first.data)));
  CHECK_THROWS_AS(it.state.Apply(3, first.time, first.data), LogGapError);
  CHECK(it.state.chain() == chain);
  CHECK(it.state.offset() == 2);
}

TEST_CASE("a removed incarnation does not come back when its join is delivered late") {
  LogFixture it;
  it.Join("a");
  it.Join("b");
  CHECK(As<Unchanged>(it.Join("a")));
  CHECK(As<MemberDeparted>(
      it.Append(Remove{MemberId("a/1"), MemberId("b/1"), RemoveReason::kNotListed, MemberId()})));
  CHECK(it.state.membership_epoch() == 3);
  CHECK(As<RecordRefused>(it.Join("a")));
  CHECK(As<MemberJoined>(it.Join("a", 2)));
}

TEST_CASE("a single failure detector cannot remove a member") {
  LogFixture it;
  it.Join("a");
  it.Join("b");
  for (const char* confirmed_by : {"", "a/1", "b/1", "c/1"}) {
    const LogChange change = it.Append(
        Remove{MemberId("a/1"), MemberId("b/1"), RemoveReason::kFailed, MemberId(confirmed_by)});
    REQUIRE(As<RecordRefused>(change));
    CHECK(As<RecordRefused>(change)->reason == "remove_not_confirmed");
  }
  it.Join("c");
  CHECK(As<MemberDeparted>(
      it.Append(Remove{MemberId("a/1"), MemberId("b/1"), RemoveReason::kFailed, MemberId("c/1")})));
}

TEST_CASE("a job is assigned to one cell only and does not restart under its name while it stops") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}, {"w", std::string(kWorkers)}});
  it.Publish({{"j", std::string(kJob)}});
  it.Join("a");
  const auto update = [&](JobEvent event, const char* cell) {
    return it.Append(Jobs{MemberId("a/1"), {{JobId("index"), event, CellId(cell), ""}}});
  };
  CHECK(As<RecordRefused>(update(JobEvent::kAssigned, "c9")));
  CHECK(As<JobsChanged>(update(JobEvent::kAssigned, "c1")));
  CHECK(As<Unchanged>(update(JobEvent::kAssigned, "c1")));
  it.Publish({{"j", std::nullopt}});
  CHECK(it.state.jobs().at(JobId("index")).status == JobStatus::kCancelled);
  CHECK(As<PublishRejected>(it.Publish({{"j", std::string(kJob)}})));
  CHECK(As<RecordRefused>(update(JobEvent::kFinished, "c9")));
  CHECK(As<JobsChanged>(update(JobEvent::kFinished, "c1")));
  CHECK(it.state.jobs().empty());
  CHECK(As<PublishAccepted>(it.Publish({{"j", std::string(kJob)}})));
}

TEST_CASE("a snapshot that disagrees with the chain is counted and changes nothing") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  SnapshotRecord snapshot = Snapshot::Record(it.state, MemberId("a/1"));
  snapshot.chain[0] = snapshot.chain[0] == '0' ? '1' : '0';
  const LogChange change = it.Append(snapshot);
  REQUIRE(As<SnapshotCompared>(change));
  CHECK(As<SnapshotCompared>(change)->verdict == SnapshotComparison::kDisagrees);
  CHECK(it.state.last_snapshot_offset() == 0);
  CHECK(it.state.counters().Get("cactusshelf_log_refused_total", "snapshot_disagrees") == 1);
  CHECK_THROWS_AS(Snapshot::Load(snapshot), DecodeError);
}

}  // namespace
}  // namespace cactusshelf
