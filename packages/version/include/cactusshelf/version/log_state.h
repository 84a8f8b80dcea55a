#ifndef CACTUSSHELF_VERSION_LOG_STATE_H_
#define CACTUSSHELF_VERSION_LOG_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/version/configuration.h"
#include "cactusshelf/version/log_record.h"
#include "cactusshelf/version/offset.h"
#include "cactusshelf/version/retirement.h"

namespace cactusshelf {

// Records are missing: the log holds no record with the expected offset.
class LogGapError : public Error {
 public:
  using Error::Error;
};

struct RegisteredMember {
  MemberId id;
  std::uint64_t incarnation = 0;
  DomainId domain;
  std::string peer_address;
  std::string http_address;
  Offset join_offset = 0;
  WallTime joined_at{};

  friend bool operator==(const RegisteredMember&, const RegisteredMember&) = default;
};

enum class JobStatus {
  kAssigned,
  // Cancelled by its entry, by the removal of its entry or by the retirement of its customer. The
  // cell of the job stops its tasks and reports kFinished. Until then, the name cannot be reused.
  kCancelled,
  kFinished,
  kRejected,
};

struct JobState {
  JobStatus status = JobStatus::kAssigned;
  // Empty for a job that was rejected before it was assigned.
  CellId cell;
  CustomerId customer;
  // Why the job was rejected.
  std::string detail;

  friend bool operator==(const JobState&, const JobState&) = default;
};

// The types below are the results of Apply().

// Only the offset and the chain changed, for instance after a repeated join.
struct Unchanged {};

// The record was not applied. `reason` is the value of the reason label of the counter.
struct RecordRefused {
  std::string reason;
  std::string detail;
};

struct PublishAccepted {
  std::string publication_id;
  Offset revision = 0;
  std::set<EntryKey> changed;
  // Customers that this publish retires.
  std::vector<CustomerId> retired;
};

// The publish was accepted before under the same id, for instance because it was retried after a
// lost response.
struct PublishRepeated {
  std::string publication_id;
  // Offset of the first acceptance.
  Offset revision = 0;
};

enum class PublishRejection {
  // Another publish was accepted after the base revision.
  kConflict,
  // The resulting file set has findings.
  kInvalid,
  // The publish would undo a retirement or define entries of a retired customer.
  kRetired,
  // The publication id belongs to an accepted publish with different contents.
  kIdReused,
};

std::string_view ToString(PublishRejection rejection);

struct PublishRejected {
  std::string publication_id;
  PublishRejection reason = PublishRejection::kConflict;
  Revision base;
  // The revision that is in force.
  Revision current_revision;
  // Set for kInvalid and kRetired.
  Findings findings;
  // Set for kConflict: files whose proposed contents differ from those in force, and the entries of
  // these files that differ.
  std::vector<std::string> files;
  std::set<EntryKey> entries;
};

struct MemberJoined {
  RegisteredMember member;
};

// The member left, or was removed if `remove` is set.
struct MemberDeparted {
  RegisteredMember member;
  std::optional<Remove> remove;
};

// The updates of a `jobs` record that were applied. Each update is checked independently, because a
// batch holds unrelated jobs.
struct JobsChanged {
  std::vector<JobUpdate> updates;
};

struct Attested {
  CustomerId customer;
  // Whether this attestation completed the certificate.
  bool complete = false;
};

enum class SnapshotComparison {
  kMatches,
  kDiffers,
  // The snapshot is older than the chains that this state retains.
  kNotComparable,
};

struct SnapshotCompared {
  Offset offset = 0;
  SnapshotComparison result = SnapshotComparison::kMatches;
};

using LogChange =
    std::variant<Unchanged, RecordRefused, PublishAccepted, PublishRepeated, PublishRejected,
                 MemberJoined, MemberDeparted, JobsChanged, Attested, SnapshotCompared>;

// The fold of the log. A deterministic function of the records applied: two states that applied the
// same records up to the same offset are equal except for counters() and the chains they retain.
// Copies share the configuration. Not thread-safe.
class LogState {
 public:
  // Number of publications and hosts that are retained to recognize repeated records.
  static constexpr std::size_t kMaxRetainedPublications = 1024;
  static constexpr std::size_t kMaxRetainedHosts = 4096;
  // Number of chains that are retained to compare snapshots with. A snapshot is due every 512
  // records.
  static constexpr std::size_t kMaxRetainedChains = 4096;

  LogState();

  // Applies the record at `offset` with the timestamp `time` of the log. A record with a lower
  // offset than offset() changes nothing. Throws LogGapError, without changing the state, if
  // `offset` is higher than offset(). Never throws because of the contents of a record.
  LogChange Apply(Offset offset, WallTime time, std::string_view bytes);

  // Returns what Apply() would return for `publish` as the next record, without changing the state.
  LogChange Check(const Publish& publish) const;

  // Offset of the next record to apply; all records with a lower offset have been applied.
  Offset offset() const { return offset_; }

  // Hash chain of the log: SHA-256 over the previous chain and the offset, the timestamp and the
  // bytes of the last record applied.
  const std::string& chain() const { return chain_; }

  // Chain at an earlier offset, or empty if it is no longer retained.
  std::optional<std::string> ChainAt(Offset offset) const;

  // Never null.
  const std::shared_ptr<const Configuration>& configuration() const { return configuration_; }
  const Revision& revision() const { return revision_; }
  // Log timestamp of the publish that is in force.
  std::optional<WallTime> revision_time() const { return revision_time_; }

  const std::map<MemberId, RegisteredMember>& members() const { return members_; }

  // Offset of the last record that changed the members; 0 before the first.
  Offset membership_epoch() const { return membership_epoch_; }

  // Jobs that were assigned or rejected and whose entry is in force, and jobs whose tasks are still
  // being stopped.
  const std::map<JobId, JobState>& jobs() const { return jobs_; }

  const RetirementLedger& retirements() const { return retirements_; }

  // Offset of the state in the latest snapshot record that matched this state or from which this
  // state was loaded; 0 if there is none.
  Offset last_snapshot_offset() const { return last_snapshot_offset_; }
  // Log timestamp of that snapshot record, or of the first record applied if there is none.
  std::optional<WallTime> last_snapshot_time() const { return last_snapshot_time_; }
  // Log timestamp of the last record applied.
  std::optional<WallTime> last_time() const { return last_time_; }

  // Metric "cactusshelf_log_records_total" by record type, and
  // "cactusshelf_log_refused_total" by reason. Local to this state.
  const Counters& counters() const { return counters_; }

 private:
  friend class Snapshot;

  struct Publication {
    // SHA-256 of the changes.
    std::string digest;
    Offset revision = 0;
  };

  // A member that was removed and may still act.
  struct RemovedMember {
    Evidence join;
    Evidence remove;
  };

  // Position, time and bytes of the record that is being applied.
  struct RecordContext {
    Offset offset = 0;
    WallTime time{};
    std::string_view bytes;
  };

  // Result of checking a publish, with the configuration it leads to.
  struct CheckedPublish;

  LogChange ApplyRecord(const RecordContext& context, const Publish& publish);
  LogChange ApplyRecord(const RecordContext& context, const Join& join);
  LogChange ApplyRecord(const RecordContext& context, const Remove& remove);
  LogChange ApplyRecord(const RecordContext& context, const Leave& leave);
  LogChange ApplyRecord(const RecordContext& context, const Jobs& jobs);
  LogChange ApplyRecord(const RecordContext& context, const Attest& attest);
  LogChange ApplyRecord(const RecordContext& context, const SnapshotRecord& snapshot);

  CheckedPublish CheckPublish(const Publish& publish) const;
  PublishRejected Conflict(const Publish& publish) const;
  Findings CheckRetired(const Configuration& next, const std::set<EntryKey>& changed) const;
  Findings CheckJobs(const Configuration& next, const std::set<EntryKey>& changed) const;
  void AddRetirements(const RecordContext& context, const std::vector<CustomerId>& retired);
  RetirementScope MakeScope(const RecordContext& context, const CustomerId& customer) const;
  std::vector<Evidence> EvidenceBeforeRetirement() const;
  void CancelJobs(const std::set<EntryKey>& changed, const std::vector<CustomerId>& retired);
  CustomerId CustomerOf(const JobId& job, const JobState& state) const;
  std::set<CellId> CellsWithNewWorkers(const Configuration& before,
                                       const std::set<EntryKey>& changed) const;
  // Each returns an empty string if the update was applied, otherwise the reason why it was not.
  // The reason is kRepeated if an earlier record had the same effect.
  std::string ApplyUpdate(const JobUpdate& update);
  std::string AssignJob(const JobUpdate& update);
  std::string FinishJob(const JobUpdate& update);
  std::string RejectJob(const JobUpdate& update);
  // Each returns an empty string if the record may be applied, otherwise the reason for refusing
  // it.
  std::string CheckJoin(const RecordContext& context, const Join& join) const;
  std::string CheckRemove(const Remove& remove) const;
  std::string CheckAttest(const RecordContext& context, const Attest& attest) const;
  RegisteredMember DropMember(const MemberId& id, Offset offset);
  void RetainPublication(const std::string& id, Publication publication);
  void RetainHost(const MemberId& member, std::uint64_t incarnation);
  void PruneRemovedMembers(WallTime time);
  std::string ChainAfter(const RecordContext& context) const;
  void Advance(const RecordContext& context);
  RecordRefused Refuse(std::string reason, std::string detail = {});

  Offset offset_ = 0;
  std::string chain_;
  std::shared_ptr<const Configuration> configuration_;
  Revision revision_;
  std::optional<WallTime> revision_time_;
  // In the order of acceptance.
  std::deque<std::string> publication_ids_;
  std::map<std::string, Publication> publications_;
  std::map<MemberId, RegisteredMember> members_;
  std::map<MemberId, Evidence> joins_;
  std::vector<RemovedMember> removed_members_;
  // Highest incarnation that joined on each host, and the hosts in the order of their first join.
  std::map<std::string, std::uint64_t> incarnations_;
  std::deque<std::string> hosts_;
  Offset membership_epoch_ = 0;
  std::map<JobId, JobState> jobs_;
  RetirementLedger retirements_;
  std::optional<WallTime> last_time_;

  // Not part of the folded state.
  std::deque<std::pair<Offset, std::string>> chains_;
  Offset last_snapshot_offset_ = 0;
  std::optional<WallTime> last_snapshot_time_;
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_LOG_STATE_H_
