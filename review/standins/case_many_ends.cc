// The store is down while a backlog of short tasks runs, so that ends of runs pile up
// unacknowledged at the workers.
#include "site.h"

namespace {

constexpr int kHosts = 3;
constexpr int kWorkers = 2;
constexpr int kWorkerCpu = 32000;
constexpr int kWorkerMemoryMb = 125000;
constexpr int kDownMs = 7000;
constexpr int kTaskMs = 400;
constexpr int kTaskCpu = 200;
constexpr int kJobs = 30;
constexpr int kTasksPerJob = 100;

int Run(const review::Arguments& arguments) {
  review::WorkerOptions worker;
  worker.cpu = kWorkerCpu;
  worker.memory_mb = kWorkerMemoryMb;
  auto& site = *new review::Site(arguments, kHosts, kWorkers, worker);
  if (!site.Begin()) return 2;
  review::SleepMs(2000);
  for (int i = 0; i < kJobs; ++i) site.client.Submit(kTasksPerJob, kTaskCpu, kTaskMs);
  site.record.Line("submitted");
  if (arguments.trouble) {
    site.record.Line("store_down");
    site.store.SetDown(true);
    review::SleepMs(kDownMs);
    site.store.SetDown(false);
    site.record.Line("store_up");
  }
  return site.Finish(60);
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Run); }
