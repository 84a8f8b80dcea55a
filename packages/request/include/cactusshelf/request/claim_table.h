#ifndef CACTUSSHELF_REQUEST_CLAIM_TABLE_H_
#define CACTUSSHELF_REQUEST_CLAIM_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/request/claim_messages.h"
#include "cactusshelf/request/request_id.h"

namespace cactusshelf {

struct IntentTableOptions {
  Duration max_clock_skew{};
  Duration claim_window{};
  std::size_t max_claims = 0;
  bool check_tenure = true;
};

// Claims on the request ids that one member owns. Grants each id to at most one claim at a time,
// and never again once the request may have run. Not thread-safe.
class IntentTable {
 public:
  explicit IntentTable(IntentTableOptions options);

  // Members whose running claims are still valid. A claim of any other member becomes unknown.
  void SetMembers(const std::vector<MemberId>& members);

  // Decides on `claim` of `from`, at `now` on the clock of this member. `tenure_start` is the
  // start of this member's tenure of the id; `authority_end` the wall time at which its authority
  // ended, or empty while it lasts.
  ClaimReply Decide(WallTime now, const MemberId& from, const Claim& claim, WallTime tenure_start,
                    std::optional<WallTime> authority_end);

  // Records the end of a granted request, or releases the claim if it was not run. Ignored
  // unless member and number are those of the claim in force.
  void Done(const MemberId& from, const ClaimDone& done);

  std::size_t size() const { return claims_.size(); }

 private:
  struct Entry {
    MemberId runner;
    ClaimNumber number = 0;
    bool done = false;
  };

  ClaimReply Known(const Entry& entry, const MemberId& from, const Claim& claim) const;
  void Expire(WallTime now);

  IntentTableOptions options_;
  std::unordered_set<MemberId> members_;
  // The oldest claims come first.
  std::map<RequestId, Entry> claims_;
  // Claims issued before this time may have been dropped. Never decreases, so that a clock that
  // is set back does not grant a dropped claim again.
  WallTime dropped_before_{};
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_CLAIM_TABLE_H_
