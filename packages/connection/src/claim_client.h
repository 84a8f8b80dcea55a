#ifndef CACTUSSHELF_CONNECTION_SRC_CLAIM_CLIENT_H_
#define CACTUSSHELF_CONNECTION_SRC_CLAIM_CLIENT_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cactusshelf/connection/request.h"
#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/request/claim_messages.h"
#include "router_env.h"

namespace cactusshelf {

// Result of a request that this member did not run, because the claim was not granted or another
// member ran the request.
struct ClaimResolution {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  Response response;
};

// Obtains claims from the owners of request ids, and fetches the answers of requests that other
// members ran. Not thread-safe.
class ClaimClient {
 public:
  struct Listener {
    std::function<void(Now, RequestToken, ClaimNumber)> granted;
    std::function<void(Now, RequestToken, ClaimResolution)> resolved;
  };

  ClaimClient(RouterEnv& env, Listener listener);

  void SetMembers(Now now, const std::vector<RouterMember>& members);

  void Start(Now now, RequestToken token, const RequestId& id);
  void OnReply(Now now, const MemberId& from, const ClaimReply& reply);
  void OnAnswer(Now now, const MemberId& from, const Answer& answer);
  void OnResendTimer(Now now, RequestToken token);

  // Cancels the pending claim of a request that has ended. A grant that arrives later is released.
  // Returns true if another member runs or ran the request.
  bool Cancel(RequestToken token);

  // Reports the outcome of a request with a granted claim to the owner.
  void ReportDone(const RequestId& id, ClaimNumber number, const MemberId& owner, Outcome outcome);

  // Member that granted claim `number`; empty if unknown or after ReportDone.
  MemberId GranterOf(ClaimNumber number) const;

 private:
  struct Pending {
    RequestId id;
    ClaimNumber number = 0;
    FetchNumber fetch = 0;  // 0 while a claim is pending.
    MemberId runner;
    bool runner_done = false;
    int fetch_rounds = 0;
  };

  void SendClaim(Now now, RequestToken token, const Pending& pending);
  void SendFetch(Now now, RequestToken token, const Pending& pending);
  void BeginFetch(Now now, RequestToken token, Pending& pending, const ClaimReply& reply);
  void ScheduleReclaim(Now now, RequestToken token);
  void Resolve(Now now, RequestToken token, ClaimResolution resolution);
  void RemovePending(RequestToken token);
  void RecordCancelledClaim(ClaimNumber number);

  RouterEnv* env_;
  Listener listener_;
  std::unordered_set<MemberId> members_;
  std::unordered_map<RequestToken, Pending> pending_;
  std::unordered_map<ClaimNumber, RequestToken> claims_;
  std::unordered_map<FetchNumber, RequestToken> fetches_;
  std::unordered_map<ClaimNumber, MemberId> granting_members_;
  std::unordered_set<ClaimNumber> cancelled_claims_;
  std::deque<ClaimNumber> cancelled_claim_order_;
  std::uint64_t next_number_ = 1;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_CLAIM_CLIENT_H_
