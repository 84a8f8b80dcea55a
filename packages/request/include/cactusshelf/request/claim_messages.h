#ifndef CACTUSSHELF_REQUEST_CLAIM_MESSAGES_H_
#define CACTUSSHELF_REQUEST_CLAIM_MESSAGES_H_

#include <cstdint>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/request/content.h"
#include "cactusshelf/request/outcome.h"
#include "cactusshelf/request/request_id.h"

namespace cactusshelf {

// Number of a claim, unique within the member that sends it. A repeated claim carries the same
// number, so that the owner grants it once.
using ClaimNumber = std::uint64_t;

// Number of a fetch, unique within the member that sends it.
using FetchNumber = std::uint64_t;

enum class ClaimVerdict : std::uint8_t {
  kGranted,
  kRunning,  // At `runner`.
  kDone,     // At `runner`.
  kRefused,  // Provably not run.
  kUnknown,  // May have run.
  kNotOwner,
  kNoAuthority,
};

// Entry host to owner: may this member run the request?
struct Claim {
  RequestId id;
  ClaimNumber number = 0;
};

// Owner to entry host.
struct ClaimReply {
  RequestId id;
  ClaimNumber number = 0;
  ClaimVerdict verdict = ClaimVerdict::kUnknown;
  Reason reason = Reason::kNone;  // For kRefused and kUnknown.
  MemberId runner;                // For kRunning and kDone.
};

// Entry host to owner: the granted request ended. With kNotRun the claim is released.
struct ClaimDone {
  RequestId id;
  ClaimNumber number = 0;
  Outcome outcome = Outcome::kUnknown;
};

// Entry host to the member that runs or ran the request.
struct FetchAnswer {
  RequestId id;
  FetchNumber number = 0;
};

// Reply to FetchAnswer, sent once the request ended.
struct Answer {
  RequestId id;
  FetchNumber number = 0;
  bool found = false;  // The sender has, or had until its end, a run of this request.
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  Response response;  // For kAnswered.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_CLAIM_MESSAGES_H_
