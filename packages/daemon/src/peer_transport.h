#ifndef CACTUSSHELF_DAEMON_PEER_TRANSPORT_H_
#define CACTUSSHELF_DAEMON_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/time.h"

// This header must also compile as C++17, since peer_transport.cc is built as C++17.
namespace cactusshelf {

// Exchanges best-effort binary messages with peers over WebSocket connections. Messages to a peer
// are sent in order over a connection that this process opens; messages from a peer are received
// over connections that the peer opens. Not thread-safe.
class PeerTransport {
 public:
  struct Options {
    std::string address;  // "IP:port" at which to listen.
    std::size_t max_message_bytes = 0;
    // Limits of the queue of each peer. When it is full, its oldest message is dropped and counted.
    std::size_t max_queued_messages = 0;
    std::size_t max_queued_bytes = 0;
    Duration min_backoff = std::chrono::milliseconds(100);
    Duration max_backoff = std::chrono::seconds(5);
    Duration handshake_timeout = std::chrono::seconds(5);
    // A connection with data unacknowledged for this time is closed (TCP_USER_TIMEOUT).
    Duration ack_timeout = std::chrono::seconds(5);
    // A connection to a peer over which nothing was sent for this time may be closed.
    Duration idle_timeout = std::chrono::minutes(1);
    std::uint64_t seed = 0;  // Of the random backoff jitter.
  };

  // Starts listening. Throws Error if the address cannot be bound. `counters` must outlive the
  // transport.
  PeerTransport(Options options, Counters& counters, std::function<void(std::string)> on_message);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Queues `bytes` for the peer at `address` ("IP:port") and connects if necessary. If the
  // connection cannot be established, the queued messages are dropped and counted.
  void Send(const std::string& address, std::string bytes);

  // Local address of the listening socket.
  const std::string& address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_PEER_TRANSPORT_H_
