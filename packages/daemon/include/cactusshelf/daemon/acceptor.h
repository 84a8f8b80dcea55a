#ifndef CACTUSSHELF_DAEMON_ACCEPTOR_H_
#define CACTUSSHELF_DAEMON_ACCEPTOR_H_

#include <gio/gio.h>

#include <functional>

#include "cactusshelf/daemon/gobject_ptr.h"

// This header must also compile as C++17, since peer_transport.cc is built as C++17.
namespace cactusshelf {

// Accepts TCP connections on the default main context until destroyed. Not thread-safe.
class Acceptor {
 public:
  // `socket` must be listening. A connection is closed after `on_connection` returns unless the
  // callback has taken a reference to it. Throws Error if GLib rejects the socket.
  Acceptor(GSocket* socket, std::function<void(GSocketConnection*)> on_connection);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

 private:
  std::function<void(GSocketConnection*)> on_connection_;
  GObjectPtr<GSocketService> service_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_ACCEPTOR_H_
