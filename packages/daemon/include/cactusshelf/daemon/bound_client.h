#ifndef CACTUSSHELF_DAEMON_BOUND_CLIENT_H_
#define CACTUSSHELF_DAEMON_BOUND_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/daemon/http_client.h"

namespace cactusshelf {

// Sends calls to servers that may restart under the same address, some of them for one incarnation
// of the server only. Such a bound call is written only to a connection on which that incarnation
// has answered. A connection does not outlive the server's process, so no other incarnation gets
// the call, however late it is handled. If no such connection is idle, the client first sends
// another call, the proof, whose response names the incarnation. Not thread-safe.
class BoundClient {
 public:
  struct BoundCall {
    HttpCall call;  // Its timeout covers the proofs.
    std::int64_t incarnation = 0;
    // Sent on a connection that is not proven. Its timeout and callbacks are not used. It must be
    // harmless to any incarnation, any number of times.
    HttpCall proof;
    // Returns the incarnation that a response to the proof with status 200 names, or 0.
    std::function<std::int64_t(const HttpResponse&)> incarnation_of;
    // Called instead of `call.on_done` with the response to the proof if another incarnation gave
    // it. The call was not sent.
    std::function<void(HttpResponse)> on_other_incarnation;
  };

  // `http_client` and `counters` must outlive the object, and `http_client` must call none of its
  // callbacks after that.
  BoundClient(HttpClient& http_client, Counters& counters)
      : http_client_(http_client), counters_(counters) {}
  BoundClient(const BoundClient&) = delete;
  BoundClient& operator=(const BoundClient&) = delete;

  // Sends a call to the server at `address`, "IP:port", whichever incarnation it is.
  // Precondition: `call.url` names this address, and `call.accept_connection` is not set.
  void Send(const std::string& address, HttpCall call) { Send(address, std::move(call), 0); }

  // Sends a bound call. A call that could not be sent to its incarnation ends with an error that is
  // not `sent`, or with the response to the proof if its status is not 200, since the server would
  // refuse the call too. `bound.incarnation` 0 is refused. Callbacks run as those of HttpClient.
  void SendBound(const std::string& address, BoundCall bound);

  // Records that `incarnation` of the server gave the response on this connection.
  void OnIncarnationKnown(const std::string& address, HttpConnection connection,
                          std::int64_t incarnation);

 private:
  struct Connection {
    std::int64_t incarnation = 0;  // 0 if unknown.
    bool busy = false;
  };
  struct Server {
    std::map<HttpConnection, Connection> connections;
    int unwritten_calls = 0;  // Have no connection yet.
  };
  struct BoundState {
    std::string address;
    BoundCall bound;
    Time deadline;
    int proofs_left = 0;
  };
  using BoundStatePtr = std::shared_ptr<BoundState>;

  // Sends a call on any connection, or on one that is proven for `incarnation` if that is not 0.
  void Send(const std::string& address, HttpCall call, std::int64_t incarnation);
  bool AcceptConnection(const std::string& address, HttpConnection connection,
                        std::int64_t incarnation);
  void OnCallEnded(const std::string& address, HttpConnection connection, bool reusable);
  // True if a connection that is proven for `incarnation` is likely to be used for the next call.
  bool HasIdleConnection(const std::string& address, std::int64_t incarnation);
  void SendProof(const BoundStatePtr& state);
  void OnProofDone(const BoundStatePtr& state, HttpResult result);
  void SendProven(const BoundStatePtr& state);
  void Refuse(const BoundStatePtr& state, std::string_view counter, std::string reason);

  HttpClient& http_client_;
  Counters& counters_;
  std::map<std::string, Server> servers_;  // By address.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_BOUND_CLIENT_H_
