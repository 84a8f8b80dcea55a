#ifndef CACTUSSHELF_CONNECTION_SLOT_MESSAGES_H_
#define CACTUSSHELF_CONNECTION_SLOT_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Slots of one endpoint; bit n stands for slot n.
struct SlotSet {
  EndpointId endpoint;
  std::uint64_t slots = 0;

  friend bool operator==(const SlotSet&, const SlotSet&) = default;
};

// Number of a lease, increasing within the lending member. 0 denotes a permanent transfer of slots
// to their new home instead of a lease.
using LeaseNumber = std::uint64_t;

// Number of slots of one service that the sender can use.
struct SlotDemand {
  ServiceId service;
  std::uint32_t slots = 0;
};

// Sent to every other member each demand period, and less often while the sender has no demand. A
// LeaseGrant in reply extends the leases of the sender.
struct DemandReport {
  // Time on the clock of the sender, returned in LeaseGrant. The borrower counts the lease from
  // this time, so that the lease ends at the borrower before it ends at the lender.
  Time requested_at;
  std::vector<SlotDemand> services;
  // Endpoints that are leaving, in the view of the sender.
  std::vector<EndpointId> leaving;
};

// Sent by the home of the slots to the borrower, which may use them until `requested_at + lease`.
struct LeaseGrant {
  Time requested_at;
  Duration lease{};
  LeaseNumber number = 0;
  std::vector<SlotSet> slots;
};

// Number of a slot transfer, increasing within the sending member.
using TransferNumber = std::uint64_t;

// Sent by a borrower to the home: returns slots of lease `number`. With number 0: the sender is the
// former home of the slots, has stopped using them, and transfers them to their new home. The new
// home confirms with the same transfer number and no slots; the sender repeats the message until
// the confirmation arrives or the transfer times out.
struct SlotReturn {
  LeaseNumber number = 0;
  std::vector<SlotSet> slots;
  // The sender cannot currently use these endpoints and must not be lent other slots of them.
  bool endpoints_unusable = false;
  TransferNumber transfer = 0;  // 0 unless number is 0.
  bool is_confirmation = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SLOT_MESSAGES_H_
