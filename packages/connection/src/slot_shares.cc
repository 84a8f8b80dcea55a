#include "cactusshelf/connection/slot_shares.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/rendezvous.h"
#include "cactusshelf/connection/slot_allocation.h"

namespace cactusshelf {

namespace {

constexpr std::uint32_t kMaxSlots = 64;
// Number of this member: the constructor assigns the first number to it.
constexpr std::int32_t kLocalMember = 0;
// The clocks of two hosts may run at different rates, so a lender waits 1/20 of the lease longer.
constexpr int kLeaseMarginDivisor = 20;
// A reported demand is ignored after this time.
constexpr Duration kDemandValidity = std::chrono::seconds(1);
// A member that cannot use an endpoint is not lent slots of the endpoint for this time.
constexpr Duration kExclusionPeriod = std::chrono::seconds(1);
// A received token is not transferred again before this time, since its sender may have a newer
// member list, which names this member as home and has not arrived here yet.
constexpr Duration kReceivedTokenHoldTime = std::chrono::seconds(1);

constexpr std::uint64_t Bit(std::uint32_t slot) { return std::uint64_t{1} << slot; }

}  // namespace

SlotShares::SlotShares(SlotSharesOptions options, const DomainCosts& costs,
                       std::function<void(std::uint32_t, bool)> on_free_changed)
    : options_(std::move(options)), costs_(&costs), on_free_changed_(std::move(on_free_changed)) {
  NumberOf(options_.self);
  peers_[kLocalMember].domain = options_.domain;
}

void SlotShares::SetMembers(Time now, const std::vector<RouterMember>& members,
                            const std::vector<std::size_t>& domains, bool sole_initial_member) {
  for (Peer& peer : peers_) {
    peer.is_member = false;
    peer.draining = false;
  }
  for (std::size_t i = 0; i < members.size(); ++i) {
    Peer& peer = peers_[static_cast<std::size_t>(NumberOf(members[i].id))];
    peer.is_member = true;
    peer.domain = domains[i];
  }
  peers_[kLocalMember].draining = draining_;
  member_count_ = members.size();
  RankMembers();
  AssignHomes(now);
  ReleaseFormerMemberNumbers(now);
  if (sole_initial_member) {
    for (Endpoint& endpoint : endpoints_) {
      for (Token& token : endpoint.tokens) {
        token.held_from = now;
      }
    }
  }
  Tick(now);
}

void SlotShares::AddEndpoint(Time now, std::uint32_t n, const EndpointId& id, std::size_t domain,
                             std::uint32_t slots, bool no_prior_holder) {
  if (slots > kMaxSlots) {
    throw Error("endpoint " + id.str() + " has more than 64 slots");
  }
  if (n >= endpoints_.size()) {
    endpoints_.resize(n + 1);
  }
  Endpoint& endpoint = endpoints_[n];
  endpoint.id = id;
  endpoint.domain = domain;
  endpoint.present = true;
  indexes_[id] = n;
  const std::size_t previous_count = endpoint.tokens.size();
  endpoint.tokens.resize(slots);
  for (std::size_t i = previous_count; i < slots; ++i) {
    Token& token = endpoint.tokens[i];
    SetHome(now, token, HomeOf(id.str() + '#' + std::to_string(i)));
    if (no_prior_holder && token.home == kLocalMember) {
      token.held_from = now;
    }
  }
  UpdateFreeState(now, n);
  UpdateUsableCounts(now);
}

void SlotShares::RemoveEndpoint(std::uint32_t n) {
  Endpoint& endpoint = endpoints_[n];
  indexes_.erase(endpoint.id);
  if (endpoint.has_free_slot) {
    on_free_changed_(n, false);
  }
  endpoint = Endpoint{};
}

void SlotShares::SetEligible(std::uint32_t n, bool eligible) {
  if (n < endpoints_.size()) {
    endpoints_[n].eligible = eligible;
  }
}

bool SlotShares::CanAcquire(Time now, std::uint32_t n, Time end) const {
  if (!options_.enforce) {
    return true;
  }
  return std::ranges::any_of(endpoints_[n].tokens, [&](const Token& token) {
    return IsOwnSlotFree(now, token) || (!token.in_use && IsBorrowedSlotUsable(now, token, end));
  });
}

std::optional<std::uint32_t> SlotShares::Acquire(Time now, std::uint32_t n, Time end) {
  std::vector<Token>& tokens = endpoints_[n].tokens;
  if (!options_.enforce) {
    return 0;
  }
  std::optional<std::uint32_t> best;
  for (std::uint32_t slot = 0; slot < tokens.size(); ++slot) {
    const Token& token = tokens[slot];
    // Prefer borrowed slots, since only own slots serve attempts that take too long for a lease.
    if (!token.in_use && IsBorrowedSlotUsable(now, token, end)) {
      best = slot;
      break;
    }
    if (IsOwnSlotFree(now, token) && (!best || token.assigned_to <= kLocalMember)) {
      best = slot;
    }
  }
  if (best) {
    tokens[*best].in_use = true;
    UpdateFreeState(now, n);
  }
  return best;
}

void SlotShares::Release(Time now, std::uint32_t n, std::uint32_t slot) {
  std::vector<Token>& tokens = endpoints_[n].tokens;
  // Since the attempt started, the number of slots may have been reduced or the endpoint replaced.
  if (slot >= tokens.size()) {
    return;
  }
  tokens[slot].in_use = false;
  UpdateFreeState(now, n);
}

void SlotShares::SetLocalDemand(double any_slot_demand, double own_slot_demand) {
  any_slot_demand_ = any_slot_demand;
  own_slot_demand_ = own_slot_demand;
}

void SlotShares::SetDemand(Time now, const MemberId& member, double slots) {
  Peer& peer = peers_[static_cast<std::size_t>(NumberOf(member))];
  const double previous_demand =
      QuotaOf(now, NumberOf(member)) * static_cast<double>(member_count_);
  peer.demand = slots;
  peer.demand_received_at = now;
  if (slots > previous_demand + 1) {
    Allocate(now);
  }
}

void SlotShares::Tick(Time now) {
  Allocate(now);
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    UpdateFreeState(now, n);
  }
  UpdateUsableCounts(now);
}

std::vector<SlotSet> SlotShares::LendTo(Time now, const MemberId& member, LeaseNumber number) {
  std::vector<SlotSet> lent;
  const MemberNumber borrower = NumberOf(member);
  const Duration margin =
      options_.lease_margin ? options_.lease / kLeaseMarginDivisor : Duration::zero();
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    Endpoint& endpoint = endpoints_[n];
    std::uint64_t slots = 0;
    for (std::uint32_t slot = 0; slot < endpoint.tokens.size(); ++slot) {
      Token& token = endpoint.tokens[slot];
      const bool is_assigned = token.home == kLocalMember && token.assigned_to == borrower;
      const bool is_renewal = token.lent_to == borrower && token.lent_until > now;
      if (!is_assigned || token.held_from > now || !(is_renewal || IsOwnSlotFree(now, token))) {
        continue;
      }
      token.lent_to = borrower;
      token.lent_until = now + options_.lease + margin;
      token.lease = number;
      slots |= Bit(slot);
    }
    if (slots != 0) {
      lent.push_back(SlotSet{endpoint.id, slots});
      UpdateFreeState(now, n);
    }
  }
  return lent;
}

void SlotShares::OnLend(Time now, const MemberId& lender, LeaseNumber number, Time until,
                        const SlotSet& slots) {
  const std::uint32_t* n = FindEndpoint(slots.endpoint);
  if (n == nullptr || until <= now || draining_) {
    return;
  }
  const MemberNumber from = NumberOf(lender);
  std::vector<Token>& tokens = endpoints_[*n].tokens;
  for (std::uint32_t slot = 0; slot < tokens.size(); ++slot) {
    Token& token = tokens[slot];
    const bool stale = token.lender == from && token.borrowed_lease >= number;
    if ((slots.slots & Bit(slot)) == 0 || stale) {
      continue;
    }
    token.return_pending = false;
    token.lender = from;
    token.borrowed_lease = number;
    token.borrowed_until = until;
  }
  UpdateFreeState(now, *n);
}

void SlotShares::ReturnSurplus(Time now) {
  std::vector<std::pair<std::uint32_t, Token*>> idle;
  double own_count = 0;
  double borrowed_count = 0;
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    for (Token& token : endpoints_[n].tokens) {
      const bool is_borrowed = token.borrowed_until > now && !token.return_pending;
      if (is_borrowed && !endpoints_[n].eligible) {
        token.return_pending = !token.in_use;
        continue;
      }
      own_count += IsOwnSlotUsable(now, token) ? 1 : 0;
      borrowed_count += is_borrowed ? 1 : 0;
      if (is_borrowed && !token.in_use) {
        idle.emplace_back(n, &token);
      }
    }
  }
  const double fair_share = FairShare(now);
  const bool contended = fair_share < any_slot_demand_;
  double surplus =
      contended ? own_count + borrowed_count - fair_share : borrowed_count - any_slot_demand_ - 1;
  // Return the slots with the highest link cost first.
  std::ranges::stable_sort(idle, std::greater<>(), [&](const auto& item) {
    return costs_->Cost(options_.domain, endpoints_[item.first].domain);
  });
  for (const auto& [n, token] : idle) {
    if (surplus < 1) {
      return;
    }
    surplus -= 1;
    token->return_pending = true;
    UpdateFreeState(now, n);
  }
}

double SlotShares::FairShare(Time now) const {
  double total_demand = any_slot_demand_ + own_slot_demand_;
  for (std::size_t i = 1; i < peers_.size(); ++i) {
    total_demand += QuotaOf(now, static_cast<MemberNumber>(i)) * static_cast<double>(member_count_);
  }
  double slots = 0;
  for (const Endpoint& endpoint : endpoints_) {
    slots += endpoint.eligible ? static_cast<double>(endpoint.tokens.size()) : 0;
  }
  return any_slot_demand_ * std::min(slots / std::max(total_demand, 1.0), 1.0);
}

void SlotShares::ExcludeMember(Time now, Endpoint& endpoint, MemberNumber member) {
  std::erase_if(endpoint.exclusions, [&](const Exclusion& entry) {
    return entry.member == member || entry.until <= now;
  });
  endpoint.exclusions.push_back(Exclusion{member, now + kExclusionPeriod});
}

void SlotShares::OnReturn(Time now, const MemberId& from, const SlotReturn& message,
                          const SlotSet& slots) {
  const LeaseNumber number = message.number;
  const std::uint32_t* n = FindEndpoint(slots.endpoint);
  if (n == nullptr) {
    return;
  }
  const MemberNumber sender = NumberOf(from);
  bool sender_is_home = false;
  if (message.endpoints_unusable) {
    ExcludeMember(now, endpoints_[*n], sender);
  }
  std::vector<Token>& tokens = endpoints_[*n].tokens;
  for (std::uint32_t slot = 0; slot < tokens.size(); ++slot) {
    Token& token = tokens[slot];
    if ((slots.slots & Bit(slot)) == 0) {
      continue;
    }
    if (number == 0) {
      token.held_from = now;
      token.transfer_not_before = now + kReceivedTokenHoldTime;
      sender_is_home = sender_is_home || token.home == sender;
    } else if (token.lent_to == sender && token.lease == number) {
      token.lent_until = Time::min();
    }
  }
  Peer& peer = peers_[static_cast<std::size_t>(sender)];
  if (sender_is_home && !peer.draining) {
    // A home that transfers its own tokens is draining and about to leave.
    peer.draining = true;
    AssignHomes(now);
  }
  UpdateFreeState(now, *n);
}

void SlotShares::StopLending() { lending_ = false; }

void SlotShares::Drain(Time now) {
  lending_ = false;
  draining_ = true;
  peers_[kLocalMember].draining = true;
  AssignHomes(now);
  Tick(now);
}

bool SlotShares::HoldsTransferableSlot(Time now) const {
  return std::ranges::any_of(endpoints_, [&](const Endpoint& endpoint) {
    return std::ranges::any_of(endpoint.tokens, [&](const Token& token) {
      return token.home != kNoMember && token.held_from <= now;
    });
  });
}

std::vector<SlotShares::Transfer> SlotShares::TakeTransfers(Time now) {
  std::vector<Transfer> transfers;
  const auto add = [&](const Endpoint& endpoint, MemberNumber to, LeaseNumber number,
                       std::uint32_t slot) {
    const MemberId& id = peers_[static_cast<std::size_t>(to)].id;
    // The transfers of one endpoint are at the end of the list, since endpoints are visited in
    // turn.
    for (auto it = transfers.rbegin(); it != transfers.rend(); ++it) {
      if (it->slots.endpoint != endpoint.id) {
        break;
      }
      if (it->to == id && it->number == number) {
        it->slots.slots |= Bit(slot);
        return;
      }
    }
    const bool endpoint_unusable = number != 0 && !endpoint.eligible;
    transfers.push_back(Transfer{id, number, endpoint_unusable, SlotSet{endpoint.id, Bit(slot)}});
  };
  for (Endpoint& endpoint : endpoints_) {
    for (std::uint32_t slot = 0; slot < endpoint.tokens.size(); ++slot) {
      Token& token = endpoint.tokens[slot];
      const bool moved = token.home != kLocalMember && token.home != kNoMember;
      const bool idle = !token.in_use && token.lent_until <= now;
      if (moved && idle && token.held_from <= now && token.transfer_not_before <= now) {
        token.held_from = Time::max();
        add(endpoint, token.home, 0, slot);
      }
      const bool must_return = token.return_pending || (draining_ && !token.in_use);
      if (must_return && token.borrowed_until > now) {
        token.borrowed_until = Time::min();
        add(endpoint, token.lender, token.borrowed_lease, slot);
      }
    }
  }
  return transfers;
}

SlotShares::MemberNumber SlotShares::NumberOf(const MemberId& id) {
  const auto it = numbers_.find(id);
  if (it != numbers_.end()) {
    return it->second;
  }
  auto number = static_cast<MemberNumber>(peers_.size());
  if (free_numbers_.empty()) {
    peers_.emplace_back();
  } else {
    number = free_numbers_.back();
    free_numbers_.pop_back();
  }
  peers_[static_cast<std::size_t>(number)].id = id;
  numbers_.emplace(id, number);
  return number;
}

void SlotShares::ReleaseFormerMemberNumbers(Time now) {
  std::vector<bool> referenced(peers_.size(), false);
  const auto mark_referenced = [&](MemberNumber number) {
    if (number != kNoMember) {
      referenced[static_cast<std::size_t>(number)] = true;
    }
  };
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    referenced[i] = peers_[i].is_member || peers_[i].id.empty();
  }
  mark_referenced(kLocalMember);
  for (const Endpoint& endpoint : endpoints_) {
    for (const Token& token : endpoint.tokens) {
      mark_referenced(token.home);
      mark_referenced(token.lent_until > now ? token.lent_to : kNoMember);
      mark_referenced(token.borrowed_until > now ? token.lender : kNoMember);
    }
  }
  const auto is_released = [&](MemberNumber number) {
    return number != kNoMember && !referenced[static_cast<std::size_t>(number)];
  };
  for (Endpoint& endpoint : endpoints_) {
    std::erase_if(endpoint.exclusions,
                  [&](const Exclusion& entry) { return is_released(entry.member); });
    for (Token& token : endpoint.tokens) {
      token.lent_to = is_released(token.lent_to) ? kNoMember : token.lent_to;
      token.assigned_to = is_released(token.assigned_to) ? kNoMember : token.assigned_to;
      if (is_released(token.lender)) {
        // Lease numbers of different lenders are not comparable.
        token.lender = kNoMember;
        token.borrowed_lease = 0;
      }
    }
  }
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (referenced[i]) {
      continue;
    }
    numbers_.erase(peers_[i].id);
    peers_[i] = Peer{};
    free_numbers_.push_back(static_cast<MemberNumber>(i));
  }
}

SlotShares::MemberNumber SlotShares::HomeOf(const std::string& key) const {
  MemberNumber best = kNoMember;
  std::uint64_t best_weight = 0;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Peer& peer = peers_[i];
    if (!peer.is_member || peer.draining) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(peer.id.str(), key);
    if (best == kNoMember || weight > best_weight) {
      best = static_cast<MemberNumber>(i);
      best_weight = weight;
    }
  }
  return best;
}

void SlotShares::AssignHomes(Time now) {
  for (Endpoint& endpoint : endpoints_) {
    for (std::size_t slot = 0; slot < endpoint.tokens.size(); ++slot) {
      SetHome(now, endpoint.tokens[slot], HomeOf(endpoint.id.str() + '#' + std::to_string(slot)));
    }
  }
}

void SlotShares::SetHome(Time now, Token& token, MemberNumber home) const {
  if (token.home == home) {
    return;
  }
  token.home = home;
  const bool is_held = token.held_from <= now;
  if (!is_held) {
    token.held_from = home == kLocalMember ? now + options_.handover_wait : Time::max();
  }
}

bool SlotShares::IsOwnSlotUsable(Time now, const Token& token) const {
  return token.home == kLocalMember && token.held_from <= now && token.lent_until <= now;
}

bool SlotShares::IsOwnSlotFree(Time now, const Token& token) const {
  return !token.in_use && IsOwnSlotUsable(now, token);
}

bool SlotShares::IsBorrowedSlotUsable(Time now, const Token& token, Time end) const {
  return token.borrowed_until > now && !token.return_pending &&
         (end <= token.borrowed_until || !options_.lease_margin);
}

void SlotShares::UpdateFreeState(Time now, std::uint32_t n) {
  Endpoint& endpoint = endpoints_[n];
  if (!endpoint.present) {
    return;
  }
  const bool has_free_slot = CanAcquire(now, n, now);
  if (has_free_slot != endpoint.has_free_slot) {
    endpoint.has_free_slot = has_free_slot;
    on_free_changed_(n, has_free_slot);
  }
}

void SlotShares::UpdateUsableCounts(Time now) {
  usable_ = 0;
  usable_local_ = 0;
  for (const Endpoint& endpoint : endpoints_) {
    if (!endpoint.eligible) {
      continue;
    }
    for (const Token& token : endpoint.tokens) {
      if (IsOwnSlotUsable(now, token) || IsBorrowedSlotUsable(now, token, now)) {
        ++usable_;
        usable_local_ += endpoint.domain == options_.domain ? 1 : 0;
      }
    }
  }
}

void SlotShares::RankMembers() {
  for (Peer& peer : peers_) {
    peer.rank = static_cast<std::size_t>(std::ranges::count_if(peers_, [&](const Peer& other) {
      return other.is_member && other.id.str() < peer.id.str();
    }));
  }
}

void SlotShares::Allocate(Time now) {
  std::vector<SlotAllocation::Member> members;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const double quota = QuotaOf(now, static_cast<MemberNumber>(i));
    const std::size_t rank_sum = peers_[kLocalMember].rank + peers_[i].rank;
    const double rounding = member_count_ == 0 ? 0
                                               : static_cast<double>(rank_sum % member_count_) /
                                                     static_cast<double>(member_count_);
    members.push_back(SlotAllocation::Member{peers_[i].domain, quota, rounding});
  }
  std::vector<SlotAllocation::Slot> slots;
  std::vector<Token*> tokens;
  for (Endpoint& endpoint : endpoints_) {
    std::vector<int> excluded;
    for (const Exclusion& entry : endpoint.exclusions) {
      if (entry.until > now) {
        excluded.push_back(entry.member);
      }
    }
    for (Token& token : endpoint.tokens) {
      if (token.home != kLocalMember || token.held_from > now) {
        continue;
      }
      if (!endpoint.eligible) {
        token.assigned_to = kNoMember;
        continue;
      }
      const bool lent = token.lent_until > now;
      slots.push_back({endpoint.domain, lent ? token.lent_to : kNoMember, kNoMember, excluded});
      tokens.push_back(&token);
    }
  }
  SlotAllocation::Allocate(*costs_, std::move(members), slots);
  for (std::size_t i = 0; i < slots.size(); ++i) {
    tokens[i]->assigned_to = slots[i].target;
  }
}

double SlotShares::QuotaOf(Time now, MemberNumber member) const {
  const Peer& peer = peers_[static_cast<std::size_t>(member)];
  if (!peer.is_member || peer.draining || !lending_) {
    return 0;
  }
  const auto count = static_cast<double>(member_count_);
  if (member == kLocalMember) {
    return own_slot_demand_ + any_slot_demand_ / count;
  }
  const bool recent =
      peer.demand_received_at != Time::min() && now - peer.demand_received_at < kDemandValidity;
  return recent ? peer.demand / count : 0;
}

std::uint32_t* SlotShares::FindEndpoint(const EndpointId& id) {
  const auto it = indexes_.find(id);
  return it == indexes_.end() ? nullptr : &it->second;
}

}  // namespace cactusshelf
