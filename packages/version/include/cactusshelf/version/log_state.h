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

// A record was skipped: the log holds no record with the expected offset.
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
  // Cancelled by its entry, by the removal of its entry or by the retirement of its customer. Its
  // cell stops its tasks and reports kFinished. The name cannot be used again before that.
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

// Results of Apply().

// Nothing but the offset and the chain changed, for instance after a repeated join.
struct Unchanged {};

// The record was not applied; reason as counted.
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

// A publish with an id that was accepted before, for instance after a lost response.
struct PublishRepeated {
  std::string publication_id;
  // Offset of the first acceptance.
  Offset revision = 0;
};

enum class PublishRejection {
  // Another publish was accepted since the base.
  kConflict,
  // The resulting file set has findings.
  kInvalid,
  // A retirement would be undone or entries of a retired customer be defined.
  kRetired,
  // The publication id belongs to an accepted publish with other contents.
  kIdReused,
};

std::string_view ToString(PublishRejection rejection);

struct PublishRejected {
  std::string publication_id;
  PublishRejection reason = PublishRejection::kConflict;
  Revision base;
  // The revision in force.
  Revision current_revision;
  // For kInvalid and kRetired.
  Findings findings;
  // For kConflict: files whose proposed contents are not those in force, and the entries of these
  // files that differ.
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

// The updates of a `jobs` record that were applied; each is judged by itself, since a batch holds
// jobs that have nothing to do with each other.
struct JobsChanged {
  std::vector<JobUpdate> updates;
};

struct Attested {
  CustomerId customer;
  // This attestation completed the certificate.
  bool complete = false;
};

enum class SnapshotComparison {
  kAgrees,
  kDisagrees,
  // The snapshot is older than the chains that this state remembers.
  kNotComparable,
};

struct SnapshotCompared {
  Offset offset = 0;
  SnapshotComparison verdict = SnapshotComparison::kAgrees;
};

using LogChange =
    std::variant<Unchanged, RecordRefused, PublishAccepted, PublishRepeated, PublishRejected,
                 MemberJoined, MemberDeparted, JobsChanged, Attested, SnapshotCompared>;

// The fold of the log. A deterministic function of the records applied: two states that applied the
// same records up to the same offset are equal in everything but counters() and the chains they
// remember. Copies share the configuration. Not thread-safe.
class LogState {
 public:
  // Publications and departed hosts that are remembered to recognize repeated records.
  static constexpr std::size_t kRememberedPublications = 1024;
  static constexpr std::size_t kRememberedHosts = 4096;
  // Chains that are remembered to compare snapshots with; a snapshot is due every 512 records.
  static constexpr std::size_t kRememberedChains = 4096;

  LogState();

  // Applies the record at `offset` with the log's timestamp. A record with a lower offset than
  // offset() changes nothing. Throws LogGapError, without a change, if `offset` is higher than
  // offset(). Never throws for the contents of a record.
  LogChange Apply(Offset offset, WallTime time, std::string_view bytes);

  // What Apply() would return for `publish` as the next record, without a change.
  LogChange Check(const Publish& publish) const;

  // Offset of the next record to apply; all records with a lower offset have been applied.
  Offset offset() const { return offset_; }

  // SHA-256 over the previous chain, the offset, the timestamp and the bytes of the last record.
  const std::string& chain() const { return chain_; }

  // Chain at an earlier offset, if it is remembered.
  std::optional<std::string> ChainAt(Offset offset) const;

  // Never null.
  const std::shared_ptr<const Configuration>& configuration() const { return configuration_; }
  const Revision& revision() const { return revision_; }
  // Log timestamp of the publish that is in force.
  std::optional<WallTime> revision_time() const { return revision_time_; }

  const std::map<MemberId, RegisteredMember>& members() const { return members_; }

  // Offset of the last record that changed the members; 0 before the first.
  Offset membership_epoch() const { return membership_epoch_; }

  // Jobs that were assigned or rejected and whose entry is in force, and jobs that are still being
  // stopped.
  const std::map<JobId, JobState>& jobs() const { return jobs_; }

  const RetirementRegistry& retirements() const { return retirements_; }

  // Offset of the state in the latest snapshot record that agreed, or that this state was loaded
  // from; 0 if there is none.
  Offset last_snapshot_offset() const { return last_snapshot_offset_; }
  // Log timestamp of that record; that of the first record applied if there is none.
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
  struct Departed {
    Evidence join;
    Evidence remove;
  };

  // Position, time and bytes of the record that is being applied.
  struct Context {
    Offset offset = 0;
    WallTime time{};
    std::string_view bytes;
  };

  // Result of checking a publish, with the configuration it leads to.
  struct CheckedPublish;

  LogChange ApplyRecord(const Context& context, const Publish& publish);
  LogChange ApplyRecord(const Context& context, const Join& join);
  LogChange ApplyRecord(const Context& context, const Remove& remove);
  LogChange ApplyRecord(const Context& context, const Leave& leave);
  LogChange ApplyRecord(const Context& context, const Jobs& jobs);
  LogChange ApplyRecord(const Context& context, const Attest& attest);
  LogChange ApplyRecord(const Context& context, const SnapshotRecord& snapshot);

  CheckedPublish CheckPublish(const Publish& publish) const;
  PublishRejected Conflict(const Publish& publish) const;
  Findings CheckRetired(const Configuration& next, const std::set<EntryKey>& changed) const;
  Findings CheckJobs(const Configuration& next, const std::set<EntryKey>& changed) const;
  void OpenCases(const Context& context, const std::vector<CustomerId>& retired);
  RetirementScope ScopeOf(const Context& context, const CustomerId& customer) const;
  std::vector<Evidence> EarlierEvidence() const;
  void CancelJobs(const std::set<EntryKey>& changed, const std::vector<CustomerId>& retired);
  CustomerId OwnerOf(const JobId& job, const JobState& state) const;
  std::set<CellId> CellsWithNewWorkers(const Configuration& before,
                                       const std::set<EntryKey>& changed) const;
  // Empty if the update was applied, otherwise the reason, which is kRepeated for a repetition.
  std::string ApplyUpdate(const JobUpdate& update);
  std::string AssignJob(const JobUpdate& update);
  std::string FinishJob(const JobUpdate& update);
  std::string RejectJob(const JobUpdate& update);
  std::string CheckJoin(const Context& context, const Join& join) const;
  std::string CheckRemove(const Remove& remove) const;
  std::string CheckAttest(const Context& context, const Attest& attest) const;
  RegisteredMember DropMember(const MemberId& id, Offset offset);
  void RememberPublication(const std::string& id, Publication publication);
  void RememberHost(const MemberId& member, std::uint64_t incarnation);
  void PruneDeparted(WallTime time);
  std::string ChainAfter(const Context& context) const;
  void Advance(const Context& context);
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
  std::vector<Departed> departed_;
  // Highest incarnation seen for each host, and the hosts in the order they were first seen.
  std::map<std::string, std::uint64_t> incarnations_;
  std::deque<std::string> hosts_;
  Offset membership_epoch_ = 0;
  std::map<JobId, JobState> jobs_;
  RetirementRegistry retirements_;
  std::optional<WallTime> last_time_;

  // Not part of the folded state.
  std::deque<std::pair<Offset, std::string>> chains_;
  Offset last_snapshot_offset_ = 0;
  std::optional<WallTime> last_snapshot_time_;
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_LOG_STATE_H_
