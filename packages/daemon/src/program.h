#ifndef CACTUSSHELF_DAEMON_PROGRAM_H_
#define CACTUSSHELF_DAEMON_PROGRAM_H_

#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <variant>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/daemon/node_concept.h"
#include "cactusshelf/daemon/settings.h"
#include "daemon.h"
#include "job_daemon.h"

namespace cactusshelf {

inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;

// Settings of the service to run, or an exit code if the process has nothing to run.
using StartupConfig = std::variant<Settings, JobSettings, int>;

// Parses the command line and the settings file. Prints the help text, the version and any
// findings.
StartupConfig LoadStartupConfig(int argc, const char* const* argv);

// Returns a random value from the system's entropy source.
std::uint64_t SystemRandom();

// Returns the microseconds since the Unix epoch, which increase across restarts unless the host's
// clock is set back.
std::uint64_t MakeIncarnation();

// Writes log messages of GLib and libsoup to `log` as log events. `log` must outlive every use of
// GLib in the process.
void RedirectGLibLogs(LogWriter& log);

// Raises the soft limit of open files to the hard limit, since each connection needs a descriptor.
void RaiseOpenFileLimit();

// Reads the settings file again after SIGHUP. Only the log level takes effect at once; changes of
// other settings require a restart. Errors in the file are logged, and then nothing changes.
void ReloadJobSettings(const std::string& file, BoundedLog& log);

// Runs one job service process with ports of type `P` and returns its exit code.
template <typename P>
int RunJobService(JobSettings settings) {
  BoundedLog log(settings.log_level, STDOUT_FILENO, settings.max_log_lines_per_second);
  RaiseOpenFileLimit();
  std::signal(SIGPIPE, SIG_IGN);
  settings.node.member = settings.host_name + "/" + std::to_string(MakeIncarnation());
  try {
    JobDaemon<P> daemon(settings, SystemRandom(), log,
                        [&] { ReloadJobSettings(settings.file, log); });
    daemon.Start(settings);
    return daemon.Run();
  } catch (const Error& error) {
    log.Write(SystemClock().Read().wall,
              LogEvent(LogLevel::kError, "failed").With("reason", std::string(error.what())));
    return kExitFailure;
  }
}

// Runs one entry node of type `N` and returns the exit code of the process.
template <Node N>
int RunEntryNode(Settings settings) {
  settings.node.incarnation = MakeIncarnation();
  const std::uint64_t seed = settings.seed ? *settings.seed : SystemRandom();
  static LogWriter log(settings.log_level, stderr);
  RedirectGLibLogs(log);
  RaiseOpenFileLimit();
  // A write to a log pipe whose reader has exited must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    N node(settings.node, seed);
    Daemon<N> daemon(settings, seed, node, log);
    daemon.Start();
    return daemon.Run();
  } catch (const Error& error) {
    log.Write(SystemClock().Read().wall,
              LogEvent(LogLevel::kError, "failed").With("reason", std::string(error.what())));
    return kExitFailure;
  }
}

// Implements main() of cactusshelfd for entry nodes of type `N` and a job service with ports of
// type `P`.
template <Node N, typename P>
int RunProgram(int argc, const char* const* argv) {
  StartupConfig startup = LoadStartupConfig(argc, argv);
  if (const int* code = std::get_if<int>(&startup)) return *code;
  if (auto* settings = std::get_if<JobSettings>(&startup)) {
    return RunJobService<P>(std::move(*settings));
  }
  return RunEntryNode<N>(std::move(std::get<Settings>(startup)));
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_PROGRAM_H_
