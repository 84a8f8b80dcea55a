#include "order_relay.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

// Set in the call IDs of relayed orders and never in those that the owner of a cell assigns.
constexpr std::uint64_t kRelayedBit = std::uint64_t{1} << 63;

RelayTimestamp TimestampOf(const Now& now) {
  return {now.monotonic.time_since_epoch(),
          std::chrono::duration_cast<std::chrono::milliseconds>(now.wall.time_since_epoch())};
}

}  // namespace

bool OrderRelay::IsRelayed(CallId call) {
  return (static_cast<std::uint64_t>(call) & kRelayedBit) != 0;
}

bool OrderRelay::MayBeStale(const OrderBatch& batch, const Now& now) const {
  if (!batch.echoed_timestamp) return true;
  const RelayTimestamp timestamp = TimestampOf(now);
  const Duration age = std::max(timestamp.steady - batch.echoed_timestamp->steady,
                                Duration(timestamp.wall - batch.echoed_timestamp->wall));
  return age > options_.max_batch_age;
}

void OrderRelay::OnOrders(OrderBatch batch, const Now& now) {
  const bool stale = MayBeStale(batch, now);
  Owner& owner = owners_[batch.owner_address];
  owner.last_batch_at = now.monotonic;
  // A batch without orders is a probe and is answered too.
  ScheduleMessage(owner, now.monotonic + options_.batching_delay);
  for (WorkerOrder& order : batch.orders) {
    if (stale && std::holds_alternative<StartOrder>(order)) {
      counters_.Add("cactusshelf_relay_refusals_total", "late_batch");
      owner.answers.push_back(MakeAnswer(order, OrderOutcome::kRejected, "late at the relay"));
      continue;
    }
    const std::uint64_t call = kRelayedBit | next_call_++;
    calls_[call] = {batch.owner_address, CallIdOf(order)};
    ++owner.open_calls;
    SetCallId(order, CallId{call});
    orders_.push_back(std::move(order));
  }
  counters_.Add("cactusshelf_relayed_orders_total", "passed_on", batch.orders.size());
}

void OrderRelay::ScheduleMessage(Owner& owner, Time time) {
  owner.message_due = std::min(owner.message_due.value_or(time), time);
}

void OrderRelay::OnAnswer(WorkerAnswer answer, Time now) {
  const auto it = calls_.find(static_cast<std::uint64_t>(CallIdOf(answer)));
  if (it == calls_.end()) return;
  const Call call = std::move(it->second);
  calls_.erase(it);
  const auto owner = owners_.find(call.owner_address);
  if (owner == owners_.end()) return;
  SetCallId(answer, call.owner_call);
  owner->second.answers.push_back(std::move(answer));
  --owner->second.open_calls;
  ScheduleMessage(owner->second, now + options_.batching_delay);
}

std::vector<job_effect::SendToPeer> OrderRelay::TakeMessages(bool leaving, const Now& now) {
  std::vector<job_effect::SendToPeer> messages;
  std::erase_if(owners_, [&](const auto& it) {
    const Owner& owner = it.second;
    return owner.open_calls == 0 &&
           now.monotonic - owner.last_batch_at > options_.owner_idle_timeout;
  });
  for (auto& [address, owner] : owners_) {
    if (!owner.message_due || now.monotonic < *owner.message_due) continue;
    const AnswerBatch batch{host_, TimestampOf(now), leaving, std::exchange(owner.answers, {})};
    owner.message_due.reset();
    if (owner.open_calls > 0) ScheduleMessage(owner, now.monotonic + options_.heartbeat_period);
    messages.push_back({address, Encode(batch)});
  }
  return messages;
}

std::optional<Time> OrderRelay::NextMessageDue() const {
  std::optional<Time> next;
  for (const auto& [address, owner] : owners_) {
    if (owner.message_due && (!next || *owner.message_due < *next)) next = owner.message_due;
  }
  return next;
}

}  // namespace cactusshelf::jobs
