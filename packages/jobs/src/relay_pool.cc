#include "relay_pool.h"

#include <algorithm>
#include <cmath>

#include "cactusshelf/base/rendezvous.h"

namespace cactusshelf::jobs {
namespace {

// Between two looks for relays that fell silent and orders that were lost.
constexpr Duration kCheckPeriod = std::chrono::milliseconds(50);
constexpr int kMantissaBits = 53;
constexpr int kUnusedBits = 64 - kMantissaBits;

// Weighted rendezvous hashing: the host with the highest value takes the key, each host with a
// probability proportional to its weight.
double RelayWeight(const std::string& host, const std::string& worker, double weight) {
  const auto bits = static_cast<double>(RendezvousWeight(host, worker) >> kUnusedBits);
  const double uniform = (bits + 0.5) / static_cast<double>(std::uint64_t{1} << kMantissaBits);
  return -weight / std::log(uniform);
}

Duration WaitOf(const WorkerOrder& order) {
  const auto* hold = std::get_if<HoldOrder>(&order);
  return hold == nullptr ? Duration::zero() : hold->wait;
}

}  // namespace

void RelayPool::SetHosts(const std::map<std::string, HostRecord>& hosts) {
  for (const auto& [name, host] : hosts) {
    if (name == self_.host) continue;
    Relay& relay = relays_[name];
    if (relay.host == host) continue;
    relay.host = host;
    SetState(relay, false, false, "announced_again");
  }
}

void RelayPool::SetState(Relay& relay, bool heard, bool leaving, std::string_view reason) {
  if (relay.heard == heard && relay.leaving == leaving) return;
  const bool in_use = heard && !leaving;
  relay.heard = heard;
  relay.leaving = leaving;
  // They are answered as lost, and others follow through another relay.
  if (!heard) relay.unsent.clear();
  ++version_;
  counters_.Add(in_use ? "cactusshelf_relays_gained_total" : "cactusshelf_relays_lost_total",
                reason);
  log_.push_back(LogEvent(LogLevel::kInfo, in_use ? "relay_gained" : "relay_lost")
                     .With("relay", relay.host.host)
                     .With("reason", std::string(reason)));
}

int RelayPool::Strongest(const std::string* domain) const {
  const auto counts = [domain](const HostRecord& host) {
    return domain == nullptr || host.domain == *domain;
  };
  int strongest = counts(self_) ? self_.milliprocessors : 0;
  for (const auto& [name, relay] : relays_) {
    const bool usable = relay.heard && !relay.leaving && counts(relay.host);
    if (usable) strongest = std::max(strongest, relay.host.milliprocessors);
  }
  return strongest;
}

// Hosts of the worker's failure domain come first; among those, by strength.
std::string RelayPool::Choose(const WorkerTarget& worker) const {
  for (const std::string* domain : {&worker.domain, static_cast<const std::string*>(nullptr)}) {
    const double least = Strongest(domain) * options_.least_strength;
    std::string best;
    double best_weight = 0;
    const auto consider = [&](const HostRecord& host, double share, const std::string& name) {
      if (domain != nullptr && host.domain != *domain) return;
      if (host.milliprocessors < least) return;
      const double weight = RelayWeight(host.host, worker.id, host.milliprocessors * share);
      if (weight <= best_weight) return;
      best = name;
      best_weight = weight;
    };
    consider(self_, options_.own_share, "");
    for (const auto& [name, relay] : relays_) {
      if (relay.heard && !relay.leaving) consider(relay.host, 1.0, name);
    }
    if (best_weight > 0) return best;
  }
  return "";
}

const std::string& RelayPool::RelayFor(const WorkerTarget& worker) {
  Choice& choice = choices_[worker.id];
  if (choice.version != version_) choice = {version_, Choose(worker)};
  return choice.host;
}

std::optional<WorkerOrder> RelayPool::Send(WorkerOrder order, Time now) {
  if (relays_.empty()) return order;
  const std::string& host = RelayFor(TargetWorker(order));
  if (host.empty()) return order;
  const Time expires = now + WaitOf(order) + options_.order_patience;
  awaited_[static_cast<std::uint64_t>(CallIdOf(order))] = {
      host, MakeAnswer(order, OrderOutcome::kRelaySilent, ""), expires};
  Relay& relay = relays_.at(host);
  if (const auto* stop = std::get_if<StopOrder>(&order)) Recall(relay, *stop);
  relay.unsent.push_back(std::move(order));
  if (!next_batches_) next_batches_ = now + options_.collect;
  ++relay.awaited;
  return std::nullopt;
}

void RelayPool::Recall(Relay& relay, const StopOrder& stop) {
  std::erase_if(relay.unsent, [&](const WorkerOrder& it) {
    const auto* start = std::get_if<StartOrder>(&it);
    if (start == nullptr || start->task != stop.task || start->run != stop.run) return false;
    awaited_.erase(static_cast<std::uint64_t>(start->call));
    --relay.awaited;
    recalled_.push_back(MakeAnswer(it, OrderOutcome::kStale, "taken back"));
    return true;
  });
}

std::vector<WorkerAnswer> RelayPool::OnAnswers(AnswerBatch batch) {
  const auto it = relays_.find(batch.host);
  if (it == relays_.end()) return {};
  Relay& relay = it->second;
  relay.unanswered_since.reset();
  relay.timestamp = batch.timestamp;
  SetState(relay, true, batch.leaving, batch.leaving ? "leaving" : "answered");
  std::vector<WorkerAnswer> awaited;
  for (WorkerAnswer& answer : batch.answers) {
    const auto call = awaited_.find(static_cast<std::uint64_t>(CallIdOf(answer)));
    if (call == awaited_.end() || call->second.host != batch.host) continue;
    awaited_.erase(call);
    --relay.awaited;
    awaited.push_back(std::move(answer));
  }
  return awaited;
}

std::vector<WorkerAnswer> RelayPool::TakeOverdue(Time now) {
  std::vector<WorkerAnswer> overdue = std::exchange(recalled_, {});
  if (now < next_check_) return overdue;
  next_check_ = now + kCheckPeriod;
  for (auto& [name, relay] : relays_) {
    const bool silent = relay.unanswered_since && now - *relay.unanswered_since > options_.silence;
    if (!relay.heard || !silent) continue;
    SetState(relay, false, false, "silent");
  }
  for (auto it = awaited_.begin(); it != awaited_.end();) {
    Awaited& awaited = it->second;
    Relay& relay = relays_.at(awaited.host);
    const bool silent = !relay.heard;
    if (!silent && now < awaited.expires) {
      ++it;
      continue;
    }
    counters_.Add("cactusshelf_relayed_orders_lost_total", silent ? "silent" : "lost");
    SetReason(awaited.answer_if_lost,
              "relay " + awaited.host + (silent ? " is silent" : " lost the order"));
    overdue.push_back(std::move(awaited.answer_if_lost));
    --relay.awaited;
    it = awaited_.erase(it);
  }
  return overdue;
}

void RelayPool::OnPaused(Time now) {
  for (auto& [name, relay] : relays_) {
    if (relay.unanswered_since) relay.unanswered_since = now;
  }
}

std::vector<job_effect::SendToPeer> RelayPool::TakeMessages(Time now) {
  std::vector<job_effect::SendToPeer> messages;
  const bool collecting = next_batches_ && now < *next_batches_;
  if (!collecting) next_batches_.reset();
  for (auto& [name, relay] : relays_) {
    const bool in_use = relay.heard && relay.awaited > 0;
    const Duration period = in_use ? options_.keep_alive : options_.probe_period;
    const bool has_orders = !collecting && !relay.unsent.empty();
    if (!has_orders && now - relay.sent_at < period) continue;
    const OrderBatch batch{self_.peer_address, relay.timestamp, std::exchange(relay.unsent, {})};
    counters_.Add("cactusshelf_relayed_orders_total", "sent", batch.orders.size());
    relay.sent_at = now;
    if (!relay.unanswered_since) relay.unanswered_since = now;
    messages.push_back({relay.host.peer_address, Encode(batch)});
  }
  return messages;
}

}  // namespace cactusshelf::jobs
