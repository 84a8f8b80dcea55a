#include "evidence_codec.h"

#include <fmt/format.h>

#include "cactusshelf/base/sha256.h"

namespace cactusshelf {
namespace {

template <typename Id>
Json ToJson(const std::set<Id>& ids) {
  Json json = Json::array();
  for (const Id& it : ids) {
    json.push_back(it.str());
  }
  return json;
}

template <typename Id>
std::set<Id> IdsField(const Json& object, const char* key) {
  std::set<Id> ids;
  for (const Json& it : ArrayField(object, key)) {
    if (!it.is_string() || !ids.emplace(it.get<std::string>()).second) {
      ThrowInvalidField(key);
    }
  }
  return ids;
}

}  // namespace

std::string_view ToString(EvidenceKind kind) {
  switch (kind) {
    case EvidenceKind::kRetirement:
      return "retirement";
    case EvidenceKind::kScope:
      return "scope";
    case EvidenceKind::kScopeChange:
      return "scope_change";
    case EvidenceKind::kJoin:
      return "join";
    case EvidenceKind::kLeave:
      return "leave";
    case EvidenceKind::kRemove:
      return "remove";
    case EvidenceKind::kAttest:
      return "attest";
    case EvidenceKind::kLapse:
      return "lapse";
  }
  return "unknown";
}

EvidenceKind ParseEvidenceKind(std::string_view name) {
  for (const EvidenceKind it :
       {EvidenceKind::kRetirement, EvidenceKind::kScope, EvidenceKind::kScopeChange,
        EvidenceKind::kJoin, EvidenceKind::kLeave, EvidenceKind::kRemove, EvidenceKind::kAttest,
        EvidenceKind::kLapse}) {
    if (name == ToString(it)) {
      return it;
    }
  }
  throw DecodeError(fmt::format("unknown kind of evidence '{}'", name));
}

std::string EncodeScope(const RetirementScope& scope) {
  return EncodeCbor({{"customer", scope.customer.str()},
                     {"retirement", scope.retirement},
                     {"log_chain", scope.log_chain},
                     {"epoch", scope.epoch},
                     {"members", ToJson(scope.members)},
                     {"cells", ToJson(scope.cells)}});
}

RetirementScope DecodeScope(std::string_view bytes) {
  const Json json = DecodeRecordCbor(bytes, kMaxRecordDepth);
  RetirementScope scope;
  scope.customer = IdField<CustomerId>(json, "customer");
  scope.retirement = UnsignedField(json, "retirement");
  scope.log_chain = TextField(json, "log_chain");
  scope.epoch = UnsignedField(json, "epoch");
  scope.members = IdsField<MemberId>(json, "members");
  scope.cells = IdsField<CellId>(json, "cells");
  return scope;
}

std::string EncodeScopeChange(const std::set<CellId>& cells) {
  return EncodeCbor({{"cells", ToJson(cells)}});
}

std::set<CellId> DecodeScopeChange(std::string_view bytes) {
  return IdsField<CellId>(DecodeRecordCbor(bytes, kMaxRecordDepth), "cells");
}

std::string EvidenceChain(std::string_view previous, const Evidence& evidence) {
  // Every field but the last is delimited, so that different items never give the same hash input.
  return Sha256()
      .Update(previous)
      .Update(fmt::format("|{}|{}|{}|", ToString(evidence.kind), evidence.offset,
                          ToMilliseconds(evidence.time)))
      .Update(evidence.bytes)
      .HexDigest();
}

}  // namespace cactusshelf
