// An entry host is killed after it has handed submissions to the owner, and starts again. The
// confirmations for the ended process reach its successor, which takes them for its own.
//
// Usage: stale_confirmation BINARY FOLDER RECORD TROUBLE
#include "fleet.h"

using namespace fleet;

namespace {

constexpr char kBody[] =
    R"({"spec":"400","steps":[{"count":1,"cpu":200,"memMb":64,"estimateMs":400}]})";
constexpr std::int64_t kVisibleMs = 3000;
constexpr std::int64_t kContactMs = 3000;
// platform_lost of the site: at most 0.35 of the writes for 4.5 s, carried out 1 to 6 s later.
constexpr std::int64_t kLateMs = 4000;
// A process that was killed is started again after this time.
constexpr std::int64_t kRestartDelayMs = 200;
// 29 jobs a second, the rate of a burst of the site (2.6 x 11.2).
constexpr std::int64_t kPostPeriodMs = 34;

// Clients that hand one job after the other in at one host.
class Traffic {
 public:
  explicit Traffic(const Host& host) : host_(host) {}
  // Sends jobs for `ms`, without waiting for their answers.
  void Run(std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      char key[17];
      std::snprintf(key, sizeof key, "%016x", 0xa000 + next_++);
      clients_.emplace_back([this, job = std::string(key)] {
        const Answer answer = Ask(host_, "POST", job, kBody);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (answer.status == 200) accepted_[job] = NowMs();
      });
      SleepMs(kPostPeriodMs);
    }
  }
  void Join() {
    for (auto& client : clients_) client.join();
    clients_.clear();
  }
  const std::map<std::string, std::int64_t>& accepted() const { return accepted_; }

 private:
  const Host& host_;
  int next_ = 0;
  std::vector<std::thread> clients_;
  std::mutex mutex_;
  std::map<std::string, std::int64_t> accepted_;  // Time of the answer.
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string binary = argv[1];
  const std::string folder = argv[2];
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);

  Store store;
  PutConfiguration(store, 4);
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 4; ++i) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i), store, 16000,
                                               "r1-" + std::to_string(i)));
    workers.back()->on_event = [](const Worker& worker, const std::string& task, std::int64_t run,
                                  const std::string& what) {
      Note("worker " + worker.id() + ": " + task + " run " + std::to_string(run) + " " + what);
    };
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 1; i <= 3; ++i)
    hosts.push_back(
        std::make_unique<Host>("front-" + std::to_string(i), binary, folder, store.address()));
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
  const std::string owner_name = store.LastConditionalWriter();
  Host* owner = nullptr;
  Host* restarted = nullptr;
  Host* calm = nullptr;
  for (auto& host : hosts) {
    if (host->name() == owner_name) {
      owner = host.get();
    } else if (restarted == nullptr) {
      restarted = host.get();
    } else {
      calm = host.get();
    }
  }
  if (owner == nullptr) end(2);
  Note("owner " + owner->name() + ", to be restarted " + restarted->name());

  // Three writes of the owner are not answered: one at any time, the next one after it was
  // repeated, and the one after that, which is not carried out before kLateMs.
  std::atomic<int> lost{0};
  std::atomic<bool> armed{false};
  std::int64_t last_sequence = -1;
  const int writes_before = store.writes;
  const std::int64_t window_began = NowMs();
  store.on_append = [&](const AppendCall& call) {
    Fate fate;
    const bool repeated = call.seq == last_sequence;
    if (!armed || lost >= 3 || call.producer != "owner" || repeated) return fate;
    last_sequence = call.seq;
    fate.lost = true;
    if (++lost == 3) fate.late_ms = kLateMs;
    Note("store: write " + std::to_string(call.seq) + " of the owner with " +
         std::to_string(call.records.size()) + " records not answered" +
         (fate.late_ms > 0 ? ", carried out 4 s later" : ""));
    return fate;
  };

  Traffic traffic(*restarted);
  if (trouble) {
    restarted->Kill();
    SleepMs(kRestartDelayMs);
    restarted->Start();
    armed = true;
  }
  traffic.Run(850);
  if (trouble) {
    restarted->Kill();
    SleepMs(kRestartDelayMs);
    restarted->Start();
  }
  traffic.Run(1300);
  SleepMs(1000);
  armed = false;
  Note("writes in " + std::to_string(NowMs() - window_began) +
       " ms: " + std::to_string(store.writes - writes_before) + ", not answered " +
       std::to_string(store.lost_writes));
  traffic.Join();

  // In touch: contactMs after the last disruption, with time for what is carried out late.
  SleepMs(kLateMs + kVisibleMs + kContactMs + 2000);
  if (!WaitUntil(5000, all_ready)) end(2);
  int gone = 0;
  int completed = 0;
  for (const auto& [job, at] : traffic.accepted()) {
    const Answer state = Ask(*calm, "GET", job);
    if (state.status == 410 && Ask(*owner, "GET", job).status == 410 &&
        Ask(*restarted, "GET", job).status == 410) {
      Note("LOST: job " + job + " was accepted (200) at " + std::to_string(at) +
           " ms and is answered 410 by all hosts");
      ++gone;
    }
    completed += state.body.find("completed") != std::string::npos ? 1 : 0;
  }
  Note("accepted " + std::to_string(traffic.accepted().size()) + ", completed " +
       std::to_string(completed) + ", lost " + std::to_string(gone));
  if (completed == 0) end(2);
  end(gone > 0 ? 1 : 0);
}
