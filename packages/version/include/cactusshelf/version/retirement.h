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

// How long a member that lost contact with the log may still act.
inline constexpr Duration kAuthorityLease = std::chrono::seconds(2);
// Longest timeout of a request; what is in flight at a retirement ends within it.
inline constexpr Duration kMaxRequestTimeout = std::chrono::seconds(30);
// A removed member can act no longer than this after its `remove` record. The 5% allow for
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
  // A record with a timestamp at which a removed member can no longer act. Only its digest is kept.
  kLapse,
};

std::string_view ToString(EvidenceKind kind);

// One item of evidence: a log record with its offset and log timestamp, or what the fold derived.
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

// Members and cells that the certificate of a retirement requires.
struct RetirementScope {
  CustomerId customer;
  Offset retirement = 0;
  // LogState::chain() after the retirement was applied; ties the evidence to the log.
  std::string log_chain;
  // Membership epoch at the retirement; an attestation of a cell under an older one does not count.
  Offset epoch = 0;
  std::set<MemberId> members;
  std::set<CellId> cells;

  friend bool operator==(const RetirementScope&, const RetirementScope&) = default;
};

// Someone whose proof is not in the log yet.
struct MissingProof {
  enum class Kind {
    // The member has not attested and was neither removed nor did it leave.
    kMember,
    // The member was removed, but no record with a timestamp at or past `lapses_at` exists.
    kRemovalNotLapsed,
    // No valid attestation of the cell.
    kCell,
  };
  Kind kind = Kind::kMember;
  // Name of the member or cell.
  std::string name;
  std::optional<WallTime> lapses_at;

  std::string Format() const;

  friend bool operator==(const MissingProof&, const MissingProof&) = default;
};

// States that no work of the customer runs and none can start. Issued only when nothing is missing.
struct Certificate {
  CustomerId customer;
  Offset retirement = 0;
  WallTime retired_at{};
  // Offset and timestamp of the record that completed the evidence.
  Offset complete_offset = 0;
  WallTime complete_at{};
  // Chain of the last item of evidence. Two nodes that issue the certificate agree on it.
  std::string evidence_chain;

  friend bool operator==(const Certificate&, const Certificate&) = default;
};

// The evidence of one retirement. A pure function of the items added. Not thread-safe.
class RetirementTracker {
 public:
  // `earlier` holds, ordered by offset, the join record of each member of the scope and the remove
  // record of those that were removed before the retirement and could still act at its time.
  // `publish` is the retirement. Chains are filled in.
  RetirementTracker(RetirementScope scope, const std::vector<Evidence>& earlier,
                    const Evidence& publish);

  // Rebuilds a case from its evidence. Throws DecodeError, naming the first item at fault, if an
  // item is altered, missing, out of order or not part of the case.
  static RetirementTracker FromEvidence(const std::vector<Evidence>& evidence);

  // Each is called with the records after the retirement, in log order. They add evidence only
  // while the certificate is not complete and only if the record proves something new.
  void OnLeave(const Leave& leave, Evidence evidence);
  void OnRemove(const Remove& remove, Evidence evidence);
  // False if the attestation proves nothing new for this case.
  bool OnAttest(const Attest& attest, Evidence evidence);
  // `cells` are those that workers were added or moved to.
  void OnWorkersChanged(const std::set<CellId>& cells, Offset offset, WallTime time);
  // Called for every record, after the calls above; `bytes` is hashed only if a removal lapses.
  void OnTime(Offset offset, WallTime time, std::string_view bytes);

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
  void Lapse(Evidence evidence);
  void Replay(const Evidence& evidence);
  void UpdateComplete();

  RetirementScope scope_;
  WallTime retired_at_{};
  std::vector<Evidence> evidence_;
  std::set<MemberId> open_members_;
  // Members removed after the retirement, with the time of the removal.
  std::map<MemberId, WallTime> lapsing_;
  // Cells without proof, with the lowest `applied` that an attestation must name.
  std::map<CellId, Offset> open_cells_;
  bool complete_ = false;
};

// All retirements, by customer. Not thread-safe.
class RetirementRegistry {
 public:
  using Cases = std::map<CustomerId, RetirementTracker>;

  void Open(RetirementTracker retirement_case);

  // Null if the customer is not retired.
  const RetirementTracker* Find(const CustomerId& customer) const;

  // Customers whose certificate is not complete.
  const std::set<CustomerId>& open() const { return open_; }
  const Cases& trackers() const { return cases_; }

  // Offset of the latest retirement. A join must name an offset past it.
  std::optional<Offset> latest() const { return latest_; }

  void OnLeave(const Leave& leave, const Evidence& evidence);
  void OnRemove(const Remove& remove, const Evidence& evidence);
  bool OnAttest(const Attest& attest, const Evidence& evidence);
  void OnWorkersChanged(const std::set<CellId>& cells, Offset offset, WallTime time);
  void OnTime(Offset offset, WallTime time, std::string_view bytes);

 private:
  // Calls `visit` with each case whose certificate is not complete.
  template <typename Visit>
  void ForEachOpen(Visit visit);

  Cases cases_;
  // Customers whose certificate is not complete; the others cost nothing.
  std::set<CustomerId> open_;
  std::optional<Offset> latest_;
};

// Result of an audit of one customer.
struct Audit {
  CustomerId customer;
  // Present if and only if `missing` is empty.
  std::optional<Certificate> certificate;
  std::vector<MissingProof> missing;
  std::size_t evidence_items = 0;

  static Audit Make(const RetirementTracker& retirement_case);

  // JSON text of the evidence, for `audit --export`.
  static std::string Export(const RetirementTracker& retirement_case);

  // Checks exported evidence offline. Throws DecodeError if an item is altered, missing or out of
  // order. The evidence chain proves integrity only against a chain obtained from another source,
  // for instance from the log: compare `certificate->evidence_chain`.
  static Audit Verify(std::string_view exported);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_RETIREMENT_H_
