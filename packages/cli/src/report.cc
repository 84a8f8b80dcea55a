#include "report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <utility>

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

Json ToJson(const Revision& revision) { return revision ? Json(*revision) : Json(nullptr); }

Json ToJson(const Findings& findings) {
  Json json = Json::array();
  for (const Finding& it : findings.items()) {
    json.push_back({{"file", it.place.file},
                    {"line", it.place.line},
                    {"column", it.place.column},
                    {"message", it.message}});
  }
  return json;
}

Json ToJson(const std::set<EntryKey>& keys) {
  Json json = Json::array();
  for (const EntryKey& it : keys) {
    json.push_back({{"kind", ToString(it.kind)}, {"name", it.name}});
  }
  return json;
}

std::string_view ToString(MissingProof::Kind kind) {
  switch (kind) {
    case MissingProof::Kind::kMember:
      return "member";
    case MissingProof::Kind::kRemovalNotLapsed:
      return "removal_not_lapsed";
    case MissingProof::Kind::kCell:
      return "cell";
  }
  return "unknown";
}

Json ToJson(const std::vector<MissingProof>& missing) {
  Json json = Json::array();
  for (const MissingProof& it : missing) {
    json.push_back({{"kind", ToString(it.kind)}, {"name", it.name}, {"message", it.Format()}});
  }
  return json;
}

Report ReportAccepted(const std::string& id, Offset revision, bool repeated) {
  return {ExitCode::kSuccess,
          fmt::format("accepted as revision {}{}\n", revision,
                      repeated ? " by an earlier publish with this publication id" : ""),
          {{"result", "accepted"},
           {"revision", revision},
           {"repeated", repeated},
           {"publication_id", id}}};
}

Report ReportRejected(const PublishRejected& rejected) {
  Report report;
  report.json = {{"result", "rejected"},
                 {"reason", ToString(rejected.reason)},
                 {"publication_id", rejected.publication_id},
                 {"base", ToJson(rejected.base)},
                 {"revision_in_force", ToJson(rejected.current_revision)},
                 {"findings", ToJson(rejected.findings)},
                 {"files", rejected.files},
                 {"entries", ToJson(rejected.entries)}};
  switch (rejected.reason) {
    case PublishRejection::kConflict:
      report.code = ExitCode::kConflict;
      report.text =
          fmt::format("rejected: base revision {} is not in force, revision {} is\n",
                      FormatRevision(rejected.base), FormatRevision(rejected.current_revision));
      break;
    case PublishRejection::kInvalid:
    case PublishRejection::kRetired:
      report.code = ExitCode::kInvalid;
      report.text = "rejected:\n" + rejected.findings.Format();
      break;
    case PublishRejection::kIdReused:
      report.code = ExitCode::kUsage;
      report.text = "rejected: the publication id was used for other changes\n";
      break;
  }
  for (const std::string& it : rejected.files) {
    report.text += fmt::format("differs: file {}\n", it);
  }
  for (const EntryKey& it : rejected.entries) {
    report.text += fmt::format("differs: {}\n", it.Format());
  }
  return report;
}

std::string DescribeCertificate(const RetirementTracker& tracker) {
  if (const auto certificate = tracker.certificate()) {
    return fmt::format("certified at {}", FormatTime(certificate->complete_at));
  }
  return fmt::format("{} proofs missing", tracker.MissingProofs().size());
}

std::string DescribeEntry(const EntryStatus& entry) {
  if (!entry.error.empty()) {
    return fmt::format("entry host {}: {}\n", entry.address, entry.error);
  }
  return fmt::format("entry host {}: revision {}\n", entry.address, FormatRevision(entry.revision));
}

Json ToJson(const EntryStatus& entry) {
  if (!entry.error.empty()) {
    return {{"address", entry.address}, {"error", entry.error}};
  }
  return {{"address", entry.address},
          {"revision", ToJson(entry.revision)},
          {"offset", entry.offset ? Json(*entry.offset) : Json(nullptr)}};
}

void AddFiles(const LogState& state, Report& report) {
  report.json["files"] = Json::object();
  for (const auto& [name, file] : state.configuration()->files().files()) {
    report.text += fmt::format("file {}: {} bytes\n", name, file->text().size());
    report.json["files"][name] = file->text();
  }
}

std::string_view ToString(JobStatus status) {
  switch (status) {
    case JobStatus::kAssigned:
      return "assigned";
    case JobStatus::kCancelled:
      return "cancelled";
    case JobStatus::kFinished:
      return "finished";
    case JobStatus::kRejected:
      return "rejected";
  }
  return "unknown";
}

// Adds the jobs that the log has records of. Jobs still waiting for a cell have no record.
void AddJobs(const LogState& state, Report& report) {
  report.json["jobs"] = Json::array();
  for (const auto& [id, job] : state.jobs()) {
    report.text += fmt::format("job {}: {}", id.str(), ToString(job.status));
    report.text += job.cell.empty() ? "" : " in cell " + job.cell.str();
    report.text += job.detail.empty() ? "\n" : ": " + job.detail + "\n";
    report.json["jobs"].push_back({{"job", id.str()},
                                   {"status", ToString(job.status)},
                                   {"cell", job.cell.str()},
                                   {"detail", job.detail}});
  }
}

void AddMembers(const LogState& state, Report& report) {
  report.json["members"] = Json::array();
  for (const auto& [id, member] : state.members()) {
    report.text +=
        fmt::format("member {}: domain {}, peer address {}, joined at {}\n", id.str(),
                    member.domain.str(), member.peer_address, FormatTime(member.joined_at));
    report.json["members"].push_back({{"member", id.str()},
                                      {"domain", member.domain.str()},
                                      {"peer_address", member.peer_address},
                                      {"http_address", member.http_address},
                                      {"join_offset", member.join_offset}});
  }
}

void AddRetirements(const LogState& state, Report& report) {
  report.json["retirements"] = Json::array();
  for (const auto& [customer, tracker] : state.retirements().trackers()) {
    report.text += fmt::format("customer {}: retired at {}, {}\n", customer.str(),
                               FormatTime(tracker.retired_at()), DescribeCertificate(tracker));
    report.json["retirements"].push_back({{"customer", customer.str()},
                                          {"certified", tracker.complete()},
                                          {"missing", ToJson(tracker.MissingProofs())}});
  }
}

void AddEntries(const LogState& state, const std::vector<EntryStatus>& entries, Report& report) {
  report.json["entries"] = Json::array();
  for (const EntryStatus& it : entries) {
    report.text += DescribeEntry(it);
    report.json["entries"].push_back(ToJson(it));
    if (!it.error.empty() || it.revision != state.revision()) {
      report.code = ExitCode::kNotInForceEverywhere;
    }
  }
}

}  // namespace

std::string FormatTime(WallTime time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  return fmt::format("{:%FT%T}.{:03}Z", fmt::gmtime(seconds), (time - seconds).count());
}

std::string FormatRevision(const Revision& revision) {
  return revision ? std::to_string(*revision) : "none";
}

Report ReportCheck(const Findings& findings, std::size_t files) {
  Report report;
  report.code = findings.empty() ? ExitCode::kSuccess : ExitCode::kInvalid;
  report.text =
      findings.empty() ? fmt::format("{} files: no findings\n", files) : findings.Format();
  report.json = {{"files", files}, {"findings", ToJson(findings)}};
  return report;
}

Report ReportPublish(const LogChange& change) {
  if (const auto* accepted = std::get_if<PublishAccepted>(&change)) {
    Report report = ReportAccepted(accepted->publication_id, accepted->revision, false);
    report.json["changed"] = ToJson(accepted->changed);
    return report;
  }
  if (const auto* repeated = std::get_if<PublishRepeated>(&change)) {
    return ReportAccepted(repeated->publication_id, repeated->revision, true);
  }
  return ReportRejected(std::get<PublishRejected>(change));
}

Report ReportState(const LogState& state, const std::vector<EntryStatus>& entries) {
  Report report;
  report.text = fmt::format("revision {}", FormatRevision(state.revision()));
  report.json = {{"revision", ToJson(state.revision())},
                 {"offset", state.offset()},
                 {"chain", state.chain()},
                 {"since", nullptr}};
  if (state.revision_time()) {
    report.text += fmt::format(", in force since {}", FormatTime(*state.revision_time()));
    report.json["since"] = FormatTime(*state.revision_time());
  }
  report.text += '\n';
  AddFiles(state, report);
  AddJobs(state, report);
  AddMembers(state, report);
  AddRetirements(state, report);
  AddEntries(state, entries, report);
  return report;
}

Report ReportAudit(const Audit& audit) {
  Report report;
  report.json = {{"customer", audit.customer.str()},
                 {"certified", audit.certificate.has_value()},
                 {"evidence_items", audit.evidence_items},
                 {"missing", ToJson(audit.missing)}};
  if (!audit.certificate) {
    report.code = ExitCode::kNotCertified;
    report.text = fmt::format("customer {}: certificate withheld\n", audit.customer.str());
    for (const MissingProof& it : audit.missing) {
      report.text += fmt::format("missing: {}\n", it.Format());
    }
    return report;
  }
  const Certificate& certificate = *audit.certificate;
  report.text = fmt::format(
      "customer {}: certified\nretired at {} (record {})\ncomplete at {} (record {})\n"
      "evidence chain {} ({} items)\n",
      audit.customer.str(), FormatTime(certificate.retired_at), certificate.retirement,
      FormatTime(certificate.complete_at), certificate.complete_offset, certificate.evidence_chain,
      audit.evidence_items);
  report.json["retirement"] = certificate.retirement;
  report.json["retired_at"] = FormatTime(certificate.retired_at);
  report.json["complete_offset"] = certificate.complete_offset;
  report.json["complete_at"] = FormatTime(certificate.complete_at);
  report.json["evidence_chain"] = certificate.evidence_chain;
  return report;
}

}  // namespace cactusshelf
