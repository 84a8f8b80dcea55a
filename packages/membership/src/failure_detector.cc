#include "cactusshelf/membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace cactusshelf {
namespace {

// Accusers kept of each member. Two are needed; a third replaces one that is itself lost.
constexpr std::size_t kMaxAccusers = 3;
// Bytes of a rumor or endpoint on the wire beside its ids.
constexpr std::size_t kItemOverhead = 16;

std::size_t SizeOf(const Rumor& rumor) {
  return rumor.member.str().size() + rumor.reporter.str().size() + kItemOverhead;
}

std::size_t SizeOf(const EndpointId& endpoint) { return endpoint.str().size() + kItemOverhead; }

// Moves each item that fits into `bytes` to `result`, those sent least often first, and drops
// items that were sent `repeats` times.
template <typename Pending, typename Item>
void TakeItems(std::vector<Pending>& pending, Item Pending::*item, int repeats, std::size_t& bytes,
               std::vector<Item>& result) {
  std::stable_sort(pending.begin(), pending.end(),
                   [](const Pending& a, const Pending& b) { return a.sent < b.sent; });
  for (Pending& entry : pending) {
    const std::size_t size = SizeOf(entry.*item);
    if (size <= bytes) {
      bytes -= size;
      ++entry.sent;
      result.push_back(entry.*item);
    }
  }
  std::erase_if(pending, [&](const Pending& entry) { return entry.sent >= repeats; });
}

}  // namespace

FailureDetector::FailureDetector(MemberId self, FailureDetectorSettings settings, Random random,
                                 Time now)
    : self_(std::move(self)),
      settings_(settings),
      random_(random),
      next_period_(now + random_.Between(Duration::zero(), settings.period)),
      expected_wakeup_(next_period_) {}

void FailureDetector::SetMembers(const std::vector<MemberId>& members) {
  const MemberSet wanted(members.begin(), members.end());
  const auto unwanted = [&](const MemberId& id) { return !wanted.contains(id); };
  std::erase_if(peers_, [&](const auto& entry) { return unwanted(entry.first); });
  std::erase_if(probes_, [&](const auto& entry) { return unwanted(entry.second.target); });
  std::erase_if(round_, unwanted);
  std::erase_if(suspected_, unwanted);
  std::erase_if(rumors_, [&](const PendingRumor& pending) {
    return pending.rumor.member != self_ && unwanted(pending.rumor.member);
  });
  for (const MemberId& id : members) {
    if (id != self_) {
      peers_.try_emplace(id);
    }
  }
}

void FailureDetector::AnnounceLeaving(const EndpointId& endpoint, Time now) {
  const auto [it, fresh] = leaving_heard_.try_emplace(endpoint.str(), now);
  if (!fresh && now - it->second < settings_.leaving_memory) {
    return;
  }
  it->second = now;
  leaving_.push_back({endpoint});
}

FailureDetectorEffects FailureDetector::OnTick(Time now) {
  FailureDetectorEffects effects;
  ObserveTime(now);
  AdvanceProbes(now, effects);
  EndSuspicions(now, effects);
  if (now >= next_period_) {
    StartPeriod(now, effects);
  }
  expected_wakeup_ = next_wakeup();
  return effects;
}

FailureDetectorEffects FailureDetector::OnPing(const Ping& ping, Time now) {
  FailureDetectorEffects effects;
  ObserveTime(now);
  ApplyGossip(ping.gossip, now, effects);
  if (const auto peer = peers_.find(ping.from); peer != peers_.end()) {
    peer->second.helper_probe_failed.reset();
  }
  effects.messages.push_back({ping.from, Ack{self_, ping.sequence, self_, MakeGossip(ping.from)}});
  expected_wakeup_ = next_wakeup();
  return effects;
}

FailureDetectorEffects FailureDetector::OnPingReq(const PingReq& request, Time now) {
  FailureDetectorEffects effects;
  ObserveTime(now);
  ApplyGossip(request.gossip, now, effects);
  if (peers_.contains(request.target)) {
    const std::uint64_t sequence = ++last_sequence_;
    Probe probe;
    probe.target = request.target;
    probe.end = now + settings_.period - settings_.ack_timeout;
    probe.helpers_asked = true;
    probe.request = request;
    probe.request->gossip = {};
    probes_[sequence] = std::move(probe);
    effects.messages.push_back({request.target, Ping{self_, sequence, MakeGossip(request.target)}});
  }
  expected_wakeup_ = next_wakeup();
  return effects;
}

FailureDetectorEffects FailureDetector::OnAck(const Ack& ack, Time now) {
  FailureDetectorEffects effects;
  ObserveTime(now);
  ApplyGossip(ack.gossip, now, effects);
  if (const auto peer = peers_.find(ack.target); peer != peers_.end()) {
    peer->second.helper_probe_failed.reset();
  }
  const auto it = probes_.find(ack.sequence);
  if (it != probes_.end() && it->second.target == ack.target) {
    if (const auto& request = it->second.request) {
      effects.messages.push_back(
          {request->from, Ack{self_, request->sequence, ack.target, MakeGossip(request->from)}});
    }
    probes_.erase(it);
  }
  expected_wakeup_ = next_wakeup();
  return effects;
}

Time FailureDetector::next_wakeup() const {
  Time wakeup = next_period_;
  for (const auto& [sequence, probe] : probes_) {
    wakeup = std::min(wakeup, probe.helpers_asked ? probe.end : probe.ask_helpers);
  }
  for (const MemberId& id : suspected_) {
    wakeup = std::min(wakeup, peers_.at(id).suspicion_end);
  }
  return wakeup;
}

std::vector<MemberId> FailureDetector::DeadMembers() const {
  std::vector<MemberId> dead;
  for (const auto& [id, peer] : peers_) {
    if (!FailureReporters(id).empty()) {
      dead.push_back(id);
    }
  }
  return dead;
}

std::vector<MemberId> FailureDetector::FailureReporters(const MemberId& member) const {
  constexpr std::size_t kNeeded = 2;
  const auto it = peers_.find(member);
  if (it == peers_.end() || it->second.state != MemberState::kDead ||
      it->second.reporters.size() < kNeeded) {
    return {};
  }
  return {it->second.reporters.begin(), it->second.reporters.end()};
}

void FailureDetector::ObserveTime(Time now) {
  if (now > expected_wakeup_ + settings_.pause_slack) {
    ShiftDeadlines(now - expected_wakeup_);
  }
}

// Answers that arrived during the pause are handled before the new deadlines.
void FailureDetector::ShiftDeadlines(Duration pause) {
  next_period_ += pause;
  for (auto& [sequence, probe] : probes_) {
    probe.ask_helpers += pause;
    probe.end += pause;
  }
  for (const MemberId& id : suspected_) {
    peers_.at(id).suspicion_end += pause;
  }
  expected_wakeup_ += pause;
}

void FailureDetector::StartPeriod(Time now, FailureDetectorEffects& effects) {
  next_period_ = std::max(next_period_ + settings_.period, now + settings_.period / 2);
  const std::optional<MemberId> target = NextTarget();
  if (!target) {
    return;
  }
  const std::uint64_t sequence = ++last_sequence_;
  Probe probe;
  probe.target = *target;
  probe.ask_helpers = now + settings_.ack_timeout;
  probe.end = now + settings_.period;
  probes_[sequence] = std::move(probe);
  effects.messages.push_back({*target, Ping{self_, sequence, MakeGossip(*target)}});
}

void FailureDetector::AdvanceProbes(Time now, FailureDetectorEffects& effects) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [sequence, probe] = *it;
    if (!probe.helpers_asked && now >= probe.ask_helpers) {
      AskHelpers(sequence, probe, effects);
    }
    if (now < probe.end) {
      ++it;
      continue;
    }
    const MemberId target = probe.target;
    const bool helps = probe.request.has_value();
    it = probes_.erase(it);
    if (helps) {
      EndHelperProbe(target, now, effects);
    } else {
      Accuse(target, now, effects);
    }
  }
}

void FailureDetector::AskHelpers(std::uint64_t sequence, Probe& probe,
                                 FailureDetectorEffects& effects) {
  probe.helpers_asked = true;
  std::vector<MemberId> candidates;
  candidates.reserve(peers_.size());
  for (const auto& [id, peer] : peers_) {
    if (id != probe.target && peer.state != MemberState::kDead) {
      candidates.push_back(id);
    }
  }
  for (int i = 0; i < settings_.helpers && !candidates.empty(); ++i) {
    const auto pick = static_cast<std::ptrdiff_t>(random_.Below(candidates.size()));
    const MemberId helper = candidates[static_cast<std::size_t>(pick)];
    candidates.erase(candidates.begin() + pick);
    effects.messages.push_back(
        {helper, PingReq{self_, sequence, probe.target, MakeGossip(helper)}});
  }
}

void FailureDetector::EndSuspicions(Time now, FailureDetectorEffects& effects) {
  const MemberSet suspected = suspected_;
  for (const MemberId& id : suspected) {
    Peer& peer = peers_.at(id);
    if (now >= peer.suspicion_end) {
      SetState(id, peer, MemberState::kDead, effects);
    }
  }
}

void FailureDetector::SetState(const MemberId& member, Peer& peer, MemberState state,
                               FailureDetectorEffects& effects) {
  if (peer.state == state) {
    return;
  }
  peer.state = state;
  effects.changes.push_back({member, state});
  if (state == MemberState::kSuspected) {
    suspected_.insert(member);
  } else {
    suspected_.erase(member);
  }
}

// One lost message fails a probe on behalf of another member, so such a probe alone is no reason to
// suspect the target. It counts once another member suspects the target.
void FailureDetector::EndHelperProbe(const MemberId& target, Time now,
                                     FailureDetectorEffects& effects) {
  const auto it = peers_.find(target);
  if (it == peers_.end()) {
    return;
  }
  it->second.helper_probe_failed = now;
  if (it->second.state != MemberState::kAlive) {
    Accuse(target, now, effects);
  }
}

void FailureDetector::ApplyGossip(const Gossip& gossip, Time now, FailureDetectorEffects& effects) {
  for (const Rumor& rumor : gossip.rumors) {
    ApplyRumor(rumor, now, effects);
  }
  for (const EndpointId& endpoint : gossip.leaving_endpoints) {
    const auto it = leaving_heard_.find(endpoint.str());
    if (it == leaving_heard_.end() || now - it->second >= settings_.leaving_memory) {
      AnnounceLeaving(endpoint, now);
      effects.leaving_endpoints.push_back(endpoint);
    }
  }
}

void FailureDetector::ApplyRumor(const Rumor& rumor, Time now, FailureDetectorEffects& effects) {
  if (rumor.member == self_) {
    if (rumor.state == Liveness::kSuspect) {
      version_ = std::max(version_, rumor.version + 1);
      Spread({self_, version_, Liveness::kAlive, {}});
    }
    return;
  }
  const auto it = peers_.find(rumor.member);
  if (it == peers_.end() || rumor.version < it->second.version) {
    return;
  }
  Peer& peer = it->second;
  if (rumor.state == Liveness::kSuspect) {
    Suspect(rumor, peer, now, effects);
    return;
  }
  if (rumor.version == peer.version) {
    return;
  }
  peer.version = rumor.version;
  peer.reporters.clear();
  SetState(rumor.member, peer, MemberState::kAlive, effects);
  Spread(rumor);
}

void FailureDetector::Accuse(const MemberId& member, Time now, FailureDetectorEffects& effects) {
  const auto it = peers_.find(member);
  if (it == peers_.end()) {
    return;
  }
  const Rumor rumor{member, it->second.version, Liveness::kSuspect, self_};
  Suspect(rumor, it->second, now, effects);
}

void FailureDetector::Suspect(const Rumor& rumor, Peer& peer, Time now,
                              FailureDetectorEffects& effects) {
  if (rumor.version > peer.version) {
    peer.version = rumor.version;
    peer.reporters.clear();
    SetState(rumor.member, peer, MemberState::kAlive, effects);
  }
  if (peer.state == MemberState::kAlive) {
    SetState(rumor.member, peer, MemberState::kSuspected, effects);
    peer.suspicion_end = now + SuspicionTime();
  }
  AddAccuser(rumor, peer);
  const std::optional<Time> failed = peer.helper_probe_failed;
  if (failed && now - *failed < SuspicionTime()) {
    AddAccuser({rumor.member, peer.version, Liveness::kSuspect, self_}, peer);
  }
}

void FailureDetector::AddAccuser(const Rumor& rumor, Peer& peer) {
  if (peer.reporters.size() < kMaxAccusers && peer.reporters.insert(rumor.reporter).second) {
    Spread(rumor);
  }
}

void FailureDetector::Spread(Rumor rumor) {
  std::erase_if(rumors_, [&](const PendingRumor& pending) {
    const Rumor& old = pending.rumor;
    return old.member == rumor.member &&
           (old.version < rumor.version || old.reporter == rumor.reporter);
  });
  rumors_.push_back({std::move(rumor)});
}

Gossip FailureDetector::MakeGossip(const MemberId& to) {
  Gossip gossip;
  gossip.status = status_;
  std::size_t bytes = settings_.gossip_bytes;
  // A suspected member is told each time, so that it can refute the suspicion.
  const auto it = peers_.find(to);
  if (it != peers_.end() && it->second.state != MemberState::kAlive) {
    const Rumor rumor{to, it->second.version, Liveness::kSuspect, *it->second.reporters.begin()};
    bytes -= std::min(bytes, SizeOf(rumor));
    gossip.rumors.push_back(rumor);
  }
  const int repeats = RumorRepeats();
  TakeItems(leaving_, &PendingLeaving::endpoint, repeats, bytes, gossip.leaving_endpoints);
  TakeItems(rumors_, &PendingRumor::rumor, repeats, bytes, gossip.rumors);
  return gossip;
}

std::optional<MemberId> FailureDetector::NextTarget() {
  if (round_.empty()) {
    for (const auto& [id, peer] : peers_) {
      round_.push_back(id);
    }
    for (std::size_t i = round_.size(); i > 1; --i) {
      std::swap(round_[i - 1], round_[random_.Below(i)]);
    }
  }
  if (round_.empty()) {
    return std::nullopt;
  }
  const MemberId target = round_.back();
  round_.pop_back();
  return target;
}

int FailureDetector::RumorRepeats() const {
  return settings_.rumor_repeats * static_cast<int>(std::bit_width(peers_.size() + 1));
}

Duration FailureDetector::SuspicionTime() const {
  const int doublings = static_cast<int>(std::bit_width(peers_.size() + 1));
  return settings_.period * (settings_.suspicion_periods + doublings);
}

}  // namespace cactusshelf
