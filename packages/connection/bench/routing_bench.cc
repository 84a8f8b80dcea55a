// Compares the router with three baselines under virtual time, with the same arrivals, service
// times and faults. With --check, exits with status 1 if a bound is violated.
#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "baseline_policy.h"
#include "bench_network.h"
#include "router_policy.h"

namespace cactusshelf::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr std::array<Deployment, 2> kDeployments = {
    Deployment{"consorcio", 4, milliseconds(5), milliseconds(1), 65},
    Deployment{"cooperativa", 3, std::chrono::microseconds(3500), milliseconds(3), 50}};
constexpr std::array<const char*, 4> kPolicies = {"router", "random", "round robin",
                                                  "least outstanding"};
constexpr Duration kMeasureFrom = seconds(2);  // Earlier requests are a warm-up.
constexpr Duration kFaultFrom = seconds(3);
constexpr Duration kFaultUntil = seconds(5);
constexpr Duration kEnd = seconds(8);
constexpr Duration kDrainTime = seconds(2);
constexpr double kNormalLoad = 0.6;  // Fraction of all slots.
constexpr double kLowLoad = 0.4;
constexpr double kHighLoad = 0.8;
constexpr double kOverload = 2;
constexpr double kSlowdownFactor = 10;
constexpr Duration kFlapPeriod = milliseconds(500);
constexpr int kFlappingEndpoints = 6;

// Bounds that Check verifies.
constexpr Duration kMaxGoodputRecoveryTime = seconds(1);
constexpr double kGoodputRecoveredFraction = 0.95;  // Fraction of the arrivals.

struct Condition {
  const char* name;
  double load_before;
  double load_during;
  void (*inject_fault)(Network&);
};

void NoFault(Network& /*network*/) {}

void SlowEndpoint(Network& network) {
  network.events().At(Time(kFaultFrom), [&] { network.SetSlowdown(0, kSlowdownFactor); });
  network.events().At(Time(kFaultUntil), [&] { network.SetSlowdown(0, 1); });
}

void SetDomain(Network& network, EndpointState state) {
  for (int i = 0; i < network.deployment().endpoints; ++i) {
    if (network.DomainOfEndpoint(i) == 1) {
      network.SetState(i, state);
    }
  }
}

void LostDomain(Network& network) {
  network.events().At(Time(kFaultFrom), [&] { SetDomain(network, EndpointState::kSilent); });
  network.events().At(Time(kFaultUntil), [&] { SetDomain(network, EndpointState::kUp); });
}

void Flapping(Network& network) {
  bool up = false;
  for (Duration at = kFaultFrom; at < kFaultUntil; at += kFlapPeriod) {
    const EndpointState state = up ? EndpointState::kUp : EndpointState::kRefusing;
    for (int i = 0; i < kFlappingEndpoints; ++i) {
      network.events().At(Time(at), [&network, i, state] { network.SetState(i, state); });
    }
    up = !up;
  }
  for (int i = 0; i < kFlappingEndpoints; ++i) {
    network.events().At(Time(kFaultUntil),
                        [&network, i] { network.SetState(i, EndpointState::kUp); });
  }
}

constexpr std::array<Condition, 6> kConditions = {
    Condition{"steady", kNormalLoad, kNormalLoad, NoFault},
    Condition{"step of load", kLowLoad, kHighLoad, NoFault},
    Condition{"one slow endpoint", kNormalLoad, kNormalLoad, SlowEndpoint},
    Condition{"one domain lost", kNormalLoad, kNormalLoad, LostDomain},
    Condition{"flapping endpoints", kNormalLoad, kNormalLoad, Flapping},
    Condition{"overload x2 and back", kNormalLoad, kOverload, NoFault}};

double RatePerSecond(const Deployment& deployment, double load) {
  const double slots = deployment.endpoints * kSlots;
  return load * slots / std::chrono::duration<double>(kServiceMean).count();
}

std::vector<Arrival> Arrivals(const Deployment& deployment, const Condition& condition) {
  Random random(kSeed);
  std::vector<Arrival> arrivals;
  // During the first 500 ms the members join.
  for (Time at{milliseconds(500)}; at < Time(kEnd);) {
    const bool during = at >= Time(kFaultFrom) && at < Time(kFaultUntil);
    const double load = during ? condition.load_during : condition.load_before;
    at += Duration(
        static_cast<Duration::rep>(random.Exponential(1e6 / RatePerSecond(deployment, load))));
    arrivals.push_back(
        Arrival{at, static_cast<int>(random.Below(kEntryHosts)), random.Chance(0.5)});
  }
  return arrivals;
}

struct Row {
  std::string policy;
  Duration p50{};
  Duration p99{};
  Duration p999{};
  double answered = 0;
  double refused = 0;
  double unknown = 0;
  double retried = 0;
  double cross_domain = 0;
  Duration goodput_recovery{};
  int repeated = 0;         // Non-idempotent requests that ran more than once.
  int refused_but_run = 0;  // Refused as "not run", but run.
};

std::unique_ptr<Policy> MakePolicy(std::size_t n, Network& network) {
  if (n == 0) {
    return std::make_unique<RouterPolicy>(network, kSeed);
  }
  return std::make_unique<BaselinePolicy>(network, static_cast<BaselineKind>(n - 1), kSeed);
}

Duration Quantile(const std::vector<Duration>& sorted, double q) {
  const auto rank = static_cast<std::size_t>(q * static_cast<double>(sorted.size()));
  return sorted.empty() ? Duration::zero() : sorted[std::min(rank, sorted.size() - 1)];
}

// Time from the end of the fault until the fraction of answered requests stays at or above
// kGoodputRecoveredFraction in all following 100 ms buckets.
Duration GoodputRecoveryTime(const std::vector<Arrival>& arrivals,
                             const std::vector<Result>& results) {
  constexpr Duration kBucket = milliseconds(100);
  constexpr std::size_t kBuckets = (kEnd - kFaultUntil) / kBucket;
  std::array<int, kBuckets> arrived{};
  std::array<int, kBuckets> answered{};
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    if (arrivals[i].at < Time(kFaultUntil) || arrivals[i].at >= Time(kEnd)) {
      continue;
    }
    const auto bucket = static_cast<std::size_t>((arrivals[i].at - Time(kFaultUntil)) / kBucket);
    ++arrived[bucket];
    answered[bucket] += results[i].kind == Result::Kind::kAnswered ? 1 : 0;
  }
  std::size_t back = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    if (answered[i] < kGoodputRecoveredFraction * arrived[i]) {
      back = i + 1;
    }
  }
  return back * kBucket;
}

// The latency includes requests that were answered or ended as unknown. Refusals are excluded,
// since they are reported at once.
Row Summarize(const std::vector<Arrival>& arrivals, const Network& network) {
  Row row;
  std::vector<Duration> latencies;
  double total = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const Result& result = network.results()[i];
    const bool not_run = result.kind == Result::Kind::kNotRun;
    row.repeated += !arrivals[i].idempotent && result.runs > 1 ? 1 : 0;
    row.refused_but_run += not_run && result.runs > 0 ? 1 : 0;
    if (arrivals[i].at < Time(kMeasureFrom)) {
      continue;
    }
    ++total;
    row.answered += result.kind == Result::Kind::kAnswered ? 1 : 0;
    row.refused += not_run ? 1 : 0;
    row.unknown += result.kind == Result::Kind::kUnknown ? 1 : 0;
    if (!not_run) {
      latencies.push_back(result.ended - arrivals[i].at + 2 * network.deployment().client_distance);
    }
  }
  std::ranges::sort(latencies);
  row.p50 = Quantile(latencies, 0.5);
  row.p99 = Quantile(latencies, 0.99);
  row.p999 = Quantile(latencies, 0.999);
  row.answered *= 100 / total;
  row.refused *= 100 / total;
  row.unknown *= 100 / total;
  row.cross_domain =
      100 * static_cast<double>(network.cross_domain()) / static_cast<double>(network.sent());
  const auto requests = static_cast<double>(arrivals.size());
  row.retried = 100 * (static_cast<double>(network.sent()) / requests);
  row.goodput_recovery = GoodputRecoveryTime(arrivals, network.results());
  return row;
}

Row Run(const Deployment& deployment, const Condition& condition,
        const std::vector<Arrival>& arrivals, std::size_t policy_number) {
  Network network(deployment, kSeed, arrivals.size());
  const std::unique_ptr<Policy> policy = MakePolicy(policy_number, network);
  condition.inject_fault(network);
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    network.events().At(arrivals[i].at, [&, i] { policy->OnArrival(i, arrivals[i]); });
  }
  network.events().RunUntil(Time(kEnd + kDrainTime));
  Row row = Summarize(arrivals, network);
  row.policy = kPolicies[policy_number];
  const auto* router = dynamic_cast<const RouterPolicy*>(policy.get());
  if (router != nullptr) {
    const auto retries = router->TotalCounters().Total("cactusshelf_retries_total");
    row.retried = 100 * static_cast<double>(retries) / static_cast<double>(arrivals.size());
  } else {
    row.retried =
        100 * static_cast<double>(network.retries()) / static_cast<double>(arrivals.size());
  }
  return row;
}

double Milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

void Print(const Deployment& deployment, const Condition& condition, const Row& row) {
  std::printf("| %s | %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.1f | %.1f | %.0f |\n",
              deployment.name, condition.name, row.policy.c_str(), Milliseconds(row.p50),
              Milliseconds(row.p99), Milliseconds(row.p999), row.answered, row.refused, row.unknown,
              row.retried, row.cross_domain, Milliseconds(row.goodput_recovery));
}

// Returns the number of violated bounds.
int Check(const Deployment& deployment, const Condition& condition, const std::vector<Row>& rows) {
  int broken = 0;
  const auto fail = [&](const std::string& what) {
    ++broken;
    std::printf("BROKEN: %s, %s: %s\n", deployment.name, condition.name, what.c_str());
  };
  const Row& router = rows.front();
  for (std::size_t i = 1; i < rows.size(); ++i) {
    if (router.p99 >= rows[i].p99) {
      fail("p99 not better than " + rows[i].policy);
    }
  }
  if (router.repeated > 0) {
    fail("a non-idempotent request ran twice");
  }
  if (router.refused_but_run > 0) {
    fail("a refused request ran");
  }
  if (router.goodput_recovery > kMaxGoodputRecoveryTime) {
    fail("goodput is not back in time");
  }
  return broken;
}

int Main(bool check) {
  std::printf(
      "| deployment | condition | policy | p50 ms | p99 ms | p99.9 ms | answered %% | refused %% | "
      "unknown %% | retried %% | cross-domain %% | goodput back ms |\n"
      "|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n");
  int broken = 0;
  for (const Deployment& deployment : kDeployments) {
    for (const Condition& condition : kConditions) {
      const std::vector<Arrival> arrivals = Arrivals(deployment, condition);
      std::vector<Row> rows;
      for (std::size_t i = 0; i < kPolicies.size(); ++i) {
        rows.push_back(Run(deployment, condition, arrivals, i));
        Print(deployment, condition, rows.back());
      }
      broken += Check(deployment, condition, rows);
    }
  }
  std::printf("bounds broken: %d\n", broken);
  return check && broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace cactusshelf::bench

int main(int argc, char** argv) {
  const bool check = argc > 1 && std::string_view(argv[1]) == "--check";
  return cactusshelf::bench::Main(check);
}
