#ifndef CACTUSSHELF_JOBS_JOB_EVENT_H_
#define CACTUSSHELF_JOBS_JOB_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/jobs/job_record.h"
#include "cactusshelf/jobs/queue_table.h"
#include "cactusshelf/jobs/worker_calls.h"

// Inputs (events) and outputs (effects) of a job node. The shell around the node performs the I/O.
namespace cactusshelf::jobs {

// Streams of the platform's store that keep the newest record of each key.
enum class Stream : std::uint8_t { kJobs, kConfiguration, kWorkers };

std::string_view ToString(Stream stream);

enum class ReadOutcome : std::uint8_t {
  kDone,
  kTrimmed,  // The requested records were trimmed; only the newest of each key remain.
  kFailed,
};

enum class CallerId : std::uint64_t {};

enum class Verb : std::uint8_t { kSubmit, kRead, kCancel };

// A request body that could not be decoded as a job.
struct MalformedBody {
  std::string message;  // Names the field at fault.
};

namespace job_event {

struct CallerRequest {
  CallerId caller{};
  Verb verb = Verb::kRead;
  std::string host;
  std::string path;
  Duration timeout{};  // How long the caller waits for a response.
  std::variant<std::monostate, JobSpec, MalformedBody> body;
};

struct CallerDisconnected {
  CallerId caller{};
};

// Result of a ReadRecords or ReadNewest effect.
struct StreamRead {
  Stream stream{};
  int cell = 0;         // For Stream::kJobs.
  bool newest = false;  // True for the result of ReadNewest.
  ReadOutcome outcome = ReadOutcome::kFailed;
  std::string reason;  // For kFailed.
  std::int64_t next_offset =
      0;  // Offset after the records read; for ReadNewest, the end of the stream.
  // The store had more to return: for ReadRecords from next_offset on, for ReadNewest after
  // last_key.
  bool has_more = false;
  std::string last_key;
  std::vector<KeyedRecord> job_records;       // Stream::kJobs.
  std::optional<QueueTable> configuration;    // Stream::kConfiguration: the newest version, if any.
  std::vector<WorkerEntry> workers;           // Stream::kWorkers: oldest first.
  std::vector<std::string> unlisted_workers;  // Stream::kWorkers: removed and not added again.
  std::vector<std::string> unreadable_records;  // Keys and decode errors of skipped records.
};

enum class AppendOutcome : std::uint8_t {
  kDone,
  kFenced,      // The store has seen a higher epoch of this producer.
  kOutOfOrder,  // The sequence number does not follow the last one.
  kRefused,     // The store did not and will not append the records.
  kNoAnswer,    // The append may have taken effect, or may still do so.
};

struct AppendDone {
  std::uint64_t append_id = 0;
  AppendOutcome outcome = AppendOutcome::kNoAnswer;
  std::int64_t offset = 0;  // Offset of the first record.
  std::string reason;
};

struct HoldDone {
  HoldAnswer answer;
};
struct StartDone {
  OrderAnswer answer;
};
struct StopDone {
  OrderAnswer answer;
};
struct PaceDone {
  OrderAnswer answer;
};

// A message that another process sent with SendToPeer.
struct PeerMessage {
  std::string bytes;
};

struct Timer {};

// Requests a graceful shutdown.
struct DrainRequested {};

}  // namespace job_event

using JobEvent = std::variant<job_event::CallerRequest, job_event::CallerDisconnected,
                              job_event::StreamRead, job_event::AppendDone, job_event::HoldDone,
                              job_event::StartDone, job_event::StopDone, job_event::PaceDone,
                              job_event::PeerMessage, job_event::Timer, job_event::DrainRequested>;

enum class ReplyKind : std::uint8_t {
  kAccepted,
  kCancelled,
  kState,
  kPending,
  kMalformed,  // The request is invalid; nothing was stored.
  kNoQueue,
  kNoJob,
  kNotAccepted,  // The request has not taken effect and will not.
  kUnknown,      // The request may have taken effect.
};

std::string_view ToString(ReplyKind kind);

namespace job_effect {

struct Reply {
  CallerId caller{};
  ReplyKind kind{};
  JobState state{};        // kState.
  int pending = 0;         // kPending.
  Duration retry_after{};  // kNotAccepted.
  std::string message;     // kMalformed, kNotAccepted.
};

struct ReadRecords {
  Stream stream{};
  int cell = 0;           // For Stream::kJobs, which has one log per cell.
  std::int64_t from = 0;  // Offset of the first record.
  Duration wait{};        // Longest time to wait for a record if there is none yet.
};

// Reads one page of the newest record of each key.
struct ReadNewest {
  Stream stream{};
  int cell = 0;
  std::string after_key;
};

struct Append {
  int cell = 0;
  std::uint64_t append_id = 0;
  std::vector<KeyedRecord> records;
  std::string producer;  // Empty: the append is neither fenced nor deduplicated.
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
};

struct Order {
  WorkerOrder order;
};

// Best effort: the message may be lost or delayed.
struct SendToPeer {
  std::string address;
  std::string bytes;
};

struct WriteLogEvent {
  LogEvent event;
};

struct Stop {};

}  // namespace job_effect

using JobEffect = std::variant<job_effect::Reply, job_effect::ReadRecords, job_effect::ReadNewest,
                               job_effect::Append, job_effect::Order, job_effect::SendToPeer,
                               job_effect::WriteLogEvent, job_effect::Stop>;

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_EVENT_H_
