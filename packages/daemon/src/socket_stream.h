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

// This header is also compiled as C++17.
namespace cactusshelf {

// Reads from and writes to a TCP connection without blocking. Callbacks run from the main loop,
// never from within a call, and never after Close. Not thread-safe.
class SocketStream : public std::enable_shared_from_this<SocketStream> {
 public:
  struct Handlers {
    std::function<void(const char* data, std::size_t n)> on_data;
    std::function<void()> on_end;      // Closed by the other side, or failed.
    std::function<void()> on_written;  // All that was written has been handed to the kernel.
  };

  // The connection fails when data stays unacknowledged for `ack_timeout`.
  SocketStream(GObjectPtr<GSocketConnection> connection, Duration ack_timeout);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void Start(Handlers handlers);

  void Write(const char* data, std::size_t n);

  // Bytes not yet handed to the kernel.
  std::size_t unwritten() const { return waiting_.size() + writing_.size(); }

  // Closes once everything has been written.
  void CloseAfterWrites();

  void Close();

 private:
  static constexpr std::size_t kReadBytes = 16384;

  void ReadMore();
  void OnRead(gssize n);
  void WriteMore();
  void OnWritten(bool complete);
  void End();

  GObjectPtr<GSocketConnection> connection_;
  GObjectPtr<GCancellable> cancellable_;
  // Shared, since a handler may close the stream that calls it.
  std::shared_ptr<const Handlers> handlers_;
  std::array<char, kReadBytes> buffer_{};
  std::string waiting_;
  std::string writing_;  // In the hands of GIO until the write ends.
  bool close_after_writes_ = false;
  bool closed_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SOCKET_STREAM_H_
