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

// Connects the router to callers and endpoints: translates HTTP messages to requests and outcomes
// back to HTTP. Not thread-safe.
class RequestGateway {
 public:
  explicit RequestGateway(Router router) : router_(std::move(router)) {}

  Router& router() { return router_; }
  const Router& router() const { return router_; }

  void OnRequest(Now now, const node_event::CallerRequest& request,
                 const Configuration& configuration);

  // Answers that the request was not run, since this member does not serve.
  void Refuse(CallerToken token, const std::string& reason);

  void OnCallerGone(Now now, CallerToken token);
  void OnAttemptSent(Now now, AttemptToken token);
  void OnAttemptAnswered(Now now, const node_event::AttemptAnswered& answer);
  void OnAttemptFailed(Now now, const node_event::AttemptFailed& failure);

  // Effects since the last call. Messages to peers are returned in `to_peers`.
  std::vector<NodeEffect> TakeEffects(Now now, std::vector<SendToPeer>& to_peers);

  const Counters& counters() const { return counters_; }
  std::string FormatLatency() const;

 private:
  void Respond(const AnswerCaller& answer);
  void Start(Now now, SendAttempt attempt);
  void Cancel(Now now, const CancelAttempt& cancel);

  Router router_;
  std::map<CallerToken, Time> callers_;
  std::map<AttemptToken, bool> sent_;  // Attempts that have not ended; whether bytes may have left.
  std::vector<NodeEffect> effects_;
  Counters counters_;
  Distribution latency_;
  Time now_{};
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_REQUEST_GATEWAY_H_
