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

// HTTP server for callers (by default /v1/services/) and operators (/healthz, /readyz, /v1/status,
// /metrics). Not thread-safe.
class CallerServer {
 public:
  struct Options {
    std::string address;  // "IP:port".
    std::size_t max_body_bytes = 0;
    std::string call_prefix = "/v1/services/";  // Paths of calls; the others are pages.
  };

  // What the operators' paths return.
  struct Pages {
    std::function<bool()> ready;
    std::function<std::string()> status;   // JSON.
    std::function<std::string()> metrics;  // Prometheus text.
  };

  // Listens at once. Throws Error if that is not possible. `metrics` outlives the server.
  CallerServer(const Options& options, Pages pages, ShellMetrics& metrics, EventSink sink);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  void Respond(const node_effect::RespondToCaller& response);

  // From now on each response closes its connection, so that callers move to other hosts.
  void BeginDrain() { draining_ = true; }

  // Stops listening and calls `on_closed` once no request is being read, run or answered.
  void Close(std::function<void()> on_closed);

  // Address at which the server listens.
  const std::string& address() const { return connections_.address(); }

 private:
  struct Caller;

  void OnHeaders(SoupServerMessage* message);
  void OnChunk(SoupServerMessage* message, gsize bytes);
  void OnRequest(SoupServerMessage* message, const char* path);
  void AcceptCall(SoupServerMessage* message);
  void Serve(SoupServerMessage* message, std::string_view path);
  void Refuse(SoupServerMessage* message, int status, std::string_view reason);
  void WatchForClose(Caller& caller, GIOCondition condition);
  void OnReadable(CallerToken token);
  void OnGone(CallerToken token);
  void OnWritten(SoupServerMessage* message);
  void OnFinished(SoupServerMessage* message);
  static void OnFreed(gpointer data, GObject* object);
  void CloseIfIdle();

  std::size_t max_body_bytes_;
  std::string call_prefix_;
  Pages pages_;
  ShellMetrics& metrics_;
  EventSink sink_;
  GObjectPtr<SoupServer> server_;
  CallerConnections connections_;
  std::uint64_t next_token_ = 1;
  std::unordered_map<CallerToken, std::unique_ptr<Caller>> callers_;
  std::unordered_map<SoupServerMessage*, CallerToken> tokens_;  // Of unanswered messages.
  std::unordered_set<SoupServerMessage*> messages_;             // All that exist.
  // Messages with a body of unknown length or over the limit, with the bytes received so far.
  std::unordered_map<SoupServerMessage*, std::size_t> counted_;
  bool draining_ = false;
  std::function<void()> on_closed_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_CALLER_SERVER_H_
