#ifndef CACTUSSHELF_MEMBERSHIP_OWNERSHIP_TENURE_H_
#define CACTUSSHELF_MEMBERSHIP_OWNERSHIP_TENURE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
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

struct TenureSettings {
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
// Another member can act on a key of this member only while it acts on an older map. It is
//  - a current member that joined earlier and has not applied the join of this member, or
//  - a departed member. One that left has stopped before; one that was removed stops within
//    `authority_lease` of the removal, provided that a member it asks for confirmation knows.
class OwnershipTenure {
 public:
  OwnershipTenure(MemberId self, TenureSettings settings);

  // A new map was applied at `now`. Epochs must not decrease. The first map that contains this
  // member starts its tenures after `takeover_wait`, as members may have been removed just before.
  void OnMapChange(MapChange change, Time now);

  // Member `from` reported that it acts on the map of `epoch` (ConfirmReply or PeerStatus).
  void OnPeerEpoch(const MemberId& from, Epoch epoch, Time now);

  // Start of the current tenure of `key`; it may be in the future. Empty if this member is not the
  // owner or must first hear from another member. A start before the oldest departure in
  // `history` may be reported too early.
  std::optional<Time> TenureStart(std::string_view key) const;

  bool MayAct(std::string_view key, Time now) const;

  // Members whose epoch must still be asked for with Confirm, ordered by id.
  std::vector<MemberId> AwaitedMembers() const;

  const OwnershipMap& map() const { return map_; }

 private:
  struct PeerEpoch {
    Epoch epoch = 0;
    // When the peer first reported to have applied the join of this member.
    std::optional<Time> knows_self;
  };
  // A departed member that may have owned keys of this member.
  struct Departed {
    Member member;
    bool knew_self = false;
    // Epoch of the map from which the member is missing.
    Epoch epoch = 0;
    Time read;
    // From when on the member cannot act any more. Empty while it may be granted confirmations.
    std::optional<Time> released;
  };

  const Member* Self() const { return map_.Find(self_); }
  void AddDeparted(const Departure& departure, Time now);
  void Release(Departed& departed, Time now) const;
  void ForgetOldDepartures(Time now);
  bool KnowsSelf(const Member& member) const;
  // Members that joined before this one and so may not know it.
  std::vector<Member> EarlierMembers() const;

  MemberId self_;
  TenureSettings settings_;
  OwnershipMap map_;
  std::optional<Time> first_start_;
  std::map<MemberId, PeerEpoch> peers_;
  std::deque<Departed> departed_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_OWNERSHIP_TENURE_H_
