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

// Number of a lease, increasing within the lending member. 0 marks a transfer of the slots
// themselves rather than a lease.
using LeaseNumber = std::uint64_t;

// Slots that a service could use at the sender.
struct SlotDemand {
  ServiceId service;
  std::uint32_t slots = 0;
};

// Sent to every peer each demand period. A Lend in reply extends the leases of the sender.
struct DemandReport {
  // Clock of the sender, echoed by Lend. The lease counts from here on the clock of the borrower,
  // so that it ends there before it ends at the lender.
  Time requested_at;
  std::vector<SlotDemand> services;
  // Endpoints that the sender learned are leaving.
  std::vector<EndpointId> leaving;
};

// Home of the slots to borrower: the slots are lent until `requested_at + lease`.
struct LeaseGrant {
  Time requested_at;
  Duration lease{};
  LeaseNumber number = 0;
  std::vector<SlotSet> slots;
};

// Number of a transfer of slots, increasing within the member that sends it.
using TransferNumber = std::uint64_t;

// Borrower to home: the slots of lease `number` are no longer in use. With number 0: the sender
// was the home of the slots, has stopped using them, and hands them to their new home, which
// confirms with the same transfer number and no slots. Until then the sender repeats it.
struct SlotReturn {
  LeaseNumber number = 0;
  std::vector<SlotSet> slots;
  // The sender cannot use these endpoints at present and wants no other slots of them.
  bool endpoints_unusable = false;
  TransferNumber transfer = 0;  // 0 unless number is 0.
  bool is_confirmation = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SLOT_MESSAGES_H_
