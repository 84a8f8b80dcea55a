#include "daemon_ports.h"

#include <utility>

namespace cactusshelf {
namespace {

// The host list and the responses of workers are small; the limit only bounds memory.
constexpr std::size_t kMaxControlResponseBytes = std::size_t{16} << 20;

PeerTransport::Options PeerOptions(const Settings& settings, std::uint64_t seed) {
  PeerTransport::Options options;
  options.address = settings.node.peer_address;
  options.max_message_bytes = settings.max_peer_message_bytes;
  options.max_queued_messages = settings.peer_queue_messages;
  options.max_queued_bytes = settings.peer_queue_bytes;
  options.seed = seed;
  return options;
}

LogClient::Options LogOptions(const Settings& settings) {
  return {settings.log_address, settings.log_stream, settings.log_timeout,
          settings.max_log_response_bytes};
}

}  // namespace

DaemonPorts::DaemonPorts(const Settings& settings, std::uint64_t seed,
                         CallerServer::OperatorPages pages, ShellMetrics& metrics,
                         const EventSink& sink)
    : callers({settings.node.http_address, settings.node.max_body_bytes}, std::move(pages), metrics,
              sink),
      endpoints(settings.max_response_bytes, metrics, sink),
      log(LogOptions(settings), sink),
      hosts({settings.host_list_address, settings.host_list_timeout, kMaxControlResponseBytes},
            sink),
      workers(kMaxControlResponseBytes, metrics, sink),
      peers(PeerOptions(settings, seed), metrics.counters,
            [sink](std::string bytes) { sink(node_event::PeerMessage{std::move(bytes)}); }) {}

}  // namespace cactusshelf
