#ifndef CACTUSSHELF_NODE_TESTS_FAKE_DEPLOYMENT_H_
#define CACTUSSHELF_NODE_TESTS_FAKE_DEPLOYMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/node/entry_node.h"
#include "fake_log.h"

namespace cactusshelf {

// Runs several EntryNodes in virtual time with a fake log, host list and endpoints. Messages are
// delayed by 1 to 5 ms at random. Tests inject faults through the public members; no other faults
// occur.
class FakeDeployment {
 public:
  struct Answer {
    int status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
  };

  explicit FakeDeployment(std::uint64_t seed);

  // Starts a process on host `name`. Each start creates a new member, also on the same host.
  void StartNode(const std::string& name);
  void Kill(const std::string& name);
  // A paused process handles no events. Events that arrive meanwhile are handled when it resumes.
  void Pause(const std::string& name) { paused_.insert(name); }
  void Resume(const std::string& name);
  void Drain(const std::string& name);

  void RunFor(Duration duration);
  // Runs until `condition` holds. Returns false if it does not hold within `limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  // Publishes files, based on the revision that is in force at `node`.
  void Publish(const std::string& node, const std::string& publication,
               const std::map<std::string, std::optional<std::string>>& files);

  // Sends a request and returns its number, for AnswerTo.
  std::uint64_t Send(const std::string& node, const std::string& service,
                     const std::string& request_id, bool idempotent);
  std::optional<Answer> AnswerTo(std::uint64_t request) const;

  bool IsRunning(const std::string& name) const { return nodes_.contains(name); }
  EntryNode& node(const std::string& name) { return *nodes_.at(name).node; }
  std::string Status(const std::string& name) { return node(name).Status(CurrentTime()); }
  std::optional<int> ExitCode(const std::string& name) const;
  int Executions(const std::string& request_id) const;
  Time time() const { return now_; }
  WallTime wall() const { return CurrentTime().wall; }
  Random& random() { return random_; }

  // Injected faults.
  bool log_outage = false;
  std::set<std::string> hosts_without_log;
  // Hosts that exchange no messages with other hosts.
  std::set<std::string> isolated_hosts;
  bool drop_append_answers = false;
  Duration service_time = std::chrono::milliseconds(20);
  // Endpoints execute requests, but their answers are lost.
  bool drop_endpoint_answers = false;
  // Applies to nodes that are started afterwards.
  NodeProtections protections;
  // Hosts to omit from the host list. All other hosts with a process are listed.
  std::set<std::string> unlisted_hosts;

  FakeLog log;

  // Total traffic of all nodes since the start.
  struct Traffic {
    std::uint64_t peer_messages = 0;
    std::uint64_t peer_bytes = 0;
    std::uint64_t log_reads = 0;
    std::uint64_t appends = 0;
  };
  const Traffic& traffic() const { return traffic_; }

 private:
  struct Process {
    std::unique_ptr<EntryNode> node;
    std::uint64_t incarnation = 0;
    std::string address;
  };
  struct Event {
    Time time;
    std::uint64_t order = 0;
    std::string host;
    std::uint64_t incarnation = 0;
    std::shared_ptr<const NodeEvent> event;
    friend bool operator>(const Event& a, const Event& b) {
      return std::pair(a.time, a.order) > std::pair(b.time, b.order);
    }
  };
  struct LongPoll {
    std::string host;
    std::uint64_t incarnation = 0;
    Time started;
    std::uint64_t from = 0;
    Time until;
  };

  Now CurrentTime() const;
  void Step(Time until);
  void Deliver(const std::string& host, const NodeEvent& event);
  void Schedule(const std::string& host, Duration delay, NodeEvent event);
  void ExecuteEffects(const std::string& host, Process& process);
  void ExecuteEffect(const std::string& host, Process& process, const NodeEffect& effect);
  void FinishLongPolls();
  Duration Latency() { return random_.Between(Duration(1000), Duration(5000)); }
  bool LogReachable(const std::string& host) const {
    return !log_outage && !hosts_without_log.contains(host);
  }

  Random random_;
  Time now_{std::chrono::seconds(1000)};
  std::map<std::string, Process> nodes_;
  std::map<std::string, int> exit_codes_;
  std::set<std::string> paused_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, std::vector<NodeEvent>> deferred_events_;
  std::vector<LongPoll> long_polls_;
  std::map<std::uint64_t, Answer> answers_;
  std::map<std::string, int> executions_;
  Traffic traffic_;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_TESTS_FAKE_DEPLOYMENT_H_
