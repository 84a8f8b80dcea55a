#include "cactusshelf/daemon/socket_address.h"

#include <charconv>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

// With GLib's default of 10 the kernel drops connections when many callers reconnect at once.
constexpr int kListenBacklog = 1024;

bool ParsePort(const char* begin, const char* end, guint16& port) {
  const auto [rest, ec] = std::from_chars(begin, end, port);
  return ec == std::errc() && rest == end;
}

std::string ParseHost(const std::string& text) {
  const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
  if (bracketed) return text.substr(1, text.size() - 2);
  return text.find(':') == std::string::npos ? text : "";
}

}  // namespace

GObjectPtr<GInetSocketAddress> ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  guint16 port = 0;
  if (colon == std::string::npos) return nullptr;
  if (!ParsePort(text.data() + colon + 1, text.data() + text.size(), port)) return nullptr;
  const std::string host = ParseHost(text.substr(0, colon));
  if (!g_hostname_is_ip_address(host.c_str())) return nullptr;
  GSocketAddress* address = g_inet_socket_address_new_from_string(host.c_str(), port);
  if (address == nullptr) return nullptr;
  return GObjectPtr<GInetSocketAddress>(G_INET_SOCKET_ADDRESS(address));
}

bool IsConnectableAddress(const std::string& text) {
  // A zero byte would end the text for GLib, and the scope of an IPv6 address is not part of a URL.
  if (text.find('\0') != std::string::npos || text.find('%') != std::string::npos) return false;
  const GObjectPtr<GInetSocketAddress> address = ParseSocketAddress(text);
  if (address == nullptr || g_inet_socket_address_get_port(address.get()) == 0) return false;
  GInetAddress* ip = g_inet_socket_address_get_address(address.get());
  const bool is_ipv6 = g_inet_address_get_family(ip) == G_SOCKET_FAMILY_IPV6;
  const bool is_bracketed = text.front() == '[';
  return is_ipv6 == is_bracketed && !g_inet_address_get_is_any(ip) &&
         !g_inet_address_get_is_multicast(ip);
}

std::string FormatSocketAddress(GInetSocketAddress* address) {
  GInetAddress* ip = g_inet_socket_address_get_address(address);
  gchar* text = g_inet_address_to_string(ip);
  std::string host = text;
  g_free(text);
  if (g_inet_address_get_family(ip) == G_SOCKET_FAMILY_IPV6) host = "[" + host + "]";
  return host + ":" + std::to_string(g_inet_socket_address_get_port(address));
}

GObjectPtr<GSocket> Listen(const std::string& text) {
  const GObjectPtr<GInetSocketAddress> address = ParseSocketAddress(text);
  if (address == nullptr) throw Error("not an IP address with a port: " + text);
  const GSocketFamily family = g_socket_address_get_family(G_SOCKET_ADDRESS(address.get()));
  GError* error = nullptr;
  GObjectPtr<GSocket> socket(
      g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  bool listening = socket != nullptr;
  if (listening) g_socket_set_listen_backlog(socket.get(), kListenBacklog);
  listening =
      listening && g_socket_bind(socket.get(), G_SOCKET_ADDRESS(address.get()), TRUE, &error);
  listening = listening && g_socket_listen(socket.get(), &error);
  const GErrorPtr owned_error(error);
  if (!listening) throw Error("cannot listen at " + text + ": " + owned_error->message);
  return socket;
}

std::string LocalAddress(GSocket* socket) {
  const GObjectPtr<GSocketAddress> address(g_socket_get_local_address(socket, nullptr));
  return FormatSocketAddress(G_INET_SOCKET_ADDRESS(address.get()));
}

}  // namespace cactusshelf
