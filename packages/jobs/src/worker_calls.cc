#include "cactusshelf/jobs/worker_calls.h"

namespace cactusshelf::jobs {

std::string_view ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lapsed";
    case RunEnd::kGangMemberEnded:
      return "broken";
    case RunEnd::kGangStartTimedOut:
      return "waited";
  }
  return "unknown";
}

std::string_view ToString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kStale:
      return "stale";
    case OrderOutcome::kExpired:
      return "expired";
    case OrderOutcome::kNoRoom:
      return "no_room";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kOtherInstance:
      return "other_instance";
    case OrderOutcome::kNoAnswer:
      return "no_answer";
    case OrderOutcome::kRelaySilent:
      return "relay_silent";
  }
  return "unknown";
}

}  // namespace cactusshelf::jobs
