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
  // Confirmations are asked for once no log read that began within this time has succeeded. Half
  // of the lease leaves two rounds of queries before rule 1 ends.
  Duration max_log_read_age = std::chrono::seconds(1);
  Duration confirm_interval = std::chrono::milliseconds(500);
  // A member whose host never appeared on the host list counts as gone only by a list read this
  // long after its join was applied, because the list is delayed.
  Duration host_list_settle = std::chrono::seconds(60);
};

// Whether this member may act as an owner at all (section 4.3 of the design).
//  Rule 1: it read the log to its end, in a read that began within `authority_lease`, and was a
//          member as of that end.
//  Rule 2: every other member still on the host list, and at least one, promised within
//          `authority_lease` of the query not to take over. Without the promise of at least one
//          member, a member cut off from the log could not notice that it was removed.
// Not thread-safe.
class Authority {
 public:
  Authority(MemberId self, AuthoritySettings settings);

  // The map that this member acts on from now on.
  void OnMap(OwnershipMap map, Time now);

  // A log read that began at `started` returned all records up to the end of the log, and these
  // are applied. Reads that return a full batch or fail are not reported.
  void OnLogRead(Time started);

  // Names of all hosts on the host list, live or leaving.
  void OnHostList(const std::set<std::string>& hosts, Time now);

  void OnConfirmReply(const ConfirmReply& reply);

  // Queries that are due at `now`: to the members that must confirm under rule 2 while log reads
  // fail, and to `awaited` (OwnershipTracker::AwaitedMembers) in any case.
  std::vector<OutgoingMessage> Poll(const std::vector<MemberId>& awaited, Time now);

  // When Poll is to be called next. Poll may be called at any time.
  Time next_poll() const { return next_poll_; }

  // Answer to the query of another member, according to the map this member acts on.
  // `settled_epoch` is OwnershipTracker::SettledEpoch.
  ConfirmReply MakeConfirmReply(const Confirm& confirm, Epoch settled_epoch) const;

  // End of the authority that this member has at `now`, or empty if it has none. Effects that need
  // authority carry this time.
  std::optional<Time> ValidUntil(Time now) const;

 private:
  // What the host list says of a member.
  struct Listing {
    Time first_known;
    bool seen = false;
    // The host disappeared from the list, or did not appear on it in time.
    bool gone = false;
  };
  struct Query {
    MemberId to;
    Time sent;
  };

  // Whether rule 2 needs the promise of `member`.
  bool MustConfirm(const Member& member) const;
  std::optional<Time> LogValidUntil() const;
  std::optional<Time> PromisedUntil() const;
  void ForgetOldQueries(Time now);

  MemberId self_;
  AuthoritySettings settings_;
  OwnershipMap map_;
  MemberMap<Listing> listings_;
  std::optional<Time> read_started_;
  // Time of sending of the last query that was answered with a promise.
  MemberMap<Time> promises_;
  std::map<std::uint64_t, Query> queries_;
  std::uint64_t last_query_ = 0;
  Time next_poll_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_AUTHORITY_H_
