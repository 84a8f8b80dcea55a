#include "cactusshelf/connection/slot_allocation.h"

#include <algorithm>
#include <cmath>

namespace cactusshelf {

namespace {

using Members = std::vector<SlotAllocation::Member>;

void ScaleQuotas(Members& members, std::size_t slots) {
  double total_quota = 0;
  for (const SlotAllocation::Member& member : members) {
    total_quota += member.quota;
  }
  const double factor = std::min(static_cast<double>(slots) / std::max(total_quota, 1.0), 1.0);
  for (SlotAllocation::Member& member : members) {
    member.quota = std::floor(member.quota * factor + member.rounding_offset);
  }
}

bool NeedsSlot(const SlotAllocation::Member& member) { return member.quota >= 1; }

bool IsExcluded(const SlotAllocation::Slot& slot, int member) {
  return std::ranges::find(slot.excluded, member) != slot.excluded.end();
}

void Assign(Members& members, SlotAllocation::Slot& slot, int member) {
  slot.target = member;
  members[static_cast<std::size_t>(member)].quota -= 1;
}

void RetainLocalHolder(Members& members, SlotAllocation::Slot& slot) {
  if (slot.holder == SlotAllocation::kNoMember || IsExcluded(slot, slot.holder)) {
    return;
  }
  const SlotAllocation::Member& member = members[static_cast<std::size_t>(slot.holder)];
  if (member.domain == slot.domain && NeedsSlot(member)) {
    Assign(members, slot, slot.holder);
  }
}

// Member with unmet quota that has the lowest cost and, among those, the highest unmet quota.
int FindBestMember(const DomainCosts& costs, const Members& members,
                   const SlotAllocation::Slot& slot, bool local_only) {
  int best = SlotAllocation::kNoMember;
  Duration best_cost = Duration::max();
  double best_quota = 0;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const SlotAllocation::Member& member = members[i];
    const bool local = member.domain == slot.domain;
    if (!NeedsSlot(member) || (local_only && !local) || IsExcluded(slot, static_cast<int>(i))) {
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

void AssignToBestMembers(const DomainCosts& costs, Members& members,
                         std::vector<SlotAllocation::Slot>& slots, bool local_only) {
  for (SlotAllocation::Slot& slot : slots) {
    if (slot.target != SlotAllocation::kNoMember) {
      continue;
    }
    const int best = FindBestMember(costs, members, slot, local_only);
    if (best != SlotAllocation::kNoMember) {
      Assign(members, slot, best);
    }
  }
}

void RetainRemoteHolders(Members& members, std::vector<SlotAllocation::Slot>& slots) {
  for (SlotAllocation::Slot& slot : slots) {
    const bool unassigned = slot.target == SlotAllocation::kNoMember;
    if (unassigned && slot.holder != SlotAllocation::kNoMember && !IsExcluded(slot, slot.holder) &&
        NeedsSlot(members[static_cast<std::size_t>(slot.holder)])) {
      Assign(members, slot, slot.holder);
    }
  }
}

}  // namespace

void SlotAllocation::Allocate(const DomainCosts& costs, std::vector<Member> members,
                              std::vector<Slot>& slots) {
  ScaleQuotas(members, slots.size());
  for (Slot& slot : slots) {
    slot.target = kNoMember;
    RetainLocalHolder(members, slot);
  }
  AssignToBestMembers(costs, members, slots, true);
  RetainRemoteHolders(members, slots);
  AssignToBestMembers(costs, members, slots, false);
}

}  // namespace cactusshelf
