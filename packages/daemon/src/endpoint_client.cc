#include "endpoint_client.h"

#include <string_view>
#include <utility>

#include "cactusshelf/daemon/clock.h"

namespace cactusshelf {
namespace {

struct FailureKind {
  node_event::AttemptFailure failure;
  std::string_view reason;
};

FailureKind Classify(HttpFailure failure) {
  using node_event::AttemptFailure;
  switch (failure) {
    case HttpFailure::kReset:
      return {AttemptFailure::kReset, "reset"};
    case HttpFailure::kTruncated:
      return {AttemptFailure::kTruncated, "truncated"};
    case HttpFailure::kTimeout:
      return {AttemptFailure::kTimeout, "timeout"};
    case HttpFailure::kTooLarge:
      return {AttemptFailure::kTooLarge, "too_large"};
    case HttpFailure::kConnect:
    case HttpFailure::kExpired:
    case HttpFailure::kWrongConnection:
      break;
  }
  return {AttemptFailure::kConnect, "connect"};
}

}  // namespace

EndpointClient::EndpointClient(std::size_t max_response_bytes, ShellMetrics& metrics,
                               EventSink sink)
    : max_response_bytes_(max_response_bytes), metrics_(metrics), sink_(std::move(sink)) {}

void EndpointClient::Send(const node_effect::SendAttempt& attempt) {
  const AttemptToken token = attempt.token;
  const Time started = SystemClock().Read().monotonic;
  HttpCall call;
  call.url = "http://" + attempt.address + attempt.path;
  call.headers = attempt.headers;
  call.body = attempt.body;
  call.timeout = attempt.timeout;
  call.max_response_bytes = max_response_bytes_;
  call.valid_until = attempt.valid_until;
  call.on_sent = [this, token] { sink_(node_event::AttemptSent{token}); };
  call.on_done = [this, token, started](HttpResult result) {
    OnDone(token, started, std::move(result));
  };
  calls_.emplace(token, http_.Start(std::move(call)));
}

void EndpointClient::Cancel(const node_effect::CancelAttempt& cancel) {
  const auto it = calls_.find(cancel.token);
  if (it == calls_.end()) return;
  http_.Cancel(it->second);
  calls_.erase(it);
}

void EndpointClient::OnDone(AttemptToken token, Time started, HttpResult result) {
  calls_.erase(token);
  metrics_.attempt_time.Add(SystemClock().Read().monotonic - started);
  if (auto* response = std::get_if<HttpResponse>(&result)) {
    sink_(node_event::AttemptAnswered{token, response->status, std::move(response->headers),
                                      std::move(response->body)});
    return;
  }
  const auto& error = std::get<HttpError>(result);
  if (error.failure == HttpFailure::kExpired) {
    metrics_.counters.Add("cactusshelf_shell_dropped_effects_total", "expired");
    sink_(node_event::EffectExpired{token});
    return;
  }
  const FailureKind kind = Classify(error.failure);
  metrics_.counters.Add("cactusshelf_shell_attempt_failures_total", kind.reason);
  sink_(node_event::AttemptFailed{token, kind.failure, error.sent});
}

}  // namespace cactusshelf
