#ifndef CACTUSSHELF_NODE_NODE_EFFECT_H_
#define CACTUSSHELF_NODE_NODE_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// Actions that EntryNode asks the shell to carry out, in order.
namespace node_effect {

// Sends POST `path` to the endpoint at `address` ("IP:port"). The shell never resends. It reports
// AttemptSent once a byte has been passed to a connection, and the attempt ends with exactly one of
// AttemptAnswered, AttemptFailed and EffectExpired, unless it is cancelled.
struct SendAttempt {
  AttemptToken token{};
  std::string address;
  std::string path;
  std::vector<HttpHeader> headers;
  Body body;
  Duration timeout{};
  std::optional<Time> valid_until;
};

// Abandons an attempt. The shell reports no further events for it.
struct CancelAttempt {
  AttemptToken token{};
};

struct RespondToCaller {
  CallerToken token{};
  int status = 0;
  std::vector<HttpHeader> headers;
  Body body;
};

// Sends a message to a peer on a best-effort basis: it is lost if no connection can be made.
struct SendToPeer {
  std::string address;  // "IP:port" of the peer's WebSocket listener.
  std::string bytes;
};

// Reads the log from offset `from`; the log service holds the read for up to `wait` until there is
// a record. At most one read is outstanding; it ends with LogRead or LogReadFailed.
struct ReadLog {
  std::uint64_t from = 0;
  Duration wait{};
};

struct AppendToLog {
  AppendToken token{};
  std::string data;
};

// Reads the host list. At most one read is outstanding; it ends with HostsRead or HostsReadFailed.
struct ReadHosts {};

// Sends `body` (JSON) with POST /v1/commands to the worker at `address`, or GET /v1/state if `body`
// is empty.
struct CallWorker {
  WorkerCallToken token{};
  std::string address;
  std::string body;
  Duration timeout{};
  std::optional<Time> valid_until;
};

struct WriteLogEvent {
  LogEvent event;
};

// Ends the process. `exit_code` is 0 after a graceful stop. It is kExitRemoved if the process must
// be restarted because it is no longer a member or has skipped log records.
struct Stop {
  int exit_code = 0;
};

inline constexpr int kExitRemoved = 3;

}  // namespace node_effect

using NodeEffect =
    std::variant<node_effect::SendAttempt, node_effect::CancelAttempt, node_effect::RespondToCaller,
                 node_effect::SendToPeer, node_effect::ReadLog, node_effect::AppendToLog,
                 node_effect::ReadHosts, node_effect::CallWorker, node_effect::WriteLogEvent,
                 node_effect::Stop>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_NODE_EFFECT_H_
