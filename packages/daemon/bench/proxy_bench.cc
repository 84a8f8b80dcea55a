// Compares the CPU time of one request through the daemon's shell with that through a plain libsoup
// proxy without a node. The caller, the proxy and the endpoint share one thread, so the time of the
// direct request is the baseline to subtract from both.
#include <benchmark/benchmark.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cactusshelf/daemon/acceptor.h"
#include "cactusshelf/daemon/socket_address.h"
#include "daemon.h"
#include "http_headers.h"
#include "socket_stream.h"

namespace cactusshelf {
namespace {

constexpr std::chrono::seconds kTimeout(20);
constexpr char kRequest[] =
    "POST /v1/services/notices/send HTTP/1.1\r\nHost: a\r\nCactusshelf-Account: a\r\n"
    "Content-Length: 5\r\n\r\nhello";
constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer";

void RunUntil(const std::function<bool()>& condition) {
  while (!condition()) g_main_context_iteration(nullptr, TRUE);
}

// Sends a response for each read; the requests are small enough to arrive in one read.
class Endpoint {
 public:
  Endpoint() {
    const GObjectPtr<GSocket> socket = Listen("127.0.0.1:0");
    address_ = LocalAddress(socket.get());
    acceptor_ = std::make_unique<Acceptor>(
        socket.get(), [this](GSocketConnection* connection) { Accept(connection); });
  }
  ~Endpoint() {
    for (const auto& stream : streams_) stream->Close();
  }
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  const std::string& address() const { return address_; }

 private:
  void Accept(GSocketConnection* connection) {
    auto stream = std::make_shared<SocketStream>(RefGObject(connection), kTimeout);
    SocketStream* stream_ptr = stream.get();
    streams_.push_back(std::move(stream));
    stream_ptr->Start({[stream_ptr](const char* /*data*/, std::size_t /*n*/) {
                         stream_ptr->Write(kResponse, sizeof(kResponse) - 1);
                       },
                       [] {}, [] {}});
  }

  std::string address_;
  std::unique_ptr<Acceptor> acceptor_;
  std::vector<std::shared_ptr<SocketStream>> streams_;
};

// Sends requests one at a time over one connection.
class Caller {
 public:
  explicit Caller(const std::string& address) {
    const GObjectPtr<GSocketClient> client(g_socket_client_new());
    const auto target = ParseSocketAddress(address);
    GObjectPtr<GSocketConnection> connection(g_socket_client_connect(
        client.get(), G_SOCKET_CONNECTABLE(target.get()), nullptr, nullptr));
    stream_ = std::make_shared<SocketStream>(std::move(connection), kTimeout);
    stream_->Start(
        {[this](const char* data, std::size_t n) { received_.append(data, n); }, [] {}, [] {}});
  }
  ~Caller() { stream_->Close(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void SendRequest() {
    received_.clear();
    stream_->Write(kRequest, sizeof(kRequest) - 1);
    RunUntil([this] { return received_.ends_with("\r\n\r\nanswer"); });
  }

 private:
  std::shared_ptr<SocketStream> stream_;
  std::string received_;
};

// Forwards each request to the endpoint and each response to the caller.
class RelayNode {
 public:
  explicit RelayNode(std::string endpoint) : endpoint_(std::move(endpoint)) {}

  void Start(const Now& /*now*/) {}
  void Handle(const Now& /*now*/, const NodeEvent& event) {
    if (const auto* request = std::get_if<node_event::CallerRequest>(&event)) {
      const AttemptToken token{static_cast<std::uint64_t>(request->token)};
      effects_.emplace_back(node_effect::SendAttempt{
          token, endpoint_, request->path, request->headers, request->body, kTimeout, {}});
    } else if (const auto* response = std::get_if<node_event::AttemptAnswered>(&event)) {
      const CallerToken token{static_cast<std::uint64_t>(response->token)};
      effects_.emplace_back(
          node_effect::RespondToCaller{token, response->status, response->headers, response->body});
    }
  }
  std::vector<NodeEffect> TakeEffects() { return std::exchange(effects_, {}); }
  std::optional<Time> NextWakeup() const { return std::nullopt; }
  bool ready() const { return true; }
  std::string Status(const Now& /*now*/) const { return "{}"; }
  std::string Metrics() const { return ""; }

 private:
  std::string endpoint_;
  std::vector<NodeEffect> effects_;
};

// Minimal proxy built on libsoup.
class PlainProxy {
 public:
  explicit PlainProxy(const std::string& endpoint)
      : url_("http://" + endpoint + "/send"),
        server_(soup_server_new(nullptr, nullptr)),
        session_(soup_session_new()) {
    const GObjectPtr<GSocket> socket = Listen("127.0.0.1:0");
    address_ = LocalAddress(socket.get());
    const auto on_request = [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                               gpointer data) {
      static_cast<PlainProxy*>(data)->ForwardRequest(message);
    };
    soup_server_add_handler(server_.get(), nullptr, on_request, this, nullptr);
    soup_server_listen_socket(server_.get(), socket.get(), SoupServerListenOptions{}, nullptr);
  }

  const std::string& address() const { return address_; }

 private:
  void ForwardRequest(SoupServerMessage* message) {
    soup_server_message_pause(message);
    const GObjectPtr<SoupMessage> attempt(soup_message_new("POST", url_.c_str()));
    const GBytesPtr body(soup_message_body_flatten(soup_server_message_get_request_body(message)));
    soup_message_add_flags(attempt.get(), SOUP_MESSAGE_IDEMPOTENT);
    soup_message_set_request_body_from_bytes(attempt.get(), nullptr, body.get());
    const auto on_response = [](GObject* source, GAsyncResult* result, gpointer data) {
      const GObjectPtr<SoupServerMessage> caller(SOUP_SERVER_MESSAGE(data));
      const GBytesPtr response(
          soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr));
      soup_server_message_set_status(caller.get(), SOUP_STATUS_OK, nullptr);
      soup_message_body_append_bytes(soup_server_message_get_response_body(caller.get()),
                                     response.get());
      soup_server_message_unpause(caller.get());
    };
    soup_session_send_and_read_async(session_.get(), attempt.get(), G_PRIORITY_DEFAULT, nullptr,
                                     on_response, g_object_ref(message));
  }

  std::string url_;
  GObjectPtr<SoupServer> server_;
  GObjectPtr<SoupSession> session_;
  std::string address_;
};

void DirectRequest(benchmark::State& state) {
  const Endpoint endpoint;
  Caller caller(endpoint.address());
  for (auto _ : state) caller.SendRequest();
}
BENCHMARK(DirectRequest);

void PlainProxyRequest(benchmark::State& state) {
  const Endpoint endpoint;
  const PlainProxy proxy(endpoint.address());
  Caller caller(proxy.address());
  for (auto _ : state) caller.SendRequest();
}
BENCHMARK(PlainProxyRequest);

void ShellRequest(benchmark::State& state) {
  const Endpoint endpoint;
  Settings settings;
  settings.node.http_address = "127.0.0.1:0";
  settings.node.peer_address = "127.0.0.1:0";
  RelayNode node(endpoint.address());
  LogWriter log(LogLevel::kError, stderr);
  Daemon<RelayNode> daemon(settings, 1, node, log);
  daemon.Start();
  Caller caller(daemon.http_address());
  for (auto _ : state) caller.SendRequest();
}
BENCHMARK(ShellRequest);

}  // namespace
}  // namespace cactusshelf

BENCHMARK_MAIN();
