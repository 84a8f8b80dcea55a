#ifndef CACTUSSHELF_JOBS_WORKER_CALLS_H_
#define CACTUSSHELF_JOBS_WORKER_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/jobs/job.h"

// Orders to workers and their answers. HoldOrder, StartOrder, StopOrder and PaceOrder are named
// after the wire calls that carry them.
//
// Each worker has its own clock. A WorkerClock value may be compared only with values of the same
// incarnation of the same worker.
//
// An order that grants a lease, or that acknowledges ends, names the incarnation that it is for.
// Whoever sends it to the worker writes it only to a connection on which this incarnation has
// answered. A connection does not outlive the worker's process, so no other incarnation carries the
// order out, however late that happens.
namespace cactusshelf::jobs {

// Time since an arbitrary epoch on a worker's clock.
using WorkerClock = std::chrono::milliseconds;

enum class CallId : std::uint64_t {};

// The worker that an order is sent to.
struct WorkerTarget {
  std::string id;
  std::string address;
  std::string domain;  // Failure domain. Relays in the same domain are preferred.
};

// A worker as listed by the platform.
struct WorkerEntry {
  std::string id;
  std::string address;
  std::string pool;  // Service whose tasks the worker runs.
  std::string domain;
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;
  bool draining = false;
  std::int64_t incarnation = 0;

  WorkerTarget Target() const { return {id, address, domain}; }
};

// Raises the worker's fencing token, renews the lease of all its runs, lets it discard the ends of
// runs that are stored, and asks for a report.
struct HoldOrder {
  CallId call{};
  WorkerTarget worker;
  std::int64_t token = 0;
  std::int64_t acknowledged_end = 0;
  std::optional<WorkerClock> lease_end;  // Absent: the lease is not renewed.
  // Incarnation that the lease and the acknowledgement are for; 0 if the order has neither. Another
  // incarnation gets the order without both, and answers it.
  std::int64_t incarnation = 0;
  Duration wait{};  // Maximum delay of the answer until a run ends.
};

struct StartOrder {
  CallId call{};
  WorkerTarget worker;
  std::int64_t token = 0;
  TaskRef task;
  std::int64_t run = 0;
  std::string payload;
  std::string checkpoint;
  WorkerClock lease_end{};
  std::int64_t incarnation = 0;  // By whose clock lease_end is given. Others do not get the order.
};

struct StopOrder {
  CallId call{};
  WorkerTarget worker;
  std::int64_t token = 0;
  TaskRef task;
  std::int64_t run = 0;
};

// Limits a run to a percentage of the processors that it would otherwise use.
struct PaceOrder {
  CallId call{};
  WorkerTarget worker;
  std::int64_t token = 0;
  TaskRef task;
  std::int64_t run = 0;
  int percent = 100;
};

using WorkerOrder = std::variant<HoldOrder, StartOrder, StopOrder, PaceOrder>;

struct RunningTask {
  TaskRef task;
  std::int64_t run = 0;
  std::string checkpoint;
  int progress_percent = 0;
  // Tail latency in milliseconds for a serving task, milliprocessors in use for any other task.
  std::int64_t load = 0;
};

enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,       // The worker's lease expired.
  kGangMemberEnded,    // Another task of the gang ended.
  kGangStartTimedOut,  // Other tasks of the gang did not start in time.
};

std::string_view ToString(RunEnd end);

struct EndedRun {
  std::int64_t number = 0;  // Position in the worker's list of ends.
  TaskRef task;
  std::int64_t run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

struct HoldReport {
  WorkerClock clock{};
  std::int64_t incarnation = 0;
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;  // Unacknowledged ends, oldest first.
  bool more_ended = false;      // There may be later ends that `ended` has no room for.
};

enum class OrderOutcome : std::uint8_t {
  kDone,
  kFenced,   // The worker has seen a higher fencing token.
  kStale,    // The run number is not above that of a run stopped or ended on this worker.
  kExpired,  // The lease in the order had already expired.
  kNoRoom,
  kRejected,       // Refused without effect for another reason.
  kOtherInstance,  // Another incarnation of the worker answered, and did not get the order.
  kNoAnswer,       // The order may have been carried out, or may still be.
  kRelaySilent,    // As kNoAnswer, because the relay of the order does not answer.
};

std::string_view ToString(OrderOutcome outcome);

struct HoldAnswer {
  CallId call{};
  std::string worker;
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::string reason;  // Set if the outcome is not kDone.
  HoldReport report;   // Set if the outcome is kDone.
};

struct OrderAnswer {
  CallId call{};
  std::string worker;
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::string reason;  // Set if the outcome is not kDone.
  // Of the worker when it answered; absent if it did not say.
  std::optional<WorkerClock> clock = std::nullopt;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_WORKER_CALLS_H_
