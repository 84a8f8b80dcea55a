#ifndef CACTUSSHELF_MEMBERSHIP_AUTHORITY_H_
#define CACTUSSHELF_MEMBERSHIP_AUTHORITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/membership/member_map.h"
#include "cactusshelf/membership/ownership_map.h"
#include "cactusshelf/membership/peer_messages.h"

namespace cactusshelf {

struct AuthoritySettings {
  Duration authority_lease = std::chrono::seconds(2);
  // Confirmations are requested when no log read that began within this time has succeeded. Half
  // of the lease leaves time for two rounds of queries before authority under rule 1 expires.
  Duration max_log_read_age = std::chrono::seconds(1);
  Duration confirm_interval = std::chrono::milliseconds(500);
  // The host list lags behind joins. A member whose host was never listed counts as delisted only
  // if a list read at least this long after its join was applied still omits the host.
  Duration host_list_grace_period = std::chrono::seconds(60);
};

// Decides whether this member may act as an owner at all (section 4.3 of the design). Either rule
// grants authority:
//  Rule 1: this member read the log to its end, in a read that began within `authority_lease`, and
//          was a member as of that end.
//  Rule 2: every other member still on the host list, and at least one, promised in reply to a
//          query sent within `authority_lease` not to take over. Without the promise of at least
//          one member, a member cut off from the log could not detect its own removal.
// Not thread-safe.
class Authority {
 public:
  Authority(MemberId self, AuthoritySettings settings);

  // Installs the map that this member acts on from `now` on. Epochs must not decrease.
  void OnMap(OwnershipMap map, Time now);

  // To be called after a log read that began at `started` returned all records up to the end of
  // the log and these were applied. Reads that fail or return a full batch must not be reported.
  void OnLogRead(Time started);

  // `hosts` holds the names of all hosts on the host list, whether live or leaving.
  void OnHostList(const std::set<std::string>& hosts, Time now);

  void OnConfirmReply(const ConfirmReply& reply);

  // Returns the queries that are due at `now`: to `awaited` (OwnershipTracker::AwaitedMembers) and,
  // while log reads fail, to the members that must confirm under rule 2.
  std::vector<OutgoingMessage> Poll(const std::vector<MemberId>& awaited, Time now);

  // Time at which Poll is due next. An earlier call returns no queries.
  Time next_poll() const { return next_poll_; }

  // Returns the reply to the query of another member, according to the map this member acts on.
  // `settled_epoch` is OwnershipTracker::SettledEpoch.
  ConfirmReply MakeConfirmReply(const Confirm& confirm, Epoch settled_epoch) const;

  // Returns the end of the authority that this member has at `now`, or empty if it has none.
  // Effects that need authority carry this time.
  std::optional<Time> ValidUntil(Time now) const;

 private:
  // Presence of a member's host on the host list.
  struct HostListStatus {
    Time first_in_map;
    bool was_listed = false;
    // The host disappeared from the list, or did not appear on it in time.
    bool delisted = false;
  };
  struct Query {
    MemberId to;
    Time sent;
  };

  // Returns whether rule 2 requires the promise of `member`.
  bool MustConfirm(const Member& member) const;
  std::optional<Time> LogValidUntil() const;
  std::optional<Time> PromisedUntil() const;
  void PruneExpiredQueries(Time now);

  MemberId self_;
  AuthoritySettings settings_;
  OwnershipMap map_;
  MemberMap<HostListStatus> host_list_status_;
  std::optional<Time> latest_read_started_;
  // For each member, the send time of its latest query that was answered with a promise.
  MemberMap<Time> promises_;
  std::map<std::uint64_t, Query> queries_;
  std::uint64_t last_query_id_ = 0;
  Time next_poll_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_AUTHORITY_H_
