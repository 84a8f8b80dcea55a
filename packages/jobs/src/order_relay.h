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
  // Answers are collected for so long before they are sent.
  Duration batching_delay = std::chrono::milliseconds(12);
  // An owner whose orders are not all answered is sent something at least this often.
  Duration heartbeat_period = std::chrono::milliseconds(150);
  // An owner that has sent nothing for so long is forgotten.
  Duration owner_idle_timeout = std::chrono::seconds(2);
  // Starts of a batch that may be older are not passed on: their owner may have decided otherwise
  // and, if the worker was started anew, nobody there knows of it.
  Duration max_batch_age = std::chrono::milliseconds(1000);
};

// The relay's side: passes the orders of owners on to workers, and the answers back. Keeps nothing
// but the calls that are not answered yet. Not thread-safe.
class OrderRelay {
 public:
  OrderRelay(const OrderRelayOptions& options, std::string host)
      : options_(options), host_(std::move(host)) {}

  void OnOrders(OrderBatch batch, const Now& now);

  // True for a call that is made for an owner.
  static bool IsRelayed(CallId call);

  // Precondition: IsRelayed(CallOf(answer)).
  void OnAnswer(WorkerAnswer answer, Time now);

  // Orders to send to workers now.
  std::vector<WorkerOrder> TakeOrders() { return std::exchange(orders_, {}); }

  // Answers that are due. `leaving` tells the owners to use other relays.
  std::vector<job_effect::SendToPeer> TakeMessages(bool leaving, const Now& now);

  // When the next message is due.
  std::optional<Time> NextMessageDue() const;

  const Counters& counters() const { return counters_; }

 private:
  struct Owner {
    Time last_batch_at;
    int open_calls = 0;
    std::optional<Time> message_due;  // Of the next message.
    std::vector<WorkerAnswer> answers;
  };
  struct Call {
    std::string owner_address;
    CallId owner_call{};
  };

  bool MayBeStale(const OrderBatch& batch, const Now& now) const;
  // A message to the owner is due at `time` at the latest.
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
