// A scheduled job with many occurrences comes. Small jobs come all the while. No task fails.
//
// Usage: long_schedule BINARY FOLDER RECORD TROUBLE
//
// With TROUBLE 0 the same occurrences, at the same rate, belong to eight jobs instead of one.
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 16;
constexpr int kCapacity = 16000;
constexpr int kSteps = 4;
constexpr int kOccurrences = 16000;
constexpr int kIntervalMs = 7;
constexpr int kJobsWithoutTrouble = 8;
constexpr int kTaskCpu = 200;
constexpr int kSmallTaskCpu = 500;
constexpr int kTasksPerSmallStep = 2;
constexpr std::int64_t kSmallWorkMs = 500;
constexpr std::int64_t kSmallJobPeriodMs = 500;
constexpr std::int64_t kTrafficEndMs = 98000;    // At the latest, from the start of the script.
constexpr std::int64_t kTrafficAfterMs = 18000;  // After the store has first refused a record.
constexpr std::int64_t kFinishMs = 14000;        // finish_s of the site.
constexpr std::int64_t kWatchMs = 4500;
constexpr std::int64_t kNothingRunsMs = 3000;     // As the rule says.
constexpr char kScheduled[] = "00000000000000f";  // A digit follows.

// What has become of a small job, as far as the workers see it.
struct Job {
  bool accepted = false;
  std::set<std::string> done;  // Tasks.
  std::map<std::string, int> running;
  std::int64_t idle_since = -1;  // While nothing of it runs and there is room.
  std::int64_t longest_idle = 0;
};
constexpr std::size_t kTasksOfSmallJob = 2 * kTasksPerSmallStep;

std::mutex mutex;
std::map<std::string, Job> jobs;
std::atomic<std::int64_t> busy_cpu{0};
std::atomic<int> scheduled_done{0};
std::atomic<int> other_ends{0};

void OnEvent(const Worker& worker, const std::string& task, std::int64_t run,
             const std::string& what) {
  const bool scheduled = task.rfind(kScheduled, 0) == 0;
  const std::int64_t cpu = scheduled ? kTaskCpu : kSmallTaskCpu;
  busy_cpu += what == "start" ? cpu : -cpu;
  Note("worker " + worker.id() + ": " + task + " run " + std::to_string(run) + " " + what);
  if (what != "start" && what != "done") ++other_ends;
  if (scheduled) {
    if (what == "done") ++scheduled_done;
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex);
  Job& job = jobs[task.substr(0, 16)];
  if (what == "start") {
    ++job.running[task];
    return;
  }
  if (--job.running[task] <= 0) job.running.erase(task);
  if (what == "done") job.done.insert(task);
}

std::string JobId(int n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", 0x1000 + n);
  return text;
}

// Looks at all accepted small jobs once; returns how many have had nothing running for too long.
int Watch() {
  int lost = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  const bool room = busy_cpu < kWorkers * kCapacity / 2;
  for (auto& [id, job] : jobs) {
    const bool waits =
        job.accepted && job.done.size() < kTasksOfSmallJob && job.running.empty() && room;
    if (!waits) {
      job.idle_since = -1;
      continue;
    }
    if (job.idle_since < 0) job.idle_since = NowMs();
    job.longest_idle = std::max(job.longest_idle, NowMs() - job.idle_since);
    if (job.longest_idle > kNothingRunsMs) ++lost;
  }
  return lost;
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);

  Store store;
  PutConfiguration(store, 4);
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i), store, kCapacity, "r1-1"));
    workers.back()->on_event = OnEvent;
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 3; ++i)
    hosts.push_back(
        std::make_unique<Host>("front-" + std::to_string(i), argv[1], argv[2], store.address()));
  for (auto& host : hosts) host->Start();
  const auto end = [&](int code) {
    for (auto& host : hosts) host->Kill();
    Note("exit " + std::to_string(code));
    std::_Exit(code);
  };
  const auto all_ready = [&] {
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& it) { return it->Ready(); });
  };
  if (!WaitUntil(15000, all_ready)) end(2);
  SleepMs(2000);

  json steps = json::array();
  for (int i = 0; i < kSteps; ++i)
    steps.push_back({{"count", 1}, {"cpu", kTaskCpu}, {"memMb", 64}, {"estimateMs", 20}});
  const int n_scheduled = trouble ? 1 : kJobsWithoutTrouble;
  for (int i = 0; i < n_scheduled; ++i) {
    const json job = {{"spec", "20"},
                      {"steps", steps},
                      {"times", kOccurrences / n_scheduled},
                      {"startAtMs", WallMs()},
                      {"intervalMs", kIntervalMs * n_scheduled}};
    if (Ask(*hosts[0], "POST", kScheduled + std::to_string(i), job.dump()).status != 200) end(2);
  }

  const json step = {{"count", kTasksPerSmallStep},
                     {"cpu", kSmallTaskCpu},
                     {"memMb", 512},
                     {"estimateMs", kSmallWorkMs}};
  json second = step;
  second["dependsOn"] = {0};
  const std::string small =
      json{{"spec", std::to_string(kSmallWorkMs)}, {"steps", json::array({step, second})}}.dump();
  std::int64_t next = NowMs();
  std::int64_t next_line = 0;
  std::int64_t refused_at = -1;
  for (int n = 0; NowMs() < kTrafficEndMs; ++n) {
    if (refused_at < 0 && store.refused_records > 0) refused_at = NowMs();
    if (refused_at >= 0 && NowMs() > refused_at + kTrafficAfterMs) break;
    const std::string id = JobId(n);
    const bool accepted =
        Ask(*hosts[static_cast<std::size_t>(n) % hosts.size()], "POST", id, small).status == 200;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      jobs[id].accepted = accepted;
    }
    next += kSmallJobPeriodMs;
    while (NowMs() < next) SleepMs(5);
    for (auto& host : hosts)
      if (host->HasEnded()) Note("a host has ended");
    if (NowMs() < next_line) continue;
    next_line = NowMs() + 1000;
    std::size_t unacknowledged = 0;
    for (auto& worker : workers) unacknowledged += worker->unacknowledged_ends();
    Note("scheduled tasks done " + std::to_string(scheduled_done) + ", ends not done " +
         std::to_string(other_ends) + ", ends not acknowledged " + std::to_string(unacknowledged) +
         ", records refused " + std::to_string(store.refused_records) + ", largest record " +
         std::to_string(store.largest_record) + " bytes");
  }
  Note("the traffic has ended");
  SleepMs(kFinishMs);
  int lost = 0;
  const std::int64_t watch_ends = NowMs() + kWatchMs;
  while (NowMs() < watch_ends) {
    lost = std::max(lost, Watch());
    SleepMs(20);
  }
  int open = 0;
  int accepted = 0;
  for (auto& [id, job] : jobs) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (!job.accepted) continue;
    ++accepted;
    if (job.done.size() >= kTasksOfSmallJob) continue;
    ++open;
    Note("job " + id + ": " + std::to_string(job.done.size()) + " of " +
         std::to_string(kTasksOfSmallJob) + " tasks done, nothing ran for " +
         std::to_string(job.longest_idle) + " ms");
  }
  Ask(*hosts[0], "GET", kScheduled + std::to_string(0));
  Ask(*hosts[0], "GET", JobId(0));
  if (lost > 0) Note("LOST: " + std::to_string(lost) + " accepted jobs have nothing running");
  Note("accepted " + std::to_string(accepted) + " small jobs, not done " + std::to_string(open) +
       ", processors in use " + std::to_string(busy_cpu / 1000) + " of " +
       std::to_string(kWorkers * kCapacity / 1000));
  end(lost > 0 ? 1 : open == 0 ? 0 : 2);
}
