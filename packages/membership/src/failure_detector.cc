#include "cactusshelf/membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace cactusshelf {
namespace {

// Reporters kept for each suspected member. Two are needed; the third is a spare in case one of
// them is lost itself.
constexpr std::size_t kMaxReporters = 3;
// Size of a rumor or endpoint on the wire without its ids.
constexpr std::size_t kItemOverheadBytes = 16;

std::size_t SizeOf(const Rumor& rumor) {
  return rumor.member.str().size() + rumor.reporter.str().size() + kItemOverheadBytes;
}

std::size_t SizeOf(const EndpointId& endpoint) {
  return endpoint.str().size() + kItemOverheadBytes;
}

// Copies the items that fit into `bytes` to `result`, least often sent items first, and deducts
// their size from `bytes`. Drops the items that have been sent `max_sends` times from `pending`.
template <typename Pending, typename Item>
void TakeFittingItems(std::vector<Pending>& pending, Item Pending::*item, int max_sends,
                      std::size_t& bytes, std::vector<Item>& result) {
  std::stable_sort(pending.begin(), pending.end(),
                   [](const Pending& a, const Pending& b) { return a.send_count < b.send_count; });
  for (Pending& entry : pending) {
    const std::size_t size = SizeOf(entry.*item);
    if (size <= bytes) {
      bytes -= size;
      ++entry.send_count;
      result.push_back(entry.*item);
    }
  }
  std::erase_if(pending, [&](const Pending& entry) { return entry.send_count >= max_sends; });
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
  std::erase_if(probe_order_, unwanted);
  std::erase_if(suspected_, unwanted);
  std::erase_if(pending_rumors_, [&](const PendingRumor& pending) {
    return pending.rumor.member != self_ && unwanted(pending.rumor.member);
  });
  for (const MemberId& id : members) {
    if (id != self_) {
      peers_.try_emplace(id);
    }
  }
}

void FailureDetector::AnnounceLeaving(const EndpointId& endpoint, Time now) {
  const auto [it, inserted] = leaving_announced_at_.try_emplace(endpoint.str(), now);
  if (!inserted && now - it->second < settings_.leaving_dedup_window) {
    return;
  }
  it->second = now;
  pending_leaving_.push_back({endpoint});
}

FailureDetectorEffects FailureDetector::OnTick(Time now) {
  FailureDetectorEffects effects;
  CompensateForPause(now);
  AdvanceProbes(now, effects);
  ExpireSuspicions(now, effects);
  if (now >= next_period_) {
    StartPeriod(now, effects);
  }
  expected_wakeup_ = next_wakeup();
  return effects;
}

FailureDetectorEffects FailureDetector::OnPing(const Ping& ping, Time now) {
  FailureDetectorEffects effects;
  CompensateForPause(now);
  ApplyGossip(ping.gossip, now, effects);
  if (const auto peer = peers_.find(ping.from); peer != peers_.end()) {
    peer->second.delegated_probe_failed_at.reset();
  }
  effects.messages.push_back({ping.from, Ack{self_, ping.sequence, self_, MakeGossip(ping.from)}});
  expected_wakeup_ = next_wakeup();
  return effects;
}

FailureDetectorEffects FailureDetector::OnPingReq(const PingReq& request, Time now) {
  FailureDetectorEffects effects;
  CompensateForPause(now);
  ApplyGossip(request.gossip, now, effects);
  if (peers_.contains(request.target)) {
    const std::uint64_t sequence = ++last_sequence_;
    Probe probe;
    probe.target = request.target;
    probe.end = now + settings_.period - settings_.ack_timeout;
    probe.indirect_sent = true;
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
  CompensateForPause(now);
  ApplyGossip(ack.gossip, now, effects);
  if (const auto peer = peers_.find(ack.target); peer != peers_.end()) {
    peer->second.delegated_probe_failed_at.reset();
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
    wakeup = std::min(wakeup, probe.indirect_sent ? probe.end : probe.indirect_at);
  }
  for (const MemberId& id : suspected_) {
    wakeup = std::min(wakeup, peers_.at(id).suspicion_deadline);
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
  constexpr std::size_t kMinReporters = 2;
  const auto it = peers_.find(member);
  if (it == peers_.end() || it->second.state != MemberState::kDead ||
      it->second.reporters.size() < kMinReporters) {
    return {};
  }
  return {it->second.reporters.begin(), it->second.reporters.end()};
}

void FailureDetector::CompensateForPause(Time now) {
  if (now > expected_wakeup_ + settings_.pause_threshold) {
    ShiftDeadlines(now - expected_wakeup_);
  }
}

// Gives answers that arrived during the pause time to be handled before the deadlines expire.
void FailureDetector::ShiftDeadlines(Duration pause) {
  next_period_ += pause;
  for (auto& [sequence, probe] : probes_) {
    probe.indirect_at += pause;
    probe.end += pause;
  }
  for (const MemberId& id : suspected_) {
    peers_.at(id).suspicion_deadline += pause;
  }
  expected_wakeup_ += pause;
}

void FailureDetector::StartPeriod(Time now, FailureDetectorEffects& effects) {
  next_period_ = std::max(next_period_ + settings_.period, now + settings_.period / 2);
  const std::optional<MemberId> target = NextProbeTarget();
  if (!target) {
    return;
  }
  const std::uint64_t sequence = ++last_sequence_;
  Probe probe;
  probe.target = *target;
  probe.indirect_at = now + settings_.ack_timeout;
  probe.end = now + settings_.period;
  probes_[sequence] = std::move(probe);
  effects.messages.push_back({*target, Ping{self_, sequence, MakeGossip(*target)}});
}

void FailureDetector::AdvanceProbes(Time now, FailureDetectorEffects& effects) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [sequence, probe] = *it;
    if (!probe.indirect_sent && now >= probe.indirect_at) {
      SendIndirectProbes(sequence, probe, effects);
    }
    if (now < probe.end) {
      ++it;
      continue;
    }
    const MemberId target = probe.target;
    const bool delegated = probe.request.has_value();
    it = probes_.erase(it);
    if (delegated) {
      OnDelegatedProbeFailed(target, now, effects);
    } else {
      ReportSuspicion(target, now, effects);
    }
  }
}

void FailureDetector::SendIndirectProbes(std::uint64_t sequence, Probe& probe,
                                         FailureDetectorEffects& effects) {
  probe.indirect_sent = true;
  std::vector<MemberId> candidates;
  candidates.reserve(peers_.size());
  for (const auto& [id, peer] : peers_) {
    if (id != probe.target && peer.state != MemberState::kDead) {
      candidates.push_back(id);
    }
  }
  for (int i = 0; i < settings_.indirect_probes && !candidates.empty(); ++i) {
    const auto pick = static_cast<std::ptrdiff_t>(random_.Below(candidates.size()));
    const MemberId helper = candidates[static_cast<std::size_t>(pick)];
    candidates.erase(candidates.begin() + pick);
    effects.messages.push_back(
        {helper, PingReq{self_, sequence, probe.target, MakeGossip(helper)}});
  }
}

void FailureDetector::ExpireSuspicions(Time now, FailureDetectorEffects& effects) {
  const MemberSet suspected = suspected_;
  for (const MemberId& id : suspected) {
    Peer& peer = peers_.at(id);
    if (now >= peer.suspicion_deadline) {
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

// A single lost message can fail a probe on behalf of another member, so such a failure alone does
// not make the target suspected. The failure counts once another member suspects the target.
void FailureDetector::OnDelegatedProbeFailed(const MemberId& target, Time now,
                                             FailureDetectorEffects& effects) {
  const auto it = peers_.find(target);
  if (it == peers_.end()) {
    return;
  }
  it->second.delegated_probe_failed_at = now;
  if (it->second.state != MemberState::kAlive) {
    ReportSuspicion(target, now, effects);
  }
}

void FailureDetector::ApplyGossip(const Gossip& gossip, Time now, FailureDetectorEffects& effects) {
  for (const Rumor& rumor : gossip.rumors) {
    ApplyRumor(rumor, now, effects);
  }
  for (const EndpointId& endpoint : gossip.leaving_endpoints) {
    const auto it = leaving_announced_at_.find(endpoint.str());
    if (it == leaving_announced_at_.end() || now - it->second >= settings_.leaving_dedup_window) {
      AnnounceLeaving(endpoint, now);
      effects.leaving_endpoints.push_back(endpoint);
    }
  }
}

void FailureDetector::ApplyRumor(const Rumor& rumor, Time now, FailureDetectorEffects& effects) {
  if (rumor.member == self_) {
    if (rumor.state == Liveness::kSuspect) {
      version_ = std::max(version_, rumor.version + 1);
      EnqueueRumor({self_, version_, Liveness::kAlive, {}});
    }
    return;
  }
  const auto it = peers_.find(rumor.member);
  if (it == peers_.end() || rumor.version < it->second.version) {
    return;
  }
  Peer& peer = it->second;
  if (rumor.state == Liveness::kSuspect) {
    ApplySuspicion(rumor, peer, now, effects);
    return;
  }
  if (rumor.version == peer.version) {
    return;
  }
  peer.version = rumor.version;
  peer.reporters.clear();
  SetState(rumor.member, peer, MemberState::kAlive, effects);
  EnqueueRumor(rumor);
}

void FailureDetector::ReportSuspicion(const MemberId& member, Time now,
                                      FailureDetectorEffects& effects) {
  const auto it = peers_.find(member);
  if (it == peers_.end()) {
    return;
  }
  const Rumor rumor{member, it->second.version, Liveness::kSuspect, self_};
  ApplySuspicion(rumor, it->second, now, effects);
}

void FailureDetector::ApplySuspicion(const Rumor& rumor, Peer& peer, Time now,
                                     FailureDetectorEffects& effects) {
  if (rumor.version > peer.version) {
    peer.version = rumor.version;
    peer.reporters.clear();
    SetState(rumor.member, peer, MemberState::kAlive, effects);
  }
  if (peer.state == MemberState::kAlive) {
    SetState(rumor.member, peer, MemberState::kSuspected, effects);
    peer.suspicion_deadline = now + SuspicionTimeout();
  }
  AddReporter(rumor, peer);
  const std::optional<Time> failed = peer.delegated_probe_failed_at;
  if (failed && now - *failed < SuspicionTimeout()) {
    AddReporter({rumor.member, peer.version, Liveness::kSuspect, self_}, peer);
  }
}

void FailureDetector::AddReporter(const Rumor& rumor, Peer& peer) {
  if (peer.reporters.size() < kMaxReporters && peer.reporters.insert(rumor.reporter).second) {
    EnqueueRumor(rumor);
  }
}

void FailureDetector::EnqueueRumor(Rumor rumor) {
  std::erase_if(pending_rumors_, [&](const PendingRumor& pending) {
    const Rumor& old = pending.rumor;
    return old.member == rumor.member &&
           (old.version < rumor.version || old.reporter == rumor.reporter);
  });
  pending_rumors_.push_back({std::move(rumor)});
}

Gossip FailureDetector::MakeGossip(const MemberId& to) {
  Gossip gossip;
  gossip.status = status_;
  std::size_t bytes = settings_.max_gossip_bytes;
  // Each message to a suspected member includes the suspicion, so that the member can refute it.
  const auto it = peers_.find(to);
  if (it != peers_.end() && it->second.state != MemberState::kAlive) {
    const Rumor rumor{to, it->second.version, Liveness::kSuspect, *it->second.reporters.begin()};
    bytes -= std::min(bytes, SizeOf(rumor));
    gossip.rumors.push_back(rumor);
  }
  const int max_sends = MaxRumorSends();
  TakeFittingItems(pending_leaving_, &PendingLeavingEndpoint::endpoint, max_sends, bytes,
                   gossip.leaving_endpoints);
  TakeFittingItems(pending_rumors_, &PendingRumor::rumor, max_sends, bytes, gossip.rumors);
  return gossip;
}

std::optional<MemberId> FailureDetector::NextProbeTarget() {
  if (probe_order_.empty()) {
    for (const auto& [id, peer] : peers_) {
      probe_order_.push_back(id);
    }
    for (std::size_t i = probe_order_.size(); i > 1; --i) {
      std::swap(probe_order_[i - 1], probe_order_[random_.Below(i)]);
    }
  }
  if (probe_order_.empty()) {
    return std::nullopt;
  }
  const MemberId target = probe_order_.back();
  probe_order_.pop_back();
  return target;
}

int FailureDetector::MaxRumorSends() const {
  return settings_.rumor_sends_per_doubling * static_cast<int>(std::bit_width(peers_.size() + 1));
}

Duration FailureDetector::SuspicionTimeout() const {
  const int doublings = static_cast<int>(std::bit_width(peers_.size() + 1));
  return settings_.period * (settings_.suspicion_periods + doublings);
}

}  // namespace cactusshelf
