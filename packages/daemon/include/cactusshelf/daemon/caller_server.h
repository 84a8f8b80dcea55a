#ifndef CACTUSSHELF_DAEMON_CALLER_SERVER_H_
#define CACTUSSHELF_DAEMON_CALLER_SERVER_H_

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "cactusshelf/daemon/caller_connections.h"
#include "cactusshelf/daemon/gobject_ptr.h"
#include "cactusshelf/daemon/interfaces.h"
#include "cactusshelf/daemon/shell_metrics.h"

namespace cactusshelf {

// HTTP server for callers (paths with Options::call_prefix) and for operators (/healthz, /readyz,
// /v1/status, /metrics). Not thread-safe.
class CallerServer {
 public:
  struct Options {
    std::string address;  // "IP:port".
    std::size_t max_body_bytes = 0;
    std::string call_prefix = "/v1/services/";  // Other paths are operator pages.
  };

  // Sources of the contents of the operator pages.
  struct OperatorPages {
    std::function<bool()> ready;
    std::function<std::string()> status;   // JSON.
    std::function<std::string()> metrics;  // Prometheus text.
  };

  // Starts listening. Throws Error if the address cannot be bound. `metrics` must outlive the
  // server.
  CallerServer(const Options& options, OperatorPages pages, ShellMetrics& metrics, EventSink sink);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Sends the response to the caller. A response to a caller that has disconnected is dropped and
  // counted.
  void Respond(const node_effect::RespondToCaller& response);

  // Makes each later response close its connection, so that callers reconnect to other hosts.
  void BeginDrain() { draining_ = true; }

  // Stops listening and calls `on_closed` when no request is being received or processed and no
  // response is being sent.
  void Close(std::function<void()> on_closed);

  // Local address of the listening socket.
  const std::string& address() const { return connections_.address(); }

 private:
  struct Caller;

  void OnHeaders(SoupServerMessage* message);
  void OnChunk(SoupServerMessage* message, gsize bytes);
  void OnRequest(SoupServerMessage* message, const char* path);
  void AcceptCall(SoupServerMessage* message);
  void ServeOperatorPage(SoupServerMessage* message, std::string_view path);
  void Refuse(SoupServerMessage* message, int status, std::string_view reason);
  void WatchForClose(Caller& caller, GIOCondition condition);
  void OnReadable(CallerToken token);
  void OnCallerDisconnected(CallerToken token);
  void OnResponseWritten(SoupServerMessage* message);
  void OnMessageFinished(SoupServerMessage* message);
  static void OnMessageFreed(gpointer data, GObject* object);
  void CloseIfIdle();

  std::size_t max_body_bytes_;
  std::string call_prefix_;
  OperatorPages pages_;
  ShellMetrics& metrics_;
  EventSink sink_;
  GObjectPtr<SoupServer> server_;
  CallerConnections connections_;
  std::uint64_t next_token_ = 1;
  std::unordered_map<CallerToken, std::unique_ptr<Caller>> callers_;
  // Tokens of the messages that await a response.
  std::unordered_map<SoupServerMessage*, CallerToken> pending_tokens_;
  std::unordered_set<SoupServerMessage*> live_messages_;  // All messages not yet freed.
  // Body bytes received so far, for messages whose body length is unknown or over the limit.
  std::unordered_map<SoupServerMessage*, std::size_t> received_body_bytes_;
  bool draining_ = false;
  std::function<void()> on_closed_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_CALLER_SERVER_H_
