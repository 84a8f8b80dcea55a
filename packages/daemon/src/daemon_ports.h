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

// The real adapters of one process. Not thread-safe.
struct DaemonPorts {
  // Listens at once. Throws Error if that is not possible. `metrics` outlives the ports.
  DaemonPorts(const Settings& settings, std::uint64_t seed, CallerServer::Pages pages,
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
