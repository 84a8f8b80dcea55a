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

// Effects are what EntryNode asks the shell to do, in order.
namespace node_effect {

// Send POST `path` to the endpoint at `address` ("IP:port"). The shell never resends. It reports
// AttemptSent, then exactly one of AttemptAnswered and AttemptFailed, or EffectExpired.
struct SendAttempt {
  AttemptToken token{};
  std::string address;
  std::string path;
  std::vector<HttpHeader> headers;
  Body body;
  Duration timeout{};
  std::optional<Time> valid_until;
};

// Abandon an attempt; nothing more is reported for it.
struct CancelAttempt {
  AttemptToken token{};
};

struct RespondToCaller {
  CallerToken token{};
  int status = 0;
  std::vector<HttpHeader> headers;
  Body body;
};

// Best effort: the message is lost if no connection can be made.
struct SendToPeer {
  std::string address;  // "IP:port" of the peer's WebSocket listener.
  std::string bytes;
};

// Read from `from`, waiting at the log service up to `wait` for a record. At most one read is
// outstanding; it ends with LogRead or LogReadFailed.
struct ReadLog {
  std::uint64_t from = 0;
  Duration wait{};
};

struct AppendToLog {
  AppendToken token{};
  std::string data;
};

// At most one read is outstanding; it ends with HostsRead or HostsReadFailed.
struct ReadHosts {};

// POST `body` (JSON) to /v1/commands of the worker at `address`, or GET /v1/state if it is empty.
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

// The process should end. `exit_code` is 0 after a planned stop and kExitRemoved if this
// process is no longer a member, or lost its place in the log, and has to start again.
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
