#include "cactusshelf/daemon/http_client.h"

#include <algorithm>

#include "http_headers.h"

namespace cactusshelf {
namespace {

// The node limits the connections to an endpoint. libsoup's own limits (10 in all, 2 per host by
// default) would queue requests where the node cannot see them.
constexpr int kMaxConnections = 32768;
constexpr int kMaxConnectionsPerHost = 1024;
constexpr auto kUriFlags = static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS);
// Shorter than the time for which servers commonly keep idle connections (5 s and more): a request
// that meets the server's close on its way is reported as sent, and its outcome is unknown.
constexpr guint kIdleTimeoutSeconds = 4;
constexpr std::size_t kMinReadBytes = 4096;
constexpr std::size_t kMaxReadBytes = 65536;

Time MonotonicNow() { return Time{Duration(g_get_monotonic_time())}; }

// Processes find each other by IP address, so that no request waits for a name to be looked up.
bool NamesAddress(GUri* uri) {
  const char* host = g_uri_get_host(uri);
  return host != nullptr && g_hostname_is_ip_address(host) && *g_uri_get_path(uri) == '/';
}

bool HasNoBody(guint status) {
  return status == SOUP_STATUS_NO_CONTENT || status == SOUP_STATUS_NOT_MODIFIED;
}

}  // namespace

struct HttpClient::Active {
  HttpClient* client = nullptr;  // Null once the call has ended.
  std::uint64_t id = 0;
  HttpCall call;
  Time deadline;
  GObjectPtr<SoupMessage> message;  // Null if the URL is invalid.
  GObjectPtr<GCancellable> cancellable;
  GObjectPtr<GInputStream> stream;
  GObjectPtr<GSocket> new_socket;  // Of a connection opened for this call.
  std::string body;
  std::size_t body_size = 0;
  bool sent = false;
  bool expired = false;
};

HttpClient::HttpClient()
    : session_(soup_session_new_with_options(
          "max-conns", kMaxConnections, "max-conns-per-host", kMaxConnectionsPerHost, "timeout", 0U,
          "idle-timeout", kIdleTimeoutSeconds, "proxy-resolver", nullptr, nullptr)),
      sockets_(std::make_shared<Sockets>()),
      timer_([this] { OnDeadline(); }) {
  // Bodies and headers pass through unchanged.
  soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_AUTH_MANAGER);
}

HttpClient::~HttpClient() {
  while (!active_.empty()) Cancel(CallId{active_.begin()->first});
  soup_session_abort(session_.get());
}

HttpClient::CallId HttpClient::Start(HttpCall call) {
  auto active = std::make_shared<Active>();
  active->client = this;
  active->id = next_id_++;
  active->call = std::move(call);
  const GUriPtr uri(g_uri_parse(active->call.url.c_str(), kUriFlags, nullptr));
  const bool valid = uri != nullptr && NamesAddress(uri.get());
  if (valid) {
    active->message.reset(soup_message_new_from_uri(active->call.method, uri.get()));
    active->cancellable.reset(g_cancellable_new());
  }
  // A call with an invalid URL ends at once, by way of its deadline.
  active->deadline = MonotonicNow() + (valid ? active->call.timeout : Duration::zero());
  active_.emplace(active->id, active);
  deadlines_.emplace(active->deadline, active->id);
  ArmTimer();
  if (valid) SendMessage(active);
  return CallId{active->id};
}

void HttpClient::SendMessage(const ActivePtr& active) {
  SoupMessage* message = active->message.get();
  // libsoup resends methods that it considers idempotent when a reused connection was closed. A
  // POST with this flag reuses connections and is not resent (design, section 5.3).
  soup_message_set_flags(
      message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_IDEMPOTENT | SOUP_MESSAGE_NO_REDIRECT));
  if (active->call.body) {
    soup_message_set_request_body_from_bytes(message, nullptr, ShareBody(active->call.body).get());
  }
  AppendEndToEndHeaders(active->call.headers, soup_message_get_request_headers(message));

  const auto on_starting = [](SoupMessage* /*message*/, gpointer data) {
    auto* call = static_cast<Active*>(data);
    if (call->client != nullptr) call->client->OnStarting(*call);
  };
  g_signal_connect(message, "starting", G_CALLBACK(+on_starting), active.get());
  const auto on_network_event = [](SoupMessage* /*message*/, GSocketClientEvent event,
                                   GIOStream* stream, gpointer data) {
    auto* call = static_cast<Active*>(data);
    if (call->client != nullptr) call->client->OnNetworkEvent(*call, event, stream);
  };
  g_signal_connect(message, "network-event", G_CALLBACK(+on_network_event), active.get());

  const auto on_headers = [](GObject* source, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<ActivePtr> call(static_cast<ActivePtr*>(data));
    GError* error = nullptr;
    GObjectPtr<GInputStream> stream(soup_session_send_finish(SOUP_SESSION(source), result, &error));
    GErrorPtr owned_error(error);
    g_signal_handlers_disconnect_by_data((*call)->message.get(), call->get());
    HttpClient* client = (*call)->client;
    if (client != nullptr) client->OnHeaders(*call, std::move(stream), std::move(owned_error));
  };
  soup_session_send_async(session_.get(), message, G_PRIORITY_DEFAULT, active->cancellable.get(),
                          on_headers, new ActivePtr(active));
}

void HttpClient::OnStarting(Active& active) {
  // A second start would be a resend; it is stopped before its first byte.
  if (active.sent) {
    g_cancellable_cancel(active.cancellable.get());
    return;
  }
  if (active.call.valid_until && MonotonicNow() >= *active.call.valid_until) {
    active.expired = true;
    g_cancellable_cancel(active.cancellable.get());
    return;
  }
  if (active.new_socket) {
    const std::uint64_t id = soup_message_get_connection_id(active.message.get());
    GSocket* socket = active.new_socket.get();
    if (sockets_->emplace(id, socket).second) {
      using Entry = std::pair<std::weak_ptr<Sockets>, std::uint64_t>;
      const auto remove = [](gpointer data, GObject* /*object*/) {
        const std::unique_ptr<Entry> entry(static_cast<Entry*>(data));
        if (const auto sockets = entry->first.lock()) sockets->erase(entry->second);
      };
      g_object_weak_ref(G_OBJECT(socket), remove, new Entry(sockets_, id));
    }
    active.new_socket.reset();
  }
  active.sent = true;
  if (active.call.on_sent) active.call.on_sent();
}

void HttpClient::OnNetworkEvent(Active& active, GSocketClientEvent event, GIOStream* stream) {
  if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(stream)) return;
  GSocket* socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
  active.new_socket = ShareGObject(socket);
}

void HttpClient::OnHeaders(const ActivePtr& active, GObjectPtr<GInputStream> stream,
                           GErrorPtr error) {
  if (active->expired) {
    Fail(active, HttpFailure::kExpired, "expired before it was sent");
    return;
  }
  if (error) {
    Fail(active, active->sent ? HttpFailure::kReset : HttpFailure::kConnect, error->message);
    return;
  }
  SoupMessageHeaders* headers = soup_message_get_response_headers(active->message.get());
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  const guint status = soup_message_get_status(active->message.get());
  if (encoding == SOUP_ENCODING_EOF && !HasNoBody(status)) {
    Fail(active, HttpFailure::kTruncated, "body without a length");
    return;
  }
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH) {
    const auto length =
        static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers));
    if (length > active->call.max_answer_bytes) {
      Fail(active, HttpFailure::kTooLarge, "body too large");
      return;
    }
    active->body.reserve(length);
  }
  active->stream = std::move(stream);
  ReadMore(active);
}

void HttpClient::ReadMore(const ActivePtr& active) {
  const std::size_t free = active->body.capacity() - active->body_size;
  const std::size_t n = std::clamp(free, kMinReadBytes, kMaxReadBytes);
  active->body.resize(active->body_size + n);
  const auto on_read = [](GObject* source, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<ActivePtr> call(static_cast<ActivePtr*>(data));
    GError* error = nullptr;
    const gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
    GErrorPtr owned_error(error);
    HttpClient* client = (*call)->client;
    if (client != nullptr) client->OnRead(*call, n, std::move(owned_error));
  };
  g_input_stream_read_async(active->stream.get(), active->body.data() + active->body_size, n,
                            G_PRIORITY_DEFAULT, active->cancellable.get(), on_read,
                            new ActivePtr(active));
}

void HttpClient::OnRead(const ActivePtr& active, gssize n, GErrorPtr error) {
  if (error) {
    Fail(active, HttpFailure::kTruncated, error->message);
    return;
  }
  active->body_size += static_cast<std::size_t>(n);
  if (active->body_size > active->call.max_answer_bytes) {
    Fail(active, HttpFailure::kTooLarge, "body too large");
  } else if (n > 0) {
    ReadMore(active);
  } else {
    OnBodyEnd(active);
  }
}

void HttpClient::OnBodyEnd(const ActivePtr& active) {
  if (MayBeCutAtChunk(*active)) {
    Fail(active, HttpFailure::kTruncated, "connection closed at the end of a chunk");
    return;
  }
  active->body.resize(active->body_size);
  HttpAnswer answer;
  answer.status = static_cast<int>(soup_message_get_status(active->message.get()));
  answer.headers = CopyEndToEndHeaders(soup_message_get_response_headers(active->message.get()));
  answer.body = std::make_shared<const std::string>(std::move(active->body));
  Finish(active, std::move(answer));
}

// libsoup 3.2.3 reports a chunked body as complete when the connection is closed between two
// chunks. Such a body can only be told from a complete one by the closed connection, so a chunked
// body whose connection is closed by then is not delivered.
bool HttpClient::MayBeCutAtChunk(const Active& active) const {
  SoupMessageHeaders* headers = soup_message_get_response_headers(active.message.get());
  if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED) return false;
  const auto socket = sockets_->find(soup_message_get_connection_id(active.message.get()));
  return socket == sockets_->end() || g_socket_is_closed(socket->second) || IsAtEnd(socket->second);
}

void HttpClient::Fail(const ActivePtr& active, HttpFailure failure, std::string reason) {
  const bool sent = active->sent;
  Finish(active, HttpError{failure, sent, std::move(reason)});
}

void HttpClient::Finish(const ActivePtr& active, HttpResult result) {
  const bool answered = std::holds_alternative<HttpAnswer>(result);
  Release(*active, answered ? After::kReuseConnection : After::kCloseConnection);
  active->call.on_done(std::move(result));
}

void HttpClient::Release(Active& active, After after) {
  active.client = nullptr;
  if (after == After::kCloseConnection && active.cancellable) {
    g_cancellable_cancel(active.cancellable.get());
  }
  // Closing the stream at the end of the body returns the connection to the session.
  if (after == After::kReuseConnection) active.stream.reset();
  deadlines_.erase({active.deadline, active.id});
  active_.erase(active.id);
  ArmTimer();
}

void HttpClient::Cancel(CallId id) {
  const auto it = active_.find(static_cast<std::uint64_t>(id));
  if (it == active_.end()) return;
  const ActivePtr keep = it->second;
  Release(*keep, After::kCloseConnection);
}

void HttpClient::OnDeadline() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= MonotonicNow()) {
    const ActivePtr active = active_.at(deadlines_.begin()->second);
    if (active->message) {
      Fail(active, HttpFailure::kTimeout, "no complete answer in time");
    } else {
      Fail(active, HttpFailure::kConnect, "invalid URL");
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
