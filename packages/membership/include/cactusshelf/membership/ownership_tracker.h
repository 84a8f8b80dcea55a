#ifndef CACTUSSHELF_MEMBERSHIP_OWNERSHIP_TRACKER_H_
#define CACTUSSHELF_MEMBERSHIP_OWNERSHIP_TRACKER_H_

#include <optional>
#include <string_view>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/membership/member_map.h"
#include "cactusshelf/membership/ownership_map.h"

namespace cactusshelf {

enum class DepartureKind { kLeft, kRemoved };

// A `leave` or `remove` record.
struct Departure {
  Member member;
  DepartureKind kind = DepartureKind::kRemoved;
};

// The map after one or more log records, with the departures among these records.
struct MapChange {
  OwnershipMap map;
  // All `leave` and `remove` records since the previous change, including those of members that
  // also joined since then and so were in no earlier map.
  std::vector<Departure> departures;
  // False if the map was loaded from a snapshot, so that departures may be missing.
  bool has_all_departures = true;
};

struct OwnershipTrackerSettings {
  // Wait between reading a `remove` and acting on the removed member's keys: `authority_lease`
  // (2 s) plus 5% for differences in clock rate.
  Duration takeover_wait = std::chrono::milliseconds(2100);
  // Departures older than this are dropped. The retention exceeds the window in which request ids
  // can be claimed (10 min), so the exact start of an ownership that began earlier does not matter.
  Duration departure_retention = std::chrono::minutes(15);
};

// Determines from which time this member may act on a key without conflicting with earlier owners.
// Whether this member has authority is decided separately; see Authority. Not thread-safe.
//
// How long another member can still act on a key that this member now owns depends on the case:
//  - The other member left: not at all, since it stopped acting before it appended the `leave`.
//  - The other member was removed and has applied the join of this member: no longer than
//    `authority_lease` after this member read the `remove`, because the other member needs this
//    member's promise (Authority, rule 2) or a log read.
//  - The other member was removed, or is still a member, and may not have applied the join of this
//    member: until every member that joined before this one reports a map that contains this
//    member and not the other, and has itself waited since it applied that map (SettledEpoch).
class OwnershipTracker {
 public:
  OwnershipTracker(MemberId self, OwnershipTrackerSettings settings);

  // A new map was applied at `now`. Epochs must not decrease. A member that is missing from the new
  // map without a departure counts as removed.
  void OnMapChange(MapChange change, Time now);

  // Member `from` reported this epoch in a ConfirmReply or PeerStatus.
  void OnPeerEpoch(const MemberId& from, Epoch epoch, Time now);

  // Time from which this member may act on `key` as its owner; may be in the future. Empty if this
  // member is not the owner, or while the report of an awaited member is missing. If the start lies
  // more than `departure_retention` in the past, a later time may be returned, but never one within
  // `departure_retention`.
  std::optional<Time> OwnershipStart(std::string_view key) const;

  bool MayAct(std::string_view key, Time now) const;

  // Members whose epoch must still be queried with Confirm, ordered by id.
  std::vector<MemberId> AwaitedMembers() const;

  // The epoch to report to other members: that of the newest map whose removed members can no
  // longer act, as far as their authority depends on this member. Zero during the first
  // `takeover_wait`.
  Epoch SettledEpoch(Time now) const;

  const OwnershipMap& map() const { return map_; }

 private:
  // One or more members that may have acted on keys of this member.
  struct TrackedDeparture {
    // Empty for members whose departure this member did not read in the log.
    MemberId id;
    // Whether the departed member had certainly applied the join of this member.
    bool applied_self_join = false;
    // Epochs of the first map without the member and of the map before.
    Epoch epoch = 0;
    Epoch previous_epoch = 0;
    Time read_at;
    // Members that have not yet reported `epoch`.
    MemberSet awaited;
    // Once `awaited` is empty, the member can no longer act from this time on.
    Time not_before;
    // Before this time, SettledEpoch does not exceed `previous_epoch`.
    Time settled_at;
  };

  const Member* Self() const { return map_.Find(self_); }
  // Whether `member` has certainly applied the join of this member.
  bool HasAppliedSelfJoin(const Member& member) const;
  // Members that joined before this one and have not reported `epoch`.
  MemberSet EarlierMembersBehind(Epoch epoch) const;

  void AddDeparture(const Departure& departure, Epoch previous_epoch, Time now);
  void AddUnknownDepartures(Epoch previous_epoch, Time not_before, Time now);
  void StopAwaiting(const MemberId& member, Time now);
  void PruneOldDepartures(Time now);

  MemberId self_;
  OwnershipTrackerSettings settings_;
  OwnershipMap map_;
  bool joined_ = false;
  // Highest epoch that each other member reported.
  MemberMap<Epoch> peer_epochs_;
  std::vector<TrackedDeparture> departures_;
  // Latest `not_before` of the departures that were pruned.
  Time pruned_start_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_OWNERSHIP_TRACKER_H_
