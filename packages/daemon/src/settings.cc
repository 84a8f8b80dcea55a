#include "cactusshelf/daemon/settings.h"

#include <fmt/format.h>

#include <limits>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/daemon/gobject_ptr.h"
#include "cactusshelf/daemon/table_reader.h"
#include "cactusshelf/version/retirement.h"
#include "log_level_reader.h"

namespace cactusshelf {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;
constexpr std::size_t kGiB = 1024 * kMiB;
constexpr double kMaxWeight = 1000.0;
constexpr auto kMaxSeed = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
// Allowance for the headers and framing of a stored response that is sent between peers.
constexpr std::size_t kResponseOverheadBytes = 64 * kKiB;

void ReadIdentity(TableReader& reader, Settings& settings) {
  for (const char* key : {"host_name", "domain", "http_address", "peer_address"}) {
    reader.RequireKey(key);
  }
  std::string domain;
  reader.ReadName("host_name", settings.node.host_name);
  reader.ReadName("domain", domain);
  reader.ReadAddress("http_address", settings.node.http_address);
  reader.ReadAddress("peer_address", settings.node.peer_address);
  reader.ReadAddresses("seed_peers", settings.node.seed_peers);
  settings.node.domain = DomainId(domain);
}

void ReadSeed(TableReader& reader, Settings& settings) {
  constexpr std::uint64_t kAbsent = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t seed = kAbsent;
  reader.ReadCount("seed", 0, kMaxSeed, seed);
  if (seed != kAbsent) settings.seed = seed;
}

void ReadLogService(TableReader reader, Settings& settings) {
  reader.RequireKey("address");
  reader.ReadAddress("address", settings.log_address);
  reader.ReadName("stream", settings.log_stream);
  reader.ReadDuration("timeout", milliseconds(100), minutes(1), settings.log_timeout);
  reader.ReportUnknownKeys();
}

void ReadHostList(TableReader reader, Settings& settings) {
  reader.RequireKey("address");
  reader.ReadAddress("address", settings.host_list_address);
  reader.ReadDuration("timeout", milliseconds(100), minutes(1), settings.host_list_timeout);
  reader.ReadDuration("period", milliseconds(100), minutes(1), settings.node.host_list_period);
  reader.ReportUnknownKeys();
}

// Reads one nested table for each failure domain that is reached over a network link.
void ReadLinks(TableReader reader, NodeOptions& node) {
  for (const std::string& domain : reader.Keys()) {
    TableReader link_reader = reader.OpenTable(domain);
    DomainLink link;
    link.from = node.domain;
    link.to = DomainId(domain);
    link_reader.RequireKey("distance");
    link_reader.ReadDuration("distance", Duration::zero(), seconds(1), link.distance);
    link_reader.ReadDuration("cost", Duration::zero(), seconds(1), link.link_cost);
    link_reader.ReportUnknownKeys();
    node.links.push_back(std::move(link));
  }
  reader.ReportUnknownKeys();
}

void ReadTiming(TableReader reader, NodeOptions& node) {
  // Retirement certificates rely on the upper limits of authority_lease and max_request_timeout.
  reader.ReadDuration("authority_lease", milliseconds(200), kAuthorityLease, node.authority_lease);
  reader.ReadDuration("max_clock_skew", milliseconds(1), seconds(30), node.max_clock_skew);
  reader.ReadDuration("claim_window", seconds(10), hours(24), node.claim_window);
  reader.ReadDuration("max_request_timeout", milliseconds(100), kMaxRequestTimeout,
                      node.max_request_timeout);
  reader.ReadDuration("task_lease", seconds(1), hours(1), node.task_lease);
  reader.ReadDuration("log_retention", minutes(1), hours(24 * 365), node.log_retention);
  reader.ReadDuration("gossip_period", milliseconds(20), seconds(10), node.gossip_period);
  reader.ReportUnknownKeys();
}

void ReadWeights(TableReader reader, NodeOptions& node) {
  reader.ReadDouble("tail_latency", 0.0, kMaxWeight, node.tail_latency_weight);
  reader.ReadDouble("evictions", 0.0, kMaxWeight, node.eviction_weight);
  reader.ReadDouble("throughput", 0.0, kMaxWeight, node.throughput_weight);
  reader.ReportUnknownKeys();
}

void ReadLimits(TableReader reader, Settings& settings) {
  reader.ReadSize("request_body", kKiB, kGiB, settings.node.max_body_bytes);
  reader.ReadSize("answer_body", kKiB, kGiB, settings.max_response_bytes);
  reader.ReadSize("log_answer", kMiB, kGiB, settings.max_log_response_bytes);
  reader.ReadSize("peer_message", 128 * kKiB, kGiB, settings.max_peer_message_bytes);
  reader.ReadSize("peer_queue", 128 * kKiB, 4 * kGiB, settings.peer_queue_bytes);
  reader.ReadCount("peer_queue_messages", 16, 1'000'000, settings.peer_queue_messages);
  reader.ReportUnknownKeys();
}

// Reports settings that are valid individually but contradict each other.
class ConsistencyCheck {
 public:
  ConsistencyCheck(const TableReader& top, const toml::table& root, Findings& findings)
      : top_(top), root_(root), findings_(findings) {}

  void Run(const Settings& settings) {
    const NodeOptions& node = settings.node;
    Check(node.http_address.empty() || node.http_address != node.peer_address, "", "peer_address",
          "must differ from http_address");
    Check(node.claim_window > node.max_request_timeout + node.max_clock_skew, "timing",
          "claim_window", "must be longer than max_request_timeout and max_clock_skew together");
    Check(2 * node.gossip_period <= node.authority_lease, "timing", "gossip_period",
          "must be at most half of authority_lease");
    Check(node.task_lease > node.authority_lease, "timing", "task_lease",
          "must be longer than authority_lease");
    Check(node.log_retention > node.claim_window, "timing", "log_retention",
          "must be longer than claim_window");
    Check(settings.max_peer_message_bytes >= settings.max_response_bytes + kResponseOverheadBytes,
          "limits", "peer_message",
          "must exceed answer_body by 64KiB, since peers pass stored answers on");
    Check(settings.peer_queue_bytes >= settings.max_peer_message_bytes, "limits", "peer_queue",
          "must hold at least one peer_message");
    const bool any_weight =
        node.tail_latency_weight + node.eviction_weight + node.throughput_weight > 0.0;
    Check(any_weight, "weights", "", "at least one must be above 0");
    CheckService(settings.log_address, "log_service", node);
    CheckService(settings.host_list_address, "host_list", node);
  }

 private:
  void CheckService(const std::string& address, std::string_view table, const NodeOptions& node) {
    const bool own = address == node.http_address || address == node.peer_address;
    Check(address.empty() || !own, table, "address", "is an address of this process");
  }

  void Check(bool holds, std::string_view table, std::string_view key, std::string_view message) {
    if (holds) return;
    std::string name(table);
    if (!table.empty() && !key.empty()) name += ".";
    name += key;
    findings_.Add(PlaceOf(table, key), fmt::format("{}: {}", name, message));
  }

  // If the key is absent and has its default value, returns the position of its table or of the
  // file.
  Place PlaceOf(std::string_view table, std::string_view key) const {
    if (table.empty()) return top_.PlaceOf(key);
    const toml::node* node = root_.get(table);
    const toml::table* inner = node == nullptr ? nullptr : node->as_table();
    const toml::node* value = inner == nullptr ? nullptr : inner->get(key);
    if (value == nullptr) return top_.PlaceOf(table);
    const toml::source_position begin = value->source().begin;
    return {top_.PlaceOf(table).file, begin.line, begin.column};
  }

  const TableReader& top_;
  const toml::table& root_;
  Findings& findings_;
};

}  // namespace

Settings ParseSettings(std::string_view text, const std::string& file, Findings& findings) {
  Settings settings;
  const std::optional<toml::table> table = ParseToml(text, file, findings);
  if (!table) return settings;
  const toml::table& root = *table;
  TableReader reader(root, file, findings);
  ReadIdentity(reader, settings);
  ReadLogLevel(reader, findings, settings.log_level);
  ReadSeed(reader, settings);
  reader.ReadDuration("stop_timeout", milliseconds(100), minutes(10), settings.stop_timeout);
  ReadLogService(reader.OpenTable("log_service"), settings);
  ReadHostList(reader.OpenTable("host_list"), settings);
  ReadLinks(reader.OpenTable("links"), settings.node);
  ReadTiming(reader.OpenTable("timing"), settings.node);
  ReadWeights(reader.OpenTable("weights"), settings.node);
  ReadLimits(reader.OpenTable("limits"), settings);
  reader.ReportUnknownKeys();
  ConsistencyCheck(reader, root, findings).Run(settings);
  return settings;
}

std::string ReadSettingsFile(const std::string& path) {
  gchar* text = nullptr;
  gsize size = 0;
  GError* error = nullptr;
  const bool read = g_file_get_contents(path.c_str(), &text, &size, &error);
  const GErrorPtr owned_error(error);
  if (!read) throw SettingsError("cannot read " + path + ": " + owned_error->message);
  std::string copy(text, size);
  g_free(text);
  return copy;
}

}  // namespace cactusshelf
