#ifndef CACTUSSHELF_DAEMON_JOB_PEERS_H_
#define CACTUSSHELF_DAEMON_JOB_PEERS_H_

#include <functional>
#include <optional>
#include <string>

#include "cactusshelf/daemon/job_settings.h"
#include "cactusshelf/daemon/shell_metrics.h"
#include "peer_transport.h"

namespace cactusshelf {

// The connections of one process of the job service to the others. Not thread-safe.
class JobPeers {
 public:
  // Listens at once if the settings name an address for peers. Throws Error if that is not
  // possible. `metrics` outlives the peers.
  JobPeers(const JobSettings& settings, std::uint64_t seed, ShellMetrics& metrics,
           std::function<void(std::string)> on_message);

  // Best effort. Does nothing if this process has no address for peers.
  void Send(const std::string& address, std::string bytes);

 private:
  std::optional<PeerTransport> transport_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_JOB_PEERS_H_
