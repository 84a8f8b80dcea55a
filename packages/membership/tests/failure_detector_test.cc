#include "cactusshelf/membership/failure_detector.h"

#include <catch2/catch.hpp>

#include "detector_simulation.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMembers = 7;

TEST_CASE("all members declare a crashed member dead") {
  const auto [members, bound] = GENERATE(std::pair<std::size_t, Duration>(kMembers, seconds(10)),
                                         std::pair<std::size_t, Duration>(350, seconds(20)));
  DetectorSimulation cluster(members, 0, 1);
  cluster.Run(seconds(5));
  cluster.Crash(3);
  cluster.Run(bound);
  for (std::size_t i = 0; i < members; ++i) {
    if (i != 3) {
      CHECK(cluster.detector(i).DeadMembers() == std::vector<MemberId>{cluster.id(3)});
    }
  }
}

TEST_CASE("only the members of a lost failure domain are declared dead") {
  DetectorSimulation cluster(kMembers, 0, 2);
  cluster.Run(seconds(5));
  cluster.Crash(0);
  cluster.Crash(1);
  cluster.Run(seconds(15));
  for (std::size_t i = 2; i < kMembers; ++i) {
    CHECK(cluster.detector(i).DeadMembers() == std::vector<MemberId>{cluster.id(0), cluster.id(1)});
  }
}

TEST_CASE("a single broken link does not cause a member to be suspected") {
  DetectorSimulation cluster(kMembers, 0, 3);
  cluster.CutLink(0, 1);
  cluster.Run(seconds(60));
  CHECK(cluster.CountChanges(0, MemberState::kSuspected) == 0);
  CHECK(cluster.CountChanges(1, MemberState::kSuspected) == 0);
}

TEST_CASE("a suspected member that refutes the suspicion is not declared dead") {
  DetectorSimulation cluster(kMembers, 0, 4);
  cluster.Run(seconds(5));
  cluster.Pause(3, seconds(2));
  cluster.Run(seconds(20));
  std::size_t suspicions = 0;
  for (std::size_t i = 0; i < kMembers; ++i) {
    suspicions += cluster.CountChanges(i, MemberState::kSuspected);
    CHECK(cluster.CountChanges(i, MemberState::kDead) == 0);
    CHECK(cluster.detector(i).SuspectedMembers().empty());
  }
  CHECK(suspicions > 0);
}

TEST_CASE("a member declared dead during a long pause is alive again for all when it resumes") {
  DetectorSimulation cluster(kMembers, 0, 5);
  cluster.Run(seconds(5));
  cluster.Pause(3, seconds(20));
  cluster.Run(seconds(18));
  CHECK(cluster.detector(0).DeadMembers().size() == 1);
  cluster.Run(seconds(12));
  for (std::size_t i = 0; i < kMembers; ++i) {
    CHECK(cluster.detector(i).DeadMembers().empty());
    CHECK(cluster.detector(i).SuspectedMembers().empty());
  }
}

TEST_CASE("a member that resumes after a pause suspects no other member") {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    DetectorSimulation cluster(kMembers, 0, seed);
    cluster.Run(seconds(5) + milliseconds(37) * seed);
    cluster.Pause(3, seconds(8));
    cluster.Run(seconds(30));
    CHECK(cluster.CountChanges(3, MemberState::kSuspected) == 0);
  }
}

TEST_CASE("lost messages do not cause a live member to be declared dead") {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    DetectorSimulation cluster(kMembers, 0.1, seed);
    cluster.Run(seconds(300));
    for (std::size_t i = 0; i < kMembers; ++i) {
      CHECK(cluster.CountChanges(i, MemberState::kDead) == 0);
    }
  }
}

TEST_CASE("a member that is unreachable from a single member is not a candidate for removal") {
  FailureDetector detector(MemberId("a/1"), {}, Random(1), Time{});
  detector.SetMembers({MemberId("a/1"), MemberId("b/1")});
  Time now{};
  for (int i = 0; i < 1000; ++i) {
    now = detector.next_wakeup();
    detector.OnTick(now);
  }
  CHECK(detector.DeadMembers().empty());
}

TEST_CASE("a leaving endpoint is known to all members within seconds") {
  DetectorSimulation cluster(kMembers, 0.1, 6);
  cluster.Run(seconds(2));
  const EndpointId endpoint("notices/127.0.0.1:7001");
  cluster.detector(0).AnnounceLeaving(endpoint, cluster.now());
  cluster.Run(seconds(3));
  for (std::size_t i = 1; i < kMembers; ++i) {
    CHECK(cluster.leaving(i) == std::vector<EndpointId>{endpoint});
  }
}

TEST_CASE("gossip in one message is bounded") {
  DetectorSimulation cluster(70, 0, 7);
  for (int i = 0; i < 200; ++i) {
    cluster.detector(0).AnnounceLeaving(EndpointId("service/" + std::to_string(i)), cluster.now());
  }
  const Ping ping{cluster.id(1), 1, {}};
  const FailureDetectorEffects effects = cluster.detector(0).OnPing(ping, cluster.now());
  const auto& ack = std::get<Ack>(effects.messages.at(0).message);
  std::size_t bytes = 0;
  for (const EndpointId& sent : ack.gossip.leaving_endpoints) {
    bytes += sent.str().size();
  }
  CHECK(bytes > 0);
  CHECK(bytes <= FailureDetectorSettings{}.max_gossip_bytes);
}

struct TrafficRate {
  double messages = 0;
  double bytes = 0;
};

// Measures the traffic per member and second over one minute, with 1% message loss and `crashes`
// members that crash at its start.
TrafficRate MeasureTraffic(std::size_t members, std::size_t crashes) {
  constexpr int kSeconds = 60;
  DetectorSimulation cluster(members, 0.01, members);
  cluster.Run(seconds(10));
  for (std::size_t i = 0; i < crashes; ++i) {
    cluster.Crash(i);
  }
  const std::uint64_t messages = cluster.messages();
  const std::uint64_t bytes = cluster.bytes();
  cluster.Run(seconds(kSeconds));
  const double member_seconds = static_cast<double>(members) * kSeconds;
  return {static_cast<double>(cluster.messages() - messages) / member_seconds,
          static_cast<double>(cluster.bytes() - bytes) / member_seconds};
}

// The budget for control traffic is 3 KB/s per node, of which the detector may use a third.
constexpr double kMaxBytesPerSecond = 1000;

TEST_CASE("messages and bytes per member do not grow with the number of members") {
  const TrafficRate small = MeasureTraffic(7, 0);
  const TrafficRate medium = MeasureTraffic(70, 0);
  const TrafficRate large = MeasureTraffic(350, 0);
  WARN("messages/s: " << small.messages << ", " << medium.messages << ", " << large.messages);
  WARN("bytes/s: " << small.bytes << ", " << medium.bytes << ", " << large.bytes);
  // Lost messages cause a random number of indirect probes.
  constexpr double kTolerance = 1.05;
  CHECK(medium.messages <= small.messages * kTolerance);
  CHECK(large.messages <= small.messages * kTolerance);
  CHECK(medium.bytes <= small.bytes * kTolerance);
  CHECK(large.bytes <= small.bytes * kTolerance);
}

TEST_CASE("a crash adds no messages per member in a larger cluster, and bytes stay bounded") {
  const TrafficRate small = MeasureTraffic(7, 1);
  const TrafficRate medium = MeasureTraffic(70, 1);
  const TrafficRate large = MeasureTraffic(350, 1);
  WARN("messages/s: " << small.messages << ", " << medium.messages << ", " << large.messages);
  WARN("bytes/s: " << small.bytes << ", " << medium.bytes << ", " << large.bytes);
  CHECK(medium.messages <= small.messages);
  CHECK(large.messages <= small.messages);
  for (const TrafficRate& rate : {small, medium, large}) {
    CHECK(rate.bytes < kMaxBytesPerSecond);
  }
}

TEST_CASE("the loss of a failure domain of fifty members stays within the byte budget") {
  const TrafficRate rate = MeasureTraffic(350, 50);
  WARN("messages/s: " << rate.messages << ", bytes/s: " << rate.bytes);
  CHECK(rate.bytes < 3 * kMaxBytesPerSecond);
}

}  // namespace
}  // namespace cactusshelf
