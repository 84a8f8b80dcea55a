#ifndef CACTUSSHELF_DAEMON_ENDPOINT_CLIENT_H_
#define CACTUSSHELF_DAEMON_ENDPOINT_CLIENT_H_

#include <unordered_map>

#include "cactusshelf/daemon/http_client.h"
#include "cactusshelf/daemon/interfaces.h"
#include "cactusshelf/daemon/shell_metrics.h"

namespace cactusshelf {

// Sends attempts to endpoints over reused HTTP connections and reports their outcomes.
// Not thread-safe.
class EndpointClient {
 public:
  // An attempt whose response body exceeds `max_response_bytes` fails with kTooLarge. `metrics`
  // must outlive the client.
  EndpointClient(std::size_t max_response_bytes, ShellMetrics& metrics, EventSink sink);

  void Send(const node_effect::SendAttempt& attempt);
  void Cancel(const node_effect::CancelAttempt& cancel);

 private:
  void OnDone(AttemptToken token, Time started, HttpResult result);

  std::size_t max_response_bytes_;
  ShellMetrics& metrics_;
  EventSink sink_;
  std::unordered_map<AttemptToken, HttpClient::CallId> calls_;
  HttpClient http_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_ENDPOINT_CLIENT_H_
