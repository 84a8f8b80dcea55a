#include "worker_client.h"

#include <memory>
#include <utility>

namespace cactusshelf {

WorkerClient::WorkerClient(std::size_t max_response_bytes, ShellMetrics& metrics, EventSink sink)
    : max_response_bytes_(max_response_bytes), metrics_(metrics), sink_(std::move(sink)) {}

void WorkerClient::Call(const node_effect::CallWorker& call) {
  const WorkerCallToken token = call.token;
  HttpCall request;
  if (call.body.empty()) {
    request.method = "GET";
    request.url = "http://" + call.address + "/v1/state";
  } else {
    request.url = "http://" + call.address + "/v1/commands";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::make_shared<const std::string>(call.body);
  }
  request.timeout = call.timeout;
  request.max_response_bytes = max_response_bytes_;
  request.valid_until = call.valid_until;
  request.on_done = [this, token](const HttpResult& result) { OnDone(token, result); };
  http_.Start(std::move(request));
}

void WorkerClient::OnDone(WorkerCallToken token, const HttpResult& result) {
  if (const auto* response = std::get_if<HttpResponse>(&result)) {
    sink_(node_event::WorkerAnswered{token, response->status, *response->body});
    return;
  }
  const auto& error = std::get<HttpError>(result);
  if (error.failure == HttpFailure::kExpired) {
    metrics_.counters.Add("cactusshelf_shell_dropped_effects_total", "expired");
    sink_(node_event::EffectExpired{token});
    return;
  }
  sink_(node_event::WorkerFailed{token, error.sent, error.reason});
}

}  // namespace cactusshelf
