#include "cactusshelf/request/outcome.h"

#include <array>
#include <cassert>

namespace cactusshelf {

namespace {

constexpr int kBadRequestStatus = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kBadGatewayStatus = 502;
constexpr int kUnavailableStatus = 503;
constexpr int kGatewayTimeoutStatus = 504;

}  // namespace

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(Reason reason) {
  constexpr std::array<std::string_view, 25> kNames = {"none",
                                                       "bad_request",
                                                       "unknown_service",
                                                       "unknown_account",
                                                       "rate_limited",
                                                       "customer_retired",
                                                       "draining",
                                                       "queue_full",
                                                       "deadline_close",
                                                       "expired_in_queue",
                                                       "shed",
                                                       "no_endpoint",
                                                       "refused",
                                                       "connect_failed",
                                                       "id_from_future",
                                                       "claim_table_full",
                                                       "id_too_old",
                                                       "before_tenure",
                                                       "no_owner",
                                                       "no_authority",
                                                       "runner_gone",
                                                       "connection_failed",
                                                       "truncated_response",
                                                       "timeout",
                                                       "caller_gone"};
  const auto n = static_cast<std::size_t>(reason);
  assert(n < kNames.size());
  return kNames[n];
}

int HttpStatus(Outcome outcome, Reason reason) {
  assert(outcome != Outcome::kAnswered);
  if (outcome == Outcome::kUnknown) {
    return reason == Reason::kTimeout ? kGatewayTimeoutStatus : kBadGatewayStatus;
  }
  switch (reason) {
    case Reason::kBadRequest:
    case Reason::kIdFromFuture:
      return kBadRequestStatus;
    case Reason::kUnknownService:
    case Reason::kUnknownAccount:
      return kNotFoundStatus;
    case Reason::kRateLimited:
      return kTooManyRequestsStatus;
    default:
      return kUnavailableStatus;
  }
}

}  // namespace cactusshelf
