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
// Room for the headers and the framing of a stored answer that is passed between peers.
constexpr std::size_t kAnswerOverheadBytes = 64 * kKiB;

void ReadIdentity(TableReader& reader, Settings& settings) {
  for (const char* key : {"host_name", "domain", "http_address", "peer_address"}) {
    reader.Required(key);
  }
  std::string domain;
  reader.Name("host_name", settings.node.host_name);
  reader.Name("domain", domain);
  reader.Address("http_address", settings.node.http_address);
  reader.Address("peer_address", settings.node.peer_address);
  reader.Addresses("seed_peers", settings.node.seed_peers);
  settings.node.domain = DomainId(domain);
}

void ReadSeed(TableReader& reader, Settings& settings) {
  constexpr std::uint64_t kAbsent = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t seed = kAbsent;
  reader.Count("seed", 0, kMaxSeed, seed);
  if (seed != kAbsent) settings.seed = seed;
}

void ReadLogService(TableReader reader, Settings& settings) {
  reader.Required("address");
  reader.Address("address", settings.log_address);
  reader.Name("stream", settings.log_stream);
  reader.Time("timeout", milliseconds(100), minutes(1), settings.log_timeout);
  reader.ReportUnknown();
}

void ReadHostList(TableReader reader, Settings& settings) {
  reader.Required("address");
  reader.Address("address", settings.host_list_address);
  reader.Time("timeout", milliseconds(100), minutes(1), settings.host_list_timeout);
  reader.Time("period", milliseconds(100), minutes(1), settings.node.host_list_period);
  reader.ReportUnknown();
}

// One table for each failure domain that is reached over a link.
void ReadLinks(TableReader reader, NodeOptions& node) {
  for (const std::string& domain : reader.Keys()) {
    TableReader link_reader = reader.Table(domain);
    DomainLink link;
    link.from = node.domain;
    link.to = DomainId(domain);
    link_reader.Required("distance");
    link_reader.Time("distance", Duration::zero(), seconds(1), link.distance);
    link_reader.Time("cost", Duration::zero(), seconds(1), link.link_cost);
    link_reader.ReportUnknown();
    node.links.push_back(std::move(link));
  }
  reader.ReportUnknown();
}

void ReadTiming(TableReader reader, NodeOptions& node) {
  // Retirement certificates count on these two upper limits.
  reader.Time("authority_lease", milliseconds(200), kAuthorityLease, node.authority_lease);
  reader.Time("max_clock_skew", milliseconds(1), seconds(30), node.max_clock_skew);
  reader.Time("claim_window", seconds(10), hours(24), node.claim_window);
  reader.Time("max_request_timeout", milliseconds(100), kMaxRequestTimeout,
              node.max_request_timeout);
  reader.Time("task_lease", seconds(1), hours(1), node.task_lease);
  reader.Time("log_retention", minutes(1), hours(24 * 365), node.log_retention);
  reader.Time("gossip_period", milliseconds(20), seconds(10), node.gossip_period);
  reader.ReportUnknown();
}

void ReadWeights(TableReader reader, NodeOptions& node) {
  reader.Real("tail_latency", 0.0, kMaxWeight, node.tail_latency_weight);
  reader.Real("evictions", 0.0, kMaxWeight, node.eviction_weight);
  reader.Real("throughput", 0.0, kMaxWeight, node.throughput_weight);
  reader.ReportUnknown();
}

void ReadLimits(TableReader reader, Settings& settings) {
  reader.Size("request_body", kKiB, kGiB, settings.node.max_body_bytes);
  reader.Size("answer_body", kKiB, kGiB, settings.max_answer_bytes);
  reader.Size("log_answer", kMiB, kGiB, settings.max_log_answer_bytes);
  reader.Size("peer_message", 128 * kKiB, kGiB, settings.max_peer_message_bytes);
  reader.Size("peer_queue", 128 * kKiB, 4 * kGiB, settings.peer_queue_bytes);
  reader.Count("peer_queue_messages", 16, 1'000'000, settings.peer_queue_messages);
  reader.ReportUnknown();
}

// Settings that are valid one by one but cannot hold together.
class ContradictionCheck {
 public:
  ContradictionCheck(const TableReader& top, const toml::table& root, Findings& findings)
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
    Check(settings.max_peer_message_bytes >= settings.max_answer_bytes + kAnswerOverheadBytes,
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

  // The key may have its default value; then the place is that of its table or of the file.
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
  reader.Time("stop_timeout", milliseconds(100), minutes(10), settings.stop_timeout);
  ReadLogService(reader.Table("log_service"), settings);
  ReadHostList(reader.Table("host_list"), settings);
  ReadLinks(reader.Table("links"), settings.node);
  ReadTiming(reader.Table("timing"), settings.node);
  ReadWeights(reader.Table("weights"), settings.node);
  ReadLimits(reader.Table("limits"), settings);
  reader.ReportUnknown();
  ContradictionCheck(reader, root, findings).Run(settings);
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
