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

// Adds the members that are missing from the new map for an unknown reason.
void AddMissing(const OwnershipMap& before, MapChange& change) {
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
  AddMissing(map_, change);
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
    // The reports of earlier members cover removals before the join, if there are such members.
    const bool alone = EarlierMembersBefore(map_.epoch()).empty();
    AddUnknownDepartures(previous_epoch, alone ? now + settings_.takeover_wait : now, now);
  } else {
    if (!change.complete) {
      AddUnknownDepartures(previous_epoch, now + settings_.takeover_wait, now);
    }
    for (const Departure& departure : change.departures) {
      AddDeparture(departure, previous_epoch, now);
    }
  }
  std::erase_if(peer_epochs_, [&](const auto& entry) { return map_.Find(entry.first) == nullptr; });
  ForgetOldDepartures(now);
}

void OwnershipTracker::OnPeerEpoch(const MemberId& from, Epoch epoch, Time now) {
  Epoch& known = peer_epochs_[from];
  known = std::max(known, epoch);
  for (Departed& departed : departed_) {
    if (known >= departed.epoch && departed.awaited.erase(from) > 0) {
      departed.not_before = std::max(departed.not_before, now);
    }
  }
}

std::optional<Time> OwnershipTracker::OwnershipStart(std::string_view key) const {
  const Member* owner = map_.OwnerOf(key);
  if (owner == nullptr || owner->id != self_) {
    return std::nullopt;
  }
  const std::uint64_t own_weight = RendezvousWeight(self_.str(), key);
  Time start = forgotten_start_;
  for (const Departed& departed : departed_) {
    if (departed.knew_self && RendezvousWeight(departed.id.str(), key) < own_weight) {
      continue;
    }
    if (!departed.awaited.empty()) {
      return std::nullopt;
    }
    start = std::max(start, departed.not_before);
  }
  return start;
}

bool OwnershipTracker::MayAct(std::string_view key, Time now) const {
  const std::optional<Time> start = OwnershipStart(key);
  return start && now >= *start;
}

std::vector<MemberId> OwnershipTracker::AwaitedMembers() const {
  MemberSet awaited;
  for (const Departed& departed : departed_) {
    awaited.insert(departed.awaited.begin(), departed.awaited.end());
  }
  return {awaited.begin(), awaited.end()};
}

Epoch OwnershipTracker::SettledEpoch(Time now) const {
  Epoch epoch = map_.epoch();
  for (const Departed& departed : departed_) {
    if (now < departed.settled) {
      epoch = std::min(epoch, departed.previous_epoch);
    }
  }
  return epoch;
}

bool OwnershipTracker::KnowsSelf(const Member& member) const {
  const Member* self = Self();
  const auto it = peer_epochs_.find(member.id);
  // A member applies all records up to its own join before it acts.
  return member.join_offset > self->join_offset ||
         (it != peer_epochs_.end() && it->second >= self->join_offset);
}

MemberSet OwnershipTracker::EarlierMembersBefore(Epoch epoch) const {
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
  Departed departed;
  departed.id = departure.member.id;
  departed.knew_self = KnowsSelf(departure.member);
  departed.epoch = map_.epoch();
  departed.previous_epoch = previous_epoch;
  departed.read = now;
  departed.settled = now;
  departed.not_before = now;
  if (departure.kind == DepartureKind::kRemoved) {
    departed.settled = now + settings_.takeover_wait;
    departed.not_before = departed.settled;
    if (!departed.knew_self) {
      departed.awaited = EarlierMembersBefore(map_.epoch());
    }
  }
  departed_.push_back(std::move(departed));
}

void OwnershipTracker::AddUnknownDepartures(Epoch previous_epoch, Time not_before, Time now) {
  Departed departed;
  departed.epoch = map_.epoch();
  departed.previous_epoch = previous_epoch;
  departed.read = now;
  departed.settled = now + settings_.takeover_wait;
  departed.not_before = not_before;
  departed.awaited = EarlierMembersBefore(map_.epoch());
  departed_.push_back(std::move(departed));
}

void OwnershipTracker::StopAwaiting(const MemberId& departed, Time now) {
  for (Departed& waiting : departed_) {
    if (waiting.awaited.erase(departed) > 0) {
      // It may have given a promise just before it departed.
      waiting.not_before = std::max(waiting.not_before, now + settings_.takeover_wait);
    }
  }
}

void OwnershipTracker::ForgetOldDepartures(Time now) {
  std::erase_if(departed_, [&](const Departed& departed) {
    const bool old = departed.awaited.empty() && now - departed.not_before > settings_.history;
    if (old) {
      forgotten_start_ = std::max(forgotten_start_, departed.not_before);
    }
    return old;
  });
}

}  // namespace cactusshelf
