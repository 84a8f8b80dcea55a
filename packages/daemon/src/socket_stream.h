#ifndef CACTUSSHELF_DAEMON_SOCKET_STREAM_H_
#define CACTUSSHELF_DAEMON_SOCKET_STREAM_H_

#include <gio/gio.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "cactusshelf/base/time.h"
#include "cactusshelf/daemon/gobject_ptr.h"

// This header must also compile as C++17, since peer_transport.cc is built as C++17.
namespace cactusshelf {

// Reads from and writes to a TCP connection without blocking. Handlers run from the main loop,
// never during a call to this class and never after Close(). Not thread-safe.
class SocketStream : public std::enable_shared_from_this<SocketStream> {
 public:
  struct Handlers {
    std::function<void(const char* data, std::size_t n)> on_data;
    std::function<void()> on_end;      // The remote end closed the connection, or it failed.
    std::function<void()> on_written;  // All data has been written to the socket.
  };

  // The connection fails if data stays unacknowledged for `ack_timeout` (TCP_USER_TIMEOUT).
  SocketStream(GObjectPtr<GSocketConnection> connection, Duration ack_timeout);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void Start(Handlers handlers);

  void Write(const char* data, std::size_t n);

  // Number of bytes not yet written to the socket.
  std::size_t unwritten_bytes() const { return queued_.size() + in_flight_.size(); }

  // Closes the connection when all data has been written.
  void CloseAfterWrites();

  void Close();

 private:
  static constexpr std::size_t kReadBufferBytes = 16384;

  void StartRead();
  void OnRead(gssize n);
  void StartWrite();
  void OnWritten(bool complete);
  void CloseAndNotify();

  GObjectPtr<GSocketConnection> connection_;
  GObjectPtr<GCancellable> cancellable_;
  // Shared, since a handler may call Close() while it runs.
  std::shared_ptr<const Handlers> handlers_;
  std::array<char, kReadBufferBytes> buffer_{};
  std::string queued_;
  std::string in_flight_;  // Must not change until GIO completes the write.
  bool close_after_writes_ = false;
  bool closed_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SOCKET_STREAM_H_
