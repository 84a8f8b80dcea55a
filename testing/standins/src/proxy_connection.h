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

// Faults applied to every connection of the proxy, at the time at which data passes.
struct ProxyFaults {
  // Each chunk is delayed by `delay` plus a uniform part of `variation`.
  Duration delay = Duration::zero();
  Duration variation = Duration::zero();
  // With this probability a chunk, and so all that follow, waits for `stall` in addition.
  double stall_probability = 0;
  Duration stall = Duration::zero();
  // The connection is closed after this number of bytes from the target; negative for never.
  std::int64_t cut_after_bytes = -1;
  // Data is read and dropped in both directions, and the connection stays open.
  bool half_open = false;
  // Bound for each direction; 0 for none.
  std::int64_t bytes_per_second = 0;
  // Data from the target is dropped.
  bool swallow_answer = false;
};

// One connection of a client to the target. Owns itself until both directions have ended.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
 public:
  // `faults` and `random` must outlive the connection.
  ProxyConnection(GSocketConnection* client, const ProxyFaults& faults, Random& random);
  ~ProxyConnection();
  ProxyConnection(const ProxyConnection&) = delete;
  ProxyConnection& operator=(const ProxyConnection&) = delete;

  void ConnectTo(GSocketAddress* target);

 private:
  static constexpr std::size_t kChunkSize = 16384;

  // One direction.
  struct Flow {
    GIOStream* from = nullptr;
    GIOStream* to = nullptr;
    bool is_answer = false;
    std::array<char, kChunkSize> buf{};
    std::size_t size = 0;
    std::int64_t passed = 0;
    // Chunks leave in order, so no chunk leaves before this.
    Time next_departure;
  };
  struct Operation;

  static void OnConnected(GObject* source, GAsyncResult* result, gpointer data);
  static void OnRead(GObject* source, GAsyncResult* result, gpointer data);
  static void OnWritten(GObject* source, GAsyncResult* result, gpointer data);

  void Read(Flow& flow);
  void Pass(Flow& flow);
  void Write(Flow& flow);
  Duration DepartureDelay(Flow& flow);
  void Close();

  GSocketConnection* client_;
  GSocketConnection* target_ = nullptr;
  const ProxyFaults& faults_;
  Random& random_;
  GCancellable* cancellable_;
  Flow request_;
  Flow answer_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_PROXY_CONNECTION_H_
