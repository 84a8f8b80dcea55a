#include "cactusshelf/daemon/caller_server.h"

#include <memory>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/daemon/clock.h"
#include "http_headers.h"

namespace cactusshelf {
namespace {

// Characters that stand for themselves in a path, besides letters, digits and "-._~" (RFC 3986).
constexpr char kPathCharacters[] = "/:@!$&'()*+,;=";
// A body over the limit is read up to this multiple of the limit, so that the caller can read the
// response; then the connection is closed.
constexpr std::size_t kMaxDrainFactor = 16;

void SetResponse(SoupServerMessage* message, int status, const char* type, std::string_view body) {
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, body.data(), body.size());
}

void CloseSocket(SoupServerMessage* message) {
  g_socket_shutdown(CallerConnections::SocketOf(message), TRUE, TRUE, nullptr);
}

// libsoup has removed dot segments and decoded the path, so it is encoded again.
std::string PathAndQuery(GUri* uri) {
  gchar* path = g_uri_escape_string(g_uri_get_path(uri), kPathCharacters, FALSE);
  std::string text = path;
  g_free(path);
  const char* query = g_uri_get_query(uri);
  if (query != nullptr) text.append("?").append(query);
  return text;
}

Body CopyBody(SoupMessageBody* body) {
  const GBytesPtr bytes(soup_message_body_flatten(body));
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
  return std::make_shared<const std::string>(data == nullptr ? "" : data, size);
}

}  // namespace

struct CallerServer::Caller {
  CallerServer* server = nullptr;
  CallerToken token{};
  GObjectPtr<SoupServerMessage> message;
  GSource* watch = nullptr;
  Time started;

  Caller() = default;
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  ~Caller() { StopWatch(); }

  void StopWatch() {
    if (watch == nullptr) return;
    g_source_destroy(watch);
    g_source_unref(watch);
    watch = nullptr;
  }
};

CallerServer::CallerServer(const Options& options, Pages pages, ShellMetrics& metrics,
                           EventSink sink)
    : max_body_bytes_(options.max_body_bytes),
      call_prefix_(options.call_prefix),
      pages_(std::move(pages)),
      metrics_(metrics),
      sink_(std::move(sink)),
      server_(soup_server_new(nullptr, nullptr)),
      connections_(options.address, server_.get()) {
  const auto on_headers = [](SoupServer* /*server*/, SoupServerMessage* message,
                             const char* /*path*/, GHashTable* /*query*/, gpointer data) {
    static_cast<CallerServer*>(data)->OnHeaders(message);
  };
  soup_server_add_early_handler(server_.get(), nullptr, on_headers, this, nullptr);
  const auto on_request = [](SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                             GHashTable* /*query*/, gpointer data) {
    static_cast<CallerServer*>(data)->OnRequest(message, path);
  };
  soup_server_add_handler(server_.get(), nullptr, on_request, this, nullptr);
}

CallerServer::~CallerServer() {
  for (SoupServerMessage* message : messages_) {
    g_signal_handlers_disconnect_by_data(message, this);
    g_object_weak_unref(G_OBJECT(message), OnFreed, this);
  }
  soup_server_disconnect(server_.get());
}

void CallerServer::OnHeaders(SoupServerMessage* message) {
  const auto on_written = [](SoupServerMessage* written, gpointer data) {
    static_cast<CallerServer*>(data)->OnWritten(written);
  };
  g_signal_connect(message, "wrote-body", G_CALLBACK(+on_written), this);
  const auto on_finished = [](SoupServerMessage* finished, gpointer data) {
    static_cast<CallerServer*>(data)->OnFinished(finished);
  };
  g_signal_connect(message, "finished", G_CALLBACK(+on_finished), this);
  g_object_weak_ref(G_OBJECT(message), OnFreed, this);
  messages_.insert(message);
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  const bool has_length = encoding == SOUP_ENCODING_CONTENT_LENGTH;
  const auto length = static_cast<std::size_t>(soup_message_headers_get_content_length(headers));
  if (encoding == SOUP_ENCODING_NONE || (has_length && length <= max_body_bytes_)) return;

  counted_.emplace(message, 0);
  const auto on_chunk = [](SoupServerMessage* chunked, GBytes* chunk, gpointer data) {
    static_cast<CallerServer*>(data)->OnChunk(chunked, g_bytes_get_size(chunk));
  };
  g_signal_connect(message, "got-chunk", G_CALLBACK(+on_chunk), this);
  if (has_length) {
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    Refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "body_too_large");
  }
}

void CallerServer::OnChunk(SoupServerMessage* message, gsize bytes) {
  const auto it = counted_.find(message);
  if (it == counted_.end()) return;
  it->second += bytes;
  if (it->second <= max_body_bytes_) return;
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  soup_message_body_set_accumulate(body, FALSE);
  soup_message_body_truncate(body);
  if (it->second > max_body_bytes_ * kMaxDrainFactor) CloseSocket(message);
}

void CallerServer::OnRequest(SoupServerMessage* message, const char* path) {
  const auto counted = counted_.find(message);
  if (counted != counted_.end()) {
    const bool too_large = counted->second > max_body_bytes_;
    counted_.erase(counted);
    if (too_large) {
      Refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    // libsoup's client takes a chunked body that is cut between chunks as complete (HttpClient), so
    // its server is not relied on to notice.
    if (IsAtEnd(CallerConnections::SocketOf(message))) {
      Refuse(message, SOUP_STATUS_BAD_REQUEST, "body_truncated");
      return;
    }
  }
  if (std::string_view(path).starts_with(call_prefix_)) {
    AcceptCall(message);
  } else {
    Serve(message, path);
  }
}

void CallerServer::Serve(SoupServerMessage* message, std::string_view path) {
  const std::string_view method = soup_server_message_get_method(message);
  const bool reads = method == "GET" || method == "HEAD";
  if (reads && path == "/healthz") {
    SetResponse(message, SOUP_STATUS_OK, "text/plain", "ok\n");
  } else if (reads && path == "/readyz") {
    const bool ready = pages_.ready();
    SetResponse(message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
                ready ? "ready\n" : "not ready\n");
  } else if (reads && path == "/v1/status") {
    SetResponse(message, SOUP_STATUS_OK, "application/json", pages_.status());
  } else if (reads && path == "/metrics") {
    SetResponse(message, SOUP_STATUS_OK, "text/plain; version=0.0.4", pages_.metrics());
  } else {
    Refuse(message, SOUP_STATUS_NOT_FOUND, "not_found");
  }
}

void CallerServer::Refuse(SoupServerMessage* message, int status, std::string_view reason) {
  metrics_.counters.Add("cactusshelf_shell_refusals_total", reason);
  SetResponse(message, status, nullptr, "");
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
  soup_message_headers_replace(headers, "Cactusshelf-Outcome", "not-run");
  soup_message_headers_replace(headers, "Cactusshelf-Reason", std::string(reason).c_str());
  soup_message_headers_replace(headers, "Connection", "close");
}

void CallerServer::AcceptCall(SoupServerMessage* message) {
  auto caller = std::make_unique<Caller>();
  caller->server = this;
  caller->token = CallerToken{next_token_++};
  caller->message = ShareGObject(message);
  caller->started = SystemClock().Read().monotonic;
  soup_server_message_pause(message);
  WatchForClose(*caller, G_IO_IN);
  tokens_.emplace(message, caller->token);

  node_event::CallerRequest request;
  request.token = caller->token;
  request.method = soup_server_message_get_method(message);
  const char* host =
      soup_message_headers_get_one(soup_server_message_get_request_headers(message), "Host");
  if (host != nullptr) request.host = host;
  request.path = PathAndQuery(soup_server_message_get_uri(message));
  request.headers = CopyEndToEndHeaders(soup_server_message_get_request_headers(message));
  request.body = CopyBody(soup_server_message_get_request_body(message));
  callers_.emplace(caller->token, std::move(caller));
  sink_(std::move(request));
}

// libsoup does not look at the socket while a message is paused.
void CallerServer::WatchForClose(Caller& caller, GIOCondition condition) {
  GSocket* socket = CallerConnections::SocketOf(caller.message.get());
  caller.StopWatch();
  caller.watch = g_socket_create_source(socket, condition, nullptr);
  const auto on_ready = [](GSocket* /*socket*/, GIOCondition /*condition*/, gpointer data) {
    auto* watched = static_cast<Caller*>(data);
    watched->server->OnReadable(watched->token);
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(caller.watch, G_SOURCE_FUNC(+on_ready), &caller, nullptr);
  g_source_attach(caller.watch, nullptr);
}

void CallerServer::OnReadable(CallerToken token) {
  Caller& caller = *callers_.at(token);
  if (IsAtEnd(CallerConnections::SocketOf(caller.message.get()))) {
    OnGone(token);
    return;
  }
  // The caller pipelined its next request, which stays unread until this one is answered.
  WatchForClose(caller, static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR));
}

void CallerServer::OnGone(CallerToken token) {
  const auto it = callers_.find(token);
  const std::unique_ptr<Caller> caller = std::move(it->second);
  callers_.erase(it);
  SoupServerMessage* message = caller->message.get();
  tokens_.erase(message);
  g_signal_handlers_disconnect_by_data(message, this);
  // Lets libsoup find the closed connection and free the message.
  CloseSocket(message);
  soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
  soup_server_message_unpause(message);
  metrics_.counters.Add("cactusshelf_shell_callers_gone_total", "closed");
  sink_(node_event::CallerGone{token});
}

void CallerServer::Respond(const node_effect::RespondToCaller& response) {
  const auto it = callers_.find(response.token);
  if (it == callers_.end()) {
    metrics_.counters.Add("cactusshelf_shell_dropped_responses_total", "caller_gone");
    return;
  }
  const std::unique_ptr<Caller> caller = std::move(it->second);
  callers_.erase(it);
  caller->StopWatch();
  SoupServerMessage* message = caller->message.get();
  tokens_.erase(message);
  metrics_.request_time.Add(SystemClock().Read().monotonic - caller->started);

  soup_server_message_set_status(message, static_cast<guint>(response.status), nullptr);
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
  AppendEndToEndHeaders(response.headers, headers);
  if (draining_) soup_message_headers_replace(headers, "Connection", "close");
  if (!response.body->empty()) {
    soup_message_body_append_bytes(soup_server_message_get_response_body(message),
                                   ShareBody(response.body).get());
  }
  soup_server_message_unpause(message);
}

void CallerServer::OnWritten(SoupServerMessage* message) { connections_.TakeBack(message); }

// libsoup does not report each message as finished, in particular none whose connection was taken
// back.
void CallerServer::OnFreed(gpointer data, GObject* object) {
  auto* server = static_cast<CallerServer*>(data);
  auto* message = reinterpret_cast<SoupServerMessage*>(object);
  server->messages_.erase(message);
  server->counted_.erase(message);
  server->CloseIfIdle();
}

void CallerServer::OnFinished(SoupServerMessage* message) {
  counted_.erase(message);
  const auto token = tokens_.find(message);
  if (token != tokens_.end()) OnGone(token->second);
}

void CallerServer::Close(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  connections_.Stop();
  CloseIfIdle();
}

void CallerServer::CloseIfIdle() {
  if (!on_closed_ || !messages_.empty()) return;
  std::exchange(on_closed_, nullptr)();
}

}  // namespace cactusshelf
