#include "membership_view.h"

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

namespace cactusshelf {
namespace {

// Allowance for differences in clock rate between the old owner and its successor, in percent.
constexpr int kClockRatePercent = 105;

AuthoritySettings MakeAuthoritySettings(const MembershipView::Settings& settings) {
  AuthoritySettings result;
  result.authority_lease = settings.authority_lease;
  result.max_log_read_age = settings.authority_lease / 2;
  return result;
}

OwnershipTrackerSettings MakeTenureSettings(const MembershipView::Settings& settings) {
  OwnershipTrackerSettings result;
  result.takeover_wait = settings.authority_lease * kClockRatePercent / 100;
  return result;
}

FailureDetectorSettings MakeDetectorSettings(const MembershipView::Settings& settings) {
  FailureDetectorSettings result;
  result.period = settings.gossip_period;
  return result;
}

OwnershipMap MakeMap(const LogState& state) {
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
      tenure_(self_, MakeTenureSettings(settings)),
      detector_(self_, MakeDetectorSettings(settings), random, now) {}

void MembershipView::OnMembersChanged(Time now, const LogState& state,
                                      std::vector<Departure> departures, bool complete) {
  OwnershipMap map = MakeMap(state);
  std::vector<MemberId> others;
  for (const Member& it : map.members()) {
    if (it.id != self_) {
      others.push_back(it.id);
    }
  }
  detector_.SetMembers(others);
  authority_.OnMap(map, now);
  tenure_.OnMapChange({std::move(map), std::move(departures), complete}, now);
  std::erase_if(removal_repeat_,
                [this](const auto& it) { return tenure_.map().Find(it.first) == nullptr; });
}

void MembershipView::OnLogRead(Time started) { authority_.OnLogRead(started); }

void MembershipView::SetStatus(Time now, const LogState& state) {
  detector_.SetStatus({state.offset(), tenure_.SettledEpoch(now)});
}

void MembershipView::OnHostList(Time now, std::set<std::string> hosts) {
  hosts_seen_.insert(hosts.begin(), hosts.end());
  authority_.OnHostList(hosts, now);
  hosts_ = std::move(hosts);
}

MembershipView::Effects MembershipView::OnMessage(Time now, const MembershipMessage& message) {
  Effects effects;
  const auto handle = [&](const auto& it) {
    using Message = std::decay_t<decltype(it)>;
    if constexpr (std::is_same_v<Message, Ping>) {
      tenure_.OnPeerEpoch(it.from, it.gossip.status.epoch, now);
      Merge(detector_.OnPing(it, now), effects);
    } else if constexpr (std::is_same_v<Message, PingReq>) {
      tenure_.OnPeerEpoch(it.from, it.gossip.status.epoch, now);
      Merge(detector_.OnPingReq(it, now), effects);
    } else if constexpr (std::is_same_v<Message, Ack>) {
      tenure_.OnPeerEpoch(it.from, it.gossip.status.epoch, now);
      Merge(detector_.OnAck(it, now), effects);
    } else if constexpr (std::is_same_v<Message, Confirm>) {
      effects.messages.push_back(
          {it.from, authority_.MakeConfirmReply(it, tenure_.SettledEpoch(now))});
    } else {
      tenure_.OnPeerEpoch(it.from, it.epoch, now);
      authority_.OnConfirmReply(it);
    }
  };
  std::visit(handle, message);
  return effects;
}

MembershipView::Effects MembershipView::OnTimer(Time now) {
  Effects effects;
  if (now >= authority_.next_poll()) {
    auto queries = authority_.Poll(tenure_.AwaitedMembers(), now);
    std::ranges::move(queries, std::back_inserter(effects.messages));
  }
  if (now >= detector_.next_wakeup()) {
    Merge(detector_.OnTick(now), effects);
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
  const std::optional<Time> start = tenure_.OwnershipStart(key);
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
    const auto repeat = removal_repeat_.find(it.id);
    if (repeat != removal_repeat_.end() && now < repeat->second) {
      continue;
    }
    if (auto removal = RemovalOf(it)) {
      removal_repeat_[it.id] = now + kRemoveRepeat;
      removals.push_back(std::move(*removal));
    }
  }
  return removals;
}

std::optional<Remove> MembershipView::RemovalOf(const Member& member) const {
  const Member* self = map().Find(self_);
  if (self == nullptr) {
    return std::nullopt;
  }
  // A later process on the same host shows that the earlier one is gone. Without this rule a
  // restarted member of a deployment of one or two could never take over from itself.
  const bool superseded =
      HostOf(member.id) == HostOf(self_) && member.join_offset < self->join_offset;
  if (superseded || IsGoneFromHostList(member.id)) {
    return Remove{member.id, self_, RemoveReason::kNotListed, MemberId()};
  }
  for (const MemberId& it : detector_.FailureReporters(member.id)) {
    if (it != self_ && map().Find(it) != nullptr) {
      return Remove{member.id, self_, RemoveReason::kFailed, it};
    }
  }
  return std::nullopt;
}

// A host that was never listed may be new, since the list lags.
bool MembershipView::IsGoneFromHostList(const MemberId& member) const {
  const std::string host = HostOf(member);
  return hosts_ && !hosts_->contains(host) && hosts_seen_.contains(host);
}

void MembershipView::Merge(FailureDetectorEffects from, Effects& to) const {
  std::ranges::move(from.messages, std::back_inserter(to.messages));
  std::ranges::move(from.changes, std::back_inserter(to.changes));
  std::ranges::move(from.leaving_endpoints, std::back_inserter(to.leaving_endpoints));
}

Time MembershipView::NextWakeup() const {
  return std::min(authority_.next_poll(), detector_.next_wakeup());
}

}  // namespace cactusshelf
