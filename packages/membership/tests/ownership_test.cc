#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/testing/disabled_protection.h"
#include "cluster_simulation.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTakeoverWait = milliseconds(2100);
constexpr Duration kStartUpTime = seconds(5);

// Returns a cluster in which every member has authority.
ClusterSimulation MakeCluster(std::size_t members = 7) {
  ClusterSimulation::Options options;
  options.members = members;
  ClusterSimulation cluster(options);
  cluster.Run(kStartUpTime);
  for (std::size_t i = 0; i < members; ++i) {
    REQUIRE(cluster.HasAuthority(i));
  }
  return cluster;
}

// Returns a key on which `member` may act.
std::string KeyOwnedBy(const ClusterSimulation& cluster, std::size_t member) {
  for (int i = 0;; ++i) {
    std::string key = std::to_string(i);
    if (cluster.ActiveOwner(key) == member) {
      return key;
    }
  }
}

// Runs until `member` can no longer act on `key`, for at most 30 s. Returns the elapsed time.
Duration RunWhileActive(ClusterSimulation& cluster, std::size_t member, const std::string& key) {
  Duration elapsed = Duration::zero();
  while (elapsed < seconds(30) && cluster.ActiveOwner(key) == member) {
    cluster.Run(milliseconds(10));
    elapsed += milliseconds(10);
  }
  return elapsed;
}

// Runs until a member may act on `key`, for at most 30 s. Returns the elapsed time.
Duration RunUntilActive(ClusterSimulation& cluster, const std::string& key) {
  Duration elapsed = Duration::zero();
  while (elapsed < seconds(30) && !cluster.ActiveOwner(key)) {
    cluster.Run(milliseconds(10));
    elapsed += milliseconds(10);
  }
  return elapsed;
}

TEST_CASE("a map with a member listed twice is rejected") {
  const Member member{MemberId("a/1"), DomainId("d"), 3};
  CHECK_THROWS_AS(OwnershipMap::Make(5, {member, member}), Error);
  CHECK_THROWS_AS(OwnershipMap::Make(2, {member}), Error);
  CHECK(OwnershipMap().OwnerOf("key") == nullptr);
}

TEST_CASE("a paused owner that resumes has no authority before it reads the log") {
  ClusterSimulation cluster = MakeCluster();
  const std::string key = KeyOwnedBy(cluster, 3);
  cluster.Pause(3, seconds(10));
  cluster.Remove(3);
  cluster.Run(seconds(9));
  CHECK(cluster.ActiveOwner(key).has_value());
  CHECK_FALSE(cluster.HasAuthority(3));
  cluster.Run(seconds(2));
  CHECK_FALSE(cluster.HasAuthority(3));
  CHECK(cluster.max_active_owners() == 1);
}

TEST_CASE("a paused owner that was not removed acts again after it reads the log") {
  ClusterSimulation cluster = MakeCluster();
  cluster.Pause(3, seconds(10));
  cluster.Run(seconds(9));
  CHECK_FALSE(cluster.HasAuthority(3));
  cluster.Run(seconds(2));
  CHECK(cluster.HasAuthority(3));
}

TEST_CASE("a log outage does not stop the owners") {
  ClusterSimulation cluster = MakeCluster();
  cluster.SetLogOutage(true);
  for (int i = 0; i < 200; ++i) {
    cluster.Run(milliseconds(100));
    for (std::size_t member = 0; member < cluster.size(); ++member) {
      REQUIRE(cluster.HasAuthority(member));
    }
  }
}

TEST_CASE("a log outage with a crashed member stops all owners until its host is delisted") {
  ClusterSimulation cluster = MakeCluster();
  const std::string dead_key = KeyOwnedBy(cluster, 2);
  const std::string live_key = KeyOwnedBy(cluster, 4);
  cluster.SetLogOutage(true);
  cluster.Crash(2);
  cluster.Run(seconds(5));
  CHECK_FALSE(cluster.ActiveOwner(live_key).has_value());
  cluster.RemoveFromHostList(2);
  cluster.Run(seconds(5));
  CHECK(cluster.ActiveOwner(live_key) == 4);
  CHECK_FALSE(cluster.ActiveOwner(dead_key).has_value());
  cluster.SetLogOutage(false);
  cluster.Remove(2);
  cluster.Run(seconds(4));
  CHECK(cluster.ActiveOwner(dead_key).has_value());
}

TEST_CASE("an owner cut off from log and members stops before its successor acts") {
  ClusterSimulation cluster = MakeCluster();
  const std::string key = KeyOwnedBy(cluster, 1);
  cluster.SetLogCut(1, true);
  for (std::size_t i = 0; i < 7; ++i) {
    cluster.SetLinkCut(1, i, true);
  }
  cluster.Remove(1);
  CHECK(RunWhileActive(cluster, 1, key) <= seconds(2));
  CHECK(RunUntilActive(cluster, key) < seconds(1));
  CHECK(cluster.max_active_owners() == 1);
}

TEST_CASE("an owner cut off from the log alone is refused by members that read its removal") {
  ClusterSimulation cluster = MakeCluster();
  const std::string key = KeyOwnedBy(cluster, 1);
  cluster.SetLogCut(1, true);
  cluster.Run(seconds(10));
  CHECK(cluster.ActiveOwner(key) == 1);
  cluster.Remove(1);
  cluster.Run(seconds(4));
  CHECK_FALSE(cluster.HasAuthority(1));
  CHECK(cluster.ActiveOwner(key).has_value());
  CHECK(cluster.max_active_owners() == 1);
}

TEST_CASE("a member has no authority if the hosts of all other members left the host list") {
  ClusterSimulation cluster = MakeCluster(2);
  cluster.SetLogCut(0, true);
  cluster.Crash(1);
  cluster.RemoveFromHostList(1);
  cluster.Run(seconds(10));
  CHECK_FALSE(cluster.HasAuthority(0));
}

// Returns the largest number of members that may act on the same key, over 100 keys.
std::size_t MaxActiveOwners(const ClusterSimulation& cluster) {
  std::size_t most = 0;
  for (int i = 0; i < 100; ++i) {
    most = std::max(most, cluster.ActiveOwners(std::to_string(i)).size());
  }
  return most;
}

TEST_CASE("a removed member to which others still give promises keeps a new member from acting") {
  ClusterSimulation cluster = MakeCluster(3);
  cluster.SetLogCut(0, true);
  const std::size_t joined = cluster.Join("host-new");
  cluster.Run(seconds(3));
  // Member 0 has not applied the join of the new member. The others have, but will not read that
  // member 0 is removed.
  cluster.SetLogCut(1, true);
  cluster.SetLogCut(2, true);
  cluster.Remove(0);
  cluster.Run(seconds(10));
  CHECK(cluster.HasAuthority(0));
  CHECK(cluster.HasAuthority(joined));
  CHECK(MaxActiveOwners(cluster) == 1);
  cluster.SetLogCut(1, false);
  cluster.SetLogCut(2, false);
  cluster.Run(seconds(5));
  CHECK_FALSE(cluster.HasAuthority(0));
  KeyOwnedBy(cluster, joined);
  CHECK(MaxActiveOwners(cluster) == 1);
}

TEST_CASE("a member that joins a nearly empty cluster waits for removals it did not read") {
  const MemberId self("b/1");
  const Member earlier{MemberId("a/1"), DomainId("d"), 1};
  const Member own{self, DomainId("d"), 2};
  const Time start{seconds(100)};
  OwnershipTracker tracker(self, {});
  SECTION("no earlier member") {
    tracker.OnMapChange({OwnershipMap::Make(2, {own}), {}, false}, start);
    CHECK(tracker.OwnershipStart("key") == start + kTakeoverWait);
    CHECK(tracker.SettledEpoch(start) < own.join_offset);
    CHECK(tracker.SettledEpoch(start + kTakeoverWait) == 2);
  }
  SECTION("an earlier member that leaves before it confirmed") {
    tracker.OnMapChange({OwnershipMap::Make(2, {earlier, own}), {}, false}, start);
    CHECK(tracker.AwaitedMembers() == std::vector<MemberId>{earlier.id});
    tracker.OnMapChange({OwnershipMap::Make(3, {own}), {{earlier, DepartureKind::kLeft}}, true},
                        start + seconds(5));
    CHECK(tracker.OwnershipStart("key") == start + seconds(5) + kTakeoverWait);
  }
  SECTION("an earlier member that confirms") {
    tracker.OnMapChange({OwnershipMap::Make(2, {earlier, own}), {}, false}, start);
    tracker.OnPeerEpoch(earlier.id, 1, start + seconds(1));
    CHECK_FALSE(tracker.AwaitedMembers().empty());
    tracker.OnPeerEpoch(earlier.id, 2, start + seconds(2));
    CHECK(tracker.AwaitedMembers().empty());
    tracker.OnMapChange({OwnershipMap::Make(3, {own}), {{earlier, DepartureKind::kLeft}}, true},
                        start + seconds(3));
    const OwnershipMap before = OwnershipMap::Make(2, {earlier, own});
    for (int i = 0; i < 20; ++i) {
      const std::string key = std::to_string(i);
      const bool kept = before.OwnerOf(key)->id == self;
      CHECK(tracker.OwnershipStart(key) == start + (kept ? seconds(2) : seconds(3)));
    }
  }
}

TEST_CASE("a member does not report a map while a member removed from the map may still act") {
  const MemberId self("a/1");
  const Member own{self, DomainId("d"), 1};
  const Member other{MemberId("b/1"), DomainId("d"), 2};
  const Time start{seconds(100)};
  OwnershipTracker tracker(self, {});
  tracker.OnMapChange({OwnershipMap::Make(2, {own, other}), {}, true}, start);
  const Time removed = start + seconds(10);
  tracker.OnMapChange({OwnershipMap::Make(3, {own}), {{other, DepartureKind::kRemoved}}, true},
                      removed);
  CHECK(tracker.SettledEpoch(removed) == 2);
  CHECK(tracker.SettledEpoch(removed + kTakeoverWait) == 3);
}

TEST_CASE("an ownership that began before the retained departures still has a start in the past") {
  const MemberId self("a/1");
  const Member own{self, DomainId("d"), 1};
  const Member other{MemberId("b/1"), DomainId("d"), 2};
  const Time start{seconds(100)};
  OwnershipTracker tracker(self, {});
  tracker.OnMapChange({OwnershipMap::Make(1, {own}), {}, true}, start);
  tracker.OnMapChange({OwnershipMap::Make(2, {own, other}), {}, true},
                      start + std::chrono::hours(1));
  tracker.OnMapChange({OwnershipMap::Make(3, {own}), {{other, DepartureKind::kLeft}}, true},
                      start + std::chrono::hours(2));
  tracker.OnMapChange({OwnershipMap::Make(4, {own}), {}, true}, start + std::chrono::hours(3));
  CHECK(tracker.OwnershipStart("key") == start + std::chrono::hours(2));
}

TEST_CASE("a member that loaded a snapshot waits for removals it did not read") {
  const MemberId self("a/1");
  const Member own{self, DomainId("d"), 1};
  const Time start{seconds(100)};
  OwnershipTracker tracker(self, {});
  tracker.OnMapChange({OwnershipMap::Make(1, {own}), {}, true}, start);
  tracker.OnMapChange({OwnershipMap::Make(9, {own}), {}, false}, start + seconds(60));
  CHECK(tracker.OwnershipStart("key") == start + seconds(60) + kTakeoverWait);
}

TEST_CASE("the keys of a member that left are taken over without the wait") {
  ClusterSimulation cluster = MakeCluster();
  const std::string key = KeyOwnedBy(cluster, 5);
  cluster.Leave(5);
  CHECK(RunUntilActive(cluster, key) < seconds(1));
}

TEST_CASE("the keys of a lost failure domain are taken over after the wait") {
  ClusterSimulation cluster = MakeCluster();
  const std::string first = KeyOwnedBy(cluster, 5);
  const std::string second = KeyOwnedBy(cluster, 6);
  for (const std::size_t member : {5, 6}) {
    cluster.Crash(member);
    cluster.Remove(member);
  }
  // The wait is measured by a clock that may run up to 5% fast.
  CHECK(RunUntilActive(cluster, first) >= kTakeoverWait * 100 / 105);
  CHECK(RunUntilActive(cluster, second) < seconds(1));
}

TEST_CASE("a joined member takes keys over as soon as the earlier members confirmed the map") {
  ClusterSimulation cluster = MakeCluster();
  const std::size_t joined = cluster.Join("host-new");
  cluster.Run(seconds(2));
  KeyOwnedBy(cluster, joined);
  CHECK(cluster.max_active_owners() == 1);
}

TEST_CASE("a joined member does not act while an earlier member has not confirmed the map") {
  ClusterSimulation cluster = MakeCluster();
  cluster.SetLogCut(0, true);
  const std::size_t joined = cluster.Join("host-new");
  cluster.SetLinkCut(0, joined, true);
  cluster.Run(seconds(10));
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(cluster.OwnershipStart(joined, std::to_string(i)).has_value());
  }
  cluster.Remove(0);
  cluster.Run(seconds(5));
  KeyOwnedBy(cluster, joined);
  CHECK(cluster.max_active_owners() == 1);
}

TEST_CASE("an ownership gets a new start when the key returns to an earlier owner") {
  ClusterSimulation cluster = MakeCluster(2);
  const std::string key = KeyOwnedBy(cluster, 0);
  const std::optional<Time> before = cluster.OwnershipStart(0, key);
  std::size_t joined = cluster.Join("host-2");
  cluster.Run(seconds(3));
  while (cluster.ActiveOwner(key) != joined) {
    cluster.Leave(joined);
    joined = cluster.Join("host-2");
    cluster.Run(seconds(3));
  }
  cluster.Leave(joined);
  cluster.Run(seconds(1));
  CHECK(cluster.OwnershipStart(0, key) > before);
}

// Runs schedules in which an owner with a slow clock is cut off at a random time after its last log
// read and is removed at once. Returns the number of runs in which its successor, whose clock is
// fast, acted while the owner still had authority.
int CountEarlyTakeovers(Duration takeover_wait) {
  int early_takeovers = 0;
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.members = 2;
    options.extreme_clock_rates = true;
    options.read_delay = milliseconds(15);
    options.tracker_settings.takeover_wait = takeover_wait;
    ClusterSimulation cluster(options);
    cluster.Run(kStartUpTime);
    cluster.SetLinkCut(0, 1, true);
    cluster.SetLogCut(0, true);
    cluster.Remove(0);
    cluster.Run(seconds(3));
    early_takeovers += cluster.max_active_owners() > 1 ? 1 : 0;
  }
  return early_takeovers;
}

TEST_CASE("the takeover wait covers clocks that differ by 5%") {
  CHECK(CountEarlyTakeovers(kTakeoverWait) == 0);
  // A wait without the allowance for differences in clock rate is too short.
  CHECK(CountEarlyTakeovers(seconds(2)) > 0);
}

constexpr int kSchedules = 400;
constexpr Duration kScheduleTime = seconds(60);

struct ScheduleResult {
  int violations = 0;
  double owned_share = 0;
};

// Stops at the first violation.
ScheduleResult RunSchedules(Duration takeover_wait) {
  ScheduleResult result;
  for (int seed = 0; seed < kSchedules && result.violations == 0; ++seed) {
    ClusterSimulation::Options options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.faults = true;
    options.tracker_settings.takeover_wait = takeover_wait;
    ClusterSimulation cluster(options);
    cluster.Run(kScheduleTime);
    result.violations += cluster.max_active_owners() > 1 ? 1 : 0;
    result.owned_share += cluster.owned_share() / kSchedules;
  }
  return result;
}

TEST_CASE("no two members ever have authority over the same key") {
  const bool takeover_wait_enabled = !IsProtectionDisabled("takeover-wait");
  const ScheduleResult result =
      RunSchedules(takeover_wait_enabled ? kTakeoverWait : Duration::zero());
  CHECK(result.violations == 0);
  // Without owners that can act, the check above would pass trivially.
  CHECK(result.owned_share > 0.3);
  WARN("schedules: " << kSchedules << ", share of checks with an owner: " << result.owned_share);
}

TEST_CASE("without the takeover wait two members have authority over the same key") {
  CHECK(RunSchedules(Duration::zero()).violations > 0);
}

}  // namespace
}  // namespace cactusshelf
