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

Audit Audit::Make(const RetirementTracker& retirement_case) {
  return {retirement_case.scope().customer, retirement_case.certificate(),
          retirement_case.MissingProofs(), retirement_case.evidence().size()};
}

std::string Audit::Export(const RetirementTracker& retirement_case) {
  Json evidence = Json::array();
  for (const Evidence& it : retirement_case.evidence()) {
    evidence.push_back(ToJson(it));
  }
  // The count and the last chain reveal that items were cut off at the end.
  return Json{{"format", kExportFormat},
              {"customer", retirement_case.scope().customer.str()},
              {"items", retirement_case.evidence().size()},
              {"evidence_chain", retirement_case.evidence().back().chain},
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
  const RetirementTracker retirement_case = RetirementTracker::FromEvidence(evidence);
  if (UnsignedField(json, "items") != evidence.size() ||
      TextField(json, "evidence_chain") != evidence.back().chain) {
    throw DecodeError("evidence items are missing at the end");
  }
  if (TextField(json, "customer") != retirement_case.scope().customer.str()) {
    throw DecodeError("the evidence is that of another customer");
  }
  return Make(retirement_case);
}

}  // namespace cactusshelf
