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

enum class HttpFailure { kConnect, kReset, kTruncated, kTimeout, kTooLarge, kExpired };

struct HttpAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;
  Body body;
};

struct HttpError {
  HttpFailure failure = HttpFailure::kConnect;
  bool sent = false;  // False only if no byte of the request was handed to a connection.
  std::string reason;
};

using HttpResult = std::variant<HttpAnswer, HttpError>;

struct HttpCall {
  const char* method = "POST";
  std::string url;
  std::vector<HttpHeader> headers;
  Body body;
  Duration timeout{};
  std::size_t max_answer_bytes = 0;
  // Checked when a connection is available, before the first byte is written: from this time on
  // the request is not sent, and the call ends with kExpired.
  std::optional<Time> valid_until;
  std::function<void()> on_sent;  // May be empty.
  std::function<void(HttpResult)> on_done;
};

// HTTP/1.1 client that sends each request at most once. Connections are reused. Callbacks run from
// the main loop, never from within Start or Cancel. Not thread-safe.
class HttpClient {
 public:
  enum class CallId : std::uint64_t {};

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  CallId Start(HttpCall call);

  // Abandons a call; no callback follows. Does nothing if the call has ended.
  void Cancel(CallId id);

 private:
  struct Active;
  using ActivePtr = std::shared_ptr<Active>;
  enum class After { kReuseConnection, kCloseConnection };

  void SendMessage(const ActivePtr& active);
  void OnStarting(Active& active);
  void OnNetworkEvent(Active& active, GSocketClientEvent event, GIOStream* stream);
  void OnHeaders(const ActivePtr& active, GObjectPtr<GInputStream> stream, GErrorPtr error);
  void ReadMore(const ActivePtr& active);
  void OnRead(const ActivePtr& active, gssize n, GErrorPtr error);
  void OnBodyEnd(const ActivePtr& active);
  bool MayBeCutAtChunk(const Active& active) const;
  void Fail(const ActivePtr& active, HttpFailure failure, std::string reason);
  void Finish(const ActivePtr& active, HttpResult result);
  void Release(Active& active, After after);
  void OnDeadline();
  void ArmTimer();

  GObjectPtr<SoupSession> session_;
  std::unordered_map<std::uint64_t, ActivePtr> active_;
  std::set<std::pair<Time, std::uint64_t>> deadlines_;
  // Sockets by libsoup's connection id; shared with the callbacks that remove closed ones.
  using Sockets = std::unordered_map<std::uint64_t, GSocket*>;
  std::shared_ptr<Sockets> sockets_;
  WakeupTimer timer_;
  std::uint64_t next_id_ = 1;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_HTTP_CLIENT_H_
