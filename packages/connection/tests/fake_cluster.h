#ifndef CACTUSSHELF_CONNECTION_TESTS_FAKE_CLUSTER_H_
#define CACTUSSHELF_CONNECTION_TESTS_FAKE_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/connection/router.h"
#include "event_loop.h"

namespace cactusshelf {

enum class EndpointMode {
  kNormal,
  kRefuse,    // Refuses the request before running it.
  kClose,     // Reads and runs the request, then closes the connection.
  kTruncate,  // Runs the request and truncates the body of the answer.
  kHang,      // Runs the request and never answers.
  kDead,      // Accepts no connection.
};

struct ClusterOptions {
  int hosts = 3;
  int endpoints = 6;
  std::uint32_t slots = 2;
  int domains = 3;
  std::uint64_t seed = 1;
  Duration service_time = std::chrono::milliseconds(20);
  Duration deadline = std::chrono::milliseconds(800);
  double message_loss = 0;
  double message_duplication = 0;
  Duration message_jitter{};  // Maximum additional delay, so that messages are reordered.
  Duration clock_skew{};      // Maximum deviation of the wall clocks in either direction.
  RouterOptions router;
};

struct CallerAnswer {
  Time at;
  Time sent_at;
  AnswerCaller answer;
};

// Simulates several routers with links between them, endpoints and callers under virtual time.
// Checks invariants at each event and records each violation in `violations`.
class FakeCluster {
 public:
  explicit FakeCluster(const ClusterOptions& options);

  EventLoop& loop() { return loop_; }
  Random& random() { return random_; }
  void Run(Duration time) { loop_.RunUntil(loop_.now() + time); }

  Router& router(int host) { return *hosts_[static_cast<std::size_t>(host)].router; }
  Now NowAt(int host) const;
  bool IsAlive(int host) const { return hosts_[static_cast<std::size_t>(host)].alive; }

  // Sends a request to a host, with a new id if `id` is empty. Returns the token.
  RequestToken SendRequest(int host, bool idempotent, std::optional<RequestId> id = {},
                           std::optional<Duration> timeout = {},
                           const std::string& customer = "c0");
  RequestId NewId();
  void DisconnectCaller(int host, RequestToken token);

  // Stops the host at once. The other hosts remove it from their member list after a second.
  void Kill(int host);
  // Cuts the links of the host to the other hosts, and stops the renewal of its authority. Its
  // links to callers and endpoints remain.
  void Isolate(int host);
  // Removes the host from the member list of the other hosts.
  void Remove(int host);
  void SetMode(int endpoint, EndpointMode mode);
  void SetServiceTime(int endpoint, Duration time);
  void SetLeaving(int host, int endpoint);
  void Retire(const std::string& customer);
  void Drain(int host) {
    Input(host, [&](Router& r) { r.StartDraining(NowAt(host)); });
  }
  // If `drop`, answers of the host are not delivered to its callers.
  void DropAnswers(int host, bool drop) {
    hosts_[static_cast<std::size_t>(host)].drop_answers = drop;
  }
  // Sets the probability of message loss between hosts from now on.
  void SetMessageLoss(double loss) { options_.message_loss = loss; }

  const CallerAnswer* AnswerTo(RequestToken token) const;
  int Runs(const RequestId& id) const;
  std::uint64_t Sent(int endpoint) const;
  int MaxConcurrent() const { return max_concurrent_; }
  Counters TotalCounters() const;

  // Checks that every call at a host that is alive was answered by its deadline, and that no
  // request ran after it was answered as not run.
  void CheckAllAnswered();

  std::vector<std::string> violations;

 private:
  struct MemberView {
    std::vector<RouterMember> members;
    std::map<std::string, Ownership> owners;
    Time changed{};
  };
  struct Host {
    MemberId id;
    std::unique_ptr<Router> router;
    bool alive = true;
    bool isolated = false;
    bool drop_answers = false;
    Duration skew{};
    MemberView member_view;
    Time wakeup = Time::max();
    std::set<std::string> leaving;
    std::set<std::string> retired;
  };
  struct Endpoint {
    EndpointMode mode = EndpointMode::kNormal;
    Duration service_time{};
    int running = 0;
    std::uint64_t sent = 0;
  };
  struct Caller {
    int host = 0;
    bool idempotent = false;
    bool disconnected = false;
    bool answer_lost = false;  // The answer was dropped.
    RequestId id;
    std::string customer;
    Time sent_at;
    Time deadline;
    std::optional<CallerAnswer> answer;
  };
  struct RunningAttempt {
    int endpoint = 0;
    bool done = false;      // The endpoint is not processing the attempt.
    bool reported = false;  // The router was notified of the end.
  };
  using AttemptKey = std::pair<int, AttemptId>;

  template <typename Function>
  void Input(int host, Function function) {
    Host& h = hosts_[static_cast<std::size_t>(host)];
    if (!h.alive) {
      return;
    }
    function(*h.router);
    ExecuteEffects(host);
  }

  void ExecuteEffects(int host);
  void FireTimer(int host);
  void OnSend(int host, const SendAttempt& send);
  void RunAttempt(int host, const SendAttempt& send, int endpoint);
  void StopRunning(const AttemptKey& key);
  void DeliverEvent(int host, AttemptId attempt, Duration delay, AttemptEvent event);
  void OnCancel(int host, AttemptId attempt);
  void OnAnswer(int host, const AnswerCaller& answer);
  void OnMessage(int host, const SendToPeer& send);
  void ApplyMemberView(int host, const std::vector<RouterMember>& members, bool graceful);
  void RenewAuthority(int host);
  std::optional<Ownership> OwnerAt(int host, std::string_view key);
  int IndexOf(const MemberId& id) const;

  ClusterOptions options_;
  EventLoop loop_;
  Random random_;
  std::vector<Host> hosts_;
  std::vector<Endpoint> endpoints_;
  std::vector<RouterMember> members_;
  std::map<RequestToken, Caller> callers_;
  std::map<RequestId, int> runs_;
  std::map<RequestToken, int> token_runs_;
  std::map<AttemptKey, RunningAttempt> running_;
  std::uint64_t next_token_ = 1;
  int max_concurrent_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_TESTS_FAKE_CLUSTER_H_
