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
  kRefuse,    // Refuses before running.
  kClose,     // Reads and runs the request, then closes the connection.
  kTruncate,  // Runs it and cuts the body of the answer.
  kHang,      // Runs it and never answers.
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
  Duration message_jitter{};  // Messages overtake each other by up to this.
  Duration clock_skew{};      // Wall clocks differ by up to this to either side.
  RouterOptions router;
};

struct CallerAnswer {
  Time at;
  Time sent_at;
  AnswerCaller answer;
};

// Several routers with fake peers' links, endpoints and callers under virtual time. Checks what
// holds at each single step and collects what does not hold in `violations`.
class FakeCluster {
 public:
  explicit FakeCluster(const ClusterOptions& options);

  EventLoop& loop() { return loop_; }
  Random& random() { return random_; }
  void Run(Duration time) { loop_.RunUntil(loop_.now() + time); }

  Router& router(int host) { return *hosts_[static_cast<std::size_t>(host)].router; }
  Now NowAt(int host) const;
  bool IsAlive(int host) const { return hosts_[static_cast<std::size_t>(host)].alive; }

  // Sends a request with `id` to a host, or a new id. Returns the token.
  RequestToken SendRequest(int host, bool idempotent, std::optional<RequestId> id = {},
                           std::optional<Duration> timeout = {},
                           const std::string& customer = "c0");
  RequestId NewId();
  void DisconnectCaller(int host, RequestToken token);

  // The host stops at once; the others learn it after a second.
  void Kill(int host);
  // The host loses its links to other hosts, and its authority, but not to callers and endpoints.
  void Isolate(int host);
  // The host is removed from the member list of the others.
  void Remove(int host);
  void SetMode(int endpoint, EndpointMode mode);
  void SetServiceTime(int endpoint, Duration time);
  void SetLeaving(int host, int endpoint);
  void Retire(const std::string& customer);
  void Drain(int host) {
    Input(host, [&](Router& r) { r.StartDraining(NowAt(host)); });
  }
  // Answers of the host are not delivered to its callers.
  void DropAnswers(int host, bool drop) {
    hosts_[static_cast<std::size_t>(host)].drop_answers = drop;
  }
  // Messages between hosts are lost with this probability from now on.
  void SetMessageLoss(double loss) { options_.message_loss = loss; }

  const CallerAnswer* AnswerTo(RequestToken token) const;
  int Runs(const RequestId& id) const;
  std::uint64_t Sent(int endpoint) const;
  int MaxConcurrent() const { return max_concurrent_; }
  Counters TotalCounters() const;

  // Every call at a host that is still alive has its answer by its deadline.
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
    bool answer_lost = false;  // The answer was lost on its way.
    RequestId id;
    std::string customer;
    Time sent_at;
    Time deadline;
    std::optional<CallerAnswer> answer;
  };
  struct RunningAttempt {
    int endpoint = 0;
    bool done = false;      // The endpoint no longer works on it.
    bool reported = false;  // The router knows.
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
