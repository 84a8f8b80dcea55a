#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

std::string_view ToString(Stream stream) {
  switch (stream) {
    case Stream::kJobs:
      return "jobs";
    case Stream::kConfiguration:
      return "configuration";
    case Stream::kWorkers:
      return "workers";
  }
  return "unknown";
}

std::string_view ToString(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kAccepted:
      return "accepted";
    case ReplyKind::kCancelled:
      return "cancelled";
    case ReplyKind::kState:
      return "state";
    case ReplyKind::kPending:
      return "pending";
    case ReplyKind::kMalformed:
      return "malformed";
    case ReplyKind::kNoQueue:
      return "no_queue";
    case ReplyKind::kNoJob:
      return "no_job";
    case ReplyKind::kNotAccepted:
      return "not_accepted";
    case ReplyKind::kUnknown:
      return "unknown";
  }
  return "invalid";
}

}  // namespace cactusshelf::jobs
