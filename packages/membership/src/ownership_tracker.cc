#include "cactusshelf/membership/ownership_tracker.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cactusshelf/base/rendezvous.h"

namespace cactusshelf {
namespace {

bool Contains(const std::vector<Departure>& departures, const MemberId& id) {
  return std::any_of(departures.begin(), departures.end(),
                     [&](const Departure& departure) { return departure.member.id == id; });
}

// Adds a removal for each member that is missing from the new map without a departure.
void AddImplicitRemovals(const OwnershipMap& before, MapChange& change) {
  for (const Member& member : before.members()) {
    if (change.map.Find(member.id) == nullptr && !Contains(change.departures, member.id)) {
      change.departures.push_back({member, DepartureKind::kRemoved});
    }
  }
}

}  // namespace

OwnershipTracker::OwnershipTracker(MemberId self, OwnershipTrackerSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void OwnershipTracker::OnMapChange(MapChange change, Time now) {
  assert(change.map.epoch() >= map_.epoch());
  AddImplicitRemovals(map_, change);
  const Epoch previous_epoch = joined_ ? map_.epoch() : 0;
  map_ = std::move(change.map);
  if (Self() == nullptr) {
    return;
  }
  for (const Departure& departure : change.departures) {
    StopAwaiting(departure.member.id, now);
  }
  if (!joined_) {
    joined_ = true;
    // If there are earlier members, their reports cover the removals before this member's join.
    const bool alone = EarlierMembersBehind(map_.epoch()).empty();
    AddUnknownDepartures(previous_epoch, alone ? now + settings_.takeover_wait : now, now);
  } else {
    if (!change.has_all_departures) {
      AddUnknownDepartures(previous_epoch, now + settings_.takeover_wait, now);
    }
    for (const Departure& departure : change.departures) {
      AddDeparture(departure, previous_epoch, now);
    }
  }
  std::erase_if(peer_epochs_, [&](const auto& entry) { return map_.Find(entry.first) == nullptr; });
  PruneOldDepartures(now);
}

void OwnershipTracker::OnPeerEpoch(const MemberId& from, Epoch epoch, Time now) {
  Epoch& known = peer_epochs_[from];
  known = std::max(known, epoch);
  for (TrackedDeparture& tracked : departures_) {
    if (known >= tracked.epoch && tracked.awaited.erase(from) > 0) {
      tracked.not_before = std::max(tracked.not_before, now);
    }
  }
}

std::optional<Time> OwnershipTracker::OwnershipStart(std::string_view key) const {
  const Member* owner = map_.OwnerOf(key);
  if (owner == nullptr || owner->id != self_) {
    return std::nullopt;
  }
  const std::uint64_t own_weight = RendezvousWeight(self_.str(), key);
  Time start = pruned_start_;
  for (const TrackedDeparture& tracked : departures_) {
    if (tracked.applied_self_join && RendezvousWeight(tracked.id.str(), key) < own_weight) {
      continue;
    }
    if (!tracked.awaited.empty()) {
      return std::nullopt;
    }
    start = std::max(start, tracked.not_before);
  }
  return start;
}

bool OwnershipTracker::MayAct(std::string_view key, Time now) const {
  const std::optional<Time> start = OwnershipStart(key);
  return start && now >= *start;
}

std::vector<MemberId> OwnershipTracker::AwaitedMembers() const {
  MemberSet awaited;
  for (const TrackedDeparture& tracked : departures_) {
    awaited.insert(tracked.awaited.begin(), tracked.awaited.end());
  }
  return {awaited.begin(), awaited.end()};
}

Epoch OwnershipTracker::SettledEpoch(Time now) const {
  Epoch epoch = map_.epoch();
  for (const TrackedDeparture& tracked : departures_) {
    if (now < tracked.settled_at) {
      epoch = std::min(epoch, tracked.previous_epoch);
    }
  }
  return epoch;
}

bool OwnershipTracker::HasAppliedSelfJoin(const Member& member) const {
  const Member* self = Self();
  const auto it = peer_epochs_.find(member.id);
  // A member applies all records up to its own join before it acts.
  return member.join_offset > self->join_offset ||
         (it != peer_epochs_.end() && it->second >= self->join_offset);
}

MemberSet OwnershipTracker::EarlierMembersBehind(Epoch epoch) const {
  MemberSet members;
  for (const Member& member : map_.members()) {
    if (member.id == self_) {
      break;
    }
    const auto it = peer_epochs_.find(member.id);
    if (it == peer_epochs_.end() || it->second < epoch) {
      members.insert(member.id);
    }
  }
  return members;
}

void OwnershipTracker::AddDeparture(const Departure& departure, Epoch previous_epoch, Time now) {
  TrackedDeparture tracked;
  tracked.id = departure.member.id;
  tracked.applied_self_join = HasAppliedSelfJoin(departure.member);
  tracked.epoch = map_.epoch();
  tracked.previous_epoch = previous_epoch;
  tracked.read_at = now;
  tracked.settled_at = now;
  tracked.not_before = now;
  if (departure.kind == DepartureKind::kRemoved) {
    tracked.settled_at = now + settings_.takeover_wait;
    tracked.not_before = tracked.settled_at;
    if (!tracked.applied_self_join) {
      tracked.awaited = EarlierMembersBehind(map_.epoch());
    }
  }
  departures_.push_back(std::move(tracked));
}

void OwnershipTracker::AddUnknownDepartures(Epoch previous_epoch, Time not_before, Time now) {
  TrackedDeparture tracked;
  tracked.epoch = map_.epoch();
  tracked.previous_epoch = previous_epoch;
  tracked.read_at = now;
  tracked.settled_at = now + settings_.takeover_wait;
  tracked.not_before = not_before;
  tracked.awaited = EarlierMembersBehind(map_.epoch());
  departures_.push_back(std::move(tracked));
}

void OwnershipTracker::StopAwaiting(const MemberId& member, Time now) {
  for (TrackedDeparture& tracked : departures_) {
    if (tracked.awaited.erase(member) > 0) {
      // The member may have given a promise just before it departed.
      tracked.not_before = std::max(tracked.not_before, now + settings_.takeover_wait);
    }
  }
}

void OwnershipTracker::PruneOldDepartures(Time now) {
  std::erase_if(departures_, [&](const TrackedDeparture& tracked) {
    const bool old =
        tracked.awaited.empty() && now - tracked.not_before > settings_.departure_retention;
    if (old) {
      pruned_start_ = std::max(pruned_start_, tracked.not_before);
    }
    return old;
  });
}

}  // namespace cactusshelf
