#ifndef CACTUSSHELF_CONNECTION_ATTEMPT_EVENT_H_
#define CACTUSSHELF_CONNECTION_ATTEMPT_EVENT_H_

#include <variant>

#include "cactusshelf/request/content.h"

namespace cactusshelf {

// The first byte of the request may have been handed to a connection.
struct AttemptHandedOver {};

// The endpoint refused the request before running it (503 with Cactusshelf-Refused: true).
// `leaving` is true if the endpoint announced that it is leaving.
struct AttemptRefused {
  bool leaving = false;
};

// The complete response arrived.
struct AttemptAnswered {
  Response response;
};

// The connection failed, or a cancelled attempt has ended. `handed_over` is false only if no byte
// of the request was or will be handed to a connection.
struct AttemptFailed {
  bool handed_over = true;
};

// The response ended before its announced length.
struct AttemptTruncated {};

// The response did not arrive in time.
struct AttemptTimedOut {};

// Each attempt ends with exactly one event other than AttemptHandedOver.
using AttemptEvent = std::variant<AttemptHandedOver, AttemptRefused, AttemptAnswered, AttemptFailed,
                                  AttemptTruncated, AttemptTimedOut>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ATTEMPT_EVENT_H_
