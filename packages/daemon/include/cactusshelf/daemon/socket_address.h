#ifndef CACTUSSHELF_DAEMON_SOCKET_ADDRESS_H_
#define CACTUSSHELF_DAEMON_SOCKET_ADDRESS_H_

#include <gio/gio.h>

#include <string>

#include "cactusshelf/daemon/gobject_ptr.h"

// This header must also compile as C++17, since peer_transport.cc is built as C++17.
namespace cactusshelf {

// Parses "IP:port" or "[IPv6]:port". Returns null if `text` has neither form. Thread-safe.
GObjectPtr<GInetSocketAddress> ParseSocketAddress(const std::string& text);

// Returns whether `text` is "IPv4:port" or "[IPv6]:port", with a port other than 0 and an address
// of a single host, and can be the authority of a URL as it is. Thread-safe.
bool IsConnectableAddress(const std::string& text);

// Formats `address` in the form that ParseSocketAddress() accepts.
std::string FormatSocketAddress(GInetSocketAddress* address);

// Returns a socket that listens at `address` ("IP:port"; port 0 selects a free port). Throws Error
// if the address is invalid or cannot be bound.
GObjectPtr<GSocket> Listen(const std::string& address);

// Returns the address to which `socket` is bound.
std::string LocalAddress(GSocket* socket);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SOCKET_ADDRESS_H_
