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
    bool endpoint_unusable = false;
    SlotSet slots;
  };

  // `on_free_changed(n, free)` is called when endpoint n gets its first or loses its last free
  // slot.
  SlotShares(SlotSharesOptions options, const DomainCosts& costs,
             std::function<void(std::uint32_t, bool)> on_free_changed);

  // A member that was alone from the start holds all slots; `sole_initial_member` states that it
  // was.
  void SetMembers(Time now, const std::vector<RouterMember>& members,
                  const std::vector<std::size_t>& domains, bool sole_initial_member);

  // With `no_prior_holder` no member can hold a slot of the endpoint yet, so its homes hold them at
  // once. Precondition: slots <= 64.
  void AddEndpoint(Time now, std::uint32_t n, const EndpointId& id, std::size_t domain,
                   std::uint32_t slots, bool no_prior_holder);
  void RemoveEndpoint(std::uint32_t n);

  // Slots of an endpoint that is not in use here (ejected or leaving) count for no one's demand
  // and are not lent, since its other slots would have to serve that demand.
  void SetEligible(std::uint32_t n, bool eligible);

  // Whether a slot is free for an attempt that ends by `end`.
  bool CanAcquire(Time now, std::uint32_t n, Time end) const;
  // Takes such a slot; empty if there is none.
  std::optional<std::uint32_t> Acquire(Time now, std::uint32_t n, Time end);
  void Release(Time now, std::uint32_t n, std::uint32_t slot);

  // Slots that this member may use now, free or in use, in all domains and in its own.
  std::size_t usable() const { return usable_; }
  std::size_t usable_local() const { return usable_local_; }

  // Needs of this member: of attempts that may use lent slots, and of those too long for a lease.
  void SetLocalDemand(double any_slot_demand, double own_slot_demand);
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
  void OnReturn(Time now, const MemberId& from, const SlotReturn& message, const SlotSet& slots);

  // Extends no lease any more, so that the slots of this home come back to it.
  void StopLending();

  // Hands all slots to the other members as they become idle.
  void Drain(Time now);

  // Whether another member could be the home of a slot that this one still holds.
  bool HoldsTransferableSlot(Time now) const;

  // Slots to send to another member since the last call.
  std::vector<Transfer> TakeTransfers(Time now);

 private:
  using MemberNumber = std::int32_t;
  static constexpr MemberNumber kNoMember = -1;

  struct Token {
    bool in_use = false;
    MemberNumber home = kNoMember;
    MemberNumber assigned_to = kNoMember;
    Time held_from = Time::max();   // This member holds the token as a home, now or formerly.
    Time lent_until = Time::min();  // Until then a borrower may use it.
    MemberNumber lent_to = kNoMember;
    LeaseNumber lease = 0;
    Time borrowed_until = Time::min();
    MemberNumber lender = kNoMember;
    LeaseNumber borrowed_lease = 0;
    bool return_pending = false;
    Time transfer_not_before = Time::min();  // Not to be passed on before.
  };

  struct Exclusion {
    MemberNumber member = kNoMember;
    Time until{};
  };

  struct Endpoint {
    EndpointId id;
    std::size_t domain = 0;
    bool present = false;
    bool has_free_slot = false;
    bool eligible = true;
    std::vector<Token> tokens;
    std::vector<Exclusion> exclusions;
  };

  struct Peer {
    MemberId id;
    std::size_t domain = 0;
    bool is_member = false;
    bool draining = false;
    std::size_t rank = 0;  // Position among the members by id.
    double demand = 0;
    Time demand_received_at = Time::min();
  };

  MemberNumber NumberOf(const MemberId& id);
  // Makes the numbers of members that left reusable, so that replaced hosts cost nothing.
  void ReleaseFormerMemberNumbers(Time now);
  MemberNumber HomeOf(const std::string& key) const;
  void AssignHomes(Time now);
  void SetHome(Time now, Token& token, MemberNumber home) const;
  bool IsOwnSlotFree(Time now, const Token& token) const;
  bool IsOwnSlotUsable(Time now, const Token& token) const;
  bool IsBorrowedSlotUsable(Time now, const Token& token, Time end) const;
  void UpdateFreeState(Time now, std::uint32_t n);
  void UpdateUsableCounts(Time now);
  void Allocate(Time now);
  void RankMembers();
  void ExcludeMember(Time now, Endpoint& endpoint, MemberNumber member);
  double FairShare(Time now) const;
  double QuotaOf(Time now, MemberNumber member) const;
  std::uint32_t* FindEndpoint(const EndpointId& id);

  SlotSharesOptions options_;
  const DomainCosts* costs_;
  std::function<void(std::uint32_t, bool)> on_free_changed_;
  std::vector<Peer> peers_;
  std::unordered_map<MemberId, MemberNumber> numbers_;
  std::vector<MemberNumber> free_numbers_;
  std::size_t member_count_ = 0;
  std::vector<Endpoint> endpoints_;
  std::unordered_map<EndpointId, std::uint32_t> indexes_;
  double any_slot_demand_ = 0;
  double own_slot_demand_ = 0;
  std::size_t usable_ = 0;
  std::size_t usable_local_ = 0;
  bool lending_ = true;
  bool draining_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SLOT_SHARES_H_
