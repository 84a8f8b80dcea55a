#ifndef CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_
#define CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_

#include <cstddef>
#include <vector>

#include "cactusshelf/connection/domain_costs.h"

namespace cactusshelf {

// Assigns each slot of one home to the member that may use the slot.
class SlotAllocation {
 public:
  static constexpr int kNoMember = -1;

  struct Member {
    std::size_t domain = 0;
    double quota = 0;  // Number of slots of this home that the member can use.
    // In [0, 1). Added to the quota before rounding down. The homes use different offsets for the
    // same member, so that its fractional quotas over all homes add up to whole slots.
    double rounding_offset = 0;
  };

  struct Slot {
    std::size_t domain = 0;
    int holder = kNoMember;     // Member that holds the slot under a lease.
    int target = kNoMember;     // Set by Allocate.
    std::vector<int> excluded;  // Members that cannot use the slot.
  };

  // Sets the target of each slot. Assigns slots first to members of the same failure domain, then
  // to the nearest members with unmet quota. Quotas are scaled down in proportion if their sum
  // exceeds the number of slots. Slots in excess of all quotas get the target kNoMember. A holder
  // with unmet quota keeps its slot if it is in the failure domain of the slot or no member of that
  // domain needs the slot, since a slot changes its user only after its lease has expired.
  static void Allocate(const DomainCosts& costs, std::vector<Member> members,
                       std::vector<Slot>& slots);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_
