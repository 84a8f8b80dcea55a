#include "cactusshelf/version/log_follower.h"

#include <catch2/catch.hpp>

#include "cactusshelf/version/snapshot.h"
#include "support.h"

namespace cactusshelf {
namespace {

void CatchUp(LogFollower& follower, const FakeLog& log, std::size_t limit = 2) {
  do {
    follower.Consume(log.Read(follower.next_read(), limit));
  } while (!follower.caught_up());
}

TEST_CASE("a trimmed log without a snapshot is an error and not an empty configuration") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  fixture.Join("a");
  fixture.log.Trim(1);
  LogFollower follower;
  CHECK_THROWS_AS(CatchUp(follower, fixture.log), NoSnapshotError);
  fixture.log.Trim(2);
  CHECK_THROWS_AS(CatchUp(follower, fixture.log), NoSnapshotError);
}

TEST_CASE("a reader starts from the latest snapshot whose later records are all in the log") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  const SnapshotRecord early = Snapshot::Record(fixture.state, MemberId("a/1"));
  fixture.Join("a");
  fixture.Append(Snapshot::Record(fixture.state, MemberId("a/1")));
  fixture.Publish({{"j", std::string(kJob)}});
  // Appended late by a slow node: the state is older than the first record left in the log.
  fixture.Append(early);
  fixture.Join("b");
  fixture.log.Trim(2);
  LogFollower follower;
  CatchUp(follower, fixture.log);
  CHECK(follower.state().chain() == fixture.state.chain());
  CHECK(Snapshot::Encode(follower.state()) == Snapshot::Encode(fixture.state));
}

TEST_CASE("a reader whose next record was trimmed continues from a snapshot") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  LogFollower follower;
  CatchUp(follower, fixture.log);
  fixture.Join("a");
  fixture.Join("b");
  fixture.Append(Snapshot::Record(fixture.state, MemberId("a/1")));
  fixture.log.Trim(3);
  CatchUp(follower, fixture.log);
  CHECK(follower.state().chain() == fixture.state.chain());
  CHECK(follower.state().members().size() == 2);
}

TEST_CASE("a damaged snapshot is skipped and the previous snapshot is loaded") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  fixture.Append(Snapshot::Record(fixture.state, MemberId("a/1")));
  SnapshotRecord damaged = Snapshot::Record(fixture.state, MemberId("a/1"));
  damaged.state.resize(damaged.state.size() / 2);
  fixture.Append(damaged);
  fixture.log.Trim(1);
  LogFollower follower;
  CatchUp(follower, fixture.log);
  CHECK(follower.rejected_snapshots() == 1);
  CHECK(follower.state().chain() == fixture.state.chain());
}

TEST_CASE("a log that ends before what was read is an error") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  fixture.Join("a");
  LogFollower follower;
  CatchUp(follower, fixture.log);
  CHECK_THROWS_AS(follower.Consume({0, 1, {}}), LogGapError);
  CHECK(follower.state().offset() == 2);
}

TEST_CASE("a snapshot is due by records and by time, even in an idle log") {
  LogFixture fixture;
  CHECK_FALSE(Snapshot::IsDue(fixture.state, 24h, WallTime(1'700'000'000s)));
  fixture.Join("a");
  const WallTime now = fixture.log.records().back().time;
  CHECK_FALSE(Snapshot::IsDue(fixture.state, 24h, now + 1h));
  CHECK(Snapshot::IsDue(fixture.state, 24h, now + 5h));
  for (std::uint64_t i = 1; i < Snapshot::kDueRecords; ++i) {
    fixture.AppendBytes("x");
  }
  CHECK(Snapshot::IsDue(fixture.state, 24h, now));
  fixture.Append(Snapshot::Record(fixture.state, MemberId("a/1")));
  CHECK_FALSE(Snapshot::IsDue(fixture.state, 24h, now));
}

}  // namespace
}  // namespace cactusshelf
