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

// What the command line asks for: an exit code if the process has nothing more to do.
using StartPlan = std::variant<Settings, JobSettings, int>;

// Reads the command line and the settings file. Prints help, version and findings.
StartPlan PlanStart(int argc, const char* const* argv);

// Value from the system's random source.
std::uint64_t SystemRandom();

// Microseconds since 1970, which grow between restarts as long as the host's clock is not set back.
std::uint64_t MakeIncarnation();

// Writes what GLib and libsoup log as log events. `log` outlives the process's use of GLib.
void RouteLibraryLogs(LogWriter& log);

// Raises the limit of open files to what the system allows; each connection needs one.
void RaiseFileLimit();

// Reads the settings file again after SIGHUP. The log level takes effect at once; the other
// settings hold from the next start on. Faulty settings are reported and change nothing.
void ReloadJobSettings(const std::string& file, BoundedLog& log);

// Runs one process of the job service with ports of type `P`.
template <typename P>
int RunJobService(JobSettings settings) {
  BoundedLog log(settings.log_level, STDOUT_FILENO, settings.max_log_lines_per_second);
  RaiseFileLimit();
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

// Runs one entry node of type `N`.
template <Node N>
int RunEntryNode(Settings settings) {
  settings.node.incarnation = MakeIncarnation();
  const std::uint64_t seed = settings.seed ? *settings.seed : SystemRandom();
  static LogWriter log(settings.log_level, stderr);
  RouteLibraryLogs(log);
  RaiseFileLimit();
  // A reader of the log that goes away must not end the process.
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

// main() of cactusshelfd with entry nodes of type `N` and a job service with ports of type `P`.
template <Node N, typename P>
int RunProgram(int argc, const char* const* argv) {
  StartPlan plan = PlanStart(argc, argv);
  if (const int* code = std::get_if<int>(&plan)) return *code;
  if (auto* settings = std::get_if<JobSettings>(&plan)) {
    return RunJobService<P>(std::move(*settings));
  }
  return RunEntryNode<N>(std::move(std::get<Settings>(plan)));
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_PROGRAM_H_
