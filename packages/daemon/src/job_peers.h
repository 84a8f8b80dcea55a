#ifndef CACTUSSHELF_DAEMON_JOB_PEERS_H_
#define CACTUSSHELF_DAEMON_JOB_PEERS_H_

#include <functional>
#include <optional>
#include <string>

#include "cactusshelf/daemon/job_settings.h"
#include "cactusshelf/daemon/shell_metrics.h"
#include "peer_transport.h"

namespace cactusshelf {

// The connections of one job service process to the others. Not thread-safe.
class JobPeers {
 public:
  // Starts listening if the settings have a peer address. Throws Error if the address cannot be
  // bound. `metrics` must outlive this object.
  JobPeers(const JobSettings& settings, std::uint64_t seed, ShellMetrics& metrics,
           std::function<void(std::string)> on_message);

  // Sends a best-effort message. Does nothing if this process has no peer address.
  void Send(const std::string& address, std::string bytes);

 private:
  std::optional<PeerTransport> transport_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_JOB_PEERS_H_
