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
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  it.Join("a");
  it.log.Trim(1);
  LogFollower follower;
  CHECK_THROWS_AS(CatchUp(follower, it.log), NoSnapshotError);
  it.log.Trim(2);
  CHECK_THROWS_AS(CatchUp(follower, it.log), NoSnapshotError);
}

TEST_CASE("a reader starts from the latest snapshot whose later records are all there") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  const SnapshotRecord early = Snapshot::Record(it.state, MemberId("a/1"));
  it.Join("a");
  it.Append(Snapshot::Record(it.state, MemberId("a/1")));
  it.Publish({{"j", std::string(kJob)}});
  // Written late by a slow node: its state is older than the first record that is left.
  it.Append(early);
  it.Join("b");
  it.log.Trim(2);
  LogFollower follower;
  CatchUp(follower, it.log);
  CHECK(follower.state().chain() == it.state.chain());
  CHECK(Snapshot::Encode(follower.state()) == Snapshot::Encode(it.state));
}

TEST_CASE("a reader that was overtaken by the trim point moves on through a snapshot") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  LogFollower follower;
  CatchUp(follower, it.log);
  it.Join("a");
  it.Join("b");
  it.Append(Snapshot::Record(it.state, MemberId("a/1")));
  it.log.Trim(3);
  CatchUp(follower, it.log);
  CHECK(follower.state().chain() == it.state.chain());
  CHECK(follower.state().members().size() == 2);
}

TEST_CASE("a damaged snapshot is passed over for the one before") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  it.Append(Snapshot::Record(it.state, MemberId("a/1")));
  SnapshotRecord damaged = Snapshot::Record(it.state, MemberId("a/1"));
  damaged.state.resize(damaged.state.size() / 2);
  it.Append(damaged);
  it.log.Trim(1);
  LogFollower follower;
  CatchUp(follower, it.log);
  CHECK(follower.rejected_snapshots() == 1);
  CHECK(follower.state().chain() == it.state.chain());
}

TEST_CASE("a log that ends before what was read is an error") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  it.Join("a");
  LogFollower follower;
  CatchUp(follower, it.log);
  CHECK_THROWS_AS(follower.Consume({0, 1, {}}), LogGapError);
  CHECK(follower.state().offset() == 2);
}

TEST_CASE("a snapshot is due by records and by time, even in an idle log") {
  LogFixture it;
  CHECK_FALSE(Snapshot::IsDue(it.state, 24h, WallTime(1'700'000'000s)));
  it.Join("a");
  const WallTime now = it.log.records().back().time;
  CHECK_FALSE(Snapshot::IsDue(it.state, 24h, now + 1h));
  CHECK(Snapshot::IsDue(it.state, 24h, now + 5h));
  for (std::uint64_t i = 1; i < Snapshot::kDueRecords; ++i) {
    it.AppendBytes("x");
  }
  CHECK(Snapshot::IsDue(it.state, 24h, now));
  it.Append(Snapshot::Record(it.state, MemberId("a/1")));
  CHECK_FALSE(Snapshot::IsDue(it.state, 24h, now));
}

}  // namespace
}  // namespace cactusshelf
