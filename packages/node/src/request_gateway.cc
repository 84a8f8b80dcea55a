#include "request_gateway.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <variant>

#include "request_headers.h"
#include "request_parser.h"

namespace cactusshelf {
namespace {

constexpr int kStatusNotReady = 503;
constexpr std::string_view kTrue = "true";

RequestToken ToRequestToken(CallerToken token) {
  return RequestToken{static_cast<std::uint64_t>(token)};
}

CallerToken ToCallerToken(RequestToken token) {
  return CallerToken{static_cast<std::uint64_t>(token)};
}

AttemptId ToAttemptId(AttemptToken token) { return AttemptId{static_cast<std::uint64_t>(token)}; }

AttemptToken ToAttemptToken(AttemptId id) { return AttemptToken{static_cast<std::uint64_t>(id)}; }

Body ToBody(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

void AddOutcomeHeaders(Headers& headers, Outcome outcome, std::string_view reason) {
  headers.push_back({std::string(kOutcomeHeader), std::string(ToString(outcome))});
  headers.push_back({std::string(kReasonHeader), std::string(reason)});
}

// Retry-After is in whole seconds; at least 1 is returned.
std::string FormatRetryAfter(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
  return std::to_string(std::max<std::int64_t>(seconds, 1));
}

AttemptEvent ToAttemptEvent(const node_event::AttemptAnswered& answer) {
  constexpr int kServiceUnavailable = 503;
  if (answer.status == kServiceUnavailable && FindHeader(answer.headers, kRefusedHeader) == kTrue) {
    return AttemptRefused{FindHeader(answer.headers, kLeavingHeader) == kTrue};
  }
  return AttemptAnswered{{answer.status, answer.headers, answer.body}};
}

AttemptEvent ToAttemptEvent(const node_event::AttemptFailed& failure) {
  switch (failure.failure) {
    case node_event::AttemptFailure::kTruncated:
    case node_event::AttemptFailure::kTooLarge:
      return AttemptTruncated{};
    case node_event::AttemptFailure::kTimeout:
      if (failure.sent) {
        return AttemptTimedOut{};
      }
      return AttemptFailed{false};
    case node_event::AttemptFailure::kConnect:
    case node_event::AttemptFailure::kReset:
      return AttemptFailed{failure.sent};
  }
  return AttemptFailed{true};
}

}  // namespace

void RequestGateway::OnRequest(Now now, const node_event::CallerRequest& caller,
                               const Configuration& configuration) {
  auto parsed = ParseRequest(caller, configuration);
  arrival_times_[caller.token] = now.monotonic;
  now_ = now.monotonic;
  if (const auto* bad_request = std::get_if<BadRequest>(&parsed)) {
    counters_.Add("cactusshelf_refusals_total", ToString(bad_request->reason));
    AnswerCaller answer;
    answer.request = ToRequestToken(caller.token);
    answer.outcome = Outcome::kNotRun;
    answer.reason = bad_request->reason;
    answer.status = HttpStatus(Outcome::kNotRun, bad_request->reason);
    answer.body = ToBody(bad_request->message + "\n");
    Respond(answer);
    return;
  }
  Request& request = std::get<Request>(parsed);
  if (request.id) {
    request.headers.push_back({std::string(kRequestIdHeader), request.id->ToString()});
  }
  router_.OnRequest(now, ToRequestToken(caller.token), std::move(request));
}

void RequestGateway::Refuse(CallerToken token, const std::string& reason) {
  counters_.Add("cactusshelf_refusals_total", reason);
  node_effect::RespondToCaller response;
  response.token = token;
  response.status = kStatusNotReady;
  AddOutcomeHeaders(response.headers, Outcome::kNotRun, reason);
  response.headers.push_back({std::string(kRetryAfterHeader), "1"});
  response.body = ToBody("");
  effects_.emplace_back(std::move(response));
}

void RequestGateway::OnCallerDisconnected(Now now, CallerToken token) {
  if (arrival_times_.erase(token) > 0) {
    router_.OnCallerDisconnected(now, ToRequestToken(token));
  }
}

void RequestGateway::OnAttemptSent(Now now, AttemptToken token) {
  const auto it = attempt_sent_.find(token);
  if (it != attempt_sent_.end()) {
    it->second = true;
    router_.OnAttemptEvent(now, ToAttemptId(token), AttemptHandedOver{});
  }
}

void RequestGateway::OnAttemptAnswered(Now now, const node_event::AttemptAnswered& answer) {
  if (attempt_sent_.erase(answer.token) > 0) {
    router_.OnAttemptEvent(now, ToAttemptId(answer.token), ToAttemptEvent(answer));
  }
}

void RequestGateway::OnAttemptFailed(Now now, const node_event::AttemptFailed& failure) {
  if (attempt_sent_.erase(failure.token) > 0) {
    router_.OnAttemptEvent(now, ToAttemptId(failure.token), ToAttemptEvent(failure));
  }
}

std::vector<NodeEffect> RequestGateway::TakeEffects(Now now, std::vector<SendToPeer>& to_peers) {
  now_ = now.monotonic;
  // When AbortAttempt reports the end of an attempt, the router can produce further effects.
  for (auto batch = router_.TakeEffects(); !batch.empty(); batch = router_.TakeEffects()) {
    for (RouterEffect& effect : batch) {
      if (auto* attempt = std::get_if<SendAttempt>(&effect)) {
        StartAttempt(now, std::move(*attempt));
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        AbortAttempt(now, *cancel);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        Respond(*answer);
      } else {
        to_peers.push_back(std::move(std::get<SendToPeer>(effect)));
      }
    }
  }
  return std::exchange(effects_, {});
}

void RequestGateway::StartAttempt(Now now, SendAttempt attempt) {
  const AttemptToken token = ToAttemptToken(attempt.attempt);
  attempt_sent_.emplace(token, false);
  node_effect::SendAttempt send;
  send.token = token;
  send.address = std::move(attempt.address);
  send.path = FindHeader(attempt.headers, kPathHeader).value_or("/");
  send.headers = std::move(attempt.headers);
  send.timeout = std::max(attempt.deadline - now.monotonic, Duration::zero());
  const auto timeout = std::chrono::floor<std::chrono::milliseconds>(send.timeout);
  send.headers.push_back({std::string(kTimeoutHeader), std::to_string(timeout.count())});
  send.body = attempt.body ? std::move(attempt.body) : ToBody("");
  send.valid_until = attempt.deadline;
  effects_.emplace_back(std::move(send));
}

// The shell reports no event for a cancelled attempt, so this function reports its end to the
// router.
void RequestGateway::AbortAttempt(Now now, const CancelAttempt& cancel) {
  const AttemptToken token = ToAttemptToken(cancel.attempt);
  const auto it = attempt_sent_.find(token);
  if (it == attempt_sent_.end()) {
    return;
  }
  const bool sent = it->second;
  attempt_sent_.erase(it);
  effects_.emplace_back(node_effect::CancelAttempt{token});
  router_.OnAttemptEvent(now, cancel.attempt, AttemptFailed{sent});
}

void RequestGateway::Respond(const AnswerCaller& answer) {
  const CallerToken token = ToCallerToken(answer.request);
  const auto it = arrival_times_.find(token);
  if (it == arrival_times_.end()) {
    return;
  }
  latency_.Add(now_ - it->second);
  arrival_times_.erase(it);
  node_effect::RespondToCaller response;
  response.token = token;
  response.status = answer.status;
  for (const Header& header : answer.headers) {
    if (!IsReservedHeader(header.name)) {
      response.headers.push_back(header);
    }
  }
  AddOutcomeHeaders(response.headers, answer.outcome, ToString(answer.reason));
  if (answer.retry_after) {
    response.headers.push_back(
        {std::string(kRetryAfterHeader), FormatRetryAfter(*answer.retry_after)});
  }
  response.body = answer.body ? answer.body : ToBody("");
  effects_.emplace_back(std::move(response));
}

std::string RequestGateway::FormatLatency() const {
  return latency_.Format("cactusshelf_request_seconds");
}

}  // namespace cactusshelf
