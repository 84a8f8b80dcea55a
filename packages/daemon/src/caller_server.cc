#include "cactusshelf/daemon/caller_server.h"

#include <memory>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/daemon/clock.h"
#include "http_headers.h"

namespace cactusshelf {
namespace {

// Characters that need no escape in a path, besides letters, digits and "-._~" (RFC 3986).
constexpr char kUnescapedPathCharacters[] = "/:@!$&'()*+,;=";
// The rest of an oversized body is read and discarded up to this multiple of the limit, since a
// caller may read the response only after sending its body. Beyond it the connection is closed.
constexpr std::size_t kMaxDiscardedBodyFactor = 16;

void SetResponse(SoupServerMessage* message, int status, const char* type, std::string_view body) {
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, body.data(), body.size());
}

void CloseSocket(SoupServerMessage* message) {
  g_socket_shutdown(CallerConnections::GetSocket(message), TRUE, TRUE, nullptr);
}

// Returns the path and query of `uri`. libsoup has removed dot segments from the path and decoded
// it, so the path is escaped again.
std::string PathAndQuery(GUri* uri) {
  gchar* path = g_uri_escape_string(g_uri_get_path(uri), kUnescapedPathCharacters, FALSE);
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
  ~Caller() { RemoveWatch(); }

  void RemoveWatch() {
    if (watch == nullptr) return;
    g_source_destroy(watch);
    g_source_unref(watch);
    watch = nullptr;
  }
};

CallerServer::CallerServer(const Options& options, OperatorPages pages, ShellMetrics& metrics,
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
  for (SoupServerMessage* message : live_messages_) {
    g_signal_handlers_disconnect_by_data(message, this);
    g_object_weak_unref(G_OBJECT(message), OnMessageFreed, this);
  }
  soup_server_disconnect(server_.get());
}

void CallerServer::OnHeaders(SoupServerMessage* message) {
  const auto on_written = [](SoupServerMessage* written, gpointer data) {
    static_cast<CallerServer*>(data)->OnResponseWritten(written);
  };
  g_signal_connect(message, "wrote-body", G_CALLBACK(+on_written), this);
  const auto on_finished = [](SoupServerMessage* finished, gpointer data) {
    static_cast<CallerServer*>(data)->OnMessageFinished(finished);
  };
  g_signal_connect(message, "finished", G_CALLBACK(+on_finished), this);
  g_object_weak_ref(G_OBJECT(message), OnMessageFreed, this);
  live_messages_.insert(message);
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  const bool has_content_length = encoding == SOUP_ENCODING_CONTENT_LENGTH;
  const auto length = static_cast<std::size_t>(soup_message_headers_get_content_length(headers));
  if (encoding == SOUP_ENCODING_NONE || (has_content_length && length <= max_body_bytes_)) return;

  received_body_bytes_.emplace(message, 0);
  const auto on_chunk = [](SoupServerMessage* chunked, GBytes* chunk, gpointer data) {
    static_cast<CallerServer*>(data)->OnChunk(chunked, g_bytes_get_size(chunk));
  };
  g_signal_connect(message, "got-chunk", G_CALLBACK(+on_chunk), this);
  if (has_content_length) {
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    Refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "body_too_large");
  }
}

void CallerServer::OnChunk(SoupServerMessage* message, gsize bytes) {
  const auto it = received_body_bytes_.find(message);
  if (it == received_body_bytes_.end()) return;
  it->second += bytes;
  if (it->second <= max_body_bytes_) return;
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  soup_message_body_set_accumulate(body, FALSE);
  soup_message_body_truncate(body);
  if (it->second > max_body_bytes_ * kMaxDiscardedBodyFactor) CloseSocket(message);
}

void CallerServer::OnRequest(SoupServerMessage* message, const char* path) {
  const auto received = received_body_bytes_.find(message);
  if (received != received_body_bytes_.end()) {
    const bool too_large = received->second > max_body_bytes_;
    received_body_bytes_.erase(received);
    if (too_large) {
      Refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    // libsoup's client accepts a chunked body that is truncated between two chunks as complete (see
    // HttpClient), so its server is not relied on to detect this either.
    if (IsAtEndOfStream(CallerConnections::GetSocket(message))) {
      Refuse(message, SOUP_STATUS_BAD_REQUEST, "body_truncated");
      return;
    }
  }
  if (std::string_view(path).starts_with(call_prefix_)) {
    AcceptCall(message);
  } else {
    ServeOperatorPage(message, path);
  }
}

void CallerServer::ServeOperatorPage(SoupServerMessage* message, std::string_view path) {
  const std::string_view method = soup_server_message_get_method(message);
  const bool is_read_only = method == "GET" || method == "HEAD";
  if (is_read_only && path == "/healthz") {
    SetResponse(message, SOUP_STATUS_OK, "text/plain", "ok\n");
  } else if (is_read_only && path == "/readyz") {
    const bool ready = pages_.ready();
    SetResponse(message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
                ready ? "ready\n" : "not ready\n");
  } else if (is_read_only && path == "/v1/status") {
    SetResponse(message, SOUP_STATUS_OK, "application/json", pages_.status());
  } else if (is_read_only && path == "/metrics") {
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
  caller->message = RefGObject(message);
  caller->started = SystemClock().Read().monotonic;
  soup_server_message_pause(message);
  WatchForClose(*caller, G_IO_IN);
  pending_tokens_.emplace(message, caller->token);

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

// libsoup does not poll the socket while a message is paused, so the server watches for a
// disconnect itself.
void CallerServer::WatchForClose(Caller& caller, GIOCondition condition) {
  GSocket* socket = CallerConnections::GetSocket(caller.message.get());
  caller.RemoveWatch();
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
  if (IsAtEndOfStream(CallerConnections::GetSocket(caller.message.get()))) {
    OnCallerDisconnected(token);
    return;
  }
  // The caller has pipelined its next request, which stays unread until this one has a response.
  WatchForClose(caller, static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR));
}

void CallerServer::OnCallerDisconnected(CallerToken token) {
  const auto it = callers_.find(token);
  const std::unique_ptr<Caller> caller = std::move(it->second);
  callers_.erase(it);
  SoupServerMessage* message = caller->message.get();
  pending_tokens_.erase(message);
  g_signal_handlers_disconnect_by_data(message, this);
  // Makes libsoup detect the closed connection and free the message.
  CloseSocket(message);
  soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
  soup_server_message_unpause(message);
  metrics_.counters.Add("cactusshelf_shell_callers_gone_total", "closed");
  sink_(node_event::CallerDisconnected{token});
}

void CallerServer::Respond(const node_effect::RespondToCaller& response) {
  const auto it = callers_.find(response.token);
  if (it == callers_.end()) {
    metrics_.counters.Add("cactusshelf_shell_dropped_responses_total", "caller_gone");
    return;
  }
  const std::unique_ptr<Caller> caller = std::move(it->second);
  callers_.erase(it);
  caller->RemoveWatch();
  SoupServerMessage* message = caller->message.get();
  pending_tokens_.erase(message);
  metrics_.request_time.Add(SystemClock().Read().monotonic - caller->started);

  soup_server_message_set_status(message, static_cast<guint>(response.status), nullptr);
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
  AppendEndToEndHeaders(response.headers, headers);
  if (draining_) soup_message_headers_replace(headers, "Connection", "close");
  if (!response.body->empty()) {
    soup_message_body_append_bytes(soup_server_message_get_response_body(message),
                                   WrapInGBytes(response.body).get());
  }
  soup_server_message_unpause(message);
}

void CallerServer::OnResponseWritten(SoupServerMessage* message) {
  connections_.ReclaimConnection(message);
}

// Tracks the end of messages by their finalization, since libsoup does not emit "finished" for
// every message, in particular not after its connection was stolen.
void CallerServer::OnMessageFreed(gpointer data, GObject* object) {
  auto* server = static_cast<CallerServer*>(data);
  auto* message = reinterpret_cast<SoupServerMessage*>(object);
  server->live_messages_.erase(message);
  server->received_body_bytes_.erase(message);
  server->CloseIfIdle();
}

void CallerServer::OnMessageFinished(SoupServerMessage* message) {
  received_body_bytes_.erase(message);
  const auto token = pending_tokens_.find(message);
  if (token != pending_tokens_.end()) OnCallerDisconnected(token->second);
}

void CallerServer::Close(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  connections_.Stop();
  CloseIfIdle();
}

void CallerServer::CloseIfIdle() {
  if (!on_closed_ || !live_messages_.empty()) return;
  std::exchange(on_closed_, nullptr)();
}

}  // namespace cactusshelf
