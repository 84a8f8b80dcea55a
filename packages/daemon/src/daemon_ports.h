#ifndef CACTUSSHELF_DAEMON_DAEMON_PORTS_H_
#define CACTUSSHELF_DAEMON_DAEMON_PORTS_H_

#include <cstdint>

#include "cactusshelf/daemon/caller_server.h"
#include "cactusshelf/daemon/interfaces.h"
#include "cactusshelf/daemon/settings.h"
#include "endpoint_client.h"
#include "host_list_client.h"
#include "log_client.h"
#include "peer_transport.h"
#include "worker_client.h"

namespace cactusshelf {

// The production adapters of one entry host process. Not thread-safe.
struct DaemonPorts {
  // Starts listening. Throws Error if an address cannot be bound. `metrics` must outlive the ports.
  DaemonPorts(const Settings& settings, std::uint64_t seed, CallerServer::OperatorPages pages,
              ShellMetrics& metrics, const EventSink& sink);

  CallerServer callers;
  EndpointClient endpoints;
  LogClient log;
  HostListClient hosts;
  WorkerClient workers;
  PeerTransport peers;
};

static_assert(Ports<DaemonPorts>);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_DAEMON_PORTS_H_
