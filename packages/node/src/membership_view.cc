#include "membership_view.h"

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

namespace cactusshelf {
namespace {

// A successor waits for this percentage of the authority lease, to allow for different clock rates
// of the old owner and its successor.
constexpr int kTakeoverWaitPercent = 105;

AuthoritySettings MakeAuthoritySettings(const MembershipView::Settings& settings) {
  AuthoritySettings result;
  result.authority_lease = settings.authority_lease;
  result.max_log_read_age = settings.authority_lease / 2;
  return result;
}

OwnershipTrackerSettings MakeOwnershipTrackerSettings(const MembershipView::Settings& settings) {
  OwnershipTrackerSettings result;
  result.takeover_wait = settings.authority_lease * kTakeoverWaitPercent / 100;
  return result;
}

FailureDetectorSettings MakeDetectorSettings(const MembershipView::Settings& settings) {
  FailureDetectorSettings result;
  result.period = settings.gossip_period;
  return result;
}

OwnershipMap MakeOwnershipMap(const LogState& state) {
  std::vector<Member> members;
  for (const auto& [id, member] : state.members()) {
    members.push_back({id, member.domain, member.join_offset});
  }
  return OwnershipMap::Make(state.membership_epoch(), std::move(members));
}

}  // namespace

MembershipView::MembershipView(MemberId self, Settings settings, Random random, Time now)
    : self_(std::move(self)),
      authority_(self_, MakeAuthoritySettings(settings)),
      ownership_tracker_(self_, MakeOwnershipTrackerSettings(settings)),
      detector_(self_, MakeDetectorSettings(settings), random, now) {}

void MembershipView::OnMembersChanged(Time now, const LogState& state,
                                      std::vector<Departure> departures, bool complete) {
  OwnershipMap map = MakeOwnershipMap(state);
  std::vector<MemberId> others;
  for (const Member& it : map.members()) {
    if (it.id != self_) {
      others.push_back(it.id);
    }
  }
  detector_.SetMembers(others);
  authority_.OnMap(map, now);
  ownership_tracker_.OnMapChange({std::move(map), std::move(departures), complete}, now);
  std::erase_if(next_removal_, [this](const auto& it) {
    return ownership_tracker_.map().Find(it.first) == nullptr;
  });
}

void MembershipView::OnLogRead(Time started) { authority_.OnLogRead(started); }

void MembershipView::SetStatus(Time now, const LogState& state) {
  detector_.SetStatus({state.offset(), ownership_tracker_.SettledEpoch(now)});
}

void MembershipView::OnHostList(Time now, std::set<std::string> hosts) {
  ever_listed_hosts_.insert(hosts.begin(), hosts.end());
  authority_.OnHostList(hosts, now);
  listed_hosts_ = std::move(hosts);
}

MembershipView::Effects MembershipView::OnMessage(Time now, const MembershipMessage& message) {
  Effects effects;
  const auto handle = [&](const auto& it) {
    using Message = std::decay_t<decltype(it)>;
    if constexpr (std::is_same_v<Message, Ping>) {
      ownership_tracker_.OnPeerEpoch(it.from, it.gossip.status.epoch, now);
      AppendEffects(detector_.OnPing(it, now), effects);
    } else if constexpr (std::is_same_v<Message, PingReq>) {
      ownership_tracker_.OnPeerEpoch(it.from, it.gossip.status.epoch, now);
      AppendEffects(detector_.OnPingReq(it, now), effects);
    } else if constexpr (std::is_same_v<Message, Ack>) {
      ownership_tracker_.OnPeerEpoch(it.from, it.gossip.status.epoch, now);
      AppendEffects(detector_.OnAck(it, now), effects);
    } else if constexpr (std::is_same_v<Message, Confirm>) {
      effects.messages.push_back(
          {it.from, authority_.MakeConfirmReply(it, ownership_tracker_.SettledEpoch(now))});
    } else {
      ownership_tracker_.OnPeerEpoch(it.from, it.epoch, now);
      authority_.OnConfirmReply(it);
    }
  };
  std::visit(handle, message);
  return effects;
}

MembershipView::Effects MembershipView::OnTimer(Time now) {
  Effects effects;
  if (now >= authority_.next_poll()) {
    auto queries = authority_.Poll(ownership_tracker_.AwaitedMembers(), now);
    std::ranges::move(queries, std::back_inserter(effects.messages));
  }
  if (now >= detector_.next_wakeup()) {
    AppendEffects(detector_.OnTick(now), effects);
  }
  return effects;
}

void MembershipView::AnnounceLeaving(Time now, const EndpointId& endpoint) {
  detector_.AnnounceLeaving(endpoint, now);
}

std::optional<Ownership> MembershipView::OwnerOf(std::string_view key, const Now& now) const {
  const Member* owner = map().OwnerOf(key);
  if (owner == nullptr) {
    return std::nullopt;
  }
  if (owner->id != self_) {
    return Ownership{owner->id, WallTime{}};
  }
  const std::optional<Time> start = ownership_tracker_.OwnershipStart(key);
  if (!start || *start > now.monotonic) {
    return std::nullopt;
  }
  const auto age = std::chrono::floor<std::chrono::milliseconds>(now.monotonic - *start);
  return Ownership{self_, now.wall - age};
}

std::vector<Remove> MembershipView::RemovalsDue(Time now) {
  std::vector<Remove> removals;
  for (const Member& it : map().members()) {
    if (it.id == self_) {
      continue;
    }
    const auto next_removal = next_removal_.find(it.id);
    if (next_removal != next_removal_.end() && now < next_removal->second) {
      continue;
    }
    if (auto removal = MakeRemoval(it)) {
      next_removal_[it.id] = now + kRemovalRetryInterval;
      removals.push_back(std::move(*removal));
    }
  }
  return removals;
}

std::optional<Remove> MembershipView::MakeRemoval(const Member& member) const {
  const Member* self = map().Find(self_);
  if (self == nullptr) {
    return std::nullopt;
  }
  // A later process on the same host proves that the earlier one has ended. Without this rule, a
  // restarted process in a deployment of one or two members could never replace its predecessor.
  const bool superseded =
      HostOf(member.id) == HostOf(self_) && member.join_offset < self->join_offset;
  if (superseded || WasDroppedFromHostList(member.id)) {
    return Remove{member.id, self_, RemoveReason::kNotListed, MemberId()};
  }
  for (const MemberId& it : detector_.FailureReporters(member.id)) {
    if (it != self_ && map().Find(it) != nullptr) {
      return Remove{member.id, self_, RemoveReason::kFailed, it};
    }
  }
  return std::nullopt;
}

// A host that was never listed may be new, since updates of the host list are delayed.
bool MembershipView::WasDroppedFromHostList(const MemberId& member) const {
  const std::string host = HostOf(member);
  return listed_hosts_ && !listed_hosts_->contains(host) && ever_listed_hosts_.contains(host);
}

void MembershipView::AppendEffects(FailureDetectorEffects from, Effects& to) const {
  std::ranges::move(from.messages, std::back_inserter(to.messages));
  std::ranges::move(from.changes, std::back_inserter(to.changes));
  std::ranges::move(from.leaving_endpoints, std::back_inserter(to.leaving_endpoints));
}

Time MembershipView::NextWakeup() const {
  return std::min(authority_.next_poll(), detector_.next_wakeup());
}

}  // namespace cactusshelf
