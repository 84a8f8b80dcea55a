// Scheduled jobs with many occurrences come at once. The platform kills a process that exceeds its
// memory, and starts it again.
//
// Usage: many_occurrences BINARY FOLDER RECORD TROUBLE
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 8;
constexpr int kCapacity = 16000;
constexpr long kMemoryLimitMb = 260;  // memoryMb of the site's machines.
constexpr std::int64_t kRestartDelayMs = 500;
constexpr int kScheduledJobs = 120;
// Once a minute for a day, beginning in an hour.
constexpr int kTimes = 1440;
constexpr int kIntervalMs = 60000;
constexpr std::int64_t kFirstDueMs = 3600000;
constexpr std::int64_t kScheduledPeriodMs = 50;
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kWithoutRunMs = 3000;
constexpr char kBody[] =
    R"({"spec":"500","steps":[{"count":4,"cpu":1000,"memMb":64,"estimateMs":500}]})";

std::string ScheduledBody(int times) {
  const auto now = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  return json{{"spec", "500"},
              {"steps", json::array({{{"count", 6}, {"cpu", 1600}, {"memMb", 3200}, {"estimateMs", 1000}},
                                     {{"count", 4},
                                      {"cpu", 1600},
                                      {"memMb", 3200},
                                      {"estimateMs", 1000},
                                      {"dependsOn", json::array({0})}}})},
              {"times", times},
              {"startAtMs", now + kFirstDueMs},
              {"intervalMs", kIntervalMs}}
      .dump();
}

long ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE) / (1 << 20);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string folder = argv[2];
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);

  Store store;
  PutConfiguration(store, 4);
  std::mutex mutex;
  std::map<std::string, std::int64_t> last_run_at;  // By job: when something of it ran last.
  std::map<std::string, int> ends;                  // By job: tasks that ended as done.
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i), store, kCapacity, "r1-1"));
    workers.back()->on_event = [&](const Worker& worker, const std::string& task, std::int64_t run,
                                   const std::string& what) {
      Note("worker " + worker.id() + ": " + task + " run " + std::to_string(run) + " " + what);
      const std::lock_guard<std::mutex> lock(mutex);
      last_run_at[task.substr(0, 16)] = NowMs();
      if (what == "done") ++ends[task.substr(0, 16)];
    };
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 3; ++i)
    hosts.push_back(
        std::make_unique<Host>("front-" + std::to_string(i), argv[1], folder, store.address()));
  for (auto& host : hosts) host->Start();
  // The platform's limit on memory.
  std::atomic<bool> stop{false};
  std::map<std::string, int> kills;
  std::map<std::string, long> most;
  std::thread platform([&] {
    std::map<std::string, std::int64_t> start_at;
    while (!stop) {
      for (auto& host : hosts) {
        if (host->pid() > 0) {
          const long mb = ResidentMb(host->pid());
          most[host->name()] = std::max(most[host->name()], mb);
          if (mb <= kMemoryLimitMb) continue;
          Note(host->name() + " uses " + std::to_string(mb) + " MB, over its limit of " +
               std::to_string(kMemoryLimitMb) + " MB");
          host->Kill();
          ++kills[host->name()];
          start_at[host->name()] = NowMs() + kRestartDelayMs;
        } else if (NowMs() >= start_at[host->name()]) {
          host->Start();
        }
      }
      SleepMs(20);
    }
  });
  const auto end = [&](int code) {
    stop = true;
    platform.join();
    for (auto& host : hosts) host->Kill();
    Note("exit " + std::to_string(code));
    std::_Exit(code);
  };
  const auto all_ready = [&] {
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& it) { return it->Ready(); });
  };
  if (!WaitUntil(15000, all_ready)) end(2);
  SleepMs(3000);

  int scheduled = 0;
  for (int i = 0; i < kScheduledJobs; ++i) {
    char key[17];
    std::snprintf(key, sizeof key, "%016x", 0x70000 + i);
    const Host& host = *hosts[static_cast<std::size_t>(i) % 3];
    const std::string body = ScheduledBody(trouble ? kTimes : 1);
    if (Ask(host, "POST", key, body).status == 200) ++scheduled;
    SleepMs(kScheduledPeriodMs);
  }
  Note("scheduled jobs accepted: " + std::to_string(scheduled));
  std::map<std::string, std::int64_t> accepted;
  const std::int64_t began = NowMs();
  for (int i = 0; NowMs() - began < 20000; ++i) {
    char key[17];
    std::snprintf(key, sizeof key, "%016x", 0x80000 + i);
    // A client that gets no answer asks again at the next host.
    for (std::size_t k = 0; k < 3; ++k) {
      const Host& host = *hosts[(static_cast<std::size_t>(i) + k) % 3];
      if (Ask(host, "POST", key, kBody, 1500).status != 200) continue;
      accepted[key] = NowMs();
      break;
    }
    SleepMs(500);
  }
  Note("end of the traffic, accepted " + std::to_string(accepted.size()));
  SleepMs(kFinishMs);
  const auto stuck_jobs = [&] {
    std::set<std::string> stuck;
    const std::lock_guard<std::mutex> lock(mutex);
    for (const auto& [job, at] : accepted)
      if (ends[job] < 4 && NowMs() - std::max(at, last_run_at[job]) >= kWithoutRunMs)
        stuck.insert(job);
    return stuck;
  };
  const std::set<std::string> before = stuck_jobs();
  std::size_t running = 0;
  for (int i = 0; i < 30; ++i) {
    std::size_t now = 0;
    for (auto& worker : workers) now += worker->running();
    running = std::max(running, now);
    SleepMs(100);
  }
  int without_run = 0;
  for (const std::string& job : stuck_jobs()) {
    if (!before.contains(job)) continue;
    ++without_run;
    Note("LOST: job " + job + " has had nothing running for " +
         std::to_string(NowMs() - std::max(accepted[job], last_run_at[job])) +
         " ms, and its tasks of 1 processor could run");
  }
  std::string text;
  int hosts_with_three = 0;
  for (auto& host : hosts) {
    text += " " + host->name() + " " + std::to_string(kills[host->name()]) + " (at most " +
            std::to_string(most[host->name()]) + " MB)";
    if (kills[host->name()] >= 3) ++hosts_with_three;
  }
  Note("killed for memory:" + text + "; jobs " + std::to_string(accepted.size()) +
       ", without a run " + std::to_string(without_run) + ", at most " + std::to_string(running) +
       " tasks at work in the 3 s");
  if (hosts_with_three >= 2)
    Note("Fault: the processes of " + std::to_string(hosts_with_three) +
         " machines of 3 have ended by themselves three times");
  if (!trouble && accepted.empty()) end(2);
  end(without_run > 0 || hosts_with_three >= 2 ? 1 : 0);
}
