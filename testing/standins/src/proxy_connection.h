#ifndef CACTUSSHELF_STANDINS_PROXY_CONNECTION_H_
#define CACTUSSHELF_STANDINS_PROXY_CONNECTION_H_

#include <gio/gio.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Faults that the proxy injects into all its connections. A change affects open connections from
// their next chunk on.
struct ProxyFaults {
  // Each chunk is delayed by `delay` plus a uniformly distributed part of `variation`.
  Duration delay = Duration::zero();
  Duration variation = Duration::zero();
  // Probability with which a chunk is delayed by `stall` in addition. Later chunks wait for it.
  double stall_probability = 0;
  Duration stall = Duration::zero();
  // The connection is closed after this number of bytes from the target; negative for no limit.
  std::int64_t cut_after_bytes = -1;
  // Data is read and discarded in both directions, and the connection stays open.
  bool half_open = false;
  // Rate limit for each direction; 0 for no limit.
  std::int64_t bytes_per_second = 0;
  // Data from the target is discarded.
  bool swallow_answer = false;
};

// Forwards data between a client and the target. Pending operations own the connection, so it
// exists until both directions have ended. Must be created as a std::shared_ptr.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
 public:
  // `faults` and `random` must outlive the connection.
  ProxyConnection(GSocketConnection* client, const ProxyFaults& faults, Random& random);
  ~ProxyConnection();
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  void ConnectTo(GSocketAddress* target);

 private:
  static constexpr std::size_t kChunkSizeBytes = 16384;

  // Data flow in one direction.
  struct Direction {
    GIOStream* from = nullptr;
    GIOStream* to = nullptr;
    bool is_response = false;
    std::array<char, kChunkSizeBytes> buffer{};
    std::size_t size = 0;
    std::int64_t forwarded_bytes = 0;
    // Lower bound of the time at which the next chunk is written; keeps chunks in order and
    // enforces the rate limit.
    Time earliest_departure;
  };
  struct Operation;

  static void OnConnected(GObject* source, GAsyncResult* result, gpointer data);
  static void OnRead(GObject* source, GAsyncResult* result, gpointer data);
  static void OnWritten(GObject* source, GAsyncResult* result, gpointer data);

  void ReadChunk(Direction& direction);
  void ScheduleWrite(Direction& direction);
  void WriteChunk(Direction& direction);
  Duration DepartureDelay(Direction& direction);
  void Close();

  GSocketConnection* client_;
  GSocketConnection* target_ = nullptr;
  const ProxyFaults& faults_;
  Random& random_;
  GCancellable* cancellable_;
  Direction request_;
  Direction response_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_PROXY_CONNECTION_H_
