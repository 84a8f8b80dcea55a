#ifndef CACTUSSHELF_VERSION_LOG_RECORD_H_
#define CACTUSSHELF_VERSION_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/version/file_set.h"
#include "cactusshelf/version/offset.h"

namespace cactusshelf {

// In the records below, `writer` is the member that appended the record, and `applied_offset` is
// the LogState::offset() of that member: it had applied all records with a lower offset.

// Record that changes the configuration.
struct Publish {
  // Chosen by the publisher; a retry of the same publish repeats it. Not empty.
  std::string publication_id;
  // The revision to which the changes apply.
  Revision base;
  FileChanges changes;

  friend bool operator==(const Publish&, const Publish&) = default;
};

// Appended by an entry host process before it serves requests.
struct Join {
  // "<host name>/<incarnation>".
  MemberId member;
  // Greater than that of any earlier process of the same host.
  std::uint64_t incarnation = 0;
  DomainId domain;
  // Address of the peer transport and of the HTTP server, each "<IP address>:<port>".
  std::string peer_address;
  std::string http_address;
  Offset applied_offset = 0;

  friend bool operator==(const Join&, const Join&) = default;
};

enum class RemoveReason {
  // The failure detectors of `writer` and `confirmed_by` consider the member dead.
  kFailed,
  // The host list no longer contains the member's host.
  kNotListed,
};

// Appended by another member to remove `member`.
struct Remove {
  MemberId member;
  MemberId writer;
  RemoveReason reason = RemoveReason::kFailed;
  // For kFailed: a member other than `member` and `writer`. Otherwise empty.
  MemberId confirmed_by;

  friend bool operator==(const Remove&, const Remove&) = default;
};

// Appended by an entry host process after a graceful stop.
struct Leave {
  MemberId member;

  friend bool operator==(const Leave&, const Leave&) = default;
};

enum class JobEvent {
  // The job was admitted to `cell`.
  kAssigned,
  // No task of the job runs and none will: it completed, or its tasks were stopped.
  kFinished,
  // The job can never run; `detail` names the limiting resource.
  kRejected,
};

struct JobUpdate {
  JobId job;
  JobEvent event = JobEvent::kAssigned;
  CellId cell;
  std::string detail;

  friend bool operator==(const JobUpdate&, const JobUpdate&) = default;
};

// Job events, batched by a member.
struct Jobs {
  MemberId writer;
  std::vector<JobUpdate> updates;

  friend bool operator==(const Jobs&, const Jobs&) = default;
};

// Attests that no request of a retired customer is in flight at a member or, if `cell` is set, that
// no task of the customer runs on the workers of the cell.
struct Attest {
  CustomerId customer;
  MemberId member;
  Offset applied_offset = 0;
  // Requests of the customer in flight at the member. Must be 0.
  std::uint64_t in_flight = 0;

  struct Cell {
    CellId cell;
    // Membership epoch under which the member owns the cell.
    Offset epoch = 0;
    // Tasks of the customer on the workers of the cell. Must be 0.
    std::uint64_t tasks = 0;
    // Every worker answered under `epoch`, or its leases expired.
    bool all_workers_visited = false;

    friend bool operator==(const Cell&, const Cell&) = default;
  };
  std::optional<Cell> cell;

  friend bool operator==(const Attest&, const Attest&) = default;
};

// The folded state after all records with an offset lower than `offset`.
struct SnapshotRecord {
  MemberId writer;
  Offset offset = 0;
  // LogState::chain() at `offset`.
  std::string chain;
  // Bytes of Snapshot::Encode().
  std::string state;

  friend bool operator==(const SnapshotRecord&, const SnapshotRecord&) = default;
};

using LogRecord = std::variant<Publish, Join, Remove, Leave, Jobs, Attest, SnapshotRecord>;

inline constexpr int kLogRecordFormat = 1;
// Bounds the memory that a reader allocates for one record. A snapshot at the target size is about
// 6 MB.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{32} << 20;
// Maximum nesting depth of a record. The bound keeps hostile input from exhausting the stack.
inline constexpr int kMaxRecordDepth = 8;

enum class RecordFault { kTooLarge, kTooDeep, kMalformed, kUnknownFormat, kDigest, kInvalidField };

// Value of the reason label of counters, for instance "digest".
std::string_view ToString(RecordFault fault);

// A record that cannot be decoded.
class RecordError : public DecodeError {
 public:
  RecordError(RecordFault fault, const std::string& message)
      : DecodeError(message), fault_(fault) {}

  RecordFault fault() const { return fault_; }

 private:
  RecordFault fault_;
};

// Lower-case name of the record type, for instance "publish".
std::string_view TypeName(const LogRecord& record);

// CBOR map with format version, type, payload and the SHA-256 digest of the payload. Throws Error
// if the result is larger than kMaxRecordBytes.
std::string EncodeRecord(const LogRecord& record);

// Throws RecordError for bytes that are not a record of this format, are too large or too deeply
// nested, or whose digest does not match.
LogRecord DecodeRecord(std::string_view bytes);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_LOG_RECORD_H_
