// Tasks that fill name more processors than any worker has. Their processors don't count against a
// worker's capacity, so that they can run on each of the idle workers.
//
// Usage: wide_fills BINARY FOLDER RECORD TROUBLE
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 8;
constexpr int kCapacity = 16000;
constexpr int kDeclaredCpu = 24000;
constexpr int kUsualCpu = 8000;
constexpr int kJobs = 10;
constexpr int kTasks = 2;
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kWithoutRunMs = 3000;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
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
  SleepMs(3000);

  const std::string body = json{{"spec", "500"},
                                {"steps", json::array({{{"count", kTasks},
                                                        {"cpu", trouble ? kDeclaredCpu : kUsualCpu},
                                                        {"memMb", 64},
                                                        {"estimateMs", 500},
                                                        {"fills", true}}})}}
                               .dump();
  Note("jobs of " + body);
  std::map<std::string, std::int64_t> accepted;
  for (int i = 0; i < kJobs; ++i) {
    char key[17];
    std::snprintf(key, sizeof key, "%016x", 0x60000 + i);
    if (Ask(*hosts[static_cast<std::size_t>(i) % 3], "POST", key, body).status == 200)
      accepted[key] = NowMs();
    SleepMs(500);
  }
  if (accepted.empty()) end(2);
  SleepMs(kFinishMs + kWithoutRunMs);
  int without_run = 0;
  int completed = 0;
  for (const auto& [job, at] : accepted) {
    const Answer state = Ask(*hosts[0], "GET", job);
    if (state.body.find("completed") != std::string::npos) ++completed;
    const std::lock_guard<std::mutex> lock(mutex);
    const std::int64_t waited = NowMs() - std::max(at, last_run_at[job]);
    if (ends[job] >= kTasks || waited < kWithoutRunMs) continue;
    ++without_run;
    Note("LOST: job " + job + " has had nothing running for " + std::to_string(waited) +
         " ms, and nothing runs on any worker");
  }
  std::size_t running = 0;
  for (auto& worker : workers) running += worker->running();
  Note("jobs " + std::to_string(accepted.size()) + ", completed " + std::to_string(completed) +
       ", without a run " + std::to_string(without_run) + ", tasks at work " +
       std::to_string(running));
  end(without_run > 0 && running == 0 ? 1 : 0);
}
