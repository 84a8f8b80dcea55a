#ifndef CACTUSSHELF_REQUEST_OUTCOME_H_
#define CACTUSSHELF_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace cactusshelf {

enum class Outcome : std::uint8_t {
  kAnswered,  // The complete response of the endpoint.
  kNotRun,    // Provably not run; safe to retry.
  kUnknown,   // May have run.
};

// Why a request was not answered by an endpoint.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,      // Non-idempotent without an id.
  kUnknownService,  // Not in the configuration in force, or no configuration is loaded.
  kUnknownAccount,  // Account or customer not in the configuration, or they do not match.
  kRateLimited,     // The account exceeds its request rate.
  kCustomerRetired,
  kDraining,  // This entry host is stopping.
  kQueueFull,
  kDeadlineTooClose,  // Could not finish before its deadline; estimated on arrival.
  kExpiredInQueue,    // The deadline came too close while the request waited.
  kShed,              // Dropped under sustained overload in favour of newer requests.
  kNoEndpoint,        // The service has no endpoint that accepts requests.
  kRefusedByEndpoint,
  kConnectFailed,  // No byte left; no further attempt was possible.
  kIdFromFuture,   // Issued later than the clock of the owner plus the allowed skew.
  kClaimTableFull,
  kIdTooOld,          // Issued before the claim window.
  kBeforeTenure,      // Issued before the owner took over the id.
  kNoOwner,           // No member owns the id, or the owner did not reply in time.
  kNoAuthority,       // The owner of the id has no authority at present.
  kRunnerGone,        // The member that ran the request is gone or no longer has the answer.
  kConnectionFailed,  // The connection failed after bytes were handed over.
  kTruncated,         // The response body was cut short.
  kTimeout,
  kCallerGone,
};

std::string_view ToString(Outcome outcome);

// Stable name for headers, logs and metric labels, for instance "rate_limited".
std::string_view ToString(Reason reason);

// HTTP status for a request that no endpoint answered. Precondition: outcome is not kAnswered.
int HttpStatus(Outcome outcome, Reason reason);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_OUTCOME_H_
