// A worker crashes while a member of a gang that checkpoints runs on it.
//
// Usage: gang_checkpoint BINARY FOLDER RECORD TROUBLE
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 8;
constexpr int kCapacity = 16000;
constexpr int kRounds = 5;
constexpr std::int64_t kWorkMs = 4000;
constexpr std::int64_t kCrashAfterMs = 2005;  // Soon after the second checkpoint.
// srv_crash of the site: at most 0.14 of the workers for 4.5 s; here one of eight.
constexpr std::int64_t kDownMs = 1000;
// Each member needs more than half of a worker, so that they run on different workers.
constexpr char kBody[] =
    R"({"spec":"4000","steps":[{"count":3,"cpu":9000,"memMb":64,"estimateMs":4000,"gang":true,"checkpointing":true}]})";

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string folder = argv[2];
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);

  Store store;
  Gangs gangs;
  PutConfiguration(store, 4);
  std::mutex mutex;
  std::string last_started_on;  // The worker that a member was started on last.
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(
        std::make_unique<Worker>("i-" + std::to_string(i), store, kCapacity, "r1-1"));
    workers.back()->gangs = &gangs;
    workers.back()->on_event = [&](const Worker& worker, const std::string& task, std::int64_t run,
                                   const std::string& what) {
      Note("worker " + worker.id() + ": " + task + " run " + std::to_string(run) + " " + what);
      const std::lock_guard<std::mutex> lock(mutex);
      if (what == "start") last_started_on = worker.id();
    };
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 3; ++i)
    hosts.push_back(
        std::make_unique<Host>("front-" + std::to_string(i), argv[1], folder, store.address()));
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

  int completed = 0;
  for (int i = 0; i < kRounds; ++i) {
    char key[17];
    std::snprintf(key, sizeof key, "%016x", 0xf000 + i);
    const std::string job = key;
    const std::string step = job + ".0.0";
    gangs.Add(step, 3);
    if (Ask(*hosts[0], "POST", job, kBody).status != 200) end(2);
    const auto worked = [&] { return gangs.Get(step + ".0", 1).worked_ms; };
    if (!WaitUntil(10000, [&] { return worked() >= kCrashAfterMs; })) end(2);
    std::string id;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      id = last_started_on;
    }
    for (auto& worker : workers) {
      if (!trouble || worker->id() != id) continue;
      worker->Crash();
      SleepMs(kDownMs);
      worker->Return(kCapacity, "a");
      worker->Register("ready");
    }
    const auto over = [&] {
      return Call(hosts[0]->front(), "GET", kPrefix + job, kHostHeader, "", 2000)
                 .body.find("completed") != std::string::npos;
    };
    if (WaitUntil(12000, over)) ++completed;
    Ask(*hosts[0], "GET", job);
  }
  Note("completed " + std::to_string(completed) + " of " + std::to_string(kRounds));
  if (!trouble && completed < kRounds) end(2);
  end(gangs.mixed ? 1 : 0);
}
