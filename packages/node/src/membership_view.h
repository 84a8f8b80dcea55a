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

// What this member knows of the other members: who owns which key, whether this member may act, and
// who has failed. Not thread-safe.
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

  // Records changed the members. `departures` are those since the last call; `complete` is false if
  // records were skipped by loading a snapshot.
  void OnMembersChanged(Time now, const LogState& state, std::vector<Departure> departures,
                        bool complete);

  // All records up to the end of the log were applied by a read that began at `started`.
  void OnLogRead(Time started);

  // What this member reports of itself to the others.
  void SetStatus(Time now, const LogState& state);
  void OnHostList(Time now, std::set<std::string> hosts);
  Effects OnMessage(Time now, const MembershipMessage& message);
  Effects OnTimer(Time now);
  void AnnounceLeaving(Time now, const EndpointId& endpoint);

  // End of the authority of this member, or empty if it has none.
  std::optional<Time> AuthorityUntil(Time now) const { return authority_.ValidUntil(now); }

  bool MayAct(std::string_view key, Time now) const { return tenure_.MayAct(key, now); }

  // Owner of `key`, with the wall-clock start of its tenure if it is this member.
  std::optional<Ownership> OwnerOf(std::string_view key, const Now& now) const;

  // Records that remove members which have failed or whose host is gone from the host list. Each is
  // returned again only after kRemoveRepeat.
  std::vector<Remove> RemovalsDue(Time now);

  const OwnershipMap& map() const { return tenure_.map(); }
  Time NextWakeup() const;

 private:
  static constexpr Duration kRemoveRepeat = std::chrono::seconds(5);

  std::optional<Remove> RemovalOf(const Member& member) const;
  bool IsGoneFromHostList(const MemberId& member) const;
  void Merge(FailureDetectorEffects from, Effects& to) const;

  MemberId self_;
  Authority authority_;
  OwnershipTracker tenure_;
  FailureDetector detector_;
  std::optional<std::set<std::string>> hosts_;
  std::set<std::string> hosts_seen_;
  std::map<MemberId, Time> removal_repeat_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_MEMBERSHIP_VIEW_H_
