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

// Runs the main loop until `condition` holds. False if that takes longer than a generous limit.
bool RunUntil(const std::function<bool()>& condition);

// Runs the main loop for `time`, for tests that nothing further happens.
void RunFor(Duration time);

Body MakeBody(std::string text);

// Value of the header `name`, or "absent".
std::string HeaderOf(const std::vector<HttpHeader>& headers, const std::string& name);

// All events of kind `T` in `events`.
template <typename T>
std::vector<T> EventsOf(const std::vector<NodeEvent>& events) {
  std::vector<T> found;
  for (const NodeEvent& event : events) {
    if (const T* value = std::get_if<T>(&event)) found.push_back(*value);
  }
  return found;
}

// Raw TCP connection that collects what it receives.
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
  // Closes once all has been written.
  void Finish() { stream_->CloseAfterWrites(); }

  std::string received;
  bool ended = false;
  std::function<void()> on_data;  // May be empty.

 private:
  std::shared_ptr<SocketStream> stream_;
};

// Server that reads HTTP requests and leaves each answer to the test.
class ScriptServer {
 public:
  using Handler = std::function<void(RawConnection& connection, const std::string& request)>;

  explicit ScriptServer(Handler handler);
  ~ScriptServer();
  ScriptServer(const ScriptServer&) = delete;
  ScriptServer& operator=(const ScriptServer&) = delete;

  const std::string& address() const { return address_; }
  const std::vector<std::string>& requests() const { return requests_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  void Accept(GSocketConnection* connection);
  void TakeRequest(RawConnection& connection);

  Handler handler_;
  std::unique_ptr<Acceptor> acceptor_;
  std::string address_;
  std::vector<std::unique_ptr<RawConnection>> connections_;
  std::vector<std::string> requests_;
};

// Response with a Content-Length.
std::string HttpOk(const std::string& body);

// Address at which nothing listens.
std::string ClosedAddress();

// Node that records events and emits what the test tells it to.
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
