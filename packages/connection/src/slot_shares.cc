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
// This member is the first one in its own numbering.
constexpr std::int32_t kSelf = 0;
// Clocks of two hosts may differ in rate; a lender waits 1/20 of the lease longer.
constexpr int kMarginFraction = 20;
// A demand this old no longer tells what its sender needs.
constexpr Duration kDemandLife = std::chrono::seconds(1);
// A token from a member that knows a newer member list is kept until that list arrives here.
// A member that cannot use an endpoint gets no slots of it for this long.
constexpr Duration kUnwantedFor = std::chrono::seconds(1);
constexpr Duration kKeepReceived = std::chrono::seconds(1);

constexpr std::uint64_t Bit(std::uint32_t slot) { return std::uint64_t{1} << slot; }

}  // namespace

SlotShares::SlotShares(SlotSharesOptions options, const DomainCosts& costs,
                       std::function<void(std::uint32_t, bool)> on_free)
    : options_(std::move(options)), costs_(&costs), on_free_(std::move(on_free)) {
  NumberOf(options_.self);
  peers_[kSelf].domain = options_.domain;
}

void SlotShares::SetMembers(Time now, const std::vector<RouterMember>& members,
                            const std::vector<std::size_t>& domains, bool founder) {
  for (Peer& peer : peers_) {
    peer.member = false;
    peer.draining = false;
  }
  for (std::size_t i = 0; i < members.size(); ++i) {
    Peer& peer = peers_[static_cast<std::size_t>(NumberOf(members[i].id))];
    peer.member = true;
    peer.domain = domains[i];
  }
  peers_[kSelf].draining = draining_;
  members_ = members.size();
  RankMembers();
  AssignHomes(now);
  ForgetFormerMembers(now);
  if (founder) {
    for (Endpoint& endpoint : endpoints_) {
      for (Token& token : endpoint.tokens) {
        token.held_from = now;
      }
    }
  }
  Tick(now);
}

void SlotShares::AddEndpoint(Time now, std::uint32_t n, const EndpointId& id, std::size_t domain,
                             std::uint32_t slots, bool fresh) {
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
  const std::size_t known = endpoint.tokens.size();
  endpoint.tokens.resize(slots);
  for (std::size_t i = known; i < slots; ++i) {
    Token& token = endpoint.tokens[i];
    SetHome(now, token, HomeOf(id.str() + '#' + std::to_string(i)));
    if (fresh && token.home == kSelf) {
      token.held_from = now;
    }
  }
  UpdateFree(now, n);
  CountUsable(now);
}

void SlotShares::RemoveEndpoint(std::uint32_t n) {
  Endpoint& endpoint = endpoints_[n];
  indexes_.erase(endpoint.id);
  if (endpoint.free) {
    on_free_(n, false);
  }
  endpoint = Endpoint{};
}

void SlotShares::SetInUse(std::uint32_t n, bool in_use) {
  if (n < endpoints_.size()) {
    endpoints_[n].in_use = in_use;
  }
}

bool SlotShares::CanTake(Time now, std::uint32_t n, Time end) const {
  if (!options_.enforce) {
    return true;
  }
  return std::ranges::any_of(endpoints_[n].tokens, [&](const Token& token) {
    return OwnFree(now, token) || (!token.in_use && BorrowedUsable(now, token, end));
  });
}

std::optional<std::uint32_t> SlotShares::Take(Time now, std::uint32_t n, Time end) {
  std::vector<Token>& tokens = endpoints_[n].tokens;
  if (!options_.enforce) {
    return 0;
  }
  std::optional<std::uint32_t> best;
  for (std::uint32_t slot = 0; slot < tokens.size(); ++slot) {
    const Token& token = tokens[slot];
    // A lent slot first: the own ones also serve attempts that are too long for a lease.
    if (!token.in_use && BorrowedUsable(now, token, end)) {
      best = slot;
      break;
    }
    if (OwnFree(now, token) && (!best || token.meant_for <= kSelf)) {
      best = slot;
    }
  }
  if (best) {
    tokens[*best].in_use = true;
    UpdateFree(now, n);
  }
  return best;
}

void SlotShares::Release(Time now, std::uint32_t n, std::uint32_t slot) {
  std::vector<Token>& tokens = endpoints_[n].tokens;
  // The number of slots may have shrunk, or the endpoint have been replaced, since the attempt.
  if (slot >= tokens.size()) {
    return;
  }
  tokens[slot].in_use = false;
  UpdateFree(now, n);
}

void SlotShares::SetOwnDemand(double lendable, double own_only) {
  own_demand_ = lendable;
  own_only_ = own_only;
}

void SlotShares::SetDemand(Time now, const MemberId& member, double slots) {
  Peer& peer = peers_[static_cast<std::size_t>(NumberOf(member))];
  const double known = QuotaOf(now, NumberOf(member)) * static_cast<double>(members_);
  peer.demand = slots;
  peer.demand_at = now;
  if (slots > known + 1) {
    Allocate(now);
  }
}

void SlotShares::Tick(Time now) {
  Allocate(now);
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    UpdateFree(now, n);
  }
  CountUsable(now);
}

std::vector<SlotSet> SlotShares::LendTo(Time now, const MemberId& member, LeaseNumber number) {
  std::vector<SlotSet> lent;
  const MemberNumber borrower = NumberOf(member);
  const Duration margin =
      options_.lease_margin ? options_.lease / kMarginFraction : Duration::zero();
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    Endpoint& endpoint = endpoints_[n];
    std::uint64_t slots = 0;
    for (std::uint32_t slot = 0; slot < endpoint.tokens.size(); ++slot) {
      Token& token = endpoint.tokens[slot];
      const bool meant = token.home == kSelf && token.meant_for == borrower;
      const bool extends = token.lent_to == borrower && token.lent_until > now;
      if (!meant || token.held_from > now || !(extends || OwnFree(now, token))) {
        continue;
      }
      token.lent_to = borrower;
      token.lent_until = now + options_.lease + margin;
      token.lease = number;
      slots |= Bit(slot);
    }
    if (slots != 0) {
      lent.push_back(SlotSet{endpoint.id, slots});
      UpdateFree(now, n);
    }
  }
  return lent;
}

void SlotShares::OnLend(Time now, const MemberId& lender, LeaseNumber number, Time until,
                        const SlotSet& slots) {
  const std::uint32_t* n = IndexOf(slots.endpoint);
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
    token.give_back = false;
    token.lender = from;
    token.borrowed_lease = number;
    token.borrowed_until = until;
  }
  UpdateFree(now, *n);
}

void SlotShares::ReturnSurplus(Time now) {
  std::vector<std::pair<std::uint32_t, Token*>> idle;
  double held = 0;
  double borrowed = 0;
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    for (Token& token : endpoints_[n].tokens) {
      const bool lent_here = token.borrowed_until > now && !token.give_back;
      if (lent_here && !endpoints_[n].in_use) {
        token.give_back = !token.in_use;
        continue;
      }
      held += OwnUsable(now, token) ? 1 : 0;
      borrowed += lent_here ? 1 : 0;
      if (lent_here && !token.in_use) {
        idle.emplace_back(n, &token);
      }
    }
  }
  const double share = Share(now);
  const bool contended = share < own_demand_;
  double surplus = contended ? held + borrowed - share : borrowed - own_demand_ - 1;
  // The farthest first.
  std::ranges::stable_sort(idle, std::greater<>(), [&](const auto& item) {
    return costs_->Cost(options_.domain, endpoints_[item.first].domain);
  });
  for (const auto& [n, token] : idle) {
    if (surplus < 1) {
      return;
    }
    surplus -= 1;
    token->give_back = true;
    UpdateFree(now, n);
  }
}

double SlotShares::Share(Time now) const {
  double wanted = own_demand_ + own_only_;
  for (std::size_t i = 1; i < peers_.size(); ++i) {
    wanted += QuotaOf(now, static_cast<MemberNumber>(i)) * static_cast<double>(members_);
  }
  double slots = 0;
  for (const Endpoint& endpoint : endpoints_) {
    slots += endpoint.in_use ? static_cast<double>(endpoint.tokens.size()) : 0;
  }
  return own_demand_ * std::min(slots / std::max(wanted, 1.0), 1.0);
}

void SlotShares::MarkUnwanted(Time now, Endpoint& endpoint, MemberNumber member) {
  std::erase_if(endpoint.unwanted, [&](const Unwanted& entry) {
    return entry.member == member || entry.until <= now;
  });
  endpoint.unwanted.push_back(Unwanted{member, now + kUnwantedFor});
}

void SlotShares::OnReturn(Time now, const MemberId& from, const SlotReturn& header,
                          const SlotSet& slots) {
  const LeaseNumber number = header.number;
  const std::uint32_t* n = IndexOf(slots.endpoint);
  if (n == nullptr) {
    return;
  }
  const MemberNumber sender = NumberOf(from);
  bool sender_is_home = false;
  if (header.endpoints_unusable) {
    MarkUnwanted(now, endpoints_[*n], sender);
  }
  std::vector<Token>& tokens = endpoints_[*n].tokens;
  for (std::uint32_t slot = 0; slot < tokens.size(); ++slot) {
    Token& token = tokens[slot];
    if ((slots.slots & Bit(slot)) == 0) {
      continue;
    }
    if (number == 0) {
      token.held_from = now;
      token.keep_until = now + kKeepReceived;
      sender_is_home = sender_is_home || token.home == sender;
    } else if (token.lent_to == sender && token.lease == number) {
      token.lent_until = Time::min();
    }
  }
  Peer& peer = peers_[static_cast<std::size_t>(sender)];
  if (sender_is_home && !peer.draining) {
    // The home gives its tokens away, so it is about to leave.
    peer.draining = true;
    AssignHomes(now);
  }
  UpdateFree(now, *n);
}

void SlotShares::StopLending() { lending_ = false; }

void SlotShares::Drain(Time now) {
  lending_ = false;
  draining_ = true;
  peers_[kSelf].draining = true;
  AssignHomes(now);
  Tick(now);
}

bool SlotShares::HoldsAny(Time now) const {
  return std::ranges::any_of(endpoints_, [&](const Endpoint& endpoint) {
    return std::ranges::any_of(endpoint.tokens, [&](const Token& token) {
      return token.home != kNobody && token.held_from <= now;
    });
  });
}

std::vector<SlotShares::Transfer> SlotShares::TakeTransfers(Time now) {
  std::vector<Transfer> transfers;
  const auto add = [&](const Endpoint& endpoint, MemberNumber to, LeaseNumber number,
                       std::uint32_t slot) {
    const MemberId& id = peers_[static_cast<std::size_t>(to)].id;
    // Transfers of the same endpoint are the last ones.
    for (auto it = transfers.rbegin(); it != transfers.rend(); ++it) {
      if (it->slots.endpoint != endpoint.id) {
        break;
      }
      if (it->to == id && it->number == number) {
        it->slots.slots |= Bit(slot);
        return;
      }
    }
    const bool unusable = number != 0 && !endpoint.in_use;
    transfers.push_back(Transfer{id, number, unusable, SlotSet{endpoint.id, Bit(slot)}});
  };
  for (Endpoint& endpoint : endpoints_) {
    for (std::uint32_t slot = 0; slot < endpoint.tokens.size(); ++slot) {
      Token& token = endpoint.tokens[slot];
      const bool moved = token.home != kSelf && token.home != kNobody;
      const bool idle = !token.in_use && token.lent_until <= now;
      if (moved && idle && token.held_from <= now && token.keep_until <= now) {
        token.held_from = Time::max();
        add(endpoint, token.home, 0, slot);
      }
      const bool give_back = token.give_back || (draining_ && !token.in_use);
      if (give_back && token.borrowed_until > now) {
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

void SlotShares::ForgetFormerMembers(Time now) {
  std::vector<bool> keep(peers_.size(), false);
  const auto mark = [&](MemberNumber number) {
    if (number != kNobody) {
      keep[static_cast<std::size_t>(number)] = true;
    }
  };
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    keep[i] = peers_[i].member || peers_[i].id.empty();
  }
  mark(kSelf);
  for (const Endpoint& endpoint : endpoints_) {
    for (const Token& token : endpoint.tokens) {
      mark(token.home);
      mark(token.lent_until > now ? token.lent_to : kNobody);
      mark(token.borrowed_until > now ? token.lender : kNobody);
    }
  }
  const auto gone = [&](MemberNumber number) {
    return number != kNobody && !keep[static_cast<std::size_t>(number)];
  };
  for (Endpoint& endpoint : endpoints_) {
    std::erase_if(endpoint.unwanted, [&](const Unwanted& entry) { return gone(entry.member); });
    for (Token& token : endpoint.tokens) {
      token.lent_to = gone(token.lent_to) ? kNobody : token.lent_to;
      token.meant_for = gone(token.meant_for) ? kNobody : token.meant_for;
      if (gone(token.lender)) {
        // Lease numbers count within one lender.
        token.lender = kNobody;
        token.borrowed_lease = 0;
      }
    }
  }
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (keep[i]) {
      continue;
    }
    numbers_.erase(peers_[i].id);
    peers_[i] = Peer{};
    free_numbers_.push_back(static_cast<MemberNumber>(i));
  }
}

SlotShares::MemberNumber SlotShares::HomeOf(const std::string& key) const {
  MemberNumber best = kNobody;
  std::uint64_t best_weight = 0;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Peer& peer = peers_[i];
    if (!peer.member || peer.draining) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(peer.id.str(), key);
    if (best == kNobody || weight > best_weight) {
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
  const bool held = token.held_from <= now;
  if (!held) {
    token.held_from = home == kSelf ? now + options_.handover_wait : Time::max();
  }
}

bool SlotShares::OwnUsable(Time now, const Token& token) const {
  return token.home == kSelf && token.held_from <= now && token.lent_until <= now;
}

bool SlotShares::OwnFree(Time now, const Token& token) const {
  return !token.in_use && OwnUsable(now, token);
}

bool SlotShares::BorrowedUsable(Time now, const Token& token, Time end) const {
  return token.borrowed_until > now && !token.give_back &&
         (end <= token.borrowed_until || !options_.lease_margin);
}

void SlotShares::UpdateFree(Time now, std::uint32_t n) {
  Endpoint& endpoint = endpoints_[n];
  if (!endpoint.present) {
    return;
  }
  const bool free = CanTake(now, n, now);
  if (free != endpoint.free) {
    endpoint.free = free;
    on_free_(n, free);
  }
}

void SlotShares::CountUsable(Time now) {
  usable_ = 0;
  usable_near_ = 0;
  for (const Endpoint& endpoint : endpoints_) {
    if (!endpoint.in_use) {
      continue;
    }
    for (const Token& token : endpoint.tokens) {
      if (OwnUsable(now, token) || BorrowedUsable(now, token, now)) {
        ++usable_;
        usable_near_ += endpoint.domain == options_.domain ? 1 : 0;
      }
    }
  }
}

void SlotShares::RankMembers() {
  for (Peer& peer : peers_) {
    peer.rank = static_cast<std::size_t>(std::ranges::count_if(
        peers_, [&](const Peer& other) { return other.member && other.id.str() < peer.id.str(); }));
  }
}

void SlotShares::Allocate(Time now) {
  std::vector<SlotAllocation::Member> members;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const double quota = QuotaOf(now, static_cast<MemberNumber>(i));
    const std::size_t turn = peers_[kSelf].rank + peers_[i].rank;
    const double rounding =
        members_ == 0 ? 0 : static_cast<double>(turn % members_) / static_cast<double>(members_);
    members.push_back(SlotAllocation::Member{peers_[i].domain, quota, rounding});
  }
  std::vector<SlotAllocation::Slot> slots;
  std::vector<Token*> tokens;
  for (Endpoint& endpoint : endpoints_) {
    std::vector<int> excluded;
    for (const Unwanted& entry : endpoint.unwanted) {
      if (entry.until > now) {
        excluded.push_back(entry.member);
      }
    }
    for (Token& token : endpoint.tokens) {
      if (token.home != kSelf || token.held_from > now) {
        continue;
      }
      if (!endpoint.in_use) {
        token.meant_for = kNobody;
        continue;
      }
      const bool lent = token.lent_until > now;
      slots.push_back({endpoint.domain, lent ? token.lent_to : kNobody, kNobody, excluded});
      tokens.push_back(&token);
    }
  }
  SlotAllocation::Allocate(*costs_, std::move(members), slots);
  for (std::size_t i = 0; i < slots.size(); ++i) {
    tokens[i]->meant_for = slots[i].target;
  }
}

double SlotShares::QuotaOf(Time now, MemberNumber member) const {
  const Peer& peer = peers_[static_cast<std::size_t>(member)];
  if (!peer.member || peer.draining || !lending_) {
    return 0;
  }
  const auto count = static_cast<double>(members_);
  if (member == kSelf) {
    return own_only_ + own_demand_ / count;
  }
  const bool recent = peer.demand_at != Time::min() && now - peer.demand_at < kDemandLife;
  return recent ? peer.demand / count : 0;
}

std::uint32_t* SlotShares::IndexOf(const EndpointId& id) {
  const auto it = indexes_.find(id);
  return it == indexes_.end() ? nullptr : &it->second;
}

}  // namespace cactusshelf
