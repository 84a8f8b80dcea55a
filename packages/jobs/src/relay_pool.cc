#include "relay_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/rendezvous.h"

namespace cactusshelf::jobs {
namespace {

// Interval between checks for unresponsive relays and lost orders.
constexpr Duration kTimeoutCheckPeriod = std::chrono::milliseconds(50);
// Half of the least difference of two values of ToUnitInterval, to keep away from 0.
constexpr double kHalfStep = std::numeric_limits<double>::epsilon() / 4;

// Between 0 and 1, neither included.
double UniformHash(const std::string& seed, const std::string& name) {
  return ToUnitInterval(RendezvousWeight(seed, name)) + kHalfStep;
}

// Weighted rendezvous hashing: the host with the highest score is chosen for the worker, each host
// with a probability proportional to its weight.
double RelayScore(const std::string& host, const std::string& worker, double weight) {
  return -weight / std::log(UniformHash(host, worker));
}

Duration HoldWait(const WorkerOrder& order) {
  const auto* hold = std::get_if<HoldOrder>(&order);
  return hold == nullptr ? Duration::zero() : hold->wait;
}

}  // namespace

double RelayPool::Milliprocessors(const std::vector<const Relay*>& relays) {
  return std::accumulate(relays.begin(), relays.end(), 0.0, [](double sum, const Relay* it) {
    return sum + it->host.milliprocessors;
  });
}

void RelayPool::SetHosts(const std::map<std::string, HostRecord>& hosts) {
  for (const auto& [name, host] : hosts) {
    if (name == self_.host) continue;
    Relay& relay = relays_[name];
    if (relay.host == host) continue;
    relay.host = host;
    SetRelayState(relay, false, false, "announced_again");
  }
}

void RelayPool::SetRelayState(Relay& relay, bool responsive, bool leaving,
                              std::string_view reason) {
  if (relay.responsive == responsive && relay.leaving == leaving) return;
  const bool in_use = responsive && !leaving;
  relay.responsive = responsive;
  relay.leaving = leaving;
  // The unsent orders are answered as lost; later ones go through another relay.
  if (!responsive) relay.unsent.clear();
  ++relay_set_version_;
  counters_.Add(in_use ? "cactusshelf_relays_gained_total" : "cactusshelf_relays_lost_total",
                reason);
  log_.push_back(LogEvent(LogLevel::kInfo, in_use ? "relay_gained" : "relay_lost")
                     .With("relay", relay.host.host)
                     .With("reason", std::string(reason)));
}

bool RelayPool::CanRelay(const Relay& relay) {
  return relay.responsive && !relay.leaving && relay.host.binds_orders;
}

std::vector<const RelayPool::Relay*> RelayPool::RelaysIn(const std::string* domain) const {
  const auto matches_domain = [domain](const HostRecord& host) {
    return domain == nullptr || host.domain == *domain;
  };
  int max_capacity = matches_domain(self_) ? self_.milliprocessors : 0;
  std::vector<const Relay*> relays;
  for (const auto& [name, relay] : relays_) {
    if (!CanRelay(relay) || !matches_domain(relay.host)) continue;
    max_capacity = std::max(max_capacity, relay.host.milliprocessors);
    relays.push_back(&relay);
  }
  std::erase_if(relays, [&](const Relay* it) {
    return it->host.milliprocessors < max_capacity * options_.min_relative_capacity;
  });
  return relays;
}

double RelayPool::LocalShare(const std::string& domain) {
  if (local_shares_version_ != relay_set_version_) local_shares_.clear();
  local_shares_version_ = relay_set_version_;
  const auto [it, is_new] = local_shares_.try_emplace(domain, 0.0);
  if (!is_new) return it->second;
  std::set<std::string> domains{self_.domain, domain};
  for (const auto& [name, relay] : relays_) domains.insert(relay.host.domain);
  double all = 0;
  for (const std::string& each : domains) all += Milliprocessors(RelaysIn(&each));
  const double fair_part = all / static_cast<double>(domains.size());
  const double local = Milliprocessors(RelaysIn(&domain));
  it->second = fair_part > 0 ? std::min(1.0, local / fair_part) : 0.0;
  return it->second;
}

std::string RelayPool::ChooseRelayIn(const std::string* domain, const WorkerTarget& worker) const {
  std::string best;
  double best_score = 0;
  const bool self_matches = domain == nullptr || self_.domain == *domain;
  if (self_matches)
    best_score = RelayScore(self_.host, worker.id, self_.milliprocessors * options_.local_weight);
  for (const Relay* relay : RelaysIn(domain)) {
    const double score = RelayScore(relay->host.host, worker.id, relay->host.milliprocessors);
    if (score <= best_score) continue;
    best = relay->host.host;
    best_score = score;
  }
  return best;
}

// Hosts in the worker's failure domain are preferred as far as they have the processors for it.
std::string RelayPool::ChooseRelay(const WorkerTarget& worker) {
  const double position = UniformHash("local", worker.id);
  const bool local = position < LocalShare(worker.domain);
  return ChooseRelayIn(local ? &worker.domain : nullptr, worker);
}

const std::string& RelayPool::RelayFor(const WorkerTarget& worker) {
  ChosenRelay& choice = chosen_relays_[worker.id];
  if (choice.version != relay_set_version_) choice = {relay_set_version_, ChooseRelay(worker)};
  return choice.host;
}

void RelayPool::BeginProbing(Time now) {
  probing_ends_ = now + options_.max_probing_time;
  for (auto& [name, relay] : relays_) {
    // Of the next message, which is sent at once.
    relay.sent_at = {};
    relay.unanswered_since.reset();
    relay.responsive = false;
    relay.unsent.clear();
  }
  ++relay_set_version_;
}

void RelayPool::EndProbing() {
  probing_ends_.reset();
  waiting_orders_.clear();
}

bool RelayPool::IsProbingDone(Time now) const {
  return now >= *probing_ends_ || std::all_of(relays_.begin(), relays_.end(),
                                              [](const auto& it) { return it.second.responsive; });
}

std::vector<WorkerOrder> RelayPool::TakeUnrelayedOrders(Time now) {
  if (!probing_ends_ || !IsProbingDone(now)) return {};
  probing_ends_.reset();
  std::vector<WorkerOrder> unrelayed;
  for (WorkerOrder& order : std::exchange(waiting_orders_, {})) {
    std::optional<WorkerOrder> own = QueueForRelay(std::move(order), now);
    if (own) unrelayed.push_back(std::move(*own));
  }
  return unrelayed;
}

std::optional<WorkerOrder> RelayPool::Send(WorkerOrder order, Time now) {
  if (!probing_ends_) return QueueForRelay(std::move(order), now);
  waiting_orders_.push_back(std::move(order));
  return std::nullopt;
}

std::optional<WorkerOrder> RelayPool::QueueForRelay(WorkerOrder order, Time now) {
  if (relays_.empty()) return order;
  const std::string& host = RelayFor(TargetWorker(order));
  if (host.empty()) return order;
  const Time expires = now + HoldWait(order) + options_.order_timeout;
  pending_orders_[static_cast<std::uint64_t>(CallIdOf(order))] = {
      host, MakeAnswer(order, OrderOutcome::kRelaySilent, ""), expires};
  Relay& relay = relays_.at(host);
  if (const auto* stop = std::get_if<StopOrder>(&order)) CancelUnsentStart(relay, *stop);
  relay.unsent.push_back(std::move(order));
  if (!batches_due_) batches_due_ = now + options_.batching_delay;
  ++relay.pending_order_count;
  return std::nullopt;
}

void RelayPool::CancelUnsentStart(Relay& relay, const StopOrder& stop) {
  std::erase_if(relay.unsent, [&](const WorkerOrder& it) {
    const auto* start = std::get_if<StartOrder>(&it);
    if (start == nullptr || start->task != stop.task || start->run != stop.run) return false;
    pending_orders_.erase(static_cast<std::uint64_t>(start->call));
    --relay.pending_order_count;
    cancelled_starts_.push_back(
        MakeAnswer(it, OrderOutcome::kStale, "start cancelled before it was sent"));
    return true;
  });
}

std::vector<WorkerAnswer> RelayPool::OnAnswers(AnswerBatch batch) {
  const auto it = relays_.find(batch.host);
  if (it == relays_.end()) return {};
  Relay& relay = it->second;
  relay.unanswered_since.reset();
  relay.timestamp = batch.timestamp;
  SetRelayState(relay, true, batch.leaving, batch.leaving ? "leaving" : "answered");
  std::vector<WorkerAnswer> expected;
  for (WorkerAnswer& answer : batch.answers) {
    const auto call = pending_orders_.find(static_cast<std::uint64_t>(CallIdOf(answer)));
    if (call == pending_orders_.end() || call->second.host != batch.host) continue;
    pending_orders_.erase(call);
    --relay.pending_order_count;
    expected.push_back(std::move(answer));
  }
  return expected;
}

std::vector<WorkerAnswer> RelayPool::TakeLostOrders(Time now) {
  std::vector<WorkerAnswer> lost = std::exchange(cancelled_starts_, {});
  if (now < next_timeout_check_) return lost;
  next_timeout_check_ = now + kTimeoutCheckPeriod;
  for (auto& [name, relay] : relays_) {
    const bool silent =
        relay.unanswered_since && now - *relay.unanswered_since > options_.relay_timeout;
    if (!relay.responsive || !silent) continue;
    SetRelayState(relay, false, false, "silent");
  }
  for (auto it = pending_orders_.begin(); it != pending_orders_.end();) {
    PendingOrder& order = it->second;
    Relay& relay = relays_.at(order.host);
    const bool silent = !relay.responsive;
    if (!silent && now < order.expires) {
      ++it;
      continue;
    }
    counters_.Add("cactusshelf_relayed_orders_lost_total", silent ? "silent" : "lost");
    SetReason(order.answer_if_lost,
              "relay " + order.host + (silent ? " did not answer" : " lost the order"));
    lost.push_back(std::move(order.answer_if_lost));
    --relay.pending_order_count;
    it = pending_orders_.erase(it);
  }
  return lost;
}

void RelayPool::OnPaused(Time now) {
  for (auto& [name, relay] : relays_) {
    if (relay.unanswered_since) relay.unanswered_since = now;
  }
}

std::vector<job_effect::SendToPeer> RelayPool::TakeMessages(Time now) {
  std::vector<job_effect::SendToPeer> messages;
  const bool batching = batches_due_ && now < *batches_due_;
  if (!batching) batches_due_.reset();
  for (auto& [name, relay] : relays_) {
    const bool in_use = relay.responsive && relay.pending_order_count > 0;
    const Duration period = in_use ? options_.keep_alive_period : options_.probe_period;
    const bool has_orders = !batching && !relay.unsent.empty();
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
