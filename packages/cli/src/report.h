#ifndef CACTUSSHELF_CLI_SRC_REPORT_H_
#define CACTUSSHELF_CLI_SRC_REPORT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/cli/command_line.h"
#include "cactusshelf/version/log_state.h"
#include "cactusshelf/version/retirement.h"

namespace cactusshelf {

// Result of a command, with the same content as text and as JSON.
struct Report {
  ExitCode code = ExitCode::kSuccess;
  // Ends with a newline.
  std::string text;
  nlohmann::json json;
};

// Response of an entry host to GET /v1/status.
struct EntryStatus {
  std::string address;
  // Empty unless the entry host did not respond or its response is invalid.
  std::string error;
  Revision revision;
  std::optional<Offset> offset;
};

// UTC time in ISO 8601 format, for instance "2026-12-04T10:00:00.250Z".
std::string FormatTime(WallTime time);

// Offset that identifies the revision, or "none".
std::string FormatRevision(const Revision& revision);

Report ReportCheck(const Findings& findings, std::size_t files);

// Precondition: `change` is PublishAccepted, PublishRepeated or PublishRejected.
Report ReportPublish(const LogChange& change);

Report ReportState(const LogState& state, const std::vector<EntryStatus>& entries);

Report ReportAudit(const Audit& audit);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_REPORT_H_
