#include "cactusshelf/daemon/caller_connections.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "cactusshelf/daemon/socket_address.h"
#include "http_headers.h"

namespace cactusshelf {
namespace {

// Idle time before TCP keepalive probes start, which detect a caller whose host has failed.
constexpr int kKeepaliveIdleSeconds = 60;

bool HasConnectionToken(SoupMessageHeaders* headers, const char* token) {
  const char* list = soup_message_headers_get_list(headers, "Connection");
  return list != nullptr && soup_header_contains(list, token);
}

bool IsReusable(SoupServerMessage* message) {
  SoupMessageHeaders* request = soup_server_message_get_request_headers(message);
  SoupMessageHeaders* response = soup_server_message_get_response_headers(message);
  if (HasConnectionToken(request, "close") || HasConnectionToken(response, "close")) return false;
  return soup_server_message_get_http_version(message) == SOUP_HTTP_1_1;
}

}  // namespace

struct CallerConnections::Connection {
  // Key under which a Connection is attached to the GSocketAddress of its remote end. libsoup
  // passes that object on with each message and frees it with the connection.
  static constexpr char kObjectDataKey[] = "cactusshelf-connection";

  GObjectPtr<GIOStream> stream;
  GObjectPtr<GSocket> socket;
  GObjectPtr<GSocketAddress> local;
  GObjectPtr<GSocketAddress> remote;  // Null while libsoup owns the connection.
  CallerConnections* owner = nullptr;
  GSource* watch = nullptr;

  Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { RemoveWatch(); }

  void RemoveWatch() {
    if (watch == nullptr) return;
    g_source_destroy(watch);
    g_source_unref(watch);
    watch = nullptr;
  }

  static Connection* FromMessage(SoupServerMessage* message) {
    GSocketAddress* remote = soup_server_message_get_remote_address(message);
    return static_cast<Connection*>(g_object_get_data(G_OBJECT(remote), kObjectDataKey));
  }
};

CallerConnections::CallerConnections(const std::string& address, SoupServer* server)
    : server_(server) {
  const GObjectPtr<GSocket> listener = Listen(address);
  address_ = LocalAddress(listener.get());
  acceptor_ = std::make_unique<Acceptor>(listener.get(),
                                         [this](GSocketConnection* stream) { Accept(stream); });
}

CallerConnections::~CallerConnections() = default;

GSocket* CallerConnections::GetSocket(SoupServerMessage* message) {
  return Connection::FromMessage(message)->socket.get();
}

void CallerConnections::Accept(GSocketConnection* stream) {
  auto connection = std::make_unique<Connection>();
  connection->owner = this;
  connection->stream = RefGObject(G_IO_STREAM(stream));
  connection->socket = RefGObject(g_socket_connection_get_socket(stream));
  connection->local.reset(g_socket_connection_get_local_address(stream, nullptr));
  connection->remote.reset(g_socket_connection_get_remote_address(stream, nullptr));
  // The caller may already have closed the connection.
  if (!connection->local || !connection->remote) return;
  GSocket* socket = connection->socket.get();
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds, nullptr);
  g_socket_set_keepalive(socket, TRUE);
  WaitForRequest(std::move(connection));
}

void CallerConnections::WaitForRequest(std::unique_ptr<Connection> connection) {
  Connection* waiting = connection.get();
  waiting->watch = g_socket_create_source(waiting->socket.get(), G_IO_IN, nullptr);
  const auto on_readable = [](GSocket* /*socket*/, GIOCondition /*condition*/,
                              gpointer data) -> gboolean {
    auto* readable = static_cast<Connection*>(data);
    readable->owner->OnReadable(readable);
    return G_SOURCE_REMOVE;
  };
  g_source_set_callback(waiting->watch, G_SOURCE_FUNC(+on_readable), waiting, nullptr);
  g_source_attach(waiting->watch, nullptr);
  idle_connections_.emplace(waiting, std::move(connection));
}

void CallerConnections::OnReadable(Connection* connection) {
  const auto it = idle_connections_.find(connection);
  std::unique_ptr<Connection> readable = std::move(it->second);
  idle_connections_.erase(it);
  readable->RemoveWatch();
  if (!IsAtEndOfStream(readable->socket.get())) SubmitToServer(std::move(readable));
}

void CallerConnections::SubmitToServer(std::unique_ptr<Connection> connection) {
  const GObjectPtr<GSocketAddress> remote = std::move(connection->remote);
  Connection* submitted = connection.release();
  const auto destroy = [](gpointer data) { delete static_cast<Connection*>(data); };
  g_object_set_data_full(G_OBJECT(remote.get()), Connection::kObjectDataKey, submitted, destroy);
  soup_server_accept_iostream(server_, submitted->stream.get(), submitted->local.get(),
                              remote.get(), nullptr);
}

void CallerConnections::ReclaimConnection(SoupServerMessage* message) {
  if (acceptor_ == nullptr || !IsReusable(message)) return;
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  std::unique_ptr<Connection> connection(
      static_cast<Connection*>(g_object_steal_data(G_OBJECT(remote), Connection::kObjectDataKey)));
  connection->remote = RefGObject(remote);
  GObjectPtr<GIOStream> wrapper(soup_server_message_steal_connection(message));
  GInputStream* input = g_io_stream_get_input_stream(wrapper.get());
  if (!g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(input))) {
    WaitForRequest(std::move(connection));
  } else if (!IsAtEndOfStream(connection->socket.get())) {
    // libsoup's wrapper stream may have buffered bytes of the next request, so it is passed on. It
    // is not kept in the other case, since each use would add another wrapper around it.
    connection->stream = std::move(wrapper);
    SubmitToServer(std::move(connection));
  }
}

void CallerConnections::Stop() {
  acceptor_.reset();
  idle_connections_.clear();
}

}  // namespace cactusshelf
