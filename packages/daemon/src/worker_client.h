#ifndef CACTUSSHELF_DAEMON_WORKER_CLIENT_H_
#define CACTUSSHELF_DAEMON_WORKER_CLIENT_H_

#include "cactusshelf/daemon/http_client.h"
#include "cactusshelf/daemon/interfaces.h"
#include "cactusshelf/daemon/shell_metrics.h"

namespace cactusshelf {

// Sends commands to workers and reads their state. Not thread-safe.
class WorkerClient {
 public:
  // `metrics` must outlive the client.
  WorkerClient(std::size_t max_response_bytes, ShellMetrics& metrics, EventSink sink);

  void Call(const node_effect::CallWorker& call);

 private:
  void OnDone(WorkerCallToken token, const HttpResult& result);

  std::size_t max_response_bytes_;
  ShellMetrics& metrics_;
  EventSink sink_;
  HttpClient http_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_WORKER_CLIENT_H_
