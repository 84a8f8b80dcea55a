#ifndef CACTUSSHELF_JOBS_SRC_ORDER_RELAY_H_
#define CACTUSSHELF_JOBS_SRC_ORDER_RELAY_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/jobs/peer_messages.h"

namespace cactusshelf::jobs {

struct OrderRelayOptions {
  // Time for which answers are collected into one batch.
  Duration batching_delay = std::chrono::milliseconds(12);
  // While orders of an owner are unanswered, a message is sent to it at least this often.
  Duration heartbeat_period = std::chrono::milliseconds(150);
  // The state of an owner that has sent nothing for this long is discarded.
  Duration owner_idle_timeout = std::chrono::seconds(2);
  // Start orders in a batch that may be older than this are rejected: the owner may since have
  // placed the task elsewhere, and a worker that was restarted no longer refuses a stale start.
  Duration max_batch_age = std::chrono::milliseconds(1000);
};

// The relay's side of order relaying: forwards orders of owners to workers and returns the answers.
// The only state kept is that of unanswered calls and unsent answers. Not thread-safe.
class OrderRelay {
 public:
  OrderRelay(const OrderRelayOptions& options, std::string host)
      : options_(options), host_(std::move(host)) {}

  void OnOrders(OrderBatch batch, const Now& now);

  // True if `call` was made on behalf of an owner.
  static bool IsRelayed(CallId call);

  // Precondition: IsRelayed(CallOf(answer)).
  void OnAnswer(WorkerAnswer answer, Time now);

  // Returns the orders to send to workers.
  std::vector<WorkerOrder> TakeOrders() { return std::exchange(orders_, {}); }

  // Returns the answer batches that are due. `leaving` tells the owners to use other relays.
  std::vector<job_effect::SendToPeer> TakeMessages(bool leaving, const Now& now);

  // Time at which the next message is due, if any.
  std::optional<Time> NextMessageDue() const;

  const Counters& counters() const { return counters_; }

 private:
  struct Owner {
    Time last_batch_at;
    int open_calls = 0;
    std::optional<Time> message_due;  // Time of the next message to the owner.
    std::vector<WorkerAnswer> answers;
  };
  struct Call {
    std::string owner_address;
    CallId owner_call{};
  };

  bool MayBeStale(const OrderBatch& batch, const Now& now) const;
  // Makes the next message to the owner due no later than `time`.
  static void ScheduleMessage(Owner& owner, Time time);

  OrderRelayOptions options_;
  std::string host_;
  std::map<std::string, Owner> owners_;  // By address.
  std::unordered_map<std::uint64_t, Call> calls_;
  std::uint64_t next_call_ = 0;
  std::vector<WorkerOrder> orders_;
  Counters counters_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_ORDER_RELAY_H_
