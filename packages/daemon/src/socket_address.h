#ifndef CACTUSSHELF_DAEMON_SOCKET_ADDRESS_H_
#define CACTUSSHELF_DAEMON_SOCKET_ADDRESS_H_

#include <gio/gio.h>

#include <string>

#include "cactusshelf/daemon/gobject_ptr.h"

// This header is also compiled as C++17.
namespace cactusshelf {

// Address written as "IP:port" or "[IPv6]:port", or null if `text` is not one. Thread-safe.
GObjectPtr<GInetSocketAddress> ParseSocketAddress(const std::string& text);

// The inverse.
std::string FormatSocketAddress(GInetSocketAddress* address);

// Socket that listens at `address` ("IP:port"; port 0 chooses a free one). Throws Error.
GObjectPtr<GSocket> Listen(const std::string& address);

// Address to which `socket` is bound.
std::string LocalAddress(GSocket* socket);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SOCKET_ADDRESS_H_
