#ifndef CACTUSSHELF_NODE_NODE_EVENT_H_
#define CACTUSSHELF_NODE_NODE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/request/content.h"

namespace cactusshelf {

using HttpHeader = Header;

// Correlation identifiers, assigned by the shell (CallerToken) or by the node (all others), that
// match an answer to its request. Never reused within a process.
enum class CallerToken : std::uint64_t {};
enum class AttemptToken : std::uint64_t {};
enum class AppendToken : std::uint64_t {};
enum class WorkerCallToken : std::uint64_t {};

// Events that the shell reports to EntryNode.
namespace node_event {

// A caller sent a complete request to /v1/services/.
struct CallerRequest {
  CallerToken token{};
  std::string method;
  std::string host;  // Value of the Host header.
  std::string path;  // Path and query as received.
  std::vector<HttpHeader> headers;
  Body body;
};

// The caller closed its connection before it received an answer.
struct CallerDisconnected {
  CallerToken token{};
};

// At least one byte of the attempt's request was passed to a connection.
struct AttemptSent {
  AttemptToken token{};
};

// The endpoint's complete answer to an attempt.
struct AttemptAnswered {
  AttemptToken token{};
  int status = 0;
  std::vector<HttpHeader> headers;
  Body body;
};

enum class AttemptFailure { kConnect, kReset, kTruncated, kTimeout, kTooLarge };

// The attempt ended without a complete answer. `sent` is false only if no byte of the request was
// passed to a connection.
struct AttemptFailed {
  AttemptToken token{};
  AttemptFailure failure = AttemptFailure::kConnect;
  bool sent = true;
};

struct LogEntry {
  std::uint64_t offset = 0;
  WallTime time;
  std::string data;
};

// Result of ReadLog. `first` is the oldest offset that the log still holds, `next` is the offset
// after its last record, and `started` is the time at which the read was sent.
struct LogRead {
  Time started;
  std::uint64_t first = 0;
  std::uint64_t next = 0;
  std::vector<LogEntry> entries;
};

struct LogReadFailed {
  std::string reason;
};

struct AppendDone {
  AppendToken token{};
  std::uint64_t offset = 0;
};

// The append failed or its answer was lost. The record may still be in the log.
struct AppendFailed {
  AppendToken token{};
  std::string reason;
};

enum class HostState { kLive, kLeaving };

struct HostEntry {
  std::string name;
  HostState state = HostState::kLive;
};

struct HostsRead {
  std::vector<HostEntry> hosts;
};

struct HostsReadFailed {
  std::string reason;
};

// A message from a peer: the CBOR bytes that the peer's EntryNode passed to SendToPeer.
struct PeerMessage {
  std::string bytes;
};

struct WorkerAnswered {
  WorkerCallToken token{};
  int status = 0;
  std::string body;
};

// The call ended without a complete answer. The command may have taken effect unless `sent` is
// false.
struct WorkerFailed {
  WorkerCallToken token{};
  bool sent = true;
  std::string reason;
};

// The shell dropped an effect because its `valid_until` had passed.
struct EffectExpired {
  std::variant<AttemptToken, WorkerCallToken> token;
};

// The time that NextWakeup returned was reached.
struct Timer {};

// A graceful stop was requested.
struct DrainRequested {};

}  // namespace node_event

using NodeEvent =
    std::variant<node_event::CallerRequest, node_event::CallerDisconnected, node_event::AttemptSent,
                 node_event::AttemptAnswered, node_event::AttemptFailed, node_event::LogRead,
                 node_event::LogReadFailed, node_event::AppendDone, node_event::AppendFailed,
                 node_event::HostsRead, node_event::HostsReadFailed, node_event::PeerMessage,
                 node_event::WorkerAnswered, node_event::WorkerFailed, node_event::EffectExpired,
                 node_event::Timer, node_event::DrainRequested>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_NODE_EVENT_H_
