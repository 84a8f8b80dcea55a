#ifndef CACTUSSHELF_REQUEST_OUTCOME_H_
#define CACTUSSHELF_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace cactusshelf {

enum class Outcome : std::uint8_t {
  kAnswered,  // The endpoint sent a complete response.
  kNotRun,    // The request provably did not run; it is safe to retry.
  kUnknown,   // The request may have run.
};

// Why a request was not answered by an endpoint.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,      // A non-idempotent request has no request id.
  kUnknownService,  // Not in the configuration in force, or no configuration is loaded.
  kUnknownAccount,  // Account or customer not in the configuration, or they do not match.
  kRateLimited,     // The account exceeds its request rate.
  kCustomerRetired,
  kDraining,  // This entry host is stopping.
  kQueueFull,
  kDeadlineTooClose,  // Could not finish before its deadline; estimated on arrival.
  kExpiredInQueue,    // The request waited too long to still finish before its deadline.
  kShed,              // Dropped under sustained overload in favour of newer requests.
  kNoEndpoint,        // The service has no endpoint that accepts requests.
  kRefusedByEndpoint,
  kConnectFailed,  // No byte was sent, and no further attempt was possible.
  kIdFromFuture,   // The id was issued later than the owner's clock plus the allowed skew.
  kClaimTableFull,
  kIdTooOld,          // The id was issued before the claim window.
  kBeforeOwnership,   // The id was issued before the owner took over the id.
  kNoOwner,           // No member owns the id, or the owner did not reply in time.
  kNoAuthority,       // The owner of the id currently has no authority.
  kRunnerGone,        // The member that ran the request has left or no longer has the answer.
  kConnectionFailed,  // The connection failed after request bytes were handed over.
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
