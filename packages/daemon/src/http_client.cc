#include "cactusshelf/daemon/http_client.h"

#include <algorithm>

#include "http_headers.h"

namespace cactusshelf {
namespace {

// The node limits the connections to an endpoint. libsoup's default limits (10 in total, 2 per
// host) would queue requests inside libsoup, where the node cannot account for them.
constexpr int kMaxConnections = 32768;
constexpr int kMaxConnectionsPerHost = 1024;
constexpr auto kUriFlags = static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS);
// Shorter than the idle timeout of common servers (5 s and more): a request that is written while
// the server closes the connection is reported as sent, and its outcome is unknown.
constexpr guint kIdleTimeoutSeconds = 4;
constexpr std::size_t kMinReadBytes = 4096;
constexpr std::size_t kMaxReadBytes = 65536;

Time MonotonicNow() { return Time{Duration(g_get_monotonic_time())}; }

// Returns whether the host of `uri` is an IP address and its path is absolute. Host names are
// rejected so that no request waits for a DNS lookup.
bool HasIpAddressHost(GUri* uri) {
  const char* host = g_uri_get_host(uri);
  return host != nullptr && g_hostname_is_ip_address(host) && *g_uri_get_path(uri) == '/';
}

bool HasNoBody(guint status) {
  return status == SOUP_STATUS_NO_CONTENT || status == SOUP_STATUS_NOT_MODIFIED;
}

}  // namespace

struct HttpClient::ActiveCall {
  HttpClient* client = nullptr;  // Null once the call has ended.
  std::uint64_t id = 0;
  HttpCall call;
  Time deadline;
  GObjectPtr<SoupMessage> message;  // Null if the URL is invalid.
  GObjectPtr<GCancellable> cancellable;
  GObjectPtr<GInputStream> stream;
  GObjectPtr<GSocket> opened_socket;  // Set if a connection was opened for this call.
  std::string body;
  std::size_t body_size = 0;
  bool sent = false;
  bool expired = false;
  bool wrong_connection = false;
};

HttpClient::HttpClient()
    : session_(soup_session_new_with_options(
          "max-conns", kMaxConnections, "max-conns-per-host", kMaxConnectionsPerHost, "timeout", 0U,
          "idle-timeout", kIdleTimeoutSeconds, "proxy-resolver", nullptr, nullptr)),
      sockets_(std::make_shared<Sockets>()),
      timer_([this] { OnDeadline(); }) {
  // Bodies are not decompressed and credentials are not added: both are relayed unchanged.
  soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_AUTH_MANAGER);
}

HttpClient::~HttpClient() {
  while (!active_calls_.empty()) Cancel(CallId{active_calls_.begin()->first});
  soup_session_abort(session_.get());
}

HttpClient::CallId HttpClient::Start(HttpCall call) {
  auto active_call = std::make_shared<ActiveCall>();
  active_call->client = this;
  active_call->id = next_id_++;
  active_call->call = std::move(call);
  const GUriPtr uri(g_uri_parse(active_call->call.url.c_str(), kUriFlags, nullptr));
  const bool valid = uri != nullptr && HasIpAddressHost(uri.get());
  if (valid) {
    active_call->message.reset(soup_message_new_from_uri(active_call->call.method, uri.get()));
    active_call->cancellable.reset(g_cancellable_new());
  }
  // A call with an invalid URL gets a deadline that has passed, so that it fails from the main
  // loop.
  active_call->deadline = MonotonicNow() + (valid ? active_call->call.timeout : Duration::zero());
  active_calls_.emplace(active_call->id, active_call);
  deadlines_.emplace(active_call->deadline, active_call->id);
  ArmTimer();
  if (valid) SendMessage(active_call);
  return CallId{active_call->id};
}

void HttpClient::SendMessage(const ActiveCallPtr& active_call) {
  SoupMessage* message = active_call->message.get();
  // When a reused connection turns out to be closed, libsoup resends requests whose method it
  // considers idempotent. A POST with this flag reuses connections and is not resent (design,
  // section 5.3).
  soup_message_set_flags(
      message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_IDEMPOTENT | SOUP_MESSAGE_NO_REDIRECT));
  if (active_call->call.body) {
    soup_message_set_request_body_from_bytes(message, nullptr,
                                             WrapInGBytes(active_call->call.body).get());
  }
  AppendEndToEndHeaders(active_call->call.headers, soup_message_get_request_headers(message));

  const auto on_starting = [](SoupMessage* /*message*/, gpointer data) {
    auto* call = static_cast<ActiveCall*>(data);
    if (call->client != nullptr) call->client->OnStarting(*call);
  };
  g_signal_connect(message, "starting", G_CALLBACK(+on_starting), active_call.get());
  const auto on_network_event = [](SoupMessage* /*message*/, GSocketClientEvent event,
                                   GIOStream* stream, gpointer data) {
    auto* call = static_cast<ActiveCall*>(data);
    if (call->client != nullptr) call->client->OnNetworkEvent(*call, event, stream);
  };
  g_signal_connect(message, "network-event", G_CALLBACK(+on_network_event), active_call.get());

  const auto on_headers = [](GObject* source, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<ActiveCallPtr> call(static_cast<ActiveCallPtr*>(data));
    GError* error = nullptr;
    GObjectPtr<GInputStream> stream(soup_session_send_finish(SOUP_SESSION(source), result, &error));
    GErrorPtr owned_error(error);
    g_signal_handlers_disconnect_by_data((*call)->message.get(), call->get());
    HttpClient* client = (*call)->client;
    if (client != nullptr) client->OnHeaders(*call, std::move(stream), std::move(owned_error));
  };
  soup_session_send_async(session_.get(), message, G_PRIORITY_DEFAULT,
                          active_call->cancellable.get(), on_headers,
                          new ActiveCallPtr(active_call));
}

void HttpClient::OnStarting(ActiveCall& active_call) {
  // A second "starting" signal means that libsoup resends the request; the call is cancelled before
  // the first byte is written.
  if (active_call.sent) {
    g_cancellable_cancel(active_call.cancellable.get());
    return;
  }
  if (active_call.call.valid_until && MonotonicNow() >= *active_call.call.valid_until) {
    active_call.expired = true;
    g_cancellable_cancel(active_call.cancellable.get());
    return;
  }
  if (active_call.opened_socket) {
    const std::uint64_t id = soup_message_get_connection_id(active_call.message.get());
    GSocket* socket = active_call.opened_socket.get();
    if (sockets_->emplace(id, socket).second) {
      using Entry = std::pair<std::weak_ptr<Sockets>, std::uint64_t>;
      const auto remove = [](gpointer data, GObject* /*object*/) {
        const std::unique_ptr<Entry> entry(static_cast<Entry*>(data));
        if (const auto sockets = entry->first.lock()) sockets->erase(entry->second);
      };
      g_object_weak_ref(G_OBJECT(socket), remove, new Entry(sockets_, id));
    }
    active_call.opened_socket.reset();
  }
  const HttpConnection connection{soup_message_get_connection_id(active_call.message.get())};
  const auto& accept_connection = active_call.call.accept_connection;
  if (accept_connection && !accept_connection(connection)) {
    active_call.wrong_connection = true;
    g_cancellable_cancel(active_call.cancellable.get());
    return;
  }
  active_call.sent = true;
  if (active_call.call.on_sent) active_call.call.on_sent();
}

void HttpClient::OnNetworkEvent(ActiveCall& active_call, GSocketClientEvent event,
                                GIOStream* stream) {
  if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(stream)) return;
  GSocket* socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
  active_call.opened_socket = RefGObject(socket);
}

void HttpClient::OnHeaders(const ActiveCallPtr& active_call, GObjectPtr<GInputStream> stream,
                           GErrorPtr error) {
  if (active_call->expired) {
    FailCall(active_call, HttpFailure::kExpired, "valid_until passed before the request was sent");
    return;
  }
  if (active_call->wrong_connection) {
    FailCall(active_call, HttpFailure::kWrongConnection, "not sent on another connection");
    return;
  }
  if (error) {
    FailCall(active_call, active_call->sent ? HttpFailure::kReset : HttpFailure::kConnect,
             error->message);
    return;
  }
  SoupMessageHeaders* headers = soup_message_get_response_headers(active_call->message.get());
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  const guint status = soup_message_get_status(active_call->message.get());
  if (encoding == SOUP_ENCODING_EOF && !HasNoBody(status)) {
    FailCall(active_call, HttpFailure::kTruncated,
             "response body has neither Content-Length nor chunked encoding");
    return;
  }
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH) {
    const auto length =
        static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers));
    if (length > active_call->call.max_response_bytes) {
      FailCall(active_call, HttpFailure::kTooLarge, "response body exceeds the size limit");
      return;
    }
    active_call->body.reserve(length);
  }
  active_call->stream = std::move(stream);
  ReadBody(active_call);
}

void HttpClient::ReadBody(const ActiveCallPtr& active_call) {
  const std::size_t free_bytes = active_call->body.capacity() - active_call->body_size;
  const std::size_t n = std::clamp(free_bytes, kMinReadBytes, kMaxReadBytes);
  active_call->body.resize(active_call->body_size + n);
  const auto on_read = [](GObject* source, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<ActiveCallPtr> call(static_cast<ActiveCallPtr*>(data));
    GError* error = nullptr;
    const gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
    GErrorPtr owned_error(error);
    HttpClient* client = (*call)->client;
    if (client != nullptr) client->OnRead(*call, n, std::move(owned_error));
  };
  g_input_stream_read_async(
      active_call->stream.get(), active_call->body.data() + active_call->body_size, n,
      G_PRIORITY_DEFAULT, active_call->cancellable.get(), on_read, new ActiveCallPtr(active_call));
}

void HttpClient::OnRead(const ActiveCallPtr& active_call, gssize n, GErrorPtr error) {
  if (error) {
    FailCall(active_call, HttpFailure::kTruncated, error->message);
    return;
  }
  active_call->body_size += static_cast<std::size_t>(n);
  if (active_call->body_size > active_call->call.max_response_bytes) {
    FailCall(active_call, HttpFailure::kTooLarge, "response body exceeds the size limit");
  } else if (n > 0) {
    ReadBody(active_call);
  } else {
    OnBodyEnd(active_call);
  }
}

void HttpClient::OnBodyEnd(const ActiveCallPtr& active_call) {
  if (MayBeTruncatedBetweenChunks(*active_call)) {
    FailCall(active_call, HttpFailure::kTruncated, "connection closed between two chunks");
    return;
  }
  active_call->body.resize(active_call->body_size);
  HttpResponse response;
  response.status = static_cast<int>(soup_message_get_status(active_call->message.get()));
  response.headers =
      CopyEndToEndHeaders(soup_message_get_response_headers(active_call->message.get()));
  response.body = std::make_shared<const std::string>(std::move(active_call->body));
  response.connection = HttpConnection{soup_message_get_connection_id(active_call->message.get())};
  FinishCall(active_call, std::move(response));
}

// libsoup 3.2.3 reports a chunked body as complete when the connection is closed between two
// chunks. Only the state of the connection distinguishes such a body from a complete one, so a
// chunked body whose connection is closed at the end of the body is treated as truncated.
bool HttpClient::MayBeTruncatedBetweenChunks(const ActiveCall& active_call) const {
  SoupMessageHeaders* headers = soup_message_get_response_headers(active_call.message.get());
  if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED) return false;
  const auto socket = sockets_->find(soup_message_get_connection_id(active_call.message.get()));
  return socket == sockets_->end() || g_socket_is_closed(socket->second) ||
         IsAtEndOfStream(socket->second);
}

void HttpClient::FailCall(const ActiveCallPtr& active_call, HttpFailure failure,
                          std::string reason) {
  const bool sent = active_call->sent;
  FinishCall(active_call, HttpError{failure, sent, std::move(reason)});
}

void HttpClient::FinishCall(const ActiveCallPtr& active_call, HttpResult result) {
  const bool has_response = std::holds_alternative<HttpResponse>(result);
  ReleaseCall(*active_call, has_response ? ConnectionDisposition::kReuseConnection
                                         : ConnectionDisposition::kCloseConnection);
  active_call->call.on_done(std::move(result));
}

void HttpClient::ReleaseCall(ActiveCall& active_call, ConnectionDisposition disposition) {
  active_call.client = nullptr;
  if (disposition == ConnectionDisposition::kCloseConnection && active_call.cancellable) {
    g_cancellable_cancel(active_call.cancellable.get());
  }
  // Closing the stream at the end of the body returns the connection to the session.
  if (disposition == ConnectionDisposition::kReuseConnection) active_call.stream.reset();
  deadlines_.erase({active_call.deadline, active_call.id});
  active_calls_.erase(active_call.id);
  ArmTimer();
}

void HttpClient::Cancel(CallId id) {
  const auto it = active_calls_.find(static_cast<std::uint64_t>(id));
  if (it == active_calls_.end()) return;
  const ActiveCallPtr cancelled = it->second;
  ReleaseCall(*cancelled, ConnectionDisposition::kCloseConnection);
}

bool HttpClient::IsOpen(HttpConnection connection) const {
  const auto it = sockets_->find(static_cast<std::uint64_t>(connection));
  if (it == sockets_->end() || g_socket_is_closed(it->second)) return false;
  // An idle connection is readable only if it has been closed by the other side.
  return (g_socket_condition_check(it->second, G_IO_IN) & G_IO_IN) == 0;
}

void HttpClient::OnDeadline() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= MonotonicNow()) {
    const ActiveCallPtr active_call = active_calls_.at(deadlines_.begin()->second);
    if (active_call->message) {
      FailCall(active_call, HttpFailure::kTimeout, "no complete response before the timeout");
    } else {
      FailCall(active_call, HttpFailure::kConnect, "invalid URL");
    }
  }
  ArmTimer();
}

void HttpClient::ArmTimer() {
  if (deadlines_.empty()) {
    timer_.Clear();
  } else {
    timer_.FireAfter(deadlines_.begin()->first - MonotonicNow());
  }
}

}  // namespace cactusshelf
