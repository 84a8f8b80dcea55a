#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "cactusshelf/testing/disabled_protection.h"
#include "fake_cluster.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 7;
constexpr int kEndpoints = 10;
constexpr int kSchedules = 300;
constexpr int kRequests = 400;

ClusterOptions OptionsFor(std::uint64_t seed, const RouterProtections& protections) {
  ClusterOptions options;
  options.hosts = kHosts;
  options.endpoints = kEndpoints;
  options.slots = 3;
  options.seed = seed;
  options.deadline = milliseconds(400);
  options.message_loss = seed % 3 == 0 ? 0.05 : 0;
  options.message_duplication = seed % 4 == 0 ? 0.1 : 0;
  options.message_jitter = milliseconds(seed % 5 == 0 ? 40 : 2);
  options.clock_skew = milliseconds(seed % 2 == 0 ? 100 : 0);
  options.router.protections = protections;
  return options;
}

// Injects one random fault in about a quarter of the calls.
void InjectRandomFault(FakeCluster& cluster, int& live_hosts) {
  Random& random = cluster.random();
  const int host = static_cast<int>(random.Below(kHosts));
  const int endpoint = static_cast<int>(random.Below(kEndpoints));
  switch (random.Below(40)) {
    case 0:
      if (live_hosts > 4) {
        --live_hosts;
        cluster.Kill(host);
      }
      return;
    case 1:
      if (live_hosts > 4) {
        --live_hosts;
        cluster.Isolate(host);
      }
      return;
    case 2:
      cluster.SetLeaving(host, endpoint);
      return;
    case 3:
      cluster.SetServiceTime(endpoint, random.Between(milliseconds(5), milliseconds(300)));
      return;
    case 4:
    case 5:
    case 6:
      cluster.SetMode(endpoint, static_cast<EndpointMode>(random.Below(6)));
      return;
    case 7:
    case 8:
      cluster.SetMode(endpoint, EndpointMode::kNormal);
      return;
    case 9:
      cluster.DropAnswers(host, random.Chance(0.3));
      return;
    default:
      return;
  }
}

// Runs one random schedule of requests, repeated ids and faults. Returns the violations.
std::vector<std::string> RunSchedule(std::uint64_t seed, const RouterProtections& protections) {
  FakeCluster cluster(OptionsFor(seed, protections));
  Random& random = cluster.random();
  int live_hosts = kHosts;
  std::vector<RequestId> ids;
  for (int i = 0; i < kRequests; ++i) {
    InjectRandomFault(cluster, live_hosts);
    const int host = static_cast<int>(random.Below(kHosts));
    const bool repeat = !ids.empty() && random.Chance(0.4);
    const std::size_t recent =
        random.Chance(0.5) ? std::min<std::size_t>(ids.size(), 60) : ids.size();
    const RequestId id = repeat ? ids[ids.size() - 1 - random.Below(recent)] : cluster.NewId();
    if (!repeat) {
      ids.push_back(id);
    }
    const bool idempotent = !repeat && random.Chance(0.3);
    if (idempotent) {
      ids.pop_back();
    }
    const RequestToken token = cluster.SendRequest(host, idempotent, id);
    if (random.Chance(0.05)) {
      cluster.Run(random.Between(milliseconds(0), milliseconds(30)));
      cluster.DisconnectCaller(host, token);
    }
    const bool burst = i / 50 % 4 == 3;
    cluster.Run(random.Between(milliseconds(0), milliseconds(burst ? 2 : 35)));
  }
  cluster.Run(seconds(2));
  cluster.CheckAllAnswered();
  return cluster.violations;
}

std::map<std::string, int> Violations(std::uint64_t first_seed, int schedules,
                                      const RouterProtections& protections) {
  std::map<std::string, int> found;
  for (int i = 0; i < schedules; ++i) {
    const std::uint64_t seed = first_seed + static_cast<std::uint64_t>(i);
    for (const std::string& violation : RunSchedule(seed, protections)) {
      if (found[violation]++ == 0) {
        UNSCOPED_INFO("seed " << seed << ": " << violation);
      }
    }
  }
  return found;
}

RouterProtections ProtectionsUnderTest() {
  RouterProtections protections;
  protections.claims = !IsProtectionDisabled("claims");
  protections.not_run_only_if_proven = !IsProtectionDisabled("not-run-only-if-proven");
  protections.drop_truncated = !IsProtectionDisabled("drop-truncated");
  protections.avoid_leaving = !IsProtectionDisabled("avoid-leaving");
  return protections;
}

TEST_CASE("300 random schedules of faults with 7 routers break no invariant") {
  CHECK(Violations(1, kSchedules, ProtectionsUnderTest()).empty());
}

// Verifies that a check can fail: without its protection the same schedules violate the invariant.
void CheckFailsWithout(bool RouterProtections::*protection, const std::string& violation) {
  RouterProtections protections;
  protections.*protection = false;
  const auto found = Violations(1, 40, protections);
  INFO(violation);
  CHECK(found.contains(violation));
}

TEST_CASE("without claims a repeated id runs twice") {
  CheckFailsWithout(&RouterProtections::claims, "a non-idempotent request ran twice");
}

TEST_CASE("without the ownership start check an id that the previous owner granted runs twice") {
  CheckFailsWithout(&RouterProtections::ownership_start, "a non-idempotent request ran twice");
}

TEST_CASE("when resends are not limited to unsent requests, a request runs twice") {
  CheckFailsWithout(&RouterProtections::no_resend, "a non-idempotent request ran twice");
}

TEST_CASE("when not-run answers need no proof, a request that ran is answered as not run") {
  CheckFailsWithout(&RouterProtections::not_run_only_if_proven,
                    "a request that ran was answered as not run");
}

TEST_CASE("when truncated answers are delivered, a caller receives one") {
  CheckFailsWithout(&RouterProtections::drop_truncated,
                    "a caller received a truncated answer or the answer to another request");
}

TEST_CASE("without slot tokens the slot limit of an endpoint is exceeded") {
  CheckFailsWithout(&RouterProtections::slot_tokens, "more slots in use than the endpoint has");
}

TEST_CASE("when leaving endpoints are not avoided, they receive requests") {
  CheckFailsWithout(&RouterProtections::avoid_leaving, "sent to a leaving endpoint");
}

}  // namespace
}  // namespace cactusshelf
