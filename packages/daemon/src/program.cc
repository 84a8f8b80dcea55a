#include "program.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <cxxopts.hpp>
#include <random>

#include "cactusshelf/base/findings.h"

namespace cactusshelf {
namespace {

LogWriter* glib_log = nullptr;

LogLevel ToLogLevel(GLogLevelFlags flags) {
  if ((flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) != 0) return LogLevel::kError;
  if ((flags & G_LOG_LEVEL_WARNING) != 0) return LogLevel::kWarning;
  return LogLevel::kDebug;
}

std::string FieldText(const GLogField& field) {
  const auto* text = static_cast<const char*>(field.value);
  return field.length < 0 ? std::string(text)
                          : std::string(text, static_cast<std::size_t>(field.length));
}

GLogWriterOutput WriteGLibLog(GLogLevelFlags flags, const GLogField* fields, gsize field_count,
                              gpointer /*data*/) {
  LogEvent event(ToLogLevel(flags), "library");
  for (gsize i = 0; i < field_count; ++i) {
    const std::string_view key = fields[i].key;
    if (key == "MESSAGE") event.With("message", FieldText(fields[i]));
    if (key == "GLIB_DOMAIN") event.With("library", FieldText(fields[i]));
  }
  glib_log->Write(SystemClock().Read().wall, event);
  return G_LOG_WRITER_HANDLED;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("cactusshelfd", "Entry host process of cactusshelf");
  options.add_options()("config", "Settings file", cxxopts::value<std::string>(), "FILE")(
      "check", "Check the settings file and exit")("help", "Print this help and exit")(
      "version", "Print the version and exit");
  return options;
}

StartupConfig ParseAnySettings(const std::string& text, const std::string& path,
                               Findings& findings) {
  if (IsJobSettings(text)) return ParseJobSettings(text, path, findings);
  return ParseSettings(text, path, findings);
}

StartupConfig LoadSettings(const std::string& path, bool check_only) {
  Findings findings;
  StartupConfig startup = ParseAnySettings(ReadSettingsFile(path), path, findings);
  if (!findings.empty()) {
    fmt::print(stderr, "{}", findings.Format());
    return kExitBadSettings;
  }
  if (check_only) {
    fmt::print("{}: valid\n", path);
    return 0;
  }
  return startup;
}

}  // namespace

StartupConfig LoadStartupConfig(int argc, const char* const* argv) {
  try {
    cxxopts::Options options = MakeOptions();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      fmt::print("{}", options.help());
      return 0;
    }
    if (arguments.count("version") > 0) {
      fmt::print("cactusshelfd {}\n", CACTUSSHELF_VERSION);
      return 0;
    }
    if (!arguments.unmatched().empty()) {
      throw SettingsError("unexpected argument " + arguments.unmatched().front());
    }
    if (arguments.count("config") == 0) throw SettingsError("--config FILE is required");
    return LoadSettings(arguments["config"].as<std::string>(), arguments.count("check") > 0);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "cactusshelfd: {}\n", error.what());
  } catch (const SettingsError& error) {
    fmt::print(stderr, "cactusshelfd: {}\n", error.what());
  }
  return kExitBadSettings;
}

void ReloadJobSettings(const std::string& file, BoundedLog& log) {
  const WallTime now = SystemClock().Read().wall;
  Findings findings;
  try {
    const JobSettings settings = ParseJobSettings(ReadSettingsFile(file), file, findings);
    if (findings.empty()) log.SetMinLevel(settings.log_level);
  } catch (const SettingsError& error) {
    findings.Add({file, 0, 0}, error.what());
  }
  for (const Finding& it : findings.items()) {
    log.Write(now, LogEvent(LogLevel::kError, "settings_fault")
                       .With("file", it.place.file)
                       .With("line", it.place.line)
                       .With("message", it.message));
  }
  log.Write(now, LogEvent(LogLevel::kInfo, "settings_reloaded")
                     .With("file", file)
                     .With("findings", findings.items().size()));
}

std::uint64_t SystemRandom() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::uint64_t MakeIncarnation() { return static_cast<std::uint64_t>(g_get_real_time()); }

void RedirectGLibLogs(LogWriter& log) {
  // GLib allows the writer function to be set only once per process.
  const bool first = glib_log == nullptr;
  glib_log = &log;
  if (first) g_log_set_writer_func(WriteGLibLog, nullptr, nullptr);
}

void RaiseOpenFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace cactusshelf
