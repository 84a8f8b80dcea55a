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

// Sends the request to an endpoint. The shell reports one final AttemptEvent.
struct SendAttempt {
  AttemptId attempt{};
  RequestToken request{};
  EndpointId endpoint;
  std::string address;
  Headers headers;
  Body body;
  Time deadline;  // The shell starts nothing after this time and tells the endpoint the rest.
};

// Ends an attempt: closes its connection, or drops it if it was not started. The shell still
// reports a final event.
struct CancelAttempt {
  AttemptId attempt{};
};

struct AnswerCaller {
  RequestToken request{};
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  int status = 0;                       // HTTP status, also when no endpoint answered.
  std::optional<Duration> retry_after;  // Only with kNotRun.
  Headers headers;
  Body body;
};

struct SendToPeer {
  MemberId to;
  RouterMessage message;
  // The shell drops the message after this time: it needs the authority of this member.
  std::optional<Time> valid_until;
};

using RouterEffect = std::variant<SendAttempt, CancelAttempt, AnswerCaller, SendToPeer>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ROUTER_EFFECT_H_
