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

// The map after one or more log records, and how it came about.
struct MapChange {
  OwnershipMap map;
  // All `leave` and `remove` records since the previous change, including those of members that
  // also joined since then and so were in no earlier map.
  std::vector<Departure> departures;
  // False if the map was loaded from a snapshot, so that departures may be missing.
  bool complete = true;
};

struct OwnershipTrackerSettings {
  // Wait between reading a `remove` and acting on the removed member's keys: `authority_lease`
  // (2 s) plus 5% for differences in clock rate.
  Duration takeover_wait = std::chrono::milliseconds(2100);
  // Departures older than this are forgotten. It exceeds the window in which request ids can be
  // claimed (10 min), so a tenure that started earlier needs no exact start.
  Duration history = std::chrono::minutes(15);
};

// Decides since when this member may act on a key as far as other members are concerned. It does
// not know whether this member has authority; see Authority. Not thread-safe.
//
// Another member can still act on a key of this member in these cases, and for this long:
//  - It left: it has stopped before.
//  - It was removed and knows this member: no longer than `authority_lease` after this member read
//    the `remove`, because it needs this member's promise (Authority, rule 2) or a log read.
//  - It was removed, or is still a member, and may not know this member: until every member that
//    joined before this one reports a map that contains this member and not the other, and has
//    itself waited since it applied that map (SettledEpoch).
class OwnershipTracker {
 public:
  OwnershipTracker(MemberId self, OwnershipTrackerSettings settings);

  // A new map was applied at `now`. Epochs must not decrease. A member that is missing from the new
  // map without a departure counts as removed.
  void OnMapChange(MapChange change, Time now);

  // Member `from` reported this epoch in a ConfirmReply or PeerStatus.
  void OnPeerEpoch(const MemberId& from, Epoch epoch, Time now);

  // Start of the current tenure of `key`; it may be in the future. Empty if this member is not the
  // owner or must first hear from another member. A start that lies further back than `history`
  // may be reported too late, but not later than that.
  std::optional<Time> OwnershipStart(std::string_view key) const;

  bool MayAct(std::string_view key, Time now) const;

  // Members whose epoch must still be asked for with Confirm, ordered by id.
  std::vector<MemberId> AwaitedMembers() const;

  // The epoch to report to other members: that of the newest map whose removed members cannot act
  // any more as far as they depend on this member. Zero during the first `takeover_wait`.
  Epoch SettledEpoch(Time now) const;

  const OwnershipMap& map() const { return map_; }

 private:
  // One or more members that may have acted on keys of this member.
  struct Departed {
    // Empty for members that departed before this member could read of it.
    MemberId id;
    bool knew_self = false;
    // Epochs of the first map without the member and of the map before.
    Epoch epoch = 0;
    Epoch previous_epoch = 0;
    Time read;
    // Members that have not yet reported `epoch`.
    MemberSet awaited;
    // The member cannot act any more from this time on, once `awaited` is empty.
    Time not_before;
    // SettledEpoch does not include this departure before this time.
    Time settled;
  };

  const Member* Self() const { return map_.Find(self_); }
  bool KnowsSelf(const Member& member) const;
  // Members that joined before this one and have not reported `epoch`.
  MemberSet EarlierMembersBefore(Epoch epoch) const;

  void AddDeparture(const Departure& departure, Epoch previous_epoch, Time now);
  void AddUnknownDepartures(Epoch previous_epoch, Time not_before, Time now);
  void StopAwaiting(const MemberId& departed, Time now);
  void ForgetOldDepartures(Time now);

  MemberId self_;
  OwnershipTrackerSettings settings_;
  OwnershipMap map_;
  bool joined_ = false;
  // Highest epoch that each other member reported.
  MemberMap<Epoch> peer_epochs_;
  std::vector<Departed> departed_;
  // Latest start of a tenure due to a departure that is no longer kept.
  Time forgotten_start_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_OWNERSHIP_TRACKER_H_
