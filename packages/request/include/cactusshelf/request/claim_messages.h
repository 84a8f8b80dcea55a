#ifndef CACTUSSHELF_REQUEST_CLAIM_MESSAGES_H_
#define CACTUSSHELF_REQUEST_CLAIM_MESSAGES_H_

#include <cstdint>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/request/content.h"
#include "cactusshelf/request/outcome.h"
#include "cactusshelf/request/request_id.h"

namespace cactusshelf {

// Number of a claim, unique within the member that sends the claim. A resent claim carries the
// same number, so that the owner does not take it for a second run of the request.
using ClaimNumber = std::uint64_t;

// Number of a FetchAnswer message, unique within the member that sends it.
using FetchNumber = std::uint64_t;

enum class ClaimVerdict : std::uint8_t {
  kGranted,
  kRunning,  // The member `runner` runs the request.
  kDone,     // The member `runner` ran the request, which has ended.
  kRefused,  // The request provably did not run.
  kUnknown,  // The request may have run.
  kNotOwner,
  kNoAuthority,
};

// Entry host to owner: asks for permission to run the request.
struct Claim {
  RequestId id;
  ClaimNumber number = 0;
};

// Owner to entry host: the decision on a claim.
struct ClaimReply {
  RequestId id;
  ClaimNumber number = 0;
  ClaimVerdict verdict = ClaimVerdict::kUnknown;
  Reason reason = Reason::kNone;  // For kRefused and kUnknown.
  MemberId runner;                // For kRunning and kDone.
};

// Entry host to owner: the granted request ended. An outcome of kNotRun releases the claim.
struct ClaimDone {
  RequestId id;
  ClaimNumber number = 0;
  Outcome outcome = Outcome::kUnknown;
};

// Entry host to the member that runs or ran the request: asks for the answer.
struct FetchAnswer {
  RequestId id;
  FetchNumber number = 0;
};

// Reply to FetchAnswer, sent when the request has ended.
struct Answer {
  RequestId id;
  FetchNumber number = 0;
  // False if the sender was not running the request when asked and has no stored answer for it.
  bool found = false;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  Response response;  // Set for kAnswered.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_CLAIM_MESSAGES_H_
