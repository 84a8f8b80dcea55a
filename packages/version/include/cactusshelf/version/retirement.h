#ifndef CACTUSSHELF_VERSION_RETIREMENT_H_
#define CACTUSSHELF_VERSION_RETIREMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/version/log_record.h"
#include "cactusshelf/version/offset.h"

namespace cactusshelf {

// Time for which a member that lost contact with the log may still act.
inline constexpr Duration kAuthorityLease = std::chrono::seconds(2);
// Upper bound for the timeout of a request. Requests in flight at a retirement end within this
// time.
inline constexpr Duration kMaxRequestTimeout = std::chrono::seconds(30);
// A removed member can act no longer than this after its `remove` record. Includes 5% for
// differences in clock rate.
inline constexpr Duration kRemovalLapse = (kAuthorityLease + kMaxRequestTimeout) * 105 / 100;

enum class EvidenceKind {
  // The accepted publish that retires the customer.
  kRetirement,
  // What the certificate requires, derived by the fold when it applied the retirement: the members
  // and the cells of the configuration at that offset.
  kScope,
  // Cells to which workers were added before the certificate was complete, derived by the fold.
  // These
  // cells have to attest again, since a worker that moved may still run a task.
  kScopeChange,
  kJoin,
  kLeave,
  kRemove,
  kAttest,
  // A record with a timestamp at which a removed member can no longer act. Only the digest of the
  // record is kept.
  kLapse,
};

std::string_view ToString(EvidenceKind kind);

// One item of evidence: a log record with its offset and log timestamp, or data derived by the
// fold.
struct Evidence {
  EvidenceKind kind = EvidenceKind::kJoin;
  Offset offset = 0;
  WallTime time{};
  // Bytes of the record; for kScope and kScopeChange their CBOR encoding; for kLapse the SHA-256
  // digest of the record's bytes.
  std::string bytes;
  // SHA-256 over the chain of the previous item and all fields of this one.
  std::string chain;

  friend bool operator==(const Evidence&, const Evidence&) = default;
};

// Members and cells whose proof the certificate of a retirement requires.
struct RetirementScope {
  CustomerId customer;
  Offset retirement = 0;
  // LogState::chain() after the retirement was applied. Binds the evidence to the log.
  std::string log_chain;
  // Membership epoch at the retirement. An attestation of a cell under an older epoch does not
  // count.
  Offset epoch = 0;
  std::set<MemberId> members;
  std::set<CellId> cells;

  friend bool operator==(const RetirementScope&, const RetirementScope&) = default;
};

// A proof required by the certificate that the log does not contain yet.
struct MissingProof {
  enum class Kind {
    // The member has neither attested nor left, and was not removed.
    kMember,
    // The member was removed, but the log has no record with a timestamp at or after `lapses_at`.
    kRemovalNotLapsed,
    // The log has no valid attestation of the cell.
    kCell,
  };
  Kind kind = Kind::kMember;
  // Name of the member or cell.
  std::string name;
  std::optional<WallTime> lapses_at;

  std::string Format() const;

  friend bool operator==(const MissingProof&, const MissingProof&) = default;
};

// Certifies that no work of the customer runs and none can start. Issued only when no proof is
// missing.
struct Certificate {
  CustomerId customer;
  Offset retirement = 0;
  WallTime retired_at{};
  // Offset and timestamp of the record that completed the evidence.
  Offset complete_offset = 0;
  WallTime complete_at{};
  // Chain of the last item of evidence. All nodes that issue the certificate get the same value.
  std::string evidence_chain;

  friend bool operator==(const Certificate&, const Certificate&) = default;
};

// Collects the evidence of one retirement and tracks which proofs are missing. The state depends
// only on the items added. Not thread-safe.
class RetirementTracker {
 public:
  // `earlier` holds, ordered by offset, the join record of each member of the scope and the remove
  // record of those that were removed before the retirement and could still act at its time.
  // `publish` is the retirement. The constructor computes the chains of the items.
  RetirementTracker(RetirementScope scope, const std::vector<Evidence>& earlier,
                    const Evidence& publish);

  // Rebuilds a tracker from its evidence. Throws DecodeError, naming the first invalid item, if an
  // item is altered, missing, out of order or not part of the evidence of this retirement.
  static RetirementTracker FromEvidence(const std::vector<Evidence>& evidence);

  // The handlers below must be called for the records after the retirement, in log order. They add
  // evidence only while the certificate is not complete and only if the record adds a new proof.
  void OnLeave(const Leave& leave, Evidence evidence);
  void OnRemove(const Remove& remove, Evidence evidence);
  // Returns false if the attestation adds no new proof for this retirement.
  bool OnAttest(const Attest& attest, Evidence evidence);
  // `cells` are the cells to which workers were added or moved.
  void OnWorkersChanged(const std::set<CellId>& cells, Offset offset, WallTime time);
  // Must be called for every record, after the handlers above. Hashes `bytes` only if a removal
  // lapses.
  void OnRecordTime(Offset offset, WallTime time, std::string_view bytes);

  const RetirementScope& scope() const { return scope_; }
  WallTime retired_at() const { return retired_at_; }
  const std::vector<Evidence>& evidence() const { return evidence_; }

  // Ordered by kind and name; empty if the certificate is complete.
  std::vector<MissingProof> MissingProofs() const;
  bool complete() const { return complete_; }
  std::optional<Certificate> certificate() const;

 private:
  void Add(Evidence evidence);
  bool AnyLapsed(WallTime time) const;
  void AddLapse(Evidence evidence);
  void Replay(const Evidence& evidence);
  void UpdateComplete();

  RetirementScope scope_;
  WallTime retired_at_{};
  std::vector<Evidence> evidence_;
  std::set<MemberId> pending_members_;
  // Removed members that may still act, with the time from which they can no longer act.
  std::map<MemberId, WallTime> pending_removals_;
  // Cells without proof, with the offset that the `applied_offset` of an attestation must exceed.
  std::map<CellId, Offset> pending_cells_;
  bool complete_ = false;
};

// All retirements, by customer. Not thread-safe.
class RetirementLedger {
 public:
  using Trackers = std::map<CustomerId, RetirementTracker>;

  void Add(RetirementTracker tracker);

  // Returns null if the customer is not retired.
  const RetirementTracker* Find(const CustomerId& customer) const;

  // Customers whose certificate is not complete.
  const std::set<CustomerId>& incomplete() const { return incomplete_; }
  const Trackers& trackers() const { return trackers_; }

  // Offset of the latest retirement. The `applied_offset` of a join must exceed this offset.
  std::optional<Offset> latest_offset() const { return latest_offset_; }

  void OnLeave(const Leave& leave, const Evidence& evidence);
  void OnRemove(const Remove& remove, const Evidence& evidence);
  bool OnAttest(const Attest& attest, const Evidence& evidence);
  void OnWorkersChanged(const std::set<CellId>& cells, Offset offset, WallTime time);
  void OnRecordTime(Offset offset, WallTime time, std::string_view bytes);

 private:
  // Calls `visit` with each tracker whose certificate is not complete.
  template <typename Visit>
  void ForEachIncomplete(Visit visit);

  Trackers trackers_;
  // Customers whose certificate is not complete. Records are not passed to the other trackers.
  std::set<CustomerId> incomplete_;
  std::optional<Offset> latest_offset_;
};

// Result of an audit of one customer.
struct Audit {
  CustomerId customer;
  // Present if and only if `missing` is empty.
  std::optional<Certificate> certificate;
  std::vector<MissingProof> missing;
  std::size_t evidence_items = 0;

  static Audit Make(const RetirementTracker& tracker);

  // JSON text of the evidence, for `audit --export`.
  static std::string Export(const RetirementTracker& tracker);

  // Checks exported evidence offline. Throws DecodeError if an item is altered, missing or out of
  // order. The chain proves integrity only if the caller compares `certificate->evidence_chain`
  // with a chain obtained from another source, for instance from the log.
  static Audit Verify(std::string_view exported);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_RETIREMENT_H_
