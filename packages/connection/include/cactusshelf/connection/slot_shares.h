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
  std::size_t domain = 0;  // Failure domain of this member.
  Duration lease{};
  // After this time a former home of a slot can no longer use or lend the slot.
  Duration handover_wait{};
  bool lease_margin = true;  // False only in tests.
  bool enforce = true;       // False only in tests: every endpoint always has a free slot.
};

// Tracks which slots of the endpoints of one service this entry host may use. Each slot is
// represented by a token, whose home member is determined by a rendezvous hash of endpoint and
// slot. The home uses the token itself or lends it under a lease, and reclaims it 5% of the lease
// time after the lease has ended. When the home changes, the former home transfers the token once
// it is idle; if no transfer arrives, the new home takes the token after `handover_wait`.
// The caller assigns the endpoint numbers. Not thread-safe.
class SlotShares {
 public:
  struct Transfer {
    MemberId to;
    LeaseNumber number = 0;
    bool endpoint_unusable = false;
    SlotSet slots;
  };

  // `on_free_changed(n, has_free_slot)` is called when endpoint `n` gets its first or loses its
  // last free slot.
  SlotShares(SlotSharesOptions options, const DomainCosts& costs,
             std::function<void(std::uint32_t, bool)> on_free_changed);

  // `sole_initial_member` states that this member is the only one and there was none before, so
  // that it holds all slots at once.
  void SetMembers(Time now, const std::vector<RouterMember>& members,
                  const std::vector<std::size_t>& domains, bool sole_initial_member);

  // `no_prior_holder` states that no member can hold a slot of the endpoint yet, so that the homes
  // hold their slots at once. Precondition: slots <= 64; throws Error otherwise.
  void AddEndpoint(Time now, std::uint32_t n, const EndpointId& id, std::size_t domain,
                   std::uint32_t slots, bool no_prior_holder);
  void RemoveEndpoint(std::uint32_t n);

  // An endpoint is not eligible if this host does not send requests to it, for example because it
  // is ejected or leaving. Slots of such endpoints are not lent and do not count as usable, since
  // other endpoints have to serve the demand.
  void SetEligible(std::uint32_t n, bool eligible);

  // Returns whether a slot is free for an attempt that ends by `end`.
  bool CanAcquire(Time now, std::uint32_t n, Time end) const;
  // Acquires such a slot and returns its number, or empty if there is none.
  std::optional<std::uint32_t> Acquire(Time now, std::uint32_t n, Time end);
  void Release(Time now, std::uint32_t n, std::uint32_t slot);

  // Number of slots that this member may use now, free or in use: in all failure domains, and in
  // the domain of this member.
  std::size_t usable() const { return usable_; }
  std::size_t usable_local() const { return usable_local_; }

  // Sets the number of slots that this member needs: for requests that may use lent slots, and for
  // requests that take too long for a lease.
  void SetLocalDemand(double any_slot_demand, double own_slot_demand);
  void SetDemand(Time now, const MemberId& member, double slots);

  // Reassigns the slots of this home to members and processes expired leases.
  void Tick(Time now);

  // Lends the free slots assigned to `member` and renews its leases. Returns all slots that the
  // lease `number` covers.
  std::vector<SlotSet> LendTo(Time now, const MemberId& member, LeaseNumber number);
  void OnLend(Time now, const MemberId& lender, LeaseNumber number, Time until,
              const SlotSet& slots);
  // Marks idle borrowed slots for return before their lease ends: slots of endpoints that are not
  // eligible, and those in excess of the demand of this member, or of its fair share if the total
  // demand of all members exceeds the number of slots.
  void ReturnSurplus(Time now);
  void OnReturn(Time now, const MemberId& from, const SlotReturn& message, const SlotSet& slots);

  // Stops granting and renewing leases, so that all slots of this home return to it.
  void StopLending();

  // Transfers each slot to another member as soon as the slot is idle.
  void Drain(Time now);

  // Returns whether this member still holds a slot that can be transferred to another member.
  bool HoldsTransferableSlot(Time now) const;

  // Returns the slots to send to other members, and records them as sent: slots whose home changed
  // and borrowed slots that are returned.
  std::vector<Transfer> TakeTransfers(Time now);

 private:
  using MemberNumber = std::int32_t;
  static constexpr MemberNumber kNoMember = -1;

  struct Token {
    bool in_use = false;
    MemberNumber home = kNoMember;
    MemberNumber assigned_to = kNoMember;
    // From this time on this member holds the token as its current or former home.
    Time held_from = Time::max();
    Time lent_until = Time::min();  // Until this time a borrower may use the token.
    MemberNumber lent_to = kNoMember;
    LeaseNumber lease = 0;
    Time borrowed_until = Time::min();
    MemberNumber lender = kNoMember;
    LeaseNumber borrowed_lease = 0;
    bool return_pending = false;
    Time transfer_not_before = Time::min();
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
  // Makes the numbers of former members reusable, so that replaced hosts do not use up memory.
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
