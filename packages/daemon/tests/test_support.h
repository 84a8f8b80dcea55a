#ifndef CACTUSSHELF_DAEMON_TEST_SUPPORT_H_
#define CACTUSSHELF_DAEMON_TEST_SUPPORT_H_

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/daemon/acceptor.h"
#include "cactusshelf/daemon/node_concept.h"
#include "socket_stream.h"

namespace cactusshelf {

// Runs the main loop until `condition` holds. Returns false if it does not hold within 20 s.
bool RunUntil(const std::function<bool()>& condition);

// Runs the main loop for `time`, for tests that expect no further events.
void RunFor(Duration time);

Body MakeBody(std::string text);

// Returns the value of the header `name`, or "absent".
std::string HeaderValue(const std::vector<HttpHeader>& headers, const std::string& name);

// Returns all events of type `T` in `events`.
template <typename T>
std::vector<T> EventsOf(const std::vector<NodeEvent>& events) {
  std::vector<T> found;
  for (const NodeEvent& event : events) {
    if (const T* value = std::get_if<T>(&event)) found.push_back(*value);
  }
  return found;
}

// TCP connection that stores all received bytes.
class RawConnection {
 public:
  explicit RawConnection(GObjectPtr<GSocketConnection> connection);
  // Connects to "IP:port".
  explicit RawConnection(const std::string& address);
  ~RawConnection() { Close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Write(const std::string& text) { stream_->Write(text.data(), text.size()); }
  void Close() { stream_->Close(); }
  // Closes the connection when all data has been written.
  void CloseAfterWrites() { stream_->CloseAfterWrites(); }

  std::string received;
  bool ended = false;
  std::function<void()> on_data;  // Optional.

 private:
  std::shared_ptr<SocketStream> stream_;
};

// Server that reads HTTP requests and passes each one to a handler of the test.
class ScriptedServer {
 public:
  using Handler = std::function<void(RawConnection& connection, const std::string& request)>;

  explicit ScriptedServer(Handler handler);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const std::string& address() const { return address_; }
  const std::vector<std::string>& requests() const { return requests_; }
  // Number of connections accepted so far.
  std::size_t connections() const { return connections_.size(); }
  // Closes all connections, as the end of the server's process does. The server goes on listening.
  void CloseConnections();

 private:
  void Accept(GSocketConnection* connection);
  void ParseRequests(RawConnection& connection);

  Handler handler_;
  std::unique_ptr<Acceptor> acceptor_;
  std::string address_;
  std::vector<std::unique_ptr<RawConnection>> connections_;
  std::vector<std::string> requests_;
};

// Returns a 200 response with a Content-Length header.
std::string OkResponse(const std::string& body);

// Returns a loopback address at which no socket listens.
std::string UnusedAddress();

// Node that records its events and emits the effects set by the test.
struct FakeNode {
  void Start(const Now& /*now*/) { started = true; }
  void Handle(const Now& now, const NodeEvent& event) {
    times.push_back(now);
    events.push_back(event);
    if (on_event) on_event(event);
  }
  std::vector<NodeEffect> TakeEffects() { return std::exchange(effects, {}); }
  std::optional<Time> NextWakeup() const { return wakeup; }
  bool ready() const { return is_ready; }
  std::string Status(const Now& /*now*/) const { return "{\"fake\":true}"; }
  std::string Metrics() const { return "fake_metric 1\n"; }

  bool started = false;
  bool is_ready = true;
  std::optional<Time> wakeup;
  std::vector<NodeEffect> effects;
  std::vector<NodeEvent> events;
  std::vector<Now> times;
  std::function<void(const NodeEvent&)> on_event;
};
static_assert(Node<FakeNode>);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_TEST_SUPPORT_H_
