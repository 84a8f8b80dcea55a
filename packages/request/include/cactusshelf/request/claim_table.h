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

struct ClaimTableOptions {
  Duration max_clock_skew{};
  Duration claim_window{};
  std::size_t max_claims = 0;
  bool check_ownership_start = true;
};

// Claims on the request ids that one member owns. An id is granted to at most one claim at a time,
// and is not granted again once its request may have run. Not thread-safe.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimTableOptions options);

  // Sets the current members. If an id is claimed by a process that is not among them, any other
  // claim on the id gets the verdict kUnknown.
  void SetMembers(const std::vector<MemberId>& members);

  // Decides on `claim`, sent by `from`. All times are wall times: `now` on the clock of this
  // member, `ownership_start` the start of its ownership of the id, and `authority_end` the end of
  // its authority, empty while it has authority.
  ClaimReply Decide(WallTime now, const MemberId& from, const Claim& claim,
                    WallTime ownership_start, std::optional<WallTime> authority_end);

  // Marks the claim as done, or releases it if the request was not run. Ignored unless `from` and
  // the number match the stored claim and that claim is not yet done.
  void OnClaimDone(const MemberId& from, const ClaimDone& done);

  std::size_t size() const { return claims_.size(); }

 private:
  struct Entry {
    MemberId runner;
    ClaimNumber number = 0;
    bool done = false;
  };

  ClaimReply ReplyToExistingClaim(const Entry& entry, const MemberId& from,
                                  const Claim& claim) const;
  void DropExpiredClaims(WallTime now);

  ClaimTableOptions options_;
  std::unordered_set<MemberId> members_;
  // Ordered by time of issue, oldest first.
  std::map<RequestId, Entry> claims_;
  // Claims on ids issued before this time may have been dropped. Never decreases, so that an id
  // whose claim was dropped is not granted again after the clock is set back.
  WallTime dropped_before_{};
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_CLAIM_TABLE_H_
