#ifndef CACTUSSHELF_DAEMON_HTTP_CLIENT_H_
#define CACTUSSHELF_DAEMON_HTTP_CLIENT_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/daemon/gobject_ptr.h"
#include "cactusshelf/daemon/wakeup_timer.h"
#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

enum class HttpFailure {
  kConnect,
  kReset,
  kTruncated,
  kTimeout,
  kTooLarge,
  kExpired,
  kWrongConnection,  // HttpCall::accept_connection did not accept the connection.
};

// Identifies a connection of an HttpClient. Values are not reused.
enum class HttpConnection : std::uint64_t { kNone = 0 };

struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  Body body;
  HttpConnection connection = HttpConnection::kNone;  // On which the response came.
};

struct HttpError {
  HttpFailure failure = HttpFailure::kConnect;
  bool sent = false;  // False only if no byte of the request was written to a connection.
  std::string reason;
};

using HttpResult = std::variant<HttpResponse, HttpError>;

struct HttpCall {
  const char* method = "POST";
  std::string url;
  std::vector<HttpHeader> headers;
  Body body;
  Duration timeout{};
  std::size_t max_response_bytes = 0;
  // If this time has been reached when a connection becomes available, before the first byte is
  // written, the request is not sent and the call ends with kExpired.
  std::optional<Time> valid_until;
  // Optional. Called with the connection that the request is about to be written to. If it returns
  // false, the request is not sent, the connection is closed, and the call ends with
  // kWrongConnection. May run from within Start().
  std::function<bool(HttpConnection)> accept_connection;
  std::function<void()> on_sent;  // Optional.
  std::function<void(HttpResult)> on_done;
};

// HTTP/1.1 client that sends each request at most once and reuses connections. Callbacks run from
// the main loop, never from within Start() or Cancel(). Not thread-safe.
class HttpClient {
 public:
  enum class CallId : std::uint64_t {};

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. `on_done` runs exactly once unless the call is cancelled or the client is
  // destroyed.
  CallId Start(HttpCall call);

  // Cancels a call; none of its callbacks run afterwards. Does nothing if the call has ended.
  void Cancel(CallId id);

  // True if a request may be written to the connection once no call uses it: neither side is known
  // to have closed it.
  bool IsOpen(HttpConnection connection) const;

 private:
  struct ActiveCall;
  using ActiveCallPtr = std::shared_ptr<ActiveCall>;
  enum class ConnectionDisposition { kReuseConnection, kCloseConnection };

  void SendMessage(const ActiveCallPtr& active_call);
  void OnStarting(ActiveCall& active_call);
  void OnNetworkEvent(ActiveCall& active_call, GSocketClientEvent event, GIOStream* stream);
  void OnHeaders(const ActiveCallPtr& active_call, GObjectPtr<GInputStream> stream,
                 GErrorPtr error);
  void ReadBody(const ActiveCallPtr& active_call);
  void OnRead(const ActiveCallPtr& active_call, gssize n, GErrorPtr error);
  void OnBodyEnd(const ActiveCallPtr& active_call);
  bool MayBeTruncatedBetweenChunks(const ActiveCall& active_call) const;
  void FailCall(const ActiveCallPtr& active_call, HttpFailure failure, std::string reason);
  void FinishCall(const ActiveCallPtr& active_call, HttpResult result);
  void ReleaseCall(ActiveCall& active_call, ConnectionDisposition disposition);
  void OnDeadline();
  void ArmTimer();

  GObjectPtr<SoupSession> session_;
  std::unordered_map<std::uint64_t, ActiveCallPtr> active_calls_;
  std::set<std::pair<Time, std::uint64_t>> deadlines_;
  // Sockets by libsoup connection ID. Shared with the weak-reference callbacks that remove the
  // entries of finalized sockets.
  using Sockets = std::unordered_map<std::uint64_t, GSocket*>;
  std::shared_ptr<Sockets> sockets_;
  WakeupTimer timer_;
  std::uint64_t next_id_ = 1;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_HTTP_CLIENT_H_
