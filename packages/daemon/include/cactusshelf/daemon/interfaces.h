#ifndef CACTUSSHELF_DAEMON_INTERFACES_H_
#define CACTUSSHELF_DAEMON_INTERFACES_H_

#include <functional>

#include "cactusshelf/node/node_effect.h"
#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// Callback through which an adapter reports events. May run during a call to the adapter.
using EventSink = std::function<void(NodeEvent)>;

// Sends responses to callers. A response to a caller that has disconnected is dropped.
template <typename T>
concept CallerPort = requires(T& port, const node_effect::RespondToCaller& response) {
  port.Respond(response);
};

template <typename T>
concept EndpointPort = requires(T& port, const node_effect::SendAttempt& attempt,
                                const node_effect::CancelAttempt& cancel) {
  port.Send(attempt);
  port.Cancel(cancel);
};

template <typename T>
concept LogPort = requires(T& port, const node_effect::ReadLog& read,
                           const node_effect::AppendToLog& append) {
  port.Read(read);
  port.Append(append);
};

template <typename T>
concept HostListPort = requires(T& port) {
  port.Read();
};

template <typename T>
concept WorkerPort = requires(T& port, const node_effect::CallWorker& call) {
  port.Call(call);
};

template <typename T>
concept PeerPort = requires(T& port, const node_effect::SendToPeer& message) {
  port.Send(message.address, message.bytes);
};

// The adapters through which one process performs I/O.
template <typename T>
concept Ports = requires(T& ports) {
  requires CallerPort<std::remove_reference_t<decltype(ports.callers)>>;
  requires EndpointPort<std::remove_reference_t<decltype(ports.endpoints)>>;
  requires LogPort<std::remove_reference_t<decltype(ports.log)>>;
  requires HostListPort<std::remove_reference_t<decltype(ports.hosts)>>;
  requires WorkerPort<std::remove_reference_t<decltype(ports.workers)>>;
  requires PeerPort<std::remove_reference_t<decltype(ports.peers)>>;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_INTERFACES_H_
