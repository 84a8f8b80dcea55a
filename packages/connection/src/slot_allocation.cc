#include "cactusshelf/connection/slot_allocation.h"

#include <algorithm>
#include <cmath>

namespace cactusshelf {

namespace {

using Members = std::vector<SlotAllocation::Member>;

void Scale(Members& members, std::size_t slots) {
  double wanted = 0;
  for (const SlotAllocation::Member& member : members) {
    wanted += member.quota;
  }
  const double factor = std::min(static_cast<double>(slots) / std::max(wanted, 1.0), 1.0);
  for (SlotAllocation::Member& member : members) {
    member.quota = std::floor(member.quota * factor + member.rounding);
  }
}

bool Needs(const SlotAllocation::Member& member) { return member.quota >= 1; }

bool Excluded(const SlotAllocation::Slot& slot, int member) {
  return std::ranges::find(slot.excluded, member) != slot.excluded.end();
}

void Assign(Members& members, SlotAllocation::Slot& slot, int member) {
  slot.target = member;
  members[static_cast<std::size_t>(member)].quota -= 1;
}

void KeepLocal(Members& members, SlotAllocation::Slot& slot) {
  if (slot.current == SlotAllocation::kNobody || Excluded(slot, slot.current)) {
    return;
  }
  const SlotAllocation::Member& holder = members[static_cast<std::size_t>(slot.current)];
  if (holder.domain == slot.domain && Needs(holder)) {
    Assign(members, slot, slot.current);
  }
}

// Best member that still needs slots, by cost and then by need.
int Best(const DomainCosts& costs, const Members& members, const SlotAllocation::Slot& slot,
         bool local_only) {
  int best = SlotAllocation::kNobody;
  Duration best_cost = Duration::max();
  double best_quota = 0;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const SlotAllocation::Member& member = members[i];
    const bool local = member.domain == slot.domain;
    if (!Needs(member) || (local_only && !local) || Excluded(slot, static_cast<int>(i))) {
      continue;
    }
    const Duration cost = local ? Duration::zero() : costs.Cost(member.domain, slot.domain);
    const bool better = cost < best_cost || (cost == best_cost && member.quota > best_quota);
    if (better) {
      best = static_cast<int>(i);
      best_cost = cost;
      best_quota = member.quota;
    }
  }
  return best;
}

void AssignBest(const DomainCosts& costs, Members& members,
                std::vector<SlotAllocation::Slot>& slots, bool local_only) {
  for (SlotAllocation::Slot& slot : slots) {
    if (slot.target != SlotAllocation::kNobody) {
      continue;
    }
    const int best = Best(costs, members, slot, local_only);
    if (best != SlotAllocation::kNobody) {
      Assign(members, slot, best);
    }
  }
}

void KeepRemote(Members& members, std::vector<SlotAllocation::Slot>& slots) {
  for (SlotAllocation::Slot& slot : slots) {
    const bool open = slot.target == SlotAllocation::kNobody;
    if (open && slot.current != SlotAllocation::kNobody && !Excluded(slot, slot.current) &&
        Needs(members[static_cast<std::size_t>(slot.current)])) {
      Assign(members, slot, slot.current);
    }
  }
}

}  // namespace

void SlotAllocation::Allocate(const DomainCosts& costs, std::vector<Member> members,
                              std::vector<Slot>& slots) {
  Scale(members, slots.size());
  for (Slot& slot : slots) {
    slot.target = kNobody;
    KeepLocal(members, slot);
  }
  AssignBest(costs, members, slots, true);
  KeepRemote(members, slots);
  AssignBest(costs, members, slots, false);
}

}  // namespace cactusshelf
