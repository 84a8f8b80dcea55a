#ifndef CACTUSSHELF_CONNECTION_SLOT_SHARES_H_
#define CACTUSSHELF_CONNECTION_SLOT_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/domain_costs.h"
#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/connection/slot_messages.h"

namespace cactusshelf {

struct SlotSharesOptions {
  MemberId self;
  std::size_t domain = 0;  // Of this member.
  Duration lease{};
  Duration handover_wait{};  // After it, no former home of a slot can still use or lend it.
  bool lease_margin = true;  // False only in tests.
  bool enforce = true;       // False only in tests: every endpoint always has a free slot.
};

// The slots of one service's endpoints that this entry host may use. A slot is a token with a
// home by rendezvous hash of endpoint and slot. The home uses the token or lends it under a lease
// and takes it back 5% after the lease ended. When the home changes, the former one passes the
// token on once it is idle; without word from it the new home waits `handover_wait`.
// Endpoints are numbered by the caller. Not thread-safe.
class SlotShares {
 public:
  struct Transfer {
    MemberId to;
    LeaseNumber number = 0;
    bool unusable = false;
    SlotSet slots;
  };

  // `on_free(n, free)` is called when endpoint n gets its first or loses its last free slot.
  SlotShares(SlotSharesOptions options, const DomainCosts& costs,
             std::function<void(std::uint32_t, bool)> on_free);

  // A member that was alone from the start holds all slots; `founder` states that it was.
  void SetMembers(Time now, const std::vector<RouterMember>& members,
                  const std::vector<std::size_t>& domains, bool founder);

  // With `fresh` no member can hold a slot of the endpoint yet, so its homes hold them at once.
  // Precondition: slots <= 64.
  void AddEndpoint(Time now, std::uint32_t n, const EndpointId& id, std::size_t domain,
                   std::uint32_t slots, bool fresh);
  void RemoveEndpoint(std::uint32_t n);

  // Slots of an endpoint that is not in use here (ejected or leaving) count for no one's demand
  // and are not lent, since its other slots would have to serve that demand.
  void SetInUse(std::uint32_t n, bool in_use);

  // Whether a slot is free for an attempt that ends by `end`.
  bool CanTake(Time now, std::uint32_t n, Time end) const;
  // Takes such a slot; empty if there is none.
  std::optional<std::uint32_t> Take(Time now, std::uint32_t n, Time end);
  void Release(Time now, std::uint32_t n, std::uint32_t slot);

  // Slots that this member may use now, free or in use, in all domains and in its own.
  std::size_t usable() const { return usable_; }
  std::size_t usable_near() const { return usable_near_; }

  // Needs of this member: of attempts that may use lent slots, and of those too long for a lease.
  void SetOwnDemand(double lendable, double own_only);
  void SetDemand(Time now, const MemberId& member, double slots);

  // Decides again for whom each slot of this home is, and notices the end of leases.
  void Tick(Time now);

  // Lends to `member` what is free and meant for it, and extends its leases.
  std::vector<SlotSet> LendTo(Time now, const MemberId& member, LeaseNumber number);
  void OnLend(Time now, const MemberId& lender, LeaseNumber number, Time until,
              const SlotSet& slots);
  // Gives idle lent slots back early: those of endpoints that are not in use here, and what
  // exceeds this member's need, or its share of the slots if all members together need more.
  void ReturnSurplus(Time now);
  void OnReturn(Time now, const MemberId& from, const SlotReturn& header, const SlotSet& slots);

  // Extends no lease any more, so that the slots of this home come back to it.
  void StopLending();

  // Hands all slots to the other members as they become idle.
  void Drain(Time now);

  // Whether another member could be the home of a slot that this one still holds.
  bool HoldsAny(Time now) const;

  // Slots to send to another member since the last call.
  std::vector<Transfer> TakeTransfers(Time now);

 private:
  using MemberNumber = std::int32_t;
  static constexpr MemberNumber kNobody = -1;

  struct Token {
    bool in_use = false;
    MemberNumber home = kNobody;
    MemberNumber meant_for = kNobody;
    Time held_from = Time::max();   // This member holds the token as a home, now or formerly.
    Time lent_until = Time::min();  // Until then a borrower may use it.
    MemberNumber lent_to = kNobody;
    LeaseNumber lease = 0;
    Time borrowed_until = Time::min();
    MemberNumber lender = kNobody;
    LeaseNumber borrowed_lease = 0;
    bool give_back = false;
    Time keep_until = Time::min();  // Not to be passed on before.
  };

  struct Unwanted {
    MemberNumber member = kNobody;
    Time until{};
  };

  struct Endpoint {
    EndpointId id;
    std::size_t domain = 0;
    bool present = false;
    bool free = false;
    bool in_use = true;
    std::vector<Token> tokens;
    std::vector<Unwanted> unwanted;
  };

  struct Peer {
    MemberId id;
    std::size_t domain = 0;
    bool member = false;
    bool draining = false;
    std::size_t rank = 0;  // Position among the members by id.
    double demand = 0;
    Time demand_at = Time::min();
  };

  MemberNumber NumberOf(const MemberId& id);
  // Makes the numbers of members that left reusable, so that replaced hosts cost nothing.
  void ForgetFormerMembers(Time now);
  MemberNumber HomeOf(const std::string& key) const;
  void AssignHomes(Time now);
  void SetHome(Time now, Token& token, MemberNumber home) const;
  bool OwnFree(Time now, const Token& token) const;
  bool OwnUsable(Time now, const Token& token) const;
  bool BorrowedUsable(Time now, const Token& token, Time end) const;
  void UpdateFree(Time now, std::uint32_t n);
  void CountUsable(Time now);
  void Allocate(Time now);
  void RankMembers();
  void MarkUnwanted(Time now, Endpoint& endpoint, MemberNumber member);
  double Share(Time now) const;
  double QuotaOf(Time now, MemberNumber member) const;
  std::uint32_t* IndexOf(const EndpointId& id);

  SlotSharesOptions options_;
  const DomainCosts* costs_;
  std::function<void(std::uint32_t, bool)> on_free_;
  std::vector<Peer> peers_;
  std::unordered_map<MemberId, MemberNumber> numbers_;
  std::vector<MemberNumber> free_numbers_;
  std::size_t members_ = 0;
  std::vector<Endpoint> endpoints_;
  std::unordered_map<EndpointId, std::uint32_t> indexes_;
  double own_demand_ = 0;
  double own_only_ = 0;
  std::size_t usable_ = 0;
  std::size_t usable_near_ = 0;
  bool lending_ = true;
  bool draining_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SLOT_SHARES_H_
