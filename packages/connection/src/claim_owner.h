#ifndef CACTUSSHELF_CONNECTION_SRC_CLAIM_OWNER_H_
#define CACTUSSHELF_CONNECTION_SRC_CLAIM_OWNER_H_

#include <vector>

#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/request/claim_table.h"
#include "router_env.h"

namespace cactusshelf {

// Answers claims of request ids that this member owns. Not thread-safe.
class ClaimOwner {
 public:
  explicit ClaimOwner(RouterEnv& env);

  void SetMembers(const std::vector<RouterMember>& members);
  void SetAuthority(Time valid_until) { authority_until_ = valid_until; }

  void OnClaim(Now now, const MemberId& from, const Claim& claim);
  void OnDone(const MemberId& from, const ClaimDone& done) { table_.OnClaimDone(from, done); }

 private:
  std::optional<WallTime> AuthorityEnd(Now now) const;

  RouterEnv* env_;
  ClaimTable table_;
  Time authority_until_ = Time::min();
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_CLAIM_OWNER_H_
