#ifndef CACTUSSHELF_JOBS_SRC_RELAY_POOL_H_
#define CACTUSSHELF_JOBS_SRC_RELAY_POOL_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/log_event.h"
#include "cactusshelf/jobs/job_record.h"
#include "cactusshelf/jobs/peer_messages.h"

namespace cactusshelf::jobs {

struct RelayPoolOptions {
  // A relay that has not answered a message for this long is not used until it answers again.
  Duration relay_timeout = std::chrono::milliseconds(700);
  // While a relay has unanswered orders, a message is sent to it at least this often.
  Duration keep_alive_period = std::chrono::milliseconds(200);
  // Interval of liveness probes to all other hosts.
  Duration probe_period = std::chrono::milliseconds(500);
  // Orders wait for relays for up to this time after BeginProbing, as long as a host has not
  // answered.
  Duration max_probing_time = std::chrono::milliseconds(250);
  // An order that is not answered within this time, plus the time that the order itself may wait at
  // the worker, is taken as lost.
  Duration order_timeout = std::chrono::milliseconds(1500);
  // Time for which orders to one relay are collected into one batch.
  Duration batching_delay = std::chrono::milliseconds(10);
  // Factor on the owner's own weight: it sends few orders itself, since it needs its processors for
  // scheduling.
  double local_weight = 0.03;
  // Hosts with less than this share of the processors of the largest usable host do not relay.
  // Fewer, larger relays answer in larger batches and with less delay.
  double min_relative_capacity = 0.5;
};

// The owner's side of order relaying: distributes orders to workers over the larger entry hosts and
// prefers hosts in the worker's failure domain. Orders to one worker go through one relay while
// that relay responds; the owner itself sends the orders for which no relay is chosen. Not
// thread-safe.
class RelayPool {
 public:
  // `self` describes this host. If it has no peer address, no relays are used.
  RelayPool(const RelayPoolOptions& options, HostRecord self)
      : options_(options), self_(std::move(self)) {}

  // Sets the hosts that have announced themselves; some may have ended since. Compares all hosts,
  // so call it only when they have changed.
  void SetHosts(const std::map<std::string, HostRecord>& hosts);

  // Probes all hosts at once and forgets which of them answered before. To be called when this
  // process begins to claim a cell: its first orders go to all workers, and a small host cannot
  // open connections to hundreds of them by itself. Orders wait until all hosts have answered, for
  // RelayPoolOptions::max_probing_time at most.
  void BeginProbing(Time now);
  // This process owns no cell and claims none any more. Drops the orders that wait.
  void EndProbing();

  // Queues `order`, or returns it if the owner has to send it itself at once.
  std::optional<WorkerOrder> Send(WorkerOrder order, Time now);

  // Returns orders that have waited in vain for a relay. The owner has to send them itself.
  std::vector<WorkerOrder> TakeUnrelayedOrders(Time now);

  // Handles a batch from a relay. Returns its answers without those that are duplicate or late.
  std::vector<WorkerAnswer> OnAnswers(AnswerBatch batch);

  // Returns answers in place of the relays' for orders that are lost or cancelled.
  std::vector<WorkerAnswer> TakeLostOrders(Time now);

  // This process was paused. Restarts the relays' timeouts, since answers that arrived during the
  // pause have not been read yet.
  void OnPaused(Time now);

  // Returns the batches that are due, at most one to each host.
  std::vector<job_effect::SendToPeer> TakeMessages(Time now);

  // Time at which queued orders are sent, if there are any.
  std::optional<Time> NextBatchesDue() const { return batches_due_; }

  std::vector<LogEvent> TakeLog() { return std::exchange(log_, {}); }
  const Counters& counters() const { return counters_; }

 private:
  struct Relay {
    HostRecord host;
    bool responsive = false;  // It has answered within the relay timeout.
    bool leaving = false;
    Time sent_at;
    std::optional<Time> unanswered_since;  // Time of the first message since its last answer.
    int pending_order_count = 0;
    std::optional<RelayTimestamp> timestamp;
    std::vector<WorkerOrder> unsent;
  };
  // An unanswered order that was queued for or sent to a relay.
  struct PendingOrder {
    std::string host;
    WorkerAnswer answer_if_lost;
    Time expires;
  };
  struct ChosenRelay {
    std::uint64_t version = 0;
    std::string host;  // Empty: the owner sends the orders itself.
  };

  // Queues `order` for the worker's relay, or returns it if there is none.
  std::optional<WorkerOrder> QueueForRelay(WorkerOrder order, Time now);
  bool IsProbingDone(Time now) const;
  // Removes the start order of the same run if it has not been sent yet.
  void CancelUnsentStart(Relay& relay, const StopOrder& stop);
  const std::string& RelayFor(const WorkerTarget& worker);
  std::string ChooseRelay(const WorkerTarget& worker);
  // The host with the highest score for the worker among the relays in `domain`, or in all domains
  // if `domain` is null, and this host; empty if it is this host.
  std::string ChooseRelayIn(const std::string* domain, const WorkerTarget& worker) const;
  // True if orders may go through the relay.
  static bool CanRelay(const Relay& relay);
  // Relays in `domain`, or in all domains if `domain` is null, that are not small for it.
  std::vector<const Relay*> RelaysIn(const std::string* domain) const;
  static double Milliprocessors(const std::vector<const Relay*>& relays);
  // Part of the workers in `domain` whose orders go through relays of that domain: less than 1 if
  // these relays have less than the domain's part of the processors of all relays.
  double LocalShare(const std::string& domain);
  void SetRelayState(Relay& relay, bool responsive, bool leaving, std::string_view reason);

  RelayPoolOptions options_;
  HostRecord self_;
  std::map<std::string, Relay> relays_;
  std::unordered_map<std::uint64_t, PendingOrder> pending_orders_;  // By call.
  std::vector<WorkerAnswer> cancelled_starts_;  // Answers to starts that were cancelled unsent.
  std::unordered_map<std::string, ChosenRelay> chosen_relays_;  // By worker.
  std::uint64_t relay_set_version_ = 1;  // Changes with the set of usable relays.
  // LocalShare by domain, for the relay set of the version.
  std::map<std::string, double> local_shares_;
  std::uint64_t local_shares_version_ = 0;
  std::optional<Time> probing_ends_;         // Set until the relays are known.
  std::vector<WorkerOrder> waiting_orders_;  // Made while the relays were not known.
  Time next_timeout_check_;
  std::optional<Time> batches_due_;  // Set while orders are queued.
  std::vector<LogEvent> log_;
  Counters counters_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_RELAY_POOL_H_
