#ifndef CACTUSSHELF_DAEMON_DAEMON_H_
#define CACTUSSHELF_DAEMON_DAEMON_H_

#include <csignal>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "cactusshelf/daemon/clock.h"
#include "cactusshelf/daemon/node_concept.h"
#include "cactusshelf/daemon/settings.h"
#include "cactusshelf/daemon/shell.h"
#include "cactusshelf/daemon/unix_signals.h"
#include "daemon_ports.h"

namespace cactusshelf {

// One entry host process: a node, its Shell and the production adapters on the default main
// context. Not thread-safe.
template <Node N>
class Daemon {
 public:
  // Starts listening. Throws Error if an address cannot be bound. `node` and `log` must outlive the
  // daemon.
  Daemon(const Settings& settings, std::uint64_t seed, N& node, LogWriter& log)
      : node_(node),
        log_(log),
        stop_timeout_(settings.stop_timeout),
        ports_(settings, seed, MakeOperatorPages(), metrics_,
               [this](NodeEvent event) { shell_.Post(std::move(event)); }),
        shell_(node, clock_, ports_, log, metrics_, [this](int code) { OnStop(code); }),
        stop_timer_([this] { OnStopTimeout(); }),
        signals_({SIGTERM, SIGINT}, [this] { OnSignal(); }) {}

  void Start() {
    log_.Write(clock_.Read().wall, LogEvent(LogLevel::kInfo, "started")
                                       .With("http_address", ports_.callers.address())
                                       .With("peer_address", ports_.peers.address()));
    shell_.Start();
  }

  // Runs the main loop until the exit code is set and returns it.
  int Run() {
    while (!exit_code_) g_main_context_iteration(nullptr, TRUE);
    return *exit_code_;
  }

  // Exit code of the process, or nullopt while it has to keep running.
  std::optional<int> exit_code() const { return exit_code_; }

  const std::string& http_address() const { return ports_.callers.address(); }
  const std::string& peer_address() const { return ports_.peers.address(); }

 private:
  CallerServer::OperatorPages MakeOperatorPages() {
    return {[this] { return node_.ready() && !draining_; },
            [this] { return node_.Status(clock_.Read()); },
            [this] { return node_.Metrics() + metrics_.Format(); }};
  }

  void OnSignal() {
    if (draining_) {
      exit_code_ = 1;
      return;
    }
    draining_ = true;
    log_.Write(clock_.Read().wall, LogEvent(LogLevel::kInfo, "drain_requested"));
    ports_.callers.BeginDrain();
    shell_.Post(node_event::DrainRequested{});
  }

  void OnStop(int code) {
    requested_exit_code_ = code;
    ports_.callers.Close([this] { CompleteStop(); });
    if (!exit_code_) stop_timer_.FireAfter(stop_timeout_);
  }

  void OnStopTimeout() {
    log_.Write(clock_.Read().wall, LogEvent(LogLevel::kWarning, "requests_not_finished"));
    CompleteStop();
  }

  void CompleteStop() {
    if (exit_code_) return;
    log_.Write(clock_.Read().wall, LogEvent(LogLevel::kInfo, "stopped"));
    exit_code_ = requested_exit_code_;
  }

  N& node_;
  LogWriter& log_;
  SystemClock clock_;
  ShellMetrics metrics_;
  Duration stop_timeout_;
  bool draining_ = false;
  int requested_exit_code_ = 0;
  std::optional<int> exit_code_;
  DaemonPorts ports_;
  Shell<N, SystemClock, DaemonPorts> shell_;
  WakeupTimer stop_timer_;
  UnixSignals signals_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_DAEMON_H_
