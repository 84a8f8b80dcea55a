// A job of many tasks comes, each of which fails once. Small jobs come all the while.
//
// Usage: many_failures BINARY FOLDER RECORD TROUBLE
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 16;
constexpr int kCapacity = 16000;
constexpr int kSteps = 3;
constexpr int kTasksPerStep = 10000;
constexpr int kWideTaskCpu = 200;
constexpr int kSmallTaskCpu = 500;
constexpr int kTasksPerSmallStep = 2;
constexpr std::int64_t kSmallWorkMs = 500;
constexpr std::int64_t kSmallJobPeriodMs = 500;
constexpr std::int64_t kTrafficMs = 75000;      // At most.
constexpr std::int64_t kTrafficAfterMs = 8000;  // After the store has first refused a record.
constexpr std::int64_t kFinishMs = 14000;       // finish_s of the site.
constexpr std::int64_t kWatchMs = 12000;
constexpr std::int64_t kNothingRunsMs = 3000;  // As the rule says.
constexpr char kWideJob[] = "00000000000000f1";

// What has become of a job, as far as the workers see it.
struct Job {
  bool accepted = false;
  int tasks = 0;
  std::set<std::string> done;  // Tasks.
  std::map<std::string, std::int64_t> running;
  std::int64_t last_run_ended = 0;
  std::int64_t idle_since = -1;  // While nothing of it runs and there is room.
  std::int64_t longest_idle = 0;
  int lapsed = 0;
};

std::mutex mutex;
std::map<std::string, Job> jobs;
std::set<std::string> failed_once;
std::atomic<std::int64_t> busy_cpu{0};
std::atomic<int> failures{0};

std::string JobOf(const std::string& task) { return task.substr(0, 16); }

void OnEvent(const Worker& worker, const std::string& task, std::int64_t run,
             const std::string& what) {
  const bool wide = JobOf(task) == kWideJob;
  const std::int64_t cpu = wide ? kWideTaskCpu : kSmallTaskCpu;
  busy_cpu += what == "start" ? cpu : -cpu;
  Note("worker " + worker.id() + ": " + task + " run " + std::to_string(run) + " " + what);
  const std::lock_guard<std::mutex> lock(mutex);
  Job& job = jobs[JobOf(task)];
  if (what == "start") {
    ++job.running[task];
    return;
  }
  if (--job.running[task] <= 0) job.running.erase(task);
  job.last_run_ended = NowMs();
  if (what == "done") job.done.insert(task);
  if (what == "lapsed") ++job.lapsed;
  if (what == "failed") ++failures;
}

bool FailsAtEnd(const std::string& task) {
  if (JobOf(task) != kWideJob) return false;
  const std::lock_guard<std::mutex> lock(mutex);
  return failed_once.insert(task).second;
}

std::string JobId(int n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", 0x1000 + n);
  return text;
}

bool IsDone(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex);
  return static_cast<int>(jobs[id].done.size()) >= jobs[id].tasks;
}

// Looks at all accepted jobs once; returns how many have had nothing running for too long.
int Watch() {
  int lost = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  const bool room = busy_cpu < kWorkers * kCapacity / 2;
  for (auto& [id, job] : jobs) {
    const bool waits = job.accepted && static_cast<int>(job.done.size()) < job.tasks &&
                       job.running.empty() && room;
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
    if (trouble) workers.back()->fails_at_end = FailsAtEnd;
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
  // One planned restart of each host, as after a deployment, before anything is sent.
  for (auto& host : hosts) {
    host->Stop();
    host->Start();
    if (!WaitUntil(15000, all_ready)) end(2);
  }
  SleepMs(2000);

  json steps = json::array();
  for (int i = 0; i < kSteps; ++i)
    steps.push_back(
        {{"count", kTasksPerStep}, {"cpu", kWideTaskCpu}, {"memMb", 64}, {"estimateMs", 20}});
  if (Ask(*hosts[0], "POST", kWideJob, json{{"spec", "20"}, {"steps", steps}}.dump()).status != 200)
    end(2);
  {
    const std::lock_guard<std::mutex> lock(mutex);
    jobs[kWideJob].accepted = true;
    jobs[kWideJob].tasks = kSteps * kTasksPerStep;
  }

  const json step = {{"count", kTasksPerSmallStep},
                     {"cpu", kSmallTaskCpu},
                     {"memMb", 512},
                     {"estimateMs", kSmallWorkMs}};
  json second = step;
  second["dependsOn"] = {0};
  const std::string small =
      json{{"spec", std::to_string(kSmallWorkMs)}, {"steps", json::array({step, second})}}.dump();
  const std::int64_t traffic_ends = NowMs() + kTrafficMs;
  std::int64_t next = NowMs();
  std::int64_t next_line = 0;
  std::int64_t refused_at = -1;
  for (int n = 0; NowMs() < traffic_ends; ++n) {
    if (refused_at < 0 && store.refused_records > 0) refused_at = NowMs();
    if (refused_at >= 0 && NowMs() > refused_at + kTrafficAfterMs) break;
    if (IsDone(kWideJob)) break;
    const std::string id = JobId(n);
    const bool accepted =
        Ask(*hosts[static_cast<std::size_t>(n) % hosts.size()], "POST", id, small).status == 200;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      jobs[id].accepted = accepted;
      jobs[id].tasks = 2 * kTasksPerSmallStep;
    }
    next += kSmallJobPeriodMs;
    while (NowMs() < next) SleepMs(5);
    for (auto& host : hosts)
      if (host->HasEnded()) Note("a host has ended");
    if (NowMs() < next_line) continue;
    next_line = NowMs() + 1000;
    std::size_t unacknowledged = 0;
    for (auto& worker : workers) unacknowledged += worker->unacknowledged_ends();
    Note("failures " + std::to_string(failures) + ", ends not acknowledged " +
         std::to_string(unacknowledged) + ", records refused " +
         std::to_string(store.refused_records) + ", largest record " +
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
    const bool complete = static_cast<int>(job.done.size()) >= job.tasks;
    if (!complete) ++open;
    if (!complete || job.lapsed > 0)
      Note("job " + id + ": " + std::to_string(job.done.size()) + " of " +
           std::to_string(job.tasks) + " tasks done, " + std::to_string(job.lapsed) +
           " runs lapsed, nothing ran for " + std::to_string(job.longest_idle) + " ms");
  }
  Ask(*hosts[0], "GET", kWideJob);
  Ask(*hosts[0], "GET", JobId(0));
  if (lost > 0) Note("LOST: " + std::to_string(lost) + " accepted jobs have nothing running");
  Note("accepted " + std::to_string(accepted) + ", not done " + std::to_string(open));
  end(lost > 0 ? 1 : open == 0 ? 0 : 2);
}
