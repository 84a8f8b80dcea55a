#include "cluster_simulation.h"

#include <algorithm>

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kCheckPeriod = milliseconds(20);
constexpr double kMaxClockDifference = 0.05;
constexpr int kKeys = 6;

}  // namespace

ClusterSimulation::ClusterSimulation(const Options& options)
    : options_(options), random_(options.seed) {
  for (int i = 0; i < kKeys; ++i) {
    keys_.push_back("key-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < options.members; ++i) {
    Join("host-" + std::to_string(i));
  }
}

std::size_t ClusterSimulation::Join(std::string host) {
  Node node;
  node.id = MemberId(host + "/" + std::to_string(nodes_.size()));
  const double drift = nodes_.size() % 2 == 0 ? 0 : 1;
  node.clock_rate =
      1 + kMaxClockDifference * (options_.extreme_clock_rates ? drift : random_.Real());
  node.clock_offset = random_.Between(seconds(0), seconds(1000));
  node.tracker = std::make_unique<OwnershipTracker>(node.id, options_.tracker_settings);
  node.authority = std::make_unique<Authority>(node.id, AuthoritySettings{});
  hosts_.insert(std::move(host));
  log_.push_back({Record::Kind::kJoin, {node.id, DomainId("d"), log_.size()}});
  nodes_.push_back(std::move(node));
  return nodes_.size() - 1;
}

void ClusterSimulation::Leave(std::size_t member) {
  // A member that leaves stops acting before it appends the record.
  nodes_[member].left = true;
  log_.push_back({Record::Kind::kLeave, {nodes_[member].id, {}, 0}});
}

void ClusterSimulation::Remove(std::size_t member) {
  log_.push_back({Record::Kind::kRemove, {nodes_[member].id, {}, 0}});
}

void ClusterSimulation::Pause(std::size_t member, Duration duration) {
  nodes_[member].paused_until = now_ + duration;
}

void ClusterSimulation::SetLinkCut(std::size_t a, std::size_t b, bool cut) {
  const auto link = std::minmax(a, b);
  if (cut) {
    cut_links_.insert(link);
  } else {
    cut_links_.erase(link);
  }
}

void ClusterSimulation::RemoveFromHostList(std::size_t member) {
  hosts_.erase(HostOf(nodes_[member].id));
}

void ClusterSimulation::Run(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    Step();
  }
}

std::vector<std::size_t> ClusterSimulation::ActiveOwners(const std::string& key) const {
  std::vector<std::size_t> active_owners;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (HasAuthority(i) && nodes_[i].tracker->MayAct(key, LocalTime(nodes_[i]))) {
      active_owners.push_back(i);
    }
  }
  return active_owners;
}

std::optional<std::size_t> ClusterSimulation::ActiveOwner(const std::string& key) const {
  const std::vector<std::size_t> active_owners = ActiveOwners(key);
  return active_owners.empty() ? std::nullopt : std::optional(active_owners.front());
}

// Includes paused members, because an effect that a member decided on before its pause stays valid.
bool ClusterSimulation::HasAuthority(std::size_t member) const {
  const Node& node = nodes_[member];
  return !node.crashed && !node.left && node.authority->ValidUntil(LocalTime(node)).has_value();
}

std::optional<Time> ClusterSimulation::OwnershipStart(std::size_t member,
                                                      const std::string& key) const {
  return nodes_[member].tracker->OwnershipStart(key);
}

double ClusterSimulation::owned_share() const {
  return static_cast<double>(owned_checks_) / static_cast<double>(checks_);
}

Time ClusterSimulation::LocalTime(const Node& node) const {
  const auto elapsed = static_cast<double>(now_.time_since_epoch().count()) * node.clock_rate;
  return Time(node.clock_offset + Duration(static_cast<Duration::rep>(elapsed)));
}

void ClusterSimulation::Step() {
  now_ += kStep;
  if (options_.faults && now_.time_since_epoch() % seconds(1) == Duration::zero()) {
    InjectFaults();
  }
  Deliver();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].Running(now_)) {
      StepNode(i);
    }
  }
  if (now_.time_since_epoch() % kCheckPeriod == Duration::zero()) {
    Check();
  }
}

void ClusterSimulation::StepNode(std::size_t index) {
  Node& node = nodes_[index];
  StepLogRead(node);
  if (now_ >= node.next_host_read) {
    node.next_host_read = now_ + seconds(2);
    node.authority->OnHostList(hosts_, LocalTime(node));
  }
  for (const OutgoingMessage& message :
       node.authority->Poll(node.tracker->AwaitedMembers(), LocalTime(node))) {
    Send(index, message);
  }
}

void ClusterSimulation::StepLogRead(Node& node) {
  if (!node.read) {
    if (now_ >= node.next_read) {
      const Time evaluated = now_ + random_.Between(Duration::zero(), options_.read_delay);
      const Time done = evaluated + random_.Between(Duration::zero(), options_.read_delay);
      node.read = LogRead{LocalTime(node), evaluated, done, std::nullopt};
    }
    return;
  }
  if (ReadsFail(node)) {
    node.read.reset();
    node.next_read = now_ + milliseconds(100);
    return;
  }
  if (!node.read->end && now_ >= node.read->evaluated_at) {
    node.read->end = log_.size();
  }
  if (node.read->end && now_ >= node.read->done_at) {
    Apply(node, *node.read->end);
    node.authority->OnLogRead(node.read->started);
    node.read.reset();
  }
}

void ClusterSimulation::Apply(Node& node, std::size_t end) {
  if (node.applied == end) {
    return;
  }
  MapChange change;
  for (; node.applied < end; ++node.applied) {
    const Record& record = log_[node.applied];
    if (record.kind == Record::Kind::kJoin) {
      node.members.push_back(record.member);
      continue;
    }
    const auto it = std::find_if(node.members.begin(), node.members.end(),
                                 [&](const Member& m) { return m.id == record.member.id; });
    if (it != node.members.end()) {
      change.departures.push_back({*it, record.kind == Record::Kind::kLeave
                                            ? DepartureKind::kLeft
                                            : DepartureKind::kRemoved});
      node.members.erase(it);
    }
  }
  change.map = OwnershipMap::Make(end - 1, node.members);
  node.authority->OnMap(change.map, LocalTime(node));
  node.tracker->OnMapChange(std::move(change), LocalTime(node));
}

void ClusterSimulation::Send(std::size_t from, const OutgoingMessage& message) {
  const auto to = std::find_if(nodes_.begin(), nodes_.end(),
                               [&](const Node& node) { return node.id == message.to; });
  const auto index = static_cast<std::size_t>(to - nodes_.begin());
  const double loss = options_.faults ? 0.05 : 0;
  if (random_.Chance(loss) || cut_links_.contains(std::minmax(from, index))) {
    return;
  }
  const Duration longest = options_.faults && random_.Chance(0.1) ? seconds(1) : milliseconds(20);
  const Time arrival = now_ + random_.Between(milliseconds(1), longest);
  network_.emplace(arrival, Delivery{from, index, message.message});
}

void ClusterSimulation::Deliver() {
  while (!network_.empty() && network_.begin()->first <= now_) {
    const Delivery delivery = std::move(network_.extract(network_.begin()).mapped());
    const Node& to = nodes_[delivery.to];
    if (to.Running(now_)) {
      Handle(delivery);
    } else if (!to.crashed && !to.left) {
      network_.emplace(to.paused_until, delivery);
    }
  }
}

void ClusterSimulation::Handle(const Delivery& delivery) {
  Node& node = nodes_[delivery.to];
  if (const auto* confirm = std::get_if<Confirm>(&delivery.message)) {
    const Epoch settled = node.tracker->SettledEpoch(LocalTime(node));
    Send(delivery.to, {confirm->from, node.authority->MakeConfirmReply(*confirm, settled)});
  } else if (const auto* reply = std::get_if<ConfirmReply>(&delivery.message)) {
    node.authority->OnConfirmReply(*reply);
    node.tracker->OnPeerEpoch(reply->from, reply->epoch, LocalTime(node));
  }
}

void ClusterSimulation::InjectFaults() {
  const auto random_node = [&] { return static_cast<std::size_t>(random_.Below(nodes_.size())); };
  if (random_.Chance(0.1)) {
    SetLogOutage(random_.Chance(0.3));
  }
  SetLogCut(random_node(), random_.Chance(0.5));
  SetLinkCut(random_node(), random_node(), random_.Chance(0.2));
  if (random_.Chance(0.2)) {
    Pause(random_node(), random_.Between(milliseconds(50), seconds(5)));
  }
  if (log_outage_) {
    return;
  }
  if (random_.Chance(0.15)) {
    // Removes members in any state, because a failure detector can be wrong about a live member.
    Remove(random_node());
  }
  if (random_.Chance(0.05)) {
    Crash(random_node());
  }
  if (const std::size_t member = random_node(); random_.Chance(0.1) && !nodes_[member].log_cut) {
    Leave(member);
  }
  const auto running =
      static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
        return !node.crashed && !node.left &&
               (node.members.empty() ||
                std::any_of(node.members.begin(), node.members.end(),
                            [&](const Member& member) { return member.id == node.id; }));
      }));
  for (std::size_t i = running; i < options_.members; ++i) {
    Join("host-" + std::to_string(nodes_.size() % (2 * options_.members)));
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if ((nodes_[i].crashed || nodes_[i].left) && random_.Chance(0.1)) {
      RemoveFromHostList(i);
    }
  }
}

void ClusterSimulation::Check() {
  std::vector<std::size_t> authorized;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (HasAuthority(i)) {
      authorized.push_back(i);
    }
  }
  for (const std::string& key : keys_) {
    const auto n = static_cast<std::size_t>(std::count_if(
        authorized.begin(), authorized.end(),
        [&](std::size_t i) { return nodes_[i].tracker->MayAct(key, LocalTime(nodes_[i])); }));
    max_active_owners_ = std::max(max_active_owners_, n);
    ++checks_;
    owned_checks_ += n > 0 ? 1 : 0;
  }
}

}  // namespace cactusshelf
