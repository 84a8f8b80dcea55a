#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cactusshelf/base/sha256.h"
#include "cactusshelf/version/config_file.h"
#include "cactusshelf/version/retirement.h"
#include "evidence_codec.h"

namespace cactusshelf {
namespace {

template <typename Record>
Record DecodeAs(const Evidence& evidence) {
  LogRecord record = DecodeRecord(evidence.bytes);
  if (!std::holds_alternative<Record>(record)) {
    throw DecodeError("the record is of another type than the evidence states");
  }
  return std::get<Record>(std::move(record));
}

bool Retires(const Publish& publish, const CustomerId& customer) {
  for (const auto& [name, text] : publish.changes) {
    if (text) {
      const auto file = ConfigFile::Parse(name, *text);
      if (std::ranges::find(file->retirements(), Retirement{customer}) !=
          file->retirements().end()) {
        return true;
      }
    }
  }
  return false;
}

WallTime LapseTime(WallTime removed) {
  return removed + std::chrono::ceil<std::chrono::milliseconds>(kRemovalLapse);
}

}  // namespace

std::string MissingProof::Format() const {
  switch (kind) {
    case Kind::kMember:
      return fmt::format("member {} has not attested", name);
    case Kind::kRemovalNotLapsed:
      return fmt::format("member {} was removed and may act until {:%FT%TZ}", name,
                         fmt::gmtime(std::chrono::floor<std::chrono::seconds>(*lapses_at)));
    case Kind::kCell:
      return fmt::format("cell {} has not attested", name);
  }
  return name;
}

RetirementTracker::RetirementTracker(RetirementScope scope, const std::vector<Evidence>& earlier,
                                     const Evidence& publish)
    : scope_(std::move(scope)), retired_at_(publish.time), pending_members_(scope_.members) {
  for (const CellId& it : scope_.cells) {
    pending_cells_.emplace(it, scope_.retirement);
  }
  for (const Evidence& it : earlier) {
    Add(it);
    if (it.kind == EvidenceKind::kRemove) {
      const MemberId member = DecodeAs<Remove>(it).member;
      pending_members_.erase(member);
      pending_removals_.emplace(member, LapseTime(it.time));
    }
  }
  Add(publish);
  Add({EvidenceKind::kScope, publish.offset, publish.time, EncodeScope(scope_), {}});
  UpdateComplete();
}

void RetirementTracker::Add(Evidence evidence) {
  evidence.chain = EvidenceChain(evidence_.empty() ? "" : evidence_.back().chain, evidence);
  evidence_.push_back(std::move(evidence));
}

void RetirementTracker::UpdateComplete() {
  complete_ = pending_members_.empty() && pending_removals_.empty() && pending_cells_.empty();
}

void RetirementTracker::OnLeave(const Leave& leave, Evidence evidence) {
  if (!complete_ && pending_members_.erase(leave.member) > 0) {
    Add(std::move(evidence));
    UpdateComplete();
  }
}

void RetirementTracker::OnRemove(const Remove& remove, Evidence evidence) {
  if (!complete_ && pending_members_.erase(remove.member) > 0) {
    pending_removals_.emplace(remove.member, LapseTime(evidence.time));
    Add(std::move(evidence));
  }
}

bool RetirementTracker::OnAttest(const Attest& attest, Evidence evidence) {
  if (complete_ || attest.customer != scope_.customer ||
      attest.applied_offset <= scope_.retirement || attest.in_flight != 0) {
    return false;
  }
  if (attest.cell) {
    const auto it = pending_cells_.find(attest.cell->cell);
    if (it == pending_cells_.end() || attest.applied_offset <= it->second ||
        attest.cell->epoch < scope_.epoch || attest.cell->tasks != 0 ||
        !attest.cell->all_workers_visited) {
      return false;
    }
    pending_cells_.erase(it);
  } else if (pending_members_.erase(attest.member) == 0) {
    return false;
  }
  Add(std::move(evidence));
  UpdateComplete();
  return true;
}

void RetirementTracker::OnWorkersChanged(const std::set<CellId>& cells, Offset offset,
                                         WallTime time) {
  if (complete_ || cells.empty()) {
    return;
  }
  for (const CellId& it : cells) {
    pending_cells_[it] = offset;
  }
  Add({EvidenceKind::kScopeChange, offset, time, EncodeScopeChange(cells), {}});
}

bool RetirementTracker::AnyLapsed(WallTime time) const {
  return std::ranges::any_of(pending_removals_,
                             [time](const auto& it) { return it.second <= time; });
}

void RetirementTracker::OnRecordTime(Offset offset, WallTime time, std::string_view bytes) {
  if (!complete_ && AnyLapsed(time)) {
    AddLapse({EvidenceKind::kLapse, offset, time, Sha256Hex(bytes), {}});
  }
}

void RetirementTracker::AddLapse(Evidence evidence) {
  std::erase_if(pending_removals_,
                [&evidence](const auto& it) { return it.second <= evidence.time; });
  Add(std::move(evidence));
  UpdateComplete();
}

std::vector<MissingProof> RetirementTracker::MissingProofs() const {
  std::vector<MissingProof> missing;
  for (const MemberId& it : pending_members_) {
    missing.push_back({MissingProof::Kind::kMember, it.str(), std::nullopt});
  }
  for (const auto& [member, time] : pending_removals_) {
    missing.push_back({MissingProof::Kind::kRemovalNotLapsed, member.str(), time});
  }
  for (const auto& [cell, offset] : pending_cells_) {
    missing.push_back({MissingProof::Kind::kCell, cell.str(), std::nullopt});
  }
  return missing;
}

std::optional<Certificate> RetirementTracker::certificate() const {
  if (!complete_) {
    return std::nullopt;
  }
  const Evidence& last = evidence_.back();
  return Certificate{scope_.customer, scope_.retirement, retired_at_,
                     last.offset,     last.time,         last.chain};
}

void RetirementTracker::Replay(const Evidence& evidence) {
  switch (evidence.kind) {
    case EvidenceKind::kLeave:
      OnLeave(DecodeAs<Leave>(evidence), evidence);
      break;
    case EvidenceKind::kRemove:
      OnRemove(DecodeAs<Remove>(evidence), evidence);
      break;
    case EvidenceKind::kAttest:
      OnAttest(DecodeAs<Attest>(evidence), evidence);
      break;
    case EvidenceKind::kScopeChange:
      OnWorkersChanged(DecodeScopeChange(evidence.bytes), evidence.offset, evidence.time);
      break;
    case EvidenceKind::kLapse:
      if (!complete_ && AnyLapsed(evidence.time)) {
        AddLapse(evidence);
      }
      break;
    case EvidenceKind::kRetirement:
    case EvidenceKind::kScope:
    case EvidenceKind::kJoin:
      break;
  }
}

namespace {

[[noreturn]] void ThrowInvalidItem(std::size_t item, std::string_view what) {
  throw DecodeError(fmt::format("evidence item {}: {}", item + 1, what));
}

// Checks the chain and the order of the offsets, independently of the contents of the items.
void CheckSequence(const std::vector<Evidence>& evidence) {
  std::string previous;
  for (std::size_t i = 0; i < evidence.size(); ++i) {
    if (EvidenceChain(previous, evidence[i]) != evidence[i].chain) {
      ThrowInvalidItem(i, "the chain does not match: an item was altered, removed or moved");
    }
    if (i > 0 && evidence[i].offset < evidence[i - 1].offset) {
      ThrowInvalidItem(i, "the offset is lower than that of the item before");
    }
    previous = evidence[i].chain;
  }
}

// Checks that the items before the retirement are the joins of exactly the members of the scope,
// and removals of members that joined.
void CheckItemsBeforeRetirement(const std::vector<Evidence>& earlier,
                                const RetirementScope& scope) {
  std::set<MemberId> joined;
  for (std::size_t i = 0; i < earlier.size(); ++i) {
    if (earlier[i].offset >= scope.retirement) {
      ThrowInvalidItem(i, "the offset is not before the retirement");
    }
    if (earlier[i].kind == EvidenceKind::kJoin) {
      joined.insert(DecodeAs<Join>(earlier[i]).member);
    } else if (earlier[i].kind != EvidenceKind::kRemove ||
               !joined.contains(DecodeAs<Remove>(earlier[i]).member)) {
      ThrowInvalidItem(i, "the item is not part of the evidence before the retirement");
    }
  }
  if (joined != scope.members) {
    throw DecodeError("the join records are not those of the members at the retirement");
  }
}

}  // namespace

RetirementTracker RetirementTracker::FromEvidence(const std::vector<Evidence>& evidence) {
  CheckSequence(evidence);
  const auto publish = std::ranges::find(evidence, EvidenceKind::kRetirement, &Evidence::kind);
  if (publish == evidence.end() || publish + 1 == evidence.end() ||
      (publish + 1)->kind != EvidenceKind::kScope) {
    throw DecodeError("the evidence holds no retirement with its scope");
  }
  RetirementScope scope = DecodeScope((publish + 1)->bytes);
  if (scope.retirement != publish->offset ||
      !Retires(DecodeAs<Publish>(*publish), scope.customer)) {
    throw DecodeError("the publish does not retire the customer of the scope");
  }
  const std::vector<Evidence> earlier(evidence.begin(), publish);
  CheckItemsBeforeRetirement(earlier, scope);
  RetirementTracker result(std::move(scope), earlier, *publish);
  for (std::size_t i = earlier.size() + 2; i < evidence.size(); ++i) {
    if (evidence[i].offset <= result.scope_.retirement) {
      ThrowInvalidItem(i, "the offset is not after the retirement");
    }
    result.Replay(evidence[i]);
    if (result.evidence_.size() != i + 1) {
      ThrowInvalidItem(i, "the item adds no proof");
    }
  }
  if (result.evidence_ != evidence) {
    throw DecodeError("the evidence is not what the fold of the log gives");
  }
  return result;
}

}  // namespace cactusshelf
