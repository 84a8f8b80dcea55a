#ifndef CACTUSSHELF_CONNECTION_ROUTER_OPTIONS_H_
#define CACTUSSHELF_CONNECTION_ROUTER_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Each switch disables one protection, so that tests can verify that their checks fail without it.
// Production code uses the defaults.
struct RouterProtections {
  bool claims = true;  // Non-idempotent requests run only with a claim.
  // Requests with ids issued before the owner's ownership started end as unknown.
  bool ownership_start = true;
  bool no_resend = true;  // A non-idempotent request is sent at most once.
  bool not_run_only_if_proven = true;
  bool drop_late_answers = true;
  bool drop_truncated = true;
  bool slot_tokens = true;
  // Lenders wait 5% longer than the lease; borrowers finish before it ends.
  bool lease_margin = true;
  bool avoid_leaving = true;
  bool retry_budget = true;
  bool ejection_floor = true;
  bool admission = true;
};

struct RouterOptions {
  Duration max_request_timeout = std::chrono::seconds(30);
  Duration max_clock_skew = std::chrono::milliseconds(500);
  Duration claim_window = std::chrono::minutes(10);
  Duration claim_resend_period = std::chrono::milliseconds(250);
  std::size_t max_claims = 1'000'000;
  std::size_t max_stored_answer_bytes = std::size_t{64} << 20;
  Duration token_lease = std::chrono::seconds(2);
  Duration demand_period = std::chrono::milliseconds(250);
  std::size_t queue_capacity = 1024;  // Requests per service.
  double retry_ratio = 0.1;           // Retries and hedges per request, on average.
  double max_ejected_fraction = 0.3;  // Of the endpoints of a service.
  RouterProtections protections;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ROUTER_OPTIONS_H_
