#include "test_support.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "cactusshelf/daemon/socket_address.h"

namespace cactusshelf {
namespace {

// Makes warnings and critical messages of GLib-based libraries abort the test.
const auto fatal_levels = g_log_set_always_fatal(
    static_cast<GLogLevelFlags>(G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK));

constexpr gint64 kMaxWaitUs = gint64{20} * G_USEC_PER_SEC;
constexpr std::chrono::seconds kAckTimeout(20);

GObjectPtr<GSocketConnection> ConnectTo(const std::string& address) {
  const GObjectPtr<GSocketClient> client(g_socket_client_new());
  const auto target = ParseSocketAddress(address);
  return GObjectPtr<GSocketConnection>(
      g_socket_client_connect(client.get(), G_SOCKET_CONNECTABLE(target.get()), nullptr, nullptr));
}

// Returns the size of the request at the start of `text`, or 0 if it is incomplete.
std::size_t CompleteRequestSize(const std::string& text) {
  const std::size_t headers_end = text.find("\r\n\r\n");
  if (headers_end == std::string::npos) return 0;
  std::size_t size = headers_end + 4;
  const std::size_t length = text.find("Content-Length: ");
  if (length < headers_end) size += std::strtoull(text.c_str() + length + 16, nullptr, 10);
  return text.size() >= size ? size : 0;
}

}  // namespace

bool RunUntil(const std::function<bool()>& condition) {
  const gint64 end = g_get_monotonic_time() + kMaxWaitUs;
  // Wakes the main loop periodically, so that the time limit is checked.
  const guint wakeup_source = g_timeout_add(
      50, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
  while (!condition() && g_get_monotonic_time() < end) g_main_context_iteration(nullptr, TRUE);
  g_source_remove(wakeup_source);
  return condition();
}

void RunFor(Duration time) {
  const gint64 end = g_get_monotonic_time() + time.count();
  RunUntil([end] { return g_get_monotonic_time() >= end; });
}

Body MakeBody(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

std::string HeaderValue(const std::vector<HttpHeader>& headers, const std::string& name) {
  const auto it = std::ranges::find(headers, name, &HttpHeader::name);
  return it == headers.end() ? "absent" : it->value;
}

RawConnection::RawConnection(GObjectPtr<GSocketConnection> connection)
    : stream_(std::make_shared<SocketStream>(std::move(connection), kAckTimeout)) {
  SocketStream::Handlers handlers;
  handlers.on_data = [this](const char* data, std::size_t n) {
    received.append(data, n);
    if (on_data) on_data();
  };
  handlers.on_end = [this] { ended = true; };
  handlers.on_written = [] {};
  stream_->Start(std::move(handlers));
}

RawConnection::RawConnection(const std::string& address) : RawConnection(ConnectTo(address)) {}

ScriptedServer::ScriptedServer(Handler handler) : handler_(std::move(handler)) {
  const GObjectPtr<GSocket> socket = Listen("127.0.0.1:0");
  address_ = LocalAddress(socket.get());
  acceptor_ = std::make_unique<Acceptor>(
      socket.get(), [this](GSocketConnection* connection) { Accept(connection); });
}

ScriptedServer::~ScriptedServer() {
  acceptor_.reset();
  for (const auto& connection : connections_) connection->Close();
}

void ScriptedServer::CloseConnections() {
  for (const auto& connection : connections_) connection->Close();
}

void ScriptedServer::Accept(GSocketConnection* connection) {
  connections_.push_back(std::make_unique<RawConnection>(RefGObject(connection)));
  RawConnection& accepted = *connections_.back();
  accepted.on_data = [this, &accepted] { ParseRequests(accepted); };
}

void ScriptedServer::ParseRequests(RawConnection& connection) {
  while (const std::size_t size = CompleteRequestSize(connection.received)) {
    const std::string request = connection.received.substr(0, size);
    connection.received.erase(0, size);
    requests_.push_back(request);
    handler_(connection, request);
  }
}

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string UnusedAddress() { return LocalAddress(Listen("127.0.0.1:0").get()); }

}  // namespace cactusshelf
