#ifndef CACTUSSHELF_DAEMON_JOB_SETTINGS_H_
#define CACTUSSHELF_DAEMON_JOB_SETTINGS_H_

#include <string>
#include <string_view>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/log_event.h"
#include "cactusshelf/jobs/job_node.h"

namespace cactusshelf {

// Settings of one job service process. docs/operations.md lists the keys with their defaults and
// ranges.
struct JobSettings {
  std::string file;  // Path of the settings file.
  std::string host_name;
  std::string domain;
  LogLevel log_level = LogLevel::kInfo;
  std::size_t max_log_lines_per_second = 3000;

  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;

  std::string store_address;
  Duration store_timeout = std::chrono::milliseconds(1000);
  Duration order_timeout = std::chrono::milliseconds(600);

  std::size_t max_body_bytes = std::size_t{256} << 10;
  std::size_t max_response_bytes = std::size_t{16} << 20;

  jobs::JobNodeOptions node;  // `member` is left empty.
};

// Returns true if `text` has the settings of the job service and not those of an entry node. False
// if `text` is not valid TOML.
bool IsJobSettings(std::string_view text);

// Parses TOML `text` of the file named `file`. All errors are added to `findings`; the result is
// valid only if there are none.
JobSettings ParseJobSettings(std::string_view text, const std::string& file, Findings& findings);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_JOB_SETTINGS_H_
