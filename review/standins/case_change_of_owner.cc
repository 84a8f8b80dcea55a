// All entry hosts are killed and start again; a worker with tasks that last is lost for good right
// after the new owner has taken over.
#include "site.h"

namespace {

constexpr int kHosts = 3;
constexpr int kWorkers = 8;  // One of them is 0.125 of the service.
constexpr int kJobs = 4;
constexpr int kTasksPerJob = 6;
constexpr int kTaskCpu = 3000;
constexpr int kRestartMs = 500;
constexpr int kAfterTakeoverMs = 300;
constexpr double kLostAfterS = 9;  // From 6 s after the last run, for 3 s.

int CountTakeovers(review::Site& site) {
  int n = 0;
  for (const auto& host : site.hosts) n += host->CountInLog("event=takeover_complete");
  return n;
}

int Run(const review::Arguments& arguments) {
  auto& site = *new review::Site(arguments, kHosts, kWorkers);
  if (!site.Begin()) return 2;
  for (int i = 0; i < kJobs; ++i) {
    site.client.Submit(kTasksPerJob, kTaskCpu, 0,
                       {{"daemon", true}, {"image", "feed"}, {"targetMs", 50}});
  }
  review::SleepMs(8000);
  if (site.record.starts() < kJobs * kTasksPerJob) return 2;
  if (!arguments.trouble) {
    review::SleepMs(15000);
    return site.FinishLasting();
  }
  for (auto& host : site.hosts) host->Kill();
  review::SleepMs(kRestartMs);
  for (auto& host : site.hosts) host->Start();
  for (int i = 0; i < 1000 && CountTakeovers(site) == 0; ++i) review::SleepMs(10);
  if (CountTakeovers(site) == 0) return 2;
  review::SleepMs(kAfterTakeoverMs);
  const auto busiest = std::max_element(
      site.workers.begin(), site.workers.end(),
      [](const auto& left, const auto& right) { return left->load() < right->load(); });
  const double lost_at = site.record.Now();
  const std::vector<std::string> tasks = (*busiest)->LoseForGood();
  review::SleepMs(20000);
  for (const std::string& task : tasks) {
    const double started = site.record.LastStartOf(task);
    const bool again = started > lost_at;
    if (again && started <= lost_at + kLostAfterS) continue;
    site.record.BreakLost("task " + task + " is to last, and did not run for " +
                          (again ? std::to_string(started - lost_at) : "over 20") + " s");
  }
  return site.FinishLasting();
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Run); }
