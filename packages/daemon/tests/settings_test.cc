#include "cactusshelf/daemon/settings.h"

#include <catch2/catch.hpp>

namespace cactusshelf {
namespace {

constexpr char kMinimal[] = R"(host_name = "entry-1"
domain = "quito-norte"
http_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8081"
[log_service]
address = "127.0.0.1:9000"
[host_list]
address = "127.0.0.1:9001"
)";

std::string FindingsOf(const std::string& text) {
  Findings findings;
  ParseSettings(text, "f", findings);
  return findings.Format();
}

}  // namespace

TEST_CASE("settings with only the required keys get the defaults") {
  Findings findings;
  const Settings settings = ParseSettings(kMinimal, "f", findings);
  CHECK(findings.Format().empty());
  CHECK(settings.node.host_name == "entry-1");
  CHECK(settings.node.domain == DomainId("quito-norte"));
  CHECK(settings.node.authority_lease == std::chrono::seconds(2));
  CHECK(settings.log_address == "127.0.0.1:9000");
  CHECK(settings.log_stream == "cactusshelf");
  CHECK_FALSE(settings.seed);
}

TEST_CASE("every key is stored in its own field") {
  Findings findings;
  const Settings settings = ParseSettings(R"(host_name = "h"
domain = "d"
http_address = "[::1]:8080"
peer_address = "127.0.0.1:8081"
log_level = "warning"
seed = 7
stop_timeout = "7s"
log_service = { address = "127.0.0.1:9000", stream = "s", timeout = "1500ms" }
host_list = { address = "127.0.0.1:9001", timeout = "3s", period = "4s" }
[timing]
authority_lease = "1s"
max_clock_skew = "20ms"
claim_window = "5min"
max_request_timeout = "29s"
task_lease = "16s"
log_retention = "2d"
gossip_period = "300000us"
[weights]
tail_latency = 2
evictions = 3.5
throughput = 0
[limits]
request_body = "2MiB"
answer_body = "3MiB"
log_answer = "5MiB"
peer_message = "6MiB"
peer_queue = "7MiB"
peer_queue_messages = 77
)",
                                          "f", findings);
  CHECK(findings.Format().empty());
  const NodeOptions& node = settings.node;
  constexpr std::size_t kMiB = 1 << 20;
  CHECK(node.http_address == "[::1]:8080");
  CHECK(settings.log_level == LogLevel::kWarning);
  CHECK(settings.seed == 7);
  CHECK(settings.stop_timeout == std::chrono::seconds(7));
  CHECK(settings.log_stream == "s");
  CHECK(settings.log_timeout == std::chrono::milliseconds(1500));
  CHECK(settings.host_list_address == "127.0.0.1:9001");
  CHECK(settings.host_list_timeout == std::chrono::seconds(3));
  CHECK(node.host_list_period == std::chrono::seconds(4));
  CHECK(node.authority_lease == std::chrono::seconds(1));
  CHECK(node.max_clock_skew == std::chrono::milliseconds(20));
  CHECK(node.claim_window == std::chrono::minutes(5));
  CHECK(node.max_request_timeout == std::chrono::seconds(29));
  CHECK(node.task_lease == std::chrono::seconds(16));
  CHECK(node.log_retention == std::chrono::hours(48));
  CHECK(node.gossip_period == std::chrono::milliseconds(300));
  CHECK(node.tail_latency_weight == 2.0);
  CHECK(node.eviction_weight == 3.5);
  CHECK(node.throughput_weight == 0.0);
  CHECK(node.max_body_bytes == 2 * kMiB);
  CHECK(settings.max_response_bytes == 3 * kMiB);
  CHECK(settings.max_log_response_bytes == 5 * kMiB);
  CHECK(settings.max_peer_message_bytes == 6 * kMiB);
  CHECK(settings.peer_queue_bytes == 7 * kMiB);
  CHECK(settings.peer_queue_messages == 77);
}

TEST_CASE("all errors in a file are reported at once with their positions") {
  CHECK(FindingsOf(R"(host_name = "entry 1"
http_address = "localhost:8080"
peer_address = "0.0.0.0:8081"
log_level = "loud"
seed = -1
colour = "red"
[log_service]
address = "127.0.0.1:0"
timeout = 5
[host_list]
timeout = "5"
[timing]
authority_lease = "2 s"
claim_window = "1us"
[weights]
evictions = "high"
throughput = nan
[limits]
request_body = "1MB"
peer_queue_messages = 1.5
)") ==
        R"(f:1:1: domain: missing
f:1:13: host_name: expected letters, digits, '-', '_' and '.'
f:2:16: http_address: "localhost:8080" is not an IP address with a port
f:3:16: peer_address: an unspecified IP address is not allowed
f:4:13: log_level: expected "debug", "info", "warning" or "error"
f:5:8: seed: out of range 0 to 9223372036854775807
f:6:1: colour: unknown key
f:8:11: log_service.address: port 0 is not allowed
f:9:11: log_service.timeout: expected a duration with its unit in quotes, such as "2s"
f:10:1: host_list.address: missing
f:11:11: host_list.timeout: missing unit; write for instance "2s"
f:13:19: timing.authority_lease: unknown unit " s"; write for instance "2s"
f:14:16: timing.claim_window: out of range 10s to 1d
f:16:13: weights.evictions: expected a number
f:17:14: weights.throughput: expected a number
f:19:16: limits.request_body: unknown unit "MB"; write for instance "1MiB"
f:20:23: limits.peer_queue_messages: expected a whole number
)");
}

TEST_CASE("missing tables and a syntax error are findings") {
  CHECK(FindingsOf("") == R"(f:1:1: host_name: missing
f:1:1: domain: missing
f:1:1: http_address: missing
f:1:1: peer_address: missing
f:1:1: log_service.address: missing
f:1:1: host_list.address: missing
)");
  CHECK(FindingsOf(std::string("limits = 1\n") + kMinimal) == "f:1:10: limits: expected a table\n");
  CHECK(FindingsOf("a = \n").starts_with("f:1:"));
}

TEST_CASE("settings that contradict each other are findings") {
  CHECK(FindingsOf(R"(host_name = "h"
domain = "d"
http_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8080"
log_service = { address = "127.0.0.1:8080" }
host_list = { address = "127.0.0.1:9001" }
[timing]
gossip_period = "1001ms"
claim_window = "30s"
task_lease = "2s"
log_retention = "1min"
[weights]
tail_latency = 0
evictions = 0
throughput = 0
[limits]
answer_body = "8MiB"
peer_queue = "1MiB"
)") ==
        R"(f:4:16: peer_address: must differ from http_address
f:5:27: log_service.address: is an address of this process
f:8:17: timing.gossip_period: must be at most half of authority_lease
f:9:16: timing.claim_window: must be longer than max_request_timeout and max_clock_skew together
f:10:14: timing.task_lease: must be longer than authority_lease
f:12:1: weights: at least one must be above 0
f:16:1: limits.peer_message: must exceed answer_body by 64KiB, since peers pass stored answers on
f:18:14: limits.peer_queue: must hold at least one peer_message
)");
}

}  // namespace cactusshelf
