#ifndef CACTUSSHELF_CONNECTION_ROUTER_EFFECT_H_
#define CACTUSSHELF_CONNECTION_ROUTER_EFFECT_H_

#include <optional>
#include <string>
#include <variant>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/request.h"
#include "cactusshelf/connection/router_message.h"
#include "cactusshelf/request/content.h"
#include "cactusshelf/request/outcome.h"

namespace cactusshelf {

// Sends the request to an endpoint. The shell, which performs the I/O of the router, reports
// exactly one final AttemptEvent.
struct SendAttempt {
  AttemptId attempt{};
  RequestToken request{};
  EndpointId endpoint;
  std::string address;
  Headers headers;
  Body body;
  // The shell does not start the attempt after this time, and sends the remaining time to the
  // endpoint.
  Time deadline;
};

// Cancels an attempt: closes its connection, or discards the attempt if it was not started. The
// shell still reports a final event.
struct CancelAttempt {
  AttemptId attempt{};
};

struct AnswerCaller {
  RequestToken request{};
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  int status = 0;                       // HTTP status. Also set if no endpoint answered.
  std::optional<Duration> retry_after;  // Set only with kNotRun.
  Headers headers;
  Body body;
};

struct SendToPeer {
  MemberId to;
  RouterMessage message;
  // If set, the shell discards the message after this time, since its content is valid only while
  // this member has authority.
  std::optional<Time> valid_until;
};

using RouterEffect = std::variant<SendAttempt, CancelAttempt, AnswerCaller, SendToPeer>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ROUTER_EFFECT_H_
