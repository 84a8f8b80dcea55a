#ifndef CACTUSSHELF_JOBS_WORKER_CALLS_H_
#define CACTUSSHELF_JOBS_WORKER_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/jobs/job.h"

// Orders to workers and their answers. Each worker has a clock of its own; values of type
// WorkerClock are compared only with values of the same incarnation of the same worker.
namespace cactusshelf::jobs {

using WorkerClock = std::chrono::milliseconds;

enum class CallId : std::uint64_t {};

// Addressee of an order.
struct WorkerTarget {
  std::string id;
  std::string address;
  std::string domain;  // Where the worker is; a relay near it is preferred.
};

// What the platform lists of a worker.
struct WorkerEntry {
  std::string id;
  std::string address;
  std::string pool;  // Service whose tasks it runs.
  std::string domain;
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;
  bool draining = false;
  std::int64_t incarnation = 0;

  WorkerTarget Target() const { return {id, address, domain}; }
};

// Raises the worker's fencing token, renews the lease of all that runs there, forgets ends that
// are stored, and reports.
struct HoldOrder {
  CallId call{};
  WorkerTarget worker;
  std::int64_t token = 0;
  std::int64_t acknowledged_end = 0;
  std::optional<WorkerClock> lease_end;  // Absent: the lease is not renewed.
  Duration wait{};                       // The answer may wait so long for an end.
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
};

struct StopOrder {
  CallId call{};
  WorkerTarget worker;
  std::int64_t token = 0;
  TaskRef task;
  std::int64_t run = 0;
};

// Lets a run use a share of the processors that it would use.
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
  // Of a serving task, its tail latency in milliseconds; of another, its milliprocessors in use.
  std::int64_t load = 0;
};

enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,       // The lease ended.
  kGangMemberEnded,    // Another member of the gang ended.
  kGangStartTimedOut,  // Other members of the gang did not come.
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
  std::vector<EndedRun> ended;  // A prefix of the ends that are not acknowledged.
};

enum class OrderOutcome : std::uint8_t {
  kDone,
  kFenced,   // The worker has seen a higher token.
  kStale,    // The run is not higher than one that was stopped or ended there.
  kExpired,  // The lease would already have ended.
  kNoRoom,
  kRejected,       // Refused without effect for another reason.
  kOtherInstance,  // Another incarnation answered.
  kNoAnswer,       // It may have been carried out, or may be later.
  kRelaySilent,    // The same, since the host that passed the order on does not answer.
};

std::string_view ToString(OrderOutcome outcome);

struct HoldAnswer {
  CallId call{};
  std::string worker;
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::string reason;  // Of an outcome other than kDone.
  HoldReport report;   // If the outcome is kDone.
};

struct OrderAnswer {
  CallId call{};
  std::string worker;
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::string reason;  // Of an outcome other than kDone.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_WORKER_CALLS_H_
