#ifndef CACTUSSHELF_CONNECTION_REQUEST_H_
#define CACTUSSHELF_CONNECTION_REQUEST_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/request/content.h"
#include "cactusshelf/request/request_id.h"

namespace cactusshelf {

// Identifies one call at this entry host. Assigned by the shell, never reused.
enum class RequestToken : std::uint64_t {};

// Identifies one attempt of this entry host. Assigned by the router, never reused.
enum class AttemptId : std::uint64_t {};

// A request as received from a caller.
struct Request {
  ServiceId service;
  AccountId account;
  CustomerId customer;
  std::optional<RequestId> id;  // Required if not idempotent.
  bool idempotent = false;
  std::optional<Duration> timeout;  // If empty, the default deadline of the service applies.
  Headers headers;
  Body body;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_REQUEST_H_
