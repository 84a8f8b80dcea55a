#include "cactusshelf/daemon/job_settings.h"

#include "cactusshelf/daemon/table_reader.h"
#include "log_level_reader.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;
constexpr double kStrongHost = 0.2;  // Processors.
constexpr double kMilli = 1000.0;
constexpr double kMaxProcessors = 1024.0;
constexpr Duration kWeakHostDelay = seconds(3);
constexpr Duration kWeakHostFollowPeriod = milliseconds(3000);
constexpr std::string_view kJobService = "jobs";

void ReadListen(TableReader reader, JobSettings& settings) {
  for (const char* key : {"callers", "readiness", "metrics"}) reader.Required(key);
  reader.Address("callers", settings.caller_address);
  reader.Address("readiness", settings.readiness_address);
  reader.Address("metrics", settings.metrics_address);
  reader.Address("peers", settings.node.peer_address);
  reader.ReportUnknown();
}

void ReadStore(TableReader reader, JobSettings& settings) {
  reader.Required("address");
  reader.Address("address", settings.store_address);
  reader.Time("timeout", milliseconds(100), minutes(1), settings.store_timeout);
  reader.Time("patience", milliseconds(200), minutes(1), settings.node.store_read_timeout);
  reader.Time("follow_period", milliseconds(20), seconds(10), settings.node.follow_period);
  reader.Time("append_period", milliseconds(1), seconds(1), settings.node.store_period);
  reader.Time("owner_heartbeat", milliseconds(50), seconds(10), settings.node.heartbeat_period);
  reader.Time("owner_silence", milliseconds(200), minutes(1), settings.node.owner_silence);
  reader.ReportUnknown();
}

void ReadWorkers(TableReader reader, JobSettings& settings) {
  jobs::SchedulerOptions& scheduler = settings.node.scheduler;
  reader.Time("order_timeout", milliseconds(50), minutes(1), settings.order_timeout);
  reader.Time("lease", milliseconds(500), minutes(10), scheduler.lease);
  reader.Time("longest_lease", milliseconds(500), minutes(10), scheduler.longest_lease);
  reader.Time("hold_wait", milliseconds(0), seconds(2), scheduler.hold_wait);
  reader.Time("quarantine", milliseconds(0), minutes(10), scheduler.quarantine);
  reader.Time("stuck_after", milliseconds(200), minutes(10), scheduler.stall_timeout);
  reader.Real("serving_use", 0.0, 1.0, scheduler.serving_utilization);
  reader.ReportUnknown();
}

void ReadLimits(TableReader reader, JobSettings& settings) {
  reader.Size("request_body", kKiB, 64 * kMiB, settings.max_body_bytes);
  reader.Size("store_answer", kMiB, 1024 * kMiB, settings.max_answer_bytes);
  reader.Count("log_lines_per_second", 10, 1'000'000, settings.max_log_lines_per_second);
  reader.ReportUnknown();
}

// A weak host follows the logs less often and owns cells only if no stronger one does.
void ReadProcessors(TableReader& reader, JobSettings& settings) {
  double processors = kStrongHost;
  reader.Real("processors", 0.0, kMaxProcessors, processors);
  settings.node.milliprocessors = static_cast<int>(processors * kMilli);
  if (processors >= kStrongHost) return;
  settings.node.standby_delay = kWeakHostDelay;
  settings.node.follow_period = kWeakHostFollowPeriod;
}

void CheckTogether(const TableReader& reader, const JobSettings& settings, Findings& findings) {
  const jobs::JobNodeOptions& node = settings.node;
  if (2 * node.heartbeat_period > node.owner_silence) {
    findings.Add(reader.PlaceOf("store"),
                 "store.owner_heartbeat: must be at most half of store.owner_silence");
  }
  if (2 * node.scheduler.hold_wait > node.scheduler.lease) {
    findings.Add(reader.PlaceOf("workers"),
                 "workers.hold_wait: must be at most half of workers.lease");
  }
}

}  // namespace

bool IsJobSettings(std::string_view text) {
  try {
    return toml::parse(text)["service"].value<std::string_view>() == kJobService;
  } catch (const toml::parse_error&) {
    // The parser of the entry node reports the fault with its place.
    return false;
  }
}

JobSettings ParseJobSettings(std::string_view text, const std::string& file, Findings& findings) {
  JobSettings settings;
  settings.file = file;
  const std::optional<toml::table> table = ParseToml(text, file, findings);
  if (!table) return settings;
  const toml::table& root = *table;
  TableReader reader(root, file, findings);
  std::string service;
  reader.Name("service", service);
  reader.Required("host_name");
  reader.Required("domain");
  reader.Name("host_name", settings.host_name);
  reader.Name("domain", settings.domain);
  ReadLogLevel(reader, findings, settings.log_level);
  ReadProcessors(reader, settings);
  reader.Time("drain", milliseconds(0), minutes(10), settings.node.min_drain_time);
  ReadListen(reader.Table("listen"), settings);
  ReadStore(reader.Table("store"), settings);
  ReadWorkers(reader.Table("workers"), settings);
  ReadLimits(reader.Table("limits"), settings);
  reader.ReportUnknown();
  CheckTogether(reader, settings, findings);
  settings.node.host = settings.host_name;
  settings.node.domain = settings.domain;
  return settings;
}

}  // namespace cactusshelf
