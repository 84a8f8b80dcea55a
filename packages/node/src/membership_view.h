#ifndef CACTUSSHELF_NODE_MEMBERSHIP_VIEW_H_
#define CACTUSSHELF_NODE_MEMBERSHIP_VIEW_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/membership/authority.h"
#include "cactusshelf/membership/failure_detector.h"
#include "cactusshelf/membership/ownership_map.h"
#include "cactusshelf/membership/ownership_tracker.h"
#include "cactusshelf/membership/peer_messages.h"
#include "cactusshelf/request/ownership.h"
#include "cactusshelf/version/log_state.h"

namespace cactusshelf {

// View that this member has of the membership: the owner of each key, the authority of this member
// and the failed members. Not thread-safe.
class MembershipView {
 public:
  struct Settings {
    Duration authority_lease{};
    Duration gossip_period{};
  };

  struct Effects {
    std::vector<OutgoingMessage> messages;
    std::vector<MemberStateChange> changes;
    std::vector<EndpointId> leaving_endpoints;
  };

  MembershipView(MemberId self, Settings settings, Random random, Time now);

  // Must be called when log records have changed the members. `departures` lists the departures
  // since the last call; `complete` is false if records were skipped by loading a snapshot.
  void OnMembersChanged(Time now, const LogState& state, std::vector<Departure> departures,
                        bool complete);

  // Must be called when a read that began at `started` has reached the end of the log and its
  // records have been applied.
  void OnLogRead(Time started);

  // Updates the status that this member gossips to its peers.
  void SetStatus(Time now, const LogState& state);
  void OnHostList(Time now, std::set<std::string> hosts);
  Effects OnMessage(Time now, const MembershipMessage& message);
  Effects OnTimer(Time now);
  void AnnounceLeaving(Time now, const EndpointId& endpoint);

  // Time at which the authority of this member ends; empty if it has none.
  std::optional<Time> AuthorityUntil(Time now) const { return authority_.ValidUntil(now); }

  bool MayAct(std::string_view key, Time now) const { return ownership_tracker_.MayAct(key, now); }

  // Owner of `key`, with the wall-clock start of its ownership if the owner is this member. Empty
  // if there is no owner or the ownership of this member has not begun.
  std::optional<Ownership> OwnerOf(std::string_view key, const Now& now) const;

  // Returns records that remove members which have failed, which a later process on their host
  // replaces, or whose host has disappeared from the host list. The record for a member is returned
  // again only after kRemovalRetryInterval.
  std::vector<Remove> RemovalsDue(Time now);

  const OwnershipMap& map() const { return ownership_tracker_.map(); }
  Time NextWakeup() const;

 private:
  static constexpr Duration kRemovalRetryInterval = std::chrono::seconds(5);

  std::optional<Remove> MakeRemoval(const Member& member) const;
  bool WasDroppedFromHostList(const MemberId& member) const;
  void AppendEffects(FailureDetectorEffects from, Effects& to) const;

  MemberId self_;
  Authority authority_;
  OwnershipTracker ownership_tracker_;
  FailureDetector detector_;
  std::optional<std::set<std::string>> listed_hosts_;
  std::set<std::string> ever_listed_hosts_;
  std::map<MemberId, Time> next_removal_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_MEMBERSHIP_VIEW_H_
