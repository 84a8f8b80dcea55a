#ifndef CACTUSSHELF_DAEMON_PEER_TRANSPORT_H_
#define CACTUSSHELF_DAEMON_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/time.h"

// This header is also compiled as C++17.
namespace cactusshelf {

// Sends binary messages to peers over WebSocket connections, best effort, and receives theirs.
// Messages go out over connections that this process opens, in order per peer; messages come in
// over those that peers open. Not thread-safe.
class PeerTransport {
 public:
  struct Options {
    std::string address;  // "IP:port" at which to listen.
    std::size_t max_message_bytes = 0;
    // Of the queue of each peer; when it is full, the oldest message is dropped and counted.
    std::size_t max_queued_messages = 0;
    std::size_t max_queued_bytes = 0;
    Duration min_backoff = std::chrono::milliseconds(100);
    Duration max_backoff = std::chrono::seconds(5);
    Duration handshake_timeout = std::chrono::seconds(5);
    // A connection whose data is unacknowledged for this time is closed.
    Duration ack_timeout = std::chrono::seconds(5);
    // A connection to a peer to which nothing was sent for this time may be closed.
    Duration idle_timeout = std::chrono::minutes(1);
    std::uint64_t seed = 0;  // For the jitter of the backoff.
  };

  // Listens at once. Throws Error if that is not possible. `counters` outlives the transport.
  PeerTransport(Options options, Counters& counters, std::function<void(std::string)> on_message);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Queues `bytes` for the peer at `address` ("IP:port") and connects if necessary. The queue is
  // dropped and counted when no connection can be made.
  void Send(const std::string& address, std::string bytes);

  // Address at which the transport listens.
  const std::string& address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_PEER_TRANSPORT_H_
