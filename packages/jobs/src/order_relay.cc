#include "order_relay.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

// Set in the calls of relayed orders, and in none that the owner of a cell numbers.
constexpr std::uint64_t kRelayedBit = std::uint64_t{1} << 63;

RelayStamp StampOf(const Now& now) {
  return {now.monotonic.time_since_epoch(),
          std::chrono::duration_cast<std::chrono::milliseconds>(now.wall.time_since_epoch())};
}

}  // namespace

bool OrderRelay::IsRelayed(CallId call) {
  return (static_cast<std::uint64_t>(call) & kRelayedBit) != 0;
}

bool OrderRelay::IsStale(const OrderBatch& batch, const Now& now) const {
  if (!batch.echo) return true;
  const RelayStamp stamp = StampOf(now);
  const Duration age =
      std::max(stamp.steady - batch.echo->steady, Duration(stamp.wall - batch.echo->wall));
  return age > options_.longest_transit;
}

void OrderRelay::OnOrders(OrderBatch batch, const Now& now) {
  const bool stale = IsStale(batch, now);
  const auto [it, is_new] = owners_.try_emplace(batch.owner_address);
  Owner& owner = it->second;
  owner.heard_at = now.monotonic;
  if (is_new) owner.due = now.monotonic;
  for (WorkerOrder& order : batch.orders) {
    if (stale && std::holds_alternative<StartOrder>(order)) {
      counters_.Add("cactusshelf_relay_refusals_total", "late_batch");
      AddAnswer(owner, MakeAnswer(order, OrderOutcome::kRejected, "late at the relay"),
                now.monotonic);
      continue;
    }
    const std::uint64_t call = kRelayedBit | next_call_++;
    calls_[call] = {batch.owner_address, CallOf(order)};
    SetCall(order, CallId{call});
    orders_.push_back(std::move(order));
  }
  counters_.Add("cactusshelf_relayed_orders_total", "passed_on", batch.orders.size());
}

void OrderRelay::AddAnswer(Owner& owner, WorkerAnswer answer, Time now) {
  if (owner.answers.empty()) owner.due = std::min(owner.due, now + options_.collect);
  owner.answers.push_back(std::move(answer));
}

void OrderRelay::OnAnswer(WorkerAnswer answer, Time now) {
  const auto it = calls_.find(static_cast<std::uint64_t>(CallOf(answer)));
  if (it == calls_.end()) return;
  const Call call = std::move(it->second);
  calls_.erase(it);
  const auto owner = owners_.find(call.owner_address);
  if (owner == owners_.end()) return;
  SetCall(answer, call.call);
  AddAnswer(owner->second, std::move(answer), now);
}

std::vector<job_effect::SendToPeer> OrderRelay::TakeMessages(bool leaving, const Now& now) {
  std::vector<job_effect::SendToPeer> messages;
  std::erase_if(owners_, [&](const auto& it) {
    return now.monotonic - it.second.heard_at > options_.owner_memory;
  });
  for (auto& [address, owner] : owners_) {
    if (now.monotonic < owner.due) continue;
    const AnswerBatch batch{host_, StampOf(now), leaving, std::exchange(owner.answers, {})};
    owner.due = now.monotonic + options_.heartbeat;
    messages.push_back({address, Encode(batch)});
  }
  return messages;
}

std::optional<Time> OrderRelay::NextDue() const {
  std::optional<Time> next;
  for (const auto& [address, owner] : owners_) {
    if (!next || owner.due < *next) next = owner.due;
  }
  return next;
}

}  // namespace cactusshelf::jobs
