// websocketpp 0.8.2 does not compile as C++20 with g++ 12, so this file is compiled as C++17.
#include "peer_transport.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include "cactusshelf/base/random.h"
#include "cactusshelf/daemon/acceptor.h"
#include "cactusshelf/daemon/socket_address.h"
#include "cactusshelf/daemon/wakeup_timer.h"
#include "socket_stream.h"

namespace cactusshelf {
namespace {

using WebSocketServer = websocketpp::server<websocketpp::config::core>;
using WebSocketClient = websocketpp::client<websocketpp::config::core_client>;

constexpr char kPeerPath[] = "/v1/peers";
constexpr char kMessagesMetric[] = "cactusshelf_shell_peer_messages_total";
constexpr char kDroppedMetric[] = "cactusshelf_shell_peer_dropped_messages_total";
constexpr char kConnectionsMetric[] = "cactusshelf_shell_peer_connections_total";
// Messages stay in the bounded queue while this many bytes or more are not yet written to the
// socket.
constexpr std::size_t kMaxUnwrittenBytes = 65536;
// Handshake requests have no body, so a small limit suffices.
constexpr std::size_t kMaxHandshakeBodyBytes = 1024;
constexpr std::size_t kMaxAcceptedConnections = 1024;

Time MonotonicNow() { return Time{Duration(g_get_monotonic_time())}; }

// One WebSocket connection over one TCP connection.
template <typename Endpoint>
class WebSocketSession : public std::enable_shared_from_this<WebSocketSession<Endpoint>> {
 public:
  using Connection = typename Endpoint::connection_ptr;
  using Message = typename Endpoint::message_ptr;

  struct Handlers {
    std::function<void()> on_open;
    std::function<void(std::string)> on_message;
    std::function<void()> on_writable;
    std::function<void()> on_closed;
  };

  WebSocketSession(Connection connection, std::shared_ptr<SocketStream> stream, Handlers handlers)
      : connection_(std::move(connection)),
        stream_(std::move(stream)),
        handlers_(std::move(handlers)),
        timer_([this] { Close(); }) {}

  // Calls `start_handshake` on the connection. The handshake must complete within `timeout`.
  void Start(std::size_t max_message_bytes, Duration timeout,
             const std::function<void(const Connection&)>& start_handshake) {
    const auto self = this->shared_from_this();
    timeout_ = timeout;
    connection_->set_max_message_size(max_message_bytes);
    connection_->set_max_http_body_size(kMaxHandshakeBodyBytes);
    SetConnectionHandlers();
    SocketStream::Handlers handlers;
    handlers.on_data = [this](const char* data, std::size_t n) { OnData(data, n); };
    handlers.on_end = [this] { Close(); };
    handlers.on_written = [this] { OnWritten(); };
    stream_->Start(std::move(handlers));
    timer_.FireAfter(timeout);
    start_handshake(connection_);
  }

  bool CanSend() const { return open_ && stream_->unwritten_bytes() < kMaxUnwrittenBytes; }

  void Send(const std::string& bytes) {
    const auto opcode = websocketpp::frame::opcode::binary;
    if (connection_->send(bytes.data(), bytes.size(), opcode)) Close();
  }

  void Close() {
    if (closed_) return;
    const auto self = this->shared_from_this();
    Abandon();
    handlers_.on_closed();
  }

  // Closes without calling on_closed.
  void Abandon() {
    if (closed_) return;
    closed_ = true;
    open_ = false;
    timer_.Clear();
    stream_->Close();
    ScheduleRelease();
  }

 private:
  void SetConnectionHandlers() {
    using websocketpp::connection_hdl;
    using websocketpp::lib::error_code;
    connection_->set_write_handler([this](const connection_hdl&, const char* data, std::size_t n) {
      stream_->Write(data, n);
      return error_code();
    });
    connection_->set_shutdown_handler([this](const connection_hdl&) {
      ShutDownAfterWrites();
      return error_code();
    });
    connection_->set_open_handler([this](const connection_hdl&) { OnOpen(); });
    connection_->set_message_handler(
        [this](const connection_hdl&, const Message& message) { OnMessage(message); });
  }

  // A websocketpp connection holds a reference to itself until its pending read fails. The read
  // must not be failed during one of the connection's own callbacks, which may call Close(), so
  // this is done from the main loop.
  void ScheduleRelease() {
    using Self = std::shared_ptr<WebSocketSession>;
    const auto release = [](gpointer data) -> gboolean {
      const Self self = *static_cast<Self*>(data);
      self->connection_->set_write_handler(nullptr);
      self->connection_->set_shutdown_handler(nullptr);
      self->connection_->set_open_handler(nullptr);
      self->connection_->set_message_handler(nullptr);
      self->connection_->fatal_error();
      return G_SOURCE_REMOVE;
    };
    const auto destroy = [](gpointer data) { delete static_cast<Self*>(data); };
    g_idle_add_full(G_PRIORITY_DEFAULT, release, new Self(this->shared_from_this()), destroy);
  }

  void OnData(const char* data, std::size_t n) {
    const auto self = this->shared_from_this();
    try {
      connection_->read_all(data, n);
    } catch (const std::exception&) {
      Close();
    }
  }

  void OnWritten() {
    if (open_) handlers_.on_writable();
  }

  void OnOpen() {
    if (closed_) return;
    open_ = true;
    timer_.Clear();
    handlers_.on_open();
  }

  void OnMessage(const Message& message) {
    if (closed_) return;
    if (message->get_opcode() != websocketpp::frame::opcode::binary) {
      Close();
      return;
    }
    handlers_.on_message(std::move(message->get_raw_payload()));
  }

  // The close frame or the handshake rejection may not have been written yet.
  void ShutDownAfterWrites() {
    if (closed_) return;
    open_ = false;
    timer_.FireAfter(timeout_);
    stream_->CloseAfterWrites();
  }

  Connection connection_;
  std::shared_ptr<SocketStream> stream_;
  Handlers handlers_;
  WakeupTimer timer_;
  Duration timeout_{};
  bool open_ = false;
  bool closed_ = false;
};

template <typename Endpoint>
void DisableLogging(Endpoint& endpoint) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

GObjectPtr<GSocketClient> MakeConnector() {
  GObjectPtr<GSocketClient> connector(g_socket_client_new());
  g_socket_client_set_enable_proxy(connector.get(), FALSE);
  return connector;
}

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(Options options, Counters& counters, std::function<void(std::string)> on_message);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Send(const std::string& address, std::string bytes);
  const std::string& address() const { return address_; }

 private:
  class PeerLink;
  using AcceptedSession = WebSocketSession<WebSocketServer>;

  void Accept(GSocketConnection* connection);
  PeerLink& FindOrCreateLink(const std::string& address);
  void CloseIdleLinks();

  Options options_;
  Counters& counters_;
  std::function<void(std::string)> on_message_;
  Random random_;
  WebSocketServer server_;
  WebSocketClient client_;
  GObjectPtr<GSocketClient> connector_;
  std::unique_ptr<Acceptor> acceptor_;
  std::string address_;
  std::unordered_map<AcceptedSession*, std::shared_ptr<AcceptedSession>> accepted_sessions_;
  std::map<std::string, std::shared_ptr<PeerLink>> links_;
};

// The message queue for one peer and the connection over which the messages are sent.
class PeerTransport::Impl::PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(Impl& transport, std::string address)
      : transport_(transport),
        address_(std::move(address)),
        cancellable_(g_cancellable_new()),
        timer_([this] { OnTimer(); }) {}

  ~PeerLink() {
    if (session_) session_->Abandon();
  }

  // Closes the link. The result of a connection attempt in progress is discarded.
  void Abandon() {
    state_ = State::kAbandoned;
    g_cancellable_cancel(cancellable_.get());
    if (session_) session_->Abandon();
    session_.reset();
    timer_.Clear();
  }

  void Send(std::string bytes) {
    last_used_at_ = MonotonicNow();
    queued_bytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
    while (queue_.size() > options().max_queued_messages ||
           queued_bytes_ > options().max_queued_bytes) {
      PopOldest();
      transport_.counters_.Add(kDroppedMetric, "queue_full");
    }
    if (state_ == State::kIdle) Connect();
    SendQueued();
  }

  Time last_used_at() const { return last_used_at_; }

 private:
  enum class State { kIdle, kConnecting, kHandshake, kOpen, kBackoff, kAbandoned };

  const Options& options() const { return transport_.options_; }

  std::string PopOldest() {
    std::string oldest = std::move(queue_.front());
    queue_.pop_front();
    queued_bytes_ -= oldest.size();
    return oldest;
  }

  void SendQueued() {
    while (state_ == State::kOpen && !queue_.empty() && session_->CanSend()) {
      const std::string bytes = PopOldest();
      transport_.counters_.Add(kMessagesMetric, "sent");
      session_->Send(bytes);
    }
  }

  void Connect() {
    state_ = State::kConnecting;
    timer_.FireAfter(options().handshake_timeout);
    const GObjectPtr<GInetSocketAddress> target = ParseSocketAddress(address_);
    cancellable_.reset(g_cancellable_new());
    const auto on_connected = [](GObject* source, GAsyncResult* result, gpointer data) {
      const std::unique_ptr<std::shared_ptr<PeerLink>> link(
          static_cast<std::shared_ptr<PeerLink>*>(data));
      (*link)->OnConnected(GObjectPtr<GSocketConnection>(
          g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr)));
    };
    g_socket_client_connect_async(transport_.connector_.get(), G_SOCKET_CONNECTABLE(target.get()),
                                  cancellable_.get(), on_connected,
                                  new std::shared_ptr<PeerLink>(this->shared_from_this()));
  }

  void OnConnected(GObjectPtr<GSocketConnection> connection) {
    if (state_ != State::kConnecting) return;
    timer_.Clear();
    websocketpp::lib::error_code ec;
    const auto websocket = transport_.client_.get_connection("ws://" + address_ + kPeerPath, ec);
    if (connection == nullptr || ec) {
      OnUnreachable();
      return;
    }
    state_ = State::kHandshake;
    auto stream = std::make_shared<SocketStream>(std::move(connection), options().ack_timeout);
    WebSocketSession<WebSocketClient>::Handlers handlers;
    handlers.on_open = [this] { OnOpen(); };
    handlers.on_message = [this](const std::string&) { session_->Close(); };
    handlers.on_writable = [this] { SendQueued(); };
    handlers.on_closed = [this] { OnClosed(); };
    session_ = std::make_shared<WebSocketSession<WebSocketClient>>(websocket, std::move(stream),
                                                                   std::move(handlers));
    session_->Start(options().max_message_bytes, options().handshake_timeout,
                    [this](const auto& started) { transport_.client_.connect(started); });
  }

  void OnOpen() {
    state_ = State::kOpen;
    opened_at_ = MonotonicNow();
    transport_.counters_.Add(kConnectionsMetric, "opened");
    SendQueued();
  }

  void OnClosed() {
    const auto self = this->shared_from_this();
    const bool was_open = state_ == State::kOpen;
    session_.reset();
    if (!was_open) {
      OnUnreachable();
      return;
    }
    transport_.counters_.Add(kConnectionsMetric, "closed");
    // A peer that accepts a connection and closes it at once is backed off from like an unreachable
    // one.
    if (MonotonicNow() - opened_at_ >= options().max_backoff) consecutive_failures_ = 0;
    BackOff();
  }

  void OnUnreachable() {
    transport_.counters_.Add(kConnectionsMetric, "connect_failed");
    transport_.counters_.Add(kDroppedMetric, "unreachable", queue_.size());
    queue_.clear();
    queued_bytes_ = 0;
    BackOff();
  }

  void BackOff() {
    state_ = State::kBackoff;
    Duration limit = options().min_backoff;
    for (int n = 0; n < consecutive_failures_ && limit < options().max_backoff; ++n) limit *= 2;
    limit = std::min(limit, options().max_backoff);
    ++consecutive_failures_;
    timer_.FireAfter(transport_.random_.Between(limit / 2, limit));
  }

  void OnTimer() {
    if (state_ == State::kConnecting) {
      // OnConnected() then runs with a null connection.
      g_cancellable_cancel(cancellable_.get());
    } else if (state_ == State::kBackoff) {
      state_ = State::kIdle;
      if (!queue_.empty()) Connect();
    }
  }

  Impl& transport_;
  std::string address_;
  GObjectPtr<GCancellable> cancellable_;
  WakeupTimer timer_;
  std::shared_ptr<WebSocketSession<WebSocketClient>> session_;
  State state_ = State::kIdle;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  int consecutive_failures_ = 0;
  Time opened_at_;
  Time last_used_at_;
};

PeerTransport::Impl::Impl(Options options, Counters& counters,
                          std::function<void(std::string)> on_message)
    : options_(std::move(options)),
      counters_(counters),
      on_message_(std::move(on_message)),
      random_(options_.seed),
      connector_(MakeConnector()) {
  DisableLogging(server_);
  DisableLogging(client_);
  const GObjectPtr<GSocket> socket = Listen(options_.address);
  address_ = LocalAddress(socket.get());
  acceptor_ = std::make_unique<Acceptor>(
      socket.get(), [this](GSocketConnection* connection) { Accept(connection); });
}

PeerTransport::Impl::~Impl() {
  acceptor_.reset();
  for (const auto& [address, link] : links_) link->Abandon();
  for (const auto& [key, session] : accepted_sessions_) session->Abandon();
}

void PeerTransport::Impl::Accept(GSocketConnection* connection) {
  if (accepted_sessions_.size() >= kMaxAcceptedConnections) {
    counters_.Add(kConnectionsMetric, "too_many");
    return;
  }
  const WebSocketServer::connection_ptr websocket = server_.get_connection();
  websocket->set_validate_handler(
      [websocket = websocket.get()](const websocketpp::connection_hdl&) {
        return websocket->get_resource() == kPeerPath;
      });
  auto stream = std::make_shared<SocketStream>(RefGObject(connection), options_.ack_timeout);
  // Set below, after the session exists: on_closed needs its address.
  const auto self = std::make_shared<AcceptedSession*>(nullptr);
  AcceptedSession::Handlers handlers;
  handlers.on_open = [this] { counters_.Add(kConnectionsMetric, "accepted"); };
  handlers.on_message = [this](std::string bytes) {
    counters_.Add(kMessagesMetric, "received");
    on_message_(std::move(bytes));
  };
  handlers.on_writable = [] {};
  handlers.on_closed = [this, self] {
    counters_.Add(kConnectionsMetric, "accepted_closed");
    accepted_sessions_.erase(*self);
  };
  const auto session =
      std::make_shared<AcceptedSession>(websocket, std::move(stream), std::move(handlers));
  *self = session.get();
  accepted_sessions_.emplace(session.get(), session);
  session->Start(options_.max_message_bytes, options_.handshake_timeout,
                 [](const WebSocketServer::connection_ptr& started) { started->start(); });
}

void PeerTransport::Impl::Send(const std::string& address, std::string bytes) {
  if (bytes.size() > options_.max_message_bytes) {
    counters_.Add(kDroppedMetric, "too_large");
    return;
  }
  if (ParseSocketAddress(address) == nullptr) {
    counters_.Add(kDroppedMetric, "bad_address");
    return;
  }
  FindOrCreateLink(address).Send(std::move(bytes));
}

PeerTransport::Impl::PeerLink& PeerTransport::Impl::FindOrCreateLink(const std::string& address) {
  const auto it = links_.find(address);
  if (it != links_.end()) return *it->second;
  CloseIdleLinks();
  return *links_.emplace(address, std::make_shared<PeerLink>(*this, address)).first->second;
}

void PeerTransport::Impl::CloseIdleLinks() {
  const Time oldest = MonotonicNow() - options_.idle_timeout;
  for (auto it = links_.begin(); it != links_.end();) {
    if (it->second->last_used_at() < oldest) {
      it->second->Abandon();
      it = links_.erase(it);
    } else {
      ++it;
    }
  }
}

PeerTransport::PeerTransport(Options options, Counters& counters,
                             std::function<void(std::string)> on_message)
    : impl_(std::make_unique<Impl>(std::move(options), counters, std::move(on_message))) {}

PeerTransport::~PeerTransport() = default;

void PeerTransport::Send(const std::string& address, std::string bytes) {
  impl_->Send(address, std::move(bytes));
}

const std::string& PeerTransport::address() const { return impl_->address(); }

}  // namespace cactusshelf
