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
constexpr double kMinRegularHostProcessors = 0.2;
constexpr double kMilliPerUnit = 1000.0;
constexpr double kMaxProcessors = 1024.0;
constexpr Duration kSmallHostStandbyDelay = seconds(3);
constexpr Duration kSmallHostFollowPeriod = milliseconds(3000);
constexpr std::string_view kJobService = "jobs";

void ReadListen(TableReader reader, JobSettings& settings) {
  for (const char* key : {"callers", "readiness", "metrics"}) reader.RequireKey(key);
  reader.ReadAddress("callers", settings.caller_address);
  reader.ReadAddress("readiness", settings.readiness_address);
  reader.ReadAddress("metrics", settings.metrics_address);
  reader.ReadAddress("peers", settings.node.peer_address);
  reader.ReportUnknownKeys();
}

void ReadStore(TableReader reader, JobSettings& settings) {
  reader.RequireKey("address");
  reader.ReadAddress("address", settings.store_address);
  reader.ReadDuration("timeout", milliseconds(100), minutes(1), settings.store_timeout);
  reader.ReadDuration("patience", milliseconds(200), minutes(1), settings.node.store_read_timeout);
  reader.ReadDuration("follow_period", milliseconds(20), seconds(10), settings.node.follow_period);
  reader.ReadDuration("append_period", milliseconds(1), seconds(1), settings.node.store_period);
  reader.ReadDuration("owner_heartbeat", milliseconds(50), seconds(10),
                      settings.node.heartbeat_period);
  reader.ReadDuration("owner_silence", milliseconds(200), minutes(1), settings.node.owner_silence);
  reader.ReportUnknownKeys();
}

void ReadWorkers(TableReader reader, JobSettings& settings) {
  jobs::SchedulerOptions& scheduler = settings.node.scheduler;
  reader.ReadDuration("order_timeout", milliseconds(50), minutes(1), settings.order_timeout);
  reader.ReadDuration("lease", milliseconds(500), minutes(10), scheduler.lease);
  reader.ReadDuration("longest_lease", milliseconds(500), minutes(10), scheduler.longest_lease);
  reader.ReadDuration("hold_wait", milliseconds(0), seconds(2), scheduler.hold_wait);
  reader.ReadDuration("quarantine", milliseconds(0), minutes(10), scheduler.quarantine);
  reader.ReadDuration("stuck_after", milliseconds(200), minutes(10), scheduler.stall_timeout);
  reader.ReadDouble("serving_use", 0.0, 1.0, scheduler.serving_utilization);
  reader.ReportUnknownKeys();
}

void ReadLimits(TableReader reader, JobSettings& settings) {
  reader.ReadSize("request_body", kKiB, 64 * kMiB, settings.max_body_bytes);
  reader.ReadSize("store_answer", kMiB, 1024 * kMiB, settings.max_response_bytes);
  reader.ReadCount("log_lines_per_second", 10, 1'000'000, settings.max_log_lines_per_second);
  reader.ReportUnknownKeys();
}

// A host with few processors follows the logs less often and owns cells only if no larger host
// does.
void ReadProcessors(TableReader& reader, JobSettings& settings) {
  double processors = kMinRegularHostProcessors;
  reader.ReadDouble("processors", 0.0, kMaxProcessors, processors);
  settings.node.milliprocessors = static_cast<int>(processors * kMilliPerUnit);
  if (processors >= kMinRegularHostProcessors) return;
  settings.node.standby_delay = kSmallHostStandbyDelay;
  settings.node.follow_period = kSmallHostFollowPeriod;
}

void CheckConsistency(const TableReader& reader, const JobSettings& settings, Findings& findings) {
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
    // ParseSettings() then reports the syntax error with its position.
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
  reader.ReadName("service", service);
  reader.RequireKey("host_name");
  reader.RequireKey("domain");
  reader.ReadName("host_name", settings.host_name);
  reader.ReadName("domain", settings.domain);
  ReadLogLevel(reader, findings, settings.log_level);
  ReadProcessors(reader, settings);
  reader.ReadDuration("drain", milliseconds(0), minutes(10), settings.node.min_drain_time);
  ReadListen(reader.OpenTable("listen"), settings);
  ReadStore(reader.OpenTable("store"), settings);
  ReadWorkers(reader.OpenTable("workers"), settings);
  ReadLimits(reader.OpenTable("limits"), settings);
  reader.ReportUnknownKeys();
  CheckConsistency(reader, settings, findings);
  settings.node.host = settings.host_name;
  settings.node.domain = settings.domain;
  return settings;
}

}  // namespace cactusshelf
