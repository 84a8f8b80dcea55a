#ifndef CACTUSSHELF_JOBS_PEER_MESSAGES_H_
#define CACTUSSHELF_JOBS_PEER_MESSAGES_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactusshelf/jobs/cell_room.h"
#include "cactusshelf/jobs/job_event.h"

// Messages between an owner and the other entry hosts: orders that those hosts relay to workers,
// records of callers' requests that they submit to the owner for storage, the owner's notices of
// its ownership, and what owners of several cells tell each other.
namespace cactusshelf::jobs {

// Readings of a relay's clocks. Both are needed because the steady clock does not count a
// suspension of the host and the wall clock may be set.
struct RelayTimestamp {
  Duration steady{};
  std::chrono::milliseconds wall{};
  friend bool operator==(const RelayTimestamp&, const RelayTimestamp&) = default;
};

// Sent by an owner to a relay. A batch without orders is a liveness probe.
struct OrderBatch {
  std::string owner_address;  // Destination of the answers.
  // The last timestamp that the owner received from this relay. It bounds the age of the batch.
  std::optional<RelayTimestamp> echoed_timestamp;
  std::vector<WorkerOrder> orders;
};

using WorkerAnswer = std::variant<job_event::HoldDone, job_event::StartDone, job_event::StopDone,
                                  job_event::PaceDone>;

// Sent by a relay to an owner.
struct AnswerBatch {
  std::string host;
  RelayTimestamp timestamp;
  bool leaving = false;  // The relay is shutting down and accepts no more orders.
  std::vector<WorkerAnswer> answers;
};

// Sent to the owner of a cell: records of callers' requests, which the owner appends together with
// its own.
struct Submission {
  std::string reply_address;  // Empty if the sender is the owner's own process.
  int cell = 0;
  std::uint64_t id = 0;  // Chosen by the sender; each process begins with 1.
  std::vector<KeyedRecord> records;
  std::string member;  // The process that sends it; empty if it is of an earlier version.
};

// Sent by the owner after the records of a submission have been stored. Only for the process that
// asked, since all processes use the same numbers.
struct SubmissionStored {
  int cell = 0;
  std::uint64_t id = 0;
  std::int64_t offset = 0;  // Offset of the first record.
  std::string asker;        // Submission::member.
  std::int64_t epoch = 0;   // Of the owner.
};

// Sent by an owner of a cell to all other hosts. Tells them its epoch and asks for the highest one
// that an owner has told them.
struct OwnershipNotice {
  std::string reply_address;
  int cell = 0;
  std::int64_t epoch = 0;  // Other processes cannot append under an earlier one any more.
  Duration sent_at{};      // By the sender's steady clock.
};

// Answer to a notice. If the process owned the cell under an earlier epoch, it has stopped.
struct OwnershipAnswer {
  std::string host;
  std::string member;  // The process that answers.
  int cell = 0;
  std::int64_t epoch = 0;  // The highest one that the process was told, the notice's included.
  Duration uptime{};       // Least time since the process started.
  // Least time since the process voted for an owner before `epoch`.
  Duration since_earlier_vote{};
  Duration notice_sent_at{};  // OwnershipNotice::sent_at.
};

// Sent to the owner of a cell to which jobs were handed over, or of which such jobs were cancelled:
// the log of `home_cell` has new records of them. A lost notice only delays the reading of them.
struct HandOverNotice {
  int home_cell = 0;
};

using PeerMessageBody = std::variant<OrderBatch, AnswerBatch, Submission, SubmissionStored,
                                     OwnershipNotice, OwnershipAnswer, CellRoom, HandOverNotice>;

// Thread-safe.
std::string Encode(const OrderBatch& batch);
std::string Encode(const AnswerBatch& batch);
std::string Encode(const Submission& submission);
std::string Encode(const SubmissionStored& stored);
std::string Encode(const OwnershipNotice& notice);
std::string Encode(const OwnershipAnswer& answer);
std::string Encode(const CellRoom& room);
std::string Encode(const HandOverNotice& notice);

// Throws DecodeError for anything that Encode does not produce. Thread-safe.
PeerMessageBody DecodePeerMessage(std::string_view bytes);

// The process that asked for what `message` answers; no other may act on it. A message goes to an
// address, which the next process on a host inherits. Empty text if the message does not say who
// asked. Nothing if it answers nobody, or repeats a number that only one process ever uses.
// Thread-safe.
std::optional<std::string> AskerOf(const PeerMessageBody& message);

// The ID of the call that an order or an answer belongs to, and the worker that receives an order.
CallId CallIdOf(const WorkerOrder& order);
CallId CallIdOf(const WorkerAnswer& answer);
const WorkerTarget& TargetWorker(const WorkerOrder& order);

// Replaces the call ID.
void SetCallId(WorkerOrder& order, CallId call);
void SetCallId(WorkerAnswer& answer, CallId call);

void SetReason(WorkerAnswer& answer, const std::string& reason);

// Creates an answer to `order` in place of one from the worker.
WorkerAnswer MakeAnswer(const WorkerOrder& order, OrderOutcome outcome, const std::string& reason);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_PEER_MESSAGES_H_
