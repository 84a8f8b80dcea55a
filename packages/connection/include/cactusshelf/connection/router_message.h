#ifndef CACTUSSHELF_CONNECTION_ROUTER_MESSAGE_H_
#define CACTUSSHELF_CONNECTION_ROUTER_MESSAGE_H_

#include <variant>

#include "cactusshelf/connection/slot_messages.h"
#include "cactusshelf/request/claim_messages.h"

namespace cactusshelf {

// Any message between the routers of two entry hosts. Messages may be lost, duplicated and
// reordered.
using RouterMessage = std::variant<Claim, ClaimReply, ClaimDone, FetchAnswer, Answer, LeaseGrant,
                                   SlotReturn, DemandReport>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ROUTER_MESSAGE_H_
