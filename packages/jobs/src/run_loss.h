#ifndef CACTUSSHELF_JOBS_SRC_RUN_LOSS_H_
#define CACTUSSHELF_JOBS_SRC_RUN_LOSS_H_

#include "cactusshelf/jobs/worker_calls.h"
#include "worker_state.h"

// Decides whether a run that left no end has certainly ended, so that its task may start again.
// docs/platform.md, "When a run is given up", has the premises. All functions are
// thread-compatible.
namespace cactusshelf::jobs {

// True if `report`, the answer of `worker` to its last hold, proves that the run has ended or never
// began. Until `confirmed_at` no other owner may have processed ends of the worker. Precondition:
// `worker.incarnation` is that of the report, whose ends have been processed.
bool HasEndedByReport(const WorkerState& worker, const Run& run, const HoldReport& report,
                      Time confirmed_at);

// True if the run has ended, or will never begin, because `incarnation` of its worker has answered.
// Precondition: no other owner may have processed ends of earlier incarnations.
bool HasEndedByRestart(const Run& run, std::int64_t incarnation);

// True if every lease that an unreachable worker may hold for the run has expired at `now`.
bool HasEndedByLease(const WorkerState& worker, const Run& run, Time now);

// True if the run is among those that the report lists as running.
bool IsListed(const HoldReport& report, const Run& run);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_RUN_LOSS_H_
