#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>

#include "fake_deployment.h"

// Measures control traffic, processor time and the time until a published configuration is in
// force, by the number of members, in virtual time. With --check, exits with 1 if a target is
// missed at 7 members: 7 s until in force, 3 KB/s of control traffic and 1.4% of a core per node,
// and 40 appends per second in total.
namespace cactusshelf {
namespace {

constexpr double kMaxInForceSeconds = 7.0;
constexpr double kMaxBytesPerSecond = 3000.0;
constexpr double kMaxCorePercent = 1.4;
constexpr double kMaxAppendsPerSecond = 40.0;
// Size of a long poll of the log over HTTP: the request and an empty response with their headers.
constexpr double kLogReadBytes = 330.0;
constexpr Duration kMeasureDuration = std::chrono::minutes(1);
constexpr int kPublishes = 20;
constexpr int kTargetMembers = 7;

struct Sample {
  double messages_per_second = 0;
  double peer_bytes_per_second = 0;
  double log_reads_per_second = 0;
  double appends_per_second = 0;
  double core_percent = 0;
  double worst_in_force_seconds = 0;

  double ControlBytesPerSecond() const {
    return peer_bytes_per_second + log_reads_per_second * kLogReadBytes;
  }
};

std::string HostName(int n) { return "entry" + std::to_string(n); }

nlohmann::json RevisionOf(FakeDeployment& deployment, const std::string& host) {
  return nlohmann::json::parse(deployment.Status(host)).at("revision");
}

// Publishes a change and returns the time in seconds until all members have the new revision.
double PublishAndWait(FakeDeployment& deployment, int members, int n) {
  const auto before = RevisionOf(deployment, HostName(1));
  const std::string file =
      fmt::format("[[customer]]\nname = \"customer{}\"\npriority = {}\n", n, n % 100);
  const Time start = deployment.time();
  deployment.Publish(HostName(1), fmt::format("publication{}", n), {{"customers.toml", file}});
  const auto in_force = [&] {
    const auto revision = RevisionOf(deployment, HostName(1));
    for (int i = 1; i <= members; ++i) {
      if (revision == before || RevisionOf(deployment, HostName(i)) != revision) {
        return false;
      }
    }
    return true;
  };
  deployment.RunUntil(in_force, std::chrono::minutes(1));
  return std::chrono::duration<double>(deployment.time() - start).count();
}

Sample Measure(int members) {
  FakeDeployment deployment(1);
  for (int i = 1; i <= members; ++i) {
    deployment.StartNode(HostName(i));
  }
  deployment.RunFor(std::chrono::seconds(10));
  const FakeDeployment::Traffic before = deployment.traffic();
  const std::clock_t cpu_start = std::clock();
  deployment.RunFor(kMeasureDuration);
  const double cpu_seconds = static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC;
  const FakeDeployment::Traffic after = deployment.traffic();
  const double seconds = std::chrono::duration<double>(kMeasureDuration).count();
  const double node_seconds = seconds * members;
  const auto increase = [&](std::uint64_t FakeDeployment::Traffic::*field) {
    return static_cast<double>(after.*field - before.*field);
  };
  Sample sample;
  sample.messages_per_second = increase(&FakeDeployment::Traffic::peer_messages) / node_seconds;
  sample.peer_bytes_per_second = increase(&FakeDeployment::Traffic::peer_bytes) / node_seconds;
  sample.log_reads_per_second = increase(&FakeDeployment::Traffic::log_reads) / node_seconds;
  sample.appends_per_second = increase(&FakeDeployment::Traffic::appends) / seconds;
  sample.core_percent = 100.0 * cpu_seconds / node_seconds;
  for (int n = 0; n < kPublishes; ++n) {
    sample.worst_in_force_seconds =
        std::max(sample.worst_in_force_seconds, PublishAndWait(deployment, members, n));
    deployment.RunFor(std::chrono::milliseconds(700));
  }
  return sample;
}

bool MeetsTargets(const Sample& sample) {
  return sample.worst_in_force_seconds <= kMaxInForceSeconds &&
         sample.ControlBytesPerSecond() <= kMaxBytesPerSecond &&
         sample.core_percent <= kMaxCorePercent &&
         sample.appends_per_second <= kMaxAppendsPerSecond;
}

int Run(bool check) {
  bool met = true;
  fmt::print("{:>8} {:>12} {:>12} {:>12} {:>12} {:>10} {:>12}\n", "members", "messages/s",
             "peer B/s", "log reads/s", "appends/s", "core %", "in force s");
  for (const int members : {3, kTargetMembers, 14, 28}) {
    const Sample sample = Measure(members);
    fmt::print("{:>8} {:>12.2f} {:>12.0f} {:>12.2f} {:>12.2f} {:>10.3f} {:>12.3f}\n", members,
               sample.messages_per_second, sample.peer_bytes_per_second,
               sample.log_reads_per_second, sample.appends_per_second, sample.core_percent,
               sample.worst_in_force_seconds);
    std::fflush(stdout);
    met = met && (members != kTargetMembers || MeetsTargets(sample));
  }
  fmt::print("targets at {} members: {}\n", kTargetMembers, met ? "met" : "MISSED");
  return check && !met ? 1 : 0;
}

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  const bool check = argc > 1 && std::strcmp(argv[1], "--check") == 0;
  return cactusshelf::Run(check);
}
