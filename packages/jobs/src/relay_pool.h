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
  // A relay that says nothing for so long after it was sent something is not used until it is
  // heard again.
  Duration relay_timeout = std::chrono::milliseconds(700);
  // A relay with orders to answer is sent something at least this often.
  Duration keep_alive_period = std::chrono::milliseconds(200);
  // Every other host is asked for a sign of life this often.
  Duration probe_period = std::chrono::milliseconds(500);
  // An order that was sent to a relay is answered within this time besides the time that it may
  // wait, or its batch was lost.
  Duration order_timeout = std::chrono::milliseconds(1500);
  // Orders to one relay are collected for so long.
  Duration batching_delay = std::chrono::milliseconds(10);
  // The owner's own part of the orders, relative to its processors: it needs them to decide.
  double local_weight = 0.03;
  // Hosts with less than this share of the processors of the strongest host at hand are used only
  // if there is no stronger one: few relays answer in larger batches, and without delay.
  double min_relative_capacity = 0.5;
};

// The owner's side of relaying: spreads the orders to workers over the strong entry hosts, and
// prefers hosts in the worker's failure domain. Orders of one worker go through one relay
// while that is heard; the owner sends those that no relay takes itself. Not thread-safe.
class RelayPool {
 public:
  // `self` is this host; without a peer address there are no relays.
  RelayPool(const RelayPoolOptions& options, HostRecord self)
      : options_(options), self_(std::move(self)) {}

  // Hosts that announced themselves, of which some may be gone.
  // Compares all of them: call when they have changed.
  void SetHosts(const std::map<std::string, HostRecord>& hosts);

  // Hands `order` to a relay, or returns it if the owner is to send it itself.
  std::optional<WorkerOrder> Send(WorkerOrder order, Time now);

  // A relay answered. Returns the answers that are still awaited.
  std::vector<WorkerAnswer> OnAnswers(AnswerBatch batch);

  // Answers for orders that their relays will not answer any more.
  std::vector<WorkerAnswer> TakeLostOrders(Time now);

  // This process stood still: what relays sent meanwhile is still to be read.
  void OnPaused(Time now);

  // Batches to send, at most one to each host.
  std::vector<job_effect::SendToPeer> TakeMessages(Time now);

  // When orders that wait are to be sent.
  std::optional<Time> NextBatchesDue() const { return batches_due_; }

  std::vector<LogEvent> TakeLog() { return std::exchange(log_, {}); }
  const Counters& counters() const { return counters_; }

 private:
  struct Relay {
    HostRecord host;
    bool responsive = false;  // Within the time of silence.
    bool leaving = false;
    Time sent_at;
    std::optional<Time> unanswered_since;  // First message after it was last heard.
    int pending_order_count = 0;           // Orders.
    std::optional<RelayTimestamp> timestamp;
    std::vector<WorkerOrder> unsent;
  };
  // An order that was handed to a relay.
  struct PendingOrder {
    std::string host;
    WorkerAnswer answer_if_lost;
    Time expires;
  };
  struct ChosenRelay {
    std::uint64_t version = 0;
    std::string host;  // Empty: the owner itself.
  };

  // A stop takes a start of the same run back that was not sent yet.
  void CancelUnsentStart(Relay& relay, const StopOrder& stop);
  const std::string& RelayFor(const WorkerTarget& worker);
  std::string ChooseRelay(const WorkerTarget& worker) const;
  // Processors of the strongest usable host, of one failure domain or of all.
  int MaxCapacity(const std::string* domain) const;
  void SetState(Relay& relay, bool responsive, bool leaving, std::string_view reason);

  RelayPoolOptions options_;
  HostRecord self_;
  std::map<std::string, Relay> relays_;
  std::unordered_map<std::uint64_t, PendingOrder> pending_orders_;  // By call.
  std::vector<WorkerAnswer> cancelled_starts_;  // Answers to starts that were taken back.
  std::unordered_map<std::string, ChosenRelay> chosen_relays_;  // By worker.
  std::uint64_t relay_set_version_ = 1;                         // Of the set of relays in use.
  Time next_timeout_check_;
  std::optional<Time> batches_due_;  // Set while orders wait.
  std::vector<LogEvent> log_;
  Counters counters_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_RELAY_POOL_H_
