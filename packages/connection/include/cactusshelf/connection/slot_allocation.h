#ifndef CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_
#define CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_

#include <cstddef>
#include <vector>

#include "cactusshelf/connection/domain_costs.h"

namespace cactusshelf {

// Decides which member each slot of one home is for.
class SlotAllocation {
 public:
  static constexpr int kNobody = -1;

  struct Member {
    std::size_t domain = 0;
    double quota = 0;  // Slots that it can use of this home.
  };

  struct Slot {
    std::size_t domain = 0;
    int current = kNobody;  // Member that holds it under a lease.
    int target = kNobody;   // Set by Allocate.
  };

  // Gives slots first to members of their own failure domain, then to the nearest ones that
  // still need some. Quotas are scaled down together if they exceed the number of slots. Slots
  // that nobody needs remain with kNobody. Members that hold a slot keep it where that is no
  // worse, since a slot moves only after its lease expired.
  static void Allocate(const DomainCosts& costs, std::vector<Member> members,
                       std::vector<Slot>& slots);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SLOT_ALLOCATION_H_
