#ifndef CACTUSSHELF_DAEMON_ACCEPTOR_H_
#define CACTUSSHELF_DAEMON_ACCEPTOR_H_

#include <gio/gio.h>

#include <functional>

#include "cactusshelf/daemon/gobject_ptr.h"

// This header is also compiled as C++17.
namespace cactusshelf {

// Accepts connections on the default main context until it is destroyed. Not thread-safe.
class Acceptor {
 public:
  // `socket` listens. `on_connection` may keep a reference of the connection, which is closed
  // otherwise. Throws Error.
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
