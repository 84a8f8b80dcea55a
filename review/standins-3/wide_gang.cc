// A gang of many small tasks comes, on idle workers.
//
// Usage: wide_gang BINARY FOLDER RECORD TROUBLE
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 8;
constexpr int kCapacity = 16000;
constexpr int kManyTasks = 320;
constexpr int kFewTasks = 30;
constexpr std::int64_t kPlayMs = 40000;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);

  Store store;
  Gangs gangs;
  PutConfiguration(store, 4);
  std::atomic<int> alone{0};
  std::atomic<int> done{0};
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i), store, kCapacity, "r1-1"));
    workers.back()->gangs = &gangs;
    workers.back()->on_event = [&](const Worker& worker, const std::string& task, std::int64_t run,
                                   const std::string& what) {
      Note("worker " + worker.id() + ": " + task + " run " + std::to_string(run) + " " + what);
      if (what == "alone") ++alone;
      if (what == "done") ++done;
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
  SleepMs(4000);

  const std::string job = "00000000000000e1";
  const int count = trouble ? kManyTasks : kFewTasks;
  gangs.Add(job + ".0.0", count);
  const json step = {
      {"count", count}, {"cpu", 50}, {"memMb", 64}, {"estimateMs", 500}, {"gang", true}};
  if (Ask(*hosts[0], "POST", job, json{{"spec", "500"}, {"steps", json::array({step})}}.dump())
          .status != 200)
    end(2);
  WaitUntil(kPlayMs, [&] { return done >= count; });
  Ask(*hosts[0], "GET", job);
  if (alone > 0) Note("GANG: " + std::to_string(alone) + " runs ended alone");
  Note("tasks " + std::to_string(count) + ", done " + std::to_string(done));
  end(alone > 0 ? 1 : done >= count ? 0 : 2);
}
