#ifndef CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_
#define CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_

#include <cstddef>
#include <vector>

#include "cactusshelf/connection/domain_costs.h"

namespace cactusshelf {

// Decides which member each slot of one home is for.
class SlotAllocation {
 public:
  static constexpr int kNoMember = -1;

  struct Member {
    std::size_t domain = 0;
    double quota = 0;  // Slots that it can use of this home.
    // In [0, 1). Added before the quota is rounded down; spread over the homes, so that parts of
    // a slot at each home add up to whole slots for each member.
    double rounding_offset = 0;
  };

  struct Slot {
    std::size_t domain = 0;
    int holder = kNoMember;     // Member that holds it under a lease.
    int target = kNoMember;     // Set by Allocate.
    std::vector<int> excluded;  // Members that cannot use it.
  };

  // Gives slots first to members of their own failure domain, then to the nearest ones that
  // still need some. Quotas are scaled down together if they exceed the number of slots. Slots
  // that nobody needs remain with kNoMember. Members that hold a slot keep it where that is no
  // worse, since a slot moves only after its lease expired.
  static void Allocate(const DomainCosts& costs, std::vector<Member> members,
                       std::vector<Slot>& slots);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_
