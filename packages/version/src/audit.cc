#include <fmt/format.h>

#include <utility>

#include "base64.h"
#include "cactusshelf/version/retirement.h"
#include "evidence_codec.h"

namespace cactusshelf {
namespace {

constexpr int kExportFormat = 1;

Json ToJson(const Evidence& evidence) {
  return {{"kind", ToString(evidence.kind)},
          {"offset", evidence.offset},
          {"time_ms", ToMilliseconds(evidence.time)},
          {"data", EncodeBase64(evidence.bytes)},
          {"chain", evidence.chain}};
}

Evidence DecodeEvidence(const Json& json) {
  const Json& data = Field(json, "data");
  if (!data.is_string()) {
    ThrowInvalidField("data");
  }
  return {ParseEvidenceKind(TextField(json, "kind")), UnsignedField(json, "offset"),
          TimeField(json, "time_ms"), DecodeBase64(data.get<std::string>()),
          TextField(json, "chain")};
}

}  // namespace

Audit Audit::Make(const RetirementTracker& tracker) {
  return {tracker.scope().customer, tracker.certificate(), tracker.MissingProofs(),
          tracker.evidence().size()};
}

std::string Audit::Export(const RetirementTracker& tracker) {
  Json evidence = Json::array();
  for (const Evidence& it : tracker.evidence()) {
    evidence.push_back(ToJson(it));
  }
  // The item count and the last chain allow Verify() to detect that items at the end are missing.
  return Json{{"format", kExportFormat},
              {"customer", tracker.scope().customer.str()},
              {"items", tracker.evidence().size()},
              {"evidence_chain", tracker.evidence().back().chain},
              {"evidence", std::move(evidence)}}
             .dump(2) +
         '\n';
}

Audit Audit::Verify(std::string_view exported) {
  const Json json = Json::parse(exported, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    throw DecodeError("the file is not JSON");
  }
  if (UnsignedField(json, "format") != kExportFormat) {
    throw DecodeError("unknown format of evidence");
  }
  std::vector<Evidence> evidence;
  for (const Json& it : ArrayField(json, "evidence")) {
    evidence.push_back(DecodeEvidence(it));
  }
  const RetirementTracker tracker = RetirementTracker::FromEvidence(evidence);
  if (UnsignedField(json, "items") != evidence.size() ||
      TextField(json, "evidence_chain") != evidence.back().chain) {
    throw DecodeError("evidence items are missing at the end");
  }
  if (TextField(json, "customer") != tracker.scope().customer.str()) {
    throw DecodeError("the evidence belongs to another customer");
  }
  return Make(tracker);
}

}  // namespace cactusshelf
