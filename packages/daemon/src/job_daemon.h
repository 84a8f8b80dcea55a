#ifndef CACTUSSHELF_DAEMON_JOB_DAEMON_H_
#define CACTUSSHELF_DAEMON_JOB_DAEMON_H_

#include <csignal>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "cactusshelf/daemon/caller_server.h"
#include "cactusshelf/daemon/job_settings.h"
#include "cactusshelf/daemon/job_shell.h"
#include "cactusshelf/daemon/unix_signals.h"
#include "job_peers.h"
#include "load_monitor.h"

namespace cactusshelf {

// One job service process: a node, its JobShell and ports of type `P` on the default main context.
// Not thread-safe.
template <typename P>
class JobDaemon {
 public:
  // Starts listening. Throws Error if an address cannot be bound. `log` must outlive the daemon.
  // `on_reload` runs on SIGHUP.
  JobDaemon(const JobSettings& settings, std::uint64_t seed, BoundedLog& log,
            std::function<void()> on_reload)
      : log_(log),
        node_(settings.node, seed),
        ports_(
            settings, metrics_, [this](jobs::JobEvent event) { shell_.Post(std::move(event)); },
            [this] { return IsReady(); }),
        peers_(settings, seed, metrics_,
               [this](std::string bytes) {
                 shell_.Post(jobs::job_event::PeerMessage{std::move(bytes)});
               }),
        operator_server_(OperatorServerOptions(settings), MakeOperatorPages(), metrics_,
                         [](const NodeEvent&) {}),
        shell_(node_, clock_, ports_, peers_, log, metrics_, [this] { OnStop(); }),
        load_monitor_([this](const LogEvent& event) { Log(event); }),
        stop_timer_([this] { exit_code_ = 0; }),
        stop_signals_({SIGTERM, SIGINT}, [this] { OnSignal(); }),
        reload_signals_({SIGHUP}, std::move(on_reload)) {}

  void Start(const JobSettings& settings) {
    Log(LogEvent(LogLevel::kInfo, "started")
            .With("member", settings.node.member)
            .With("callers", settings.caller_address)
            .With("peers", settings.node.peer_address)
            .With("store", settings.store_address));
    shell_.Start();
  }

  // Runs the main loop until the exit code is set and returns it.
  int Run() {
    while (!exit_code_) g_main_context_iteration(nullptr, TRUE);
    Log(LogEvent(LogLevel::kInfo, "stopped"));
    return *exit_code_;
  }

 private:
  static CallerServer::Options OperatorServerOptions(const JobSettings& settings) {
    CallerServer::Options options;
    options.address = settings.metrics_address;
    return options;
  }

  CallerServer::OperatorPages MakeOperatorPages() {
    return {[this] { return IsReady(); }, [] { return std::string("{}"); },
            [this] { return node_.Metrics() + metrics_.Format(); }};
  }

  bool IsReady() const { return node_.ready(clock_.Read().monotonic); }

  void Log(const LogEvent& event) {
    log_.Write(clock_.Read().wall, event);
    log_.Flush();
  }

  void OnSignal() {
    Log(LogEvent(LogLevel::kInfo, "drain_requested"));
    ports_.BeginDrain();
    shell_.Post(jobs::job_event::DrainRequested{});
  }

  void OnStop() {
    ports_.Close([this] { exit_code_ = 0; });
    if (!exit_code_) stop_timer_.FireAfter(kCloseTimeout);
  }

  // Time for open requests to finish after the node has emitted Stop.
  static constexpr Duration kCloseTimeout = std::chrono::milliseconds(300);

  BoundedLog& log_;
  SystemClock clock_;
  ShellMetrics metrics_;
  std::optional<int> exit_code_;
  jobs::JobNode node_;
  P ports_;
  JobPeers peers_;
  CallerServer operator_server_;
  JobShell<SystemClock, P, JobPeers> shell_;
  LoadMonitor load_monitor_;
  WakeupTimer stop_timer_;
  UnixSignals stop_signals_;
  UnixSignals reload_signals_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_JOB_DAEMON_H_
