#ifndef CACTUSSHELF_NODE_REQUEST_GATEWAY_H_
#define CACTUSSHELF_NODE_REQUEST_GATEWAY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/distribution.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/router.h"
#include "cactusshelf/node/node_effect.h"
#include "cactusshelf/node/node_event.h"
#include "cactusshelf/version/configuration.h"

namespace cactusshelf {

// Connects the router to callers and endpoints: translates HTTP messages to requests, and outcomes
// to HTTP responses. Not thread-safe.
class RequestGateway {
 public:
  explicit RequestGateway(Router router) : router_(std::move(router)) {}

  Router& router() { return router_; }
  const Router& router() const { return router_; }

  void OnRequest(Now now, const node_event::CallerRequest& request,
                 const Configuration& configuration);

  // Responds with 503 and outcome not-run, for a member that does not serve requests.
  void Refuse(CallerToken token, const std::string& reason);

  void OnCallerDisconnected(Now now, CallerToken token);
  void OnAttemptSent(Now now, AttemptToken token);
  void OnAttemptAnswered(Now now, const node_event::AttemptAnswered& answer);
  void OnAttemptFailed(Now now, const node_event::AttemptFailed& failure);

  // Returns the effects since the last call. Messages to peers are appended to `to_peers`.
  std::vector<NodeEffect> TakeEffects(Now now, std::vector<SendToPeer>& to_peers);

  const Counters& counters() const { return counters_; }
  std::string FormatLatency() const;

 private:
  void Respond(const AnswerCaller& answer);
  void StartAttempt(Now now, SendAttempt attempt);
  void AbortAttempt(Now now, const CancelAttempt& cancel);

  Router router_;
  // Arrival times of the requests that have not been answered.
  std::map<CallerToken, Time> arrival_times_;
  // Attempts that have not ended, and whether bytes of each may have been sent.
  std::map<AttemptToken, bool> attempt_sent_;
  std::vector<NodeEffect> effects_;
  Counters counters_;
  Distribution latency_;
  Time now_{};
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_REQUEST_GATEWAY_H_
