#ifndef REVIEW_STANDINS_2_DEPLOYMENT_H_
#define REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/time.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "worker.h"

// A small deployment on loopback addresses: the store, workers, entry hosts that run the project's
// own program, and a client.
namespace review {

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

class Deployment {
 public:
  static constexpr char kProgram[] = "target/packages/daemon/cactusshelfd";
  static constexpr char kService[] = "avisos";
  static constexpr char kClientHost[] = "notices.example";
  static constexpr char kPrefix[] = "/street/";
  static constexpr Millis kClientTimeout{3000};
  static constexpr int kClientTries = 5;

  explicit Deployment(const std::string& record_file)
      : record_(record_file, std::ios::trunc), gangs(loop), store(loop, PlatformAddress()) {
    char name[] = "/tmp/cactusshelf-review-XXXXXX";
    folder_ = mkdtemp(name);
    store.Start();
  }

  ~Deployment() {
    for (auto& [host, pid] : hosts_) Signal(host, SIGKILL);
    for (auto& [host, pid] : hosts_) {
      if (pid > 0) waitpid(pid, nullptr, 0);
    }
    std::error_code ec;
    if (getenv("KEEP_WORK") == nullptr) {
      std::filesystem::remove_all(folder_, ec);
    } else {
      std::cerr << "logs kept in " << folder_ << "\n";
    }
  }

  void Record(const std::string& line) {
    record_ << loop.ElapsedMs() << " ms " << line << std::endl;
  }

  // Writes a configuration with one queue.
  void PutConfiguration(int version, int attempts) {
    const nlohmann::json route{{"name", "r-street"},    {"host", kClientHost},
                               {"pathPrefix", kPrefix}, {"type", "non_idempotent"},
                               {"timeoutMs", 3000},     {"targetLatencyMs", 1000},
                               {"priority", 0},         {"service", kService},
                               {"attempts", attempts},  {"stretch", 2.0}};
    const nlohmann::json service{
        {"name", kService}, {"healthPath", "/healthz"}, {"maxConns", 64}, {"protocol", "h1"},
        {"tls", false},     {"admissionCheck", false},  {"spare", false}};
    const nlohmann::json limits{{"maxHeaderBytes", 16384},
                                {"maxBodyBytes", 262144},
                                {"headerTimeoutMs", 3000},
                                {"idleTimeoutMs", 15000}};
    const nlohmann::json configuration{
        {"version", version}, {"routes", {route}}, {"services", {service}}, {"limits", limits}};
    store.Put("keyed.op", "config", configuration.dump());
    Record("configuration " + std::to_string(version));
  }

  Worker& AddWorker(const std::string& id, const Capacity& capacity, const std::string& kind,
                    const std::string& rack, const Worker::Planner& planner) {
    const int n = static_cast<int>(workers.size());
    WorkerSpec spec;
    spec.id = id;
    spec.address = {subnet_ + "." + std::to_string(100 + n), 8080};
    spec.service = kService;
    spec.zone = "zone-" + std::to_string(n % 3 + 1);
    spec.capacity = capacity;
    spec.labels = {kind, rack};
    workers.push_back(std::make_unique<Worker>(loop, store, gangs, std::move(spec), planner,
                                               [this](const std::string& line) { Record(line); }));
    return *workers.back();
  }

  // Starts the program as the deploy file does, with the settings of its template.
  void StartHost(int n) {
    const std::string ip = HostIp(n);
    const std::string file = folder_ + "/host-" + std::to_string(n) + ".toml";
    std::ofstream(file) << "service = \"jobs\"\nhost_name = \"front-" << n << "\"\ndomain = \"zone-"
                        << (n % 3 + 1) << "\"\nprocessors = 0.25\n[listen]\ncallers = \"" << ip
                        << ":8161\"\nreadiness = \"" << ip << ":8167\"\nmetrics = \"" << ip
                        << ":9464\"\npeers = \"" << ip << ":7720\"\n[store]\naddress = \""
                        << store.address().Text() << "\"\n[workers]\nlongest_lease = \"10000ms\"\n";
    const std::string log = folder_ + "/host-" + std::to_string(n) + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      // The program ends with this one, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      execl(kProgram, kProgram, "--config", file.c_str(), nullptr);
      _exit(127);
    }
    hosts_[n] = pid;
    Record("host " + std::to_string(n) + " started");
  }

  void Signal(int host, int signal) {
    const auto it = hosts_.find(host);
    if (it != hosts_.end() && it->second > 0) kill(it->second, signal);
  }

  // Kills the process of a host and waits for its end.
  void KillHost(int n) {
    Signal(n, SIGKILL);
    waitpid(hosts_[n], nullptr, 0);
    hosts_[n] = 0;
    Record("host " + std::to_string(n) + " killed");
  }

  pid_t Pid(int host) const { return hosts_.at(host); }

  // True if the process of a host has ended by itself.
  bool HasEnded(int n) {
    const pid_t pid = hosts_[n];
    if (pid <= 0 || waitpid(pid, nullptr, WNOHANG) != pid) return false;
    hosts_[n] = 0;
    return true;
  }

  // Calls `then` once all hosts are ready.
  void WhenReady(const std::function<void()>& then) { WaitForHost(hosts_.begin()->first, then); }

  using Done = std::function<void(const Response&)>;

  void Call(int host, const std::string& method, const std::string& path, const std::string& body,
            const Done& done) {
    HttpExchange::Send(loop, {HostIp(host), 8161}, method, path, kClientHost, body, kClientTimeout,
                       done);
  }

  // Hands a job in, again at other hosts if there is no answer, or one that leaves it open, as the
  // protocol page says. Calls `accepted` after a 2xx answer.
  void Submit(const std::string& job, const std::string& body,
              const std::function<void()>& accepted, int tries = kClientTries) {
    const auto nth = static_cast<int>(next_host_++ % hosts_.size());
    const int host = std::next(hosts_.begin(), nth)->first;
    Call(host, "POST", kPrefix + job, body,
         [this, job, body, accepted, tries, host](const Response& response) {
           Record("submit " + job + " at host " + std::to_string(host) + " answered " +
                  std::to_string(response.status));
           if (response.status >= 200 && response.status < 300) {
             if (accepted) accepted();
           } else if (tries > 1 && response.status != 404 && response.status != 400) {
             loop.After(Millis(200), [this, job, body, accepted, tries] {
               Submit(job, body, accepted, tries - 1);
             });
           }
         });
  }

  // Asks for the state of a job. The text is empty if there is no answer with a state.
  void AskState(const std::string& job, const std::function<void(int, const std::string&)>& done) {
    const auto nth = static_cast<int>(next_host_++ % hosts_.size());
    const int host = std::next(hosts_.begin(), nth)->first;
    Call(host, "GET", kPrefix + job, "", [this, job, host, done](const Response& response) {
      const auto body = nlohmann::json::parse(response.body, nullptr, false);
      const std::string state = body.is_object() ? body.value("state", "") : "";
      Record("state of " + job + " at host " + std::to_string(host) + " answered " +
             std::to_string(response.status) + " " + state);
      done(response.status, state);
    });
  }

  // Ends the test with an exit code.
  void Finish(int code, const std::string& why) {
    if (exit_code_) return;
    exit_code_ = code;
    Record("result " + std::to_string(code) + ": " + why);
    std::cout << why << "\n";
    loop.Stop();
  }

  int Run() {
    loop.Run();
    return exit_code_.value_or(kNotRun);
  }

  // True unless TROUBLE=0.
  static bool WithTrouble() {
    const char* trouble = getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
  }

 private:
  std::ofstream record_;
  std::string subnet_;

 public:
  EventLoop loop;
  Gangs gangs;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;

 private:
  // Chooses addresses that no other test uses at the same time.
  Address PlatformAddress() {
    std::random_device random;
    subnet_ =
        "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
    return {subnet_ + ".1", 8169};
  }

  std::string HostIp(int n) const { return subnet_ + "." + std::to_string(10 + n); }

  void WaitForHost(int n, const std::function<void()>& then) {
    HttpExchange::Send(loop, {HostIp(n), 8167}, "GET", "/ready", "platform", "", Millis(500),
                       [this, n, then](const Response& response) {
                         const auto next = hosts_.upper_bound(n);
                         if (response.status != 200) {
                           loop.After(Millis(100), [this, n, then] { WaitForHost(n, then); });
                         } else if (next == hosts_.end()) {
                           Record("all hosts are ready");
                           then();
                         } else {
                           WaitForHost(next->first, then);
                         }
                       });
  }

  std::string folder_;
  std::map<int, pid_t> hosts_;
  std::size_t next_host_ = 0;
  std::optional<int> exit_code_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_DEPLOYMENT_H_
