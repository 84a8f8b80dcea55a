// A worker crashes and starts again under its id and address, as a smaller kind.
//
// Usage: changed_kind BINARY FOLDER RECORD TROUBLE
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 10;
constexpr int kCapacity = 16000;
constexpr int kSmallerCapacity = 8000;
constexpr int kTaskCpu = 2000;
constexpr char kBody[] =
    R"({"spec":"2500","steps":[{"count":30,"cpu":2000,"memMb":64,"estimateMs":2500}]})";
// srv_crash of the site: at most 0.14 of the workers for 4.5 s; here one of ten.
constexpr std::int64_t kDownMs = 1000;
constexpr int kCrashes = 8;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string folder = argv[2];
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);

  Store store;
  PutConfiguration(store, 4);
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i), store, kCapacity,
                                               "r1-" + std::to_string((i + 7) / 8)));
    workers.back()->task_cpu = kTaskCpu;
    workers.back()->on_event = [](const Worker& worker, const std::string& task, std::int64_t run,
                                  const std::string& what) {
      Note("worker " + worker.id() + ": " + task + " run " + std::to_string(run) + " " + what);
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

  // More work than the workers have room for, so that some always waits.
  std::atomic<bool> stop{false};
  std::atomic<int> accepted{0};
  std::thread clients([&] {
    for (int i = 0; !stop; ++i) {
      char key[17];
      std::snprintf(key, sizeof key, "%016x", 0xb000 + i);
      if (Ask(*hosts[static_cast<std::size_t>(i) % 3], "POST", key, kBody).status == 200) ++accepted;
      SleepMs(800);
    }
  });
  SleepMs(6000);
  const auto over_limit = [&] {
    return std::any_of(workers.begin(), workers.end(),
                       [](const auto& it) { return it->over_limit.load(); });
  };
  if (over_limit()) end(2);
  for (int i = 0; i < kCrashes; ++i) {
    Worker& worker = *workers[static_cast<std::size_t>(i)];
    if (trouble) worker.Crash();
    SleepMs(kDownMs);
    if (trouble) {
      worker.Return(kSmallerCapacity, "b");
      worker.Register("ready");
    }
    SleepMs(2500);
  }
  stop = true;
  clients.join();
  if (accepted == 0) end(2);
  end(over_limit() ? 1 : 0);
}
