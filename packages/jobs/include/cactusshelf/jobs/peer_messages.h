#ifndef CACTUSSHELF_JOBS_PEER_MESSAGES_H_
#define CACTUSSHELF_JOBS_PEER_MESSAGES_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactusshelf/jobs/job_event.h"

// Messages between an owner and the other entry hosts: orders that they pass on to workers, as
// relays, and requests that they hand to the owner to be stored.
namespace cactusshelf::jobs {

// Time by the clocks of a relay. The steady clock does not count a suspension of the host, and the
// time of day may be set, so both are kept.
struct RelayTimestamp {
  Duration steady{};
  std::chrono::milliseconds wall{};
  friend bool operator==(const RelayTimestamp&, const RelayTimestamp&) = default;
};

// From the owner. Without orders it asks the relay for a sign of life.
struct OrderBatch {
  std::string owner_address;  // Where the answers go.
  // The last stamp that the owner received, by which the relay sees how old the batch may be.
  std::optional<RelayTimestamp> echoed_timestamp;
  std::vector<WorkerOrder> orders;
};

using WorkerAnswer = std::variant<job_event::HoldDone, job_event::StartDone, job_event::StopDone,
                                  job_event::PaceDone>;

// From the relay.
struct AnswerBatch {
  std::string host;
  RelayTimestamp timestamp;
  bool leaving = false;  // The relay is about to end and wants no more orders.
  std::vector<WorkerAnswer> answers;
};

// To the owner of a cell: records of callers' requests, which it stores together with its own.
struct Submission {
  std::string reply_address;  // Empty within one process.
  int cell = 0;
  std::uint64_t id = 0;  // Chosen by the sender.
  std::vector<KeyedRecord> records;
};

// From the owner, only after the records of a submission are stored.
struct SubmissionStored {
  int cell = 0;
  std::uint64_t id = 0;
  std::int64_t offset = 0;  // Of the first record.
};

using PeerMessageBody = std::variant<OrderBatch, AnswerBatch, Submission, SubmissionStored>;

// Thread-safe.
std::string Encode(const OrderBatch& batch);
std::string Encode(const AnswerBatch& batch);
std::string Encode(const Submission& submission);
std::string Encode(const SubmissionStored& stored);

// Throws DecodeError for anything that Encode does not produce. Thread-safe.
PeerMessageBody DecodePeerMessage(std::string_view bytes);

// The call that an order or an answer belongs to, and the worker.
CallId CallIdOf(const WorkerOrder& order);
CallId CallIdOf(const WorkerAnswer& answer);
const WorkerTarget& TargetWorker(const WorkerOrder& order);

// The same with another call.
void SetCallId(WorkerOrder& order, CallId call);
void SetCallId(WorkerAnswer& answer, CallId call);

void SetReason(WorkerAnswer& answer, const std::string& reason);

// The answer to `order` when no worker gave one.
WorkerAnswer MakeAnswer(const WorkerOrder& order, OrderOutcome outcome, const std::string& reason);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_PEER_MESSAGES_H_
