#include "test_support.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "socket_address.h"

namespace cactusshelf {
namespace {

// A misuse of a library that it only logs fails the test.
const auto fatal_levels = g_log_set_always_fatal(
    static_cast<GLogLevelFlags>(G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK));

constexpr gint64 kLimit = gint64{20} * G_USEC_PER_SEC;
constexpr std::chrono::seconds kAckTimeout(20);

GObjectPtr<GSocketConnection> ConnectTo(const std::string& address) {
  const GObjectPtr<GSocketClient> client(g_socket_client_new());
  const auto target = ParseSocketAddress(address);
  return GObjectPtr<GSocketConnection>(
      g_socket_client_connect(client.get(), G_SOCKET_CONNECTABLE(target.get()), nullptr, nullptr));
}

// Size of the complete request at the start of `text`, or 0.
std::size_t RequestSize(const std::string& text) {
  const std::size_t headers_end = text.find("\r\n\r\n");
  if (headers_end == std::string::npos) return 0;
  std::size_t size = headers_end + 4;
  const std::size_t length = text.find("Content-Length: ");
  if (length < headers_end) size += std::strtoull(text.c_str() + length + 16, nullptr, 10);
  return text.size() >= size ? size : 0;
}

}  // namespace

bool RunUntil(const std::function<bool()>& condition) {
  const gint64 end = g_get_monotonic_time() + kLimit;
  // Wakes the loop now and then, so that the limit is noticed.
  const guint tick = g_timeout_add(
      50, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
  while (!condition() && g_get_monotonic_time() < end) g_main_context_iteration(nullptr, TRUE);
  g_source_remove(tick);
  return condition();
}

void RunFor(Duration time) {
  const gint64 end = g_get_monotonic_time() + time.count();
  RunUntil([end] { return g_get_monotonic_time() >= end; });
}

Body MakeBody(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

std::string HeaderOf(const std::vector<HttpHeader>& headers, const std::string& name) {
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

ScriptServer::ScriptServer(Handler handler) : handler_(std::move(handler)) {
  const GObjectPtr<GSocket> socket = Listen("127.0.0.1:0");
  address_ = LocalAddress(socket.get());
  acceptor_ = std::make_unique<Acceptor>(
      socket.get(), [this](GSocketConnection* connection) { Accept(connection); });
}

ScriptServer::~ScriptServer() {
  acceptor_.reset();
  for (const auto& connection : connections_) connection->Close();
}

void ScriptServer::Accept(GSocketConnection* connection) {
  connections_.push_back(std::make_unique<RawConnection>(ShareGObject(connection)));
  RawConnection& accepted = *connections_.back();
  accepted.on_data = [this, &accepted] { TakeRequest(accepted); };
}

void ScriptServer::TakeRequest(RawConnection& connection) {
  while (const std::size_t size = RequestSize(connection.received)) {
    const std::string request = connection.received.substr(0, size);
    connection.received.erase(0, size);
    requests_.push_back(request);
    handler_(connection, request);
  }
}

std::string HttpOk(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ClosedAddress() { return LocalAddress(Listen("127.0.0.1:0").get()); }

}  // namespace cactusshelf
