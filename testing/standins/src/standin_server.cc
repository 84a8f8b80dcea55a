#include "standin_server.h"

#include <glib-unix.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <utility>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

std::uint16_t RemotePort(GSocketAddress* address) {
  return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
}

gboolean QuitLoop(gpointer loop) {
  g_main_loop_quit(static_cast<GMainLoop*>(loop));
  return G_SOURCE_CONTINUE;
}

// Writes a temporary file and renames it, so that a reader never sees a partly written port.
void WritePortFile(const std::string& path, std::uint16_t port) {
  const std::string temporary_path = path + ".partial";
  std::ofstream(temporary_path) << port << '\n';
  if (std::rename(temporary_path.c_str(), path.c_str()) != 0) {
    throw SettingsError("cannot write " + path);
  }
}

}  // namespace

std::pair<std::string, std::uint16_t> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw SettingsError("missing port in address " + text);
  }
  const int port = std::stoi(text.substr(colon + 1));
  if (port < 0 || port > UINT16_MAX) {
    throw SettingsError("port out of range in address " + text);
  }
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

GSocketService* ListenOn(const std::string& address, const std::string& port_file) {
  const auto [host, port] = ParseAddress(address);
  GSocketService* service = g_socket_service_new();
  GSocketAddress* requested = g_inet_socket_address_new_from_string(host.c_str(), port);
  if (requested == nullptr) {
    throw SettingsError("not an IP address: " + host);
  }
  GSocketAddress* bound = nullptr;
  GError* error = nullptr;
  const bool listening =
      g_socket_listener_add_address(G_SOCKET_LISTENER(service), requested, G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, nullptr, &bound, &error) != FALSE;
  g_object_unref(requested);
  if (!listening) {
    const std::string reason = error->message;
    g_error_free(error);
    throw SettingsError("cannot listen on " + address + ": " + reason);
  }
  if (!port_file.empty()) {
    WritePortFile(port_file, RemotePort(bound));
  }
  g_object_unref(bound);
  return service;
}

StandinServer::StandinServer(const std::string& address, const std::string& port_file)
    : service_(ListenOn(address, port_file)), server_(soup_server_new(nullptr, nullptr)) {
  soup_server_add_handler(server_, nullptr, OnRequest, this, nullptr);
  g_signal_connect(service_, "incoming", G_CALLBACK(OnIncoming), this);
  g_socket_service_start(service_);
}

StandinServer::~StandinServer() {
  g_socket_service_stop(service_);
  for (const auto& [port, connection] : connections_by_port_) {
    g_object_weak_unref(G_OBJECT(connection), OnConnectionFinalized, this);
  }
  g_object_unref(service_);
  g_object_unref(server_);
}

gboolean StandinServer::OnIncoming(GSocketService* /*service*/, GSocketConnection* connection,
                                   GObject* /*source*/, gpointer self) {
  static_cast<StandinServer*>(self)->Accept(connection);
  return TRUE;
}

void StandinServer::OnRequest(SoupServer* /*server*/, SoupServerMessage* message,
                              const char* /*path*/, GHashTable* /*query*/, gpointer self) {
  static_cast<StandinServer*>(self)->HandleRequest(message);
}

void StandinServer::OnConnectionFinalized(gpointer self, GObject* connection) {
  auto& connections_by_port = static_cast<StandinServer*>(self)->connections_by_port_;
  std::erase_if(connections_by_port, [&](const auto& entry) {
    return static_cast<void*>(entry.second) == static_cast<void*>(connection);
  });
}

void StandinServer::Accept(GSocketConnection* connection) {
  if (connections_by_port_.size() >= max_connections_) {
    ++connections_refused_;
    g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
    return;
  }
  GSocketAddress* remote = g_socket_connection_get_remote_address(connection, nullptr);
  if (remote == nullptr) {
    return;
  }
  GSocketAddress* local = g_socket_connection_get_local_address(connection, nullptr);
  connections_by_port_[RemotePort(remote)] = connection;
  g_object_weak_ref(G_OBJECT(connection), OnConnectionFinalized, this);
  max_connections_seen_ = std::max(max_connections_seen_, connections_by_port_.size());
  soup_server_accept_iostream(server_, G_IO_STREAM(connection), local, remote, nullptr);
  g_object_unref(local);
  g_object_unref(remote);
}

void StandinServer::HandleRequest(SoupServerMessage* message) {
  const auto it =
      connections_by_port_.find(RemotePort(soup_server_message_get_remote_address(message)));
  if (it == connections_by_port_.end()) {
    soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    return;
  }
  const auto exchange =
      std::make_shared<Exchange>(message, g_socket_connection_get_socket(it->second));
  try {
    handler_(exchange);
  } catch (const std::exception& e) {
    exchange->Respond(SOUP_STATUS_BAD_REQUEST, {{"error", e.what()}});
  }
  if (!exchange->responded()) {
    exchange->Pause();
  }
}

void RunUntilTerminated() {
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, QuitLoop, loop);
  g_unix_signal_add(SIGINT, QuitLoop, loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
}

void AddListenOptions(cxxopts::Options& options) {
  options.add_options()("listen", "address and port; port 0 for any free port",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "port-file", "file to write the port to", cxxopts::value<std::string>()->default_value(""))(
      "help", "print the options");
}

}  // namespace cactusshelf
