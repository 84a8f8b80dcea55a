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

// Result of a command: the same facts as text and as JSON.
struct Report {
  ExitCode code = ExitCode::kSuccess;
  // Ends with a line break.
  std::string text;
  nlohmann::json json;
};

// What an entry host reports at GET /v1/status.
struct EntryStatus {
  std::string address;
  // Set if the entry host could not be asked.
  std::string error;
  Revision revision;
  std::optional<Offset> offset;
};

// "2026-12-04T10:00:00.250Z"
std::string FormatTime(WallTime time);

// The offset, or "none".
std::string FormatRevision(const Revision& revision);

Report ReportCheck(const Findings& findings, std::size_t files);

// `change` is PublishAccepted, PublishRepeated or PublishRejected.
Report ReportPublish(const LogChange& change);

Report ReportState(const LogState& state, const std::vector<EntryStatus>& entries);

Report ReportAudit(const Audit& audit);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_REPORT_H_
