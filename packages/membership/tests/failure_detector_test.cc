#include "cactusshelf/membership/failure_detector.h"

#include <catch2/catch.hpp>

#include "detector_simulation.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMembers = 7;

TEST_CASE("a crashed member is found dead by members that agree") {
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

TEST_CASE("the members of a lost failure domain are found dead and no others") {
  DetectorSimulation cluster(kMembers, 0, 2);
  cluster.Run(seconds(5));
  cluster.Crash(0);
  cluster.Crash(1);
  cluster.Run(seconds(15));
  for (std::size_t i = 2; i < kMembers; ++i) {
    CHECK(cluster.detector(i).DeadMembers() == std::vector<MemberId>{cluster.id(0), cluster.id(1)});
  }
}

TEST_CASE("one lost link does not make a member suspected") {
  DetectorSimulation cluster(kMembers, 0, 3);
  cluster.CutLink(0, 1);
  cluster.Run(seconds(60));
  CHECK(cluster.CountChanges(0, MemberState::kSuspected) == 0);
  CHECK(cluster.CountChanges(1, MemberState::kSuspected) == 0);
}

TEST_CASE("a suspected member refutes and is not found dead") {
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

TEST_CASE("a member found dead during a long pause is alive again for all when it wakes") {
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

TEST_CASE("a member that wakes from a pause accuses no other member") {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    DetectorSimulation cluster(kMembers, 0, seed);
    cluster.Run(seconds(5) + milliseconds(37) * seed);
    cluster.Pause(3, seconds(8));
    cluster.Run(seconds(30));
    CHECK(cluster.CountChanges(3, MemberState::kSuspected) == 0);
  }
}

TEST_CASE("lost messages do not make a live member dead") {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    DetectorSimulation cluster(kMembers, 0.1, seed);
    cluster.Run(seconds(300));
    for (std::size_t i = 0; i < kMembers; ++i) {
      CHECK(cluster.CountChanges(i, MemberState::kDead) == 0);
    }
  }
}

TEST_CASE("a member that only one other member cannot reach is not a candidate for removal") {
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
  CHECK(bytes <= FailureDetectorSettings{}.gossip_bytes);
}

struct Load {
  double messages = 0;
  double bytes = 0;
};

// Per member and second, over a minute with lost messages in which `crashes` members crash.
Load Measure(std::size_t members, std::size_t crashes) {
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

// The control budget of a node is 3 KB/s, of which the detector may use a third.
constexpr double kBytesPerSecond = 1000;

TEST_CASE("messages and bytes per member do not grow with the number of members") {
  const Load small = Measure(7, 0);
  const Load medium = Measure(70, 0);
  const Load large = Measure(350, 0);
  WARN("messages/s: " << small.messages << ", " << medium.messages << ", " << large.messages);
  WARN("bytes/s: " << small.bytes << ", " << medium.bytes << ", " << large.bytes);
  // Lost messages cause a random number of probes through helpers.
  constexpr double kTolerance = 1.05;
  CHECK(medium.messages <= small.messages * kTolerance);
  CHECK(large.messages <= small.messages * kTolerance);
  CHECK(medium.bytes <= small.bytes * kTolerance);
  CHECK(large.bytes <= small.bytes * kTolerance);
}

TEST_CASE("a crash costs each member no more messages in a larger cluster and few bytes") {
  const Load small = Measure(7, 1);
  const Load medium = Measure(70, 1);
  const Load large = Measure(350, 1);
  WARN("messages/s: " << small.messages << ", " << medium.messages << ", " << large.messages);
  WARN("bytes/s: " << small.bytes << ", " << medium.bytes << ", " << large.bytes);
  CHECK(medium.messages <= small.messages);
  CHECK(large.messages <= small.messages);
  for (const Load& load : {small, medium, large}) {
    CHECK(load.bytes < kBytesPerSecond);
  }
}

TEST_CASE("the loss of a failure domain of fifty members stays within the byte budget") {
  const Load load = Measure(350, 50);
  WARN("messages/s: " << load.messages << ", bytes/s: " << load.bytes);
  CHECK(load.bytes < 3 * kBytesPerSecond);
}

}  // namespace
}  // namespace cactusshelf
