#include "job_peers.h"

#include <utility>

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxMessageBytes = std::size_t{4} << 20;
constexpr std::size_t kMaxQueuedMessages = 512;
// Bounds the backlog for a relay whose link is slower than the rate of orders; replacing such a
// relay is better than queueing more.
constexpr std::size_t kMaxQueuedBytes = std::size_t{4} << 20;

PeerTransport::Options TransportOptions(const JobSettings& settings, std::uint64_t seed) {
  PeerTransport::Options options;
  options.address = settings.node.peer_address;
  options.max_message_bytes = kMaxMessageBytes;
  options.max_queued_messages = kMaxQueuedMessages;
  options.max_queued_bytes = kMaxQueuedBytes;
  options.max_backoff = seconds(1);
  options.handshake_timeout = seconds(1);
  options.ack_timeout = seconds(1);
  options.seed = seed;
  return options;
}

}  // namespace

JobPeers::JobPeers(const JobSettings& settings, std::uint64_t seed, ShellMetrics& metrics,
                   std::function<void(std::string)> on_message) {
  if (settings.node.peer_address.empty()) return;
  transport_.emplace(TransportOptions(settings, seed), metrics.counters, std::move(on_message));
}

void JobPeers::Send(const std::string& address, std::string bytes) {
  if (transport_) transport_->Send(address, std::move(bytes));
}

}  // namespace cactusshelf
