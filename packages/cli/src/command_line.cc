#include "cactusshelf/cli/command_line.h"

#include <fmt/format.h>
#include <glib.h>

#include <algorithm>
#include <charconv>
#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cactusshelf/version/log_protocol.h"
#include "files.h"
#include "http_client.h"
#include "log_client.h"
#include "publisher.h"
#include "report.h"

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kUsage = R"(Usage: cactusshelf COMMAND [OPTION]...

Commands:
  check FILE...                        Check files together, without the log.
  publish [FILE...] --log ADDRESS      Publish files; the file name without its directory is the
                                       name in the configuration.
  show --log ADDRESS                   Show what is in force, and since when.
  audit --log ADDRESS --customer NAME  Show the retirement certificate or what it lacks.
  audit --verify FILE                  Check exported evidence, without the log.

Exit codes:
  0  success
  1  the files have findings
  2  wrong usage
  3  publish: another publish won
  4  the log is not available; publish: whether it took effect is not known
  5  audit: the customer is not retired or the certificate is withheld
  6  audit: the evidence is altered, incomplete or out of order
  7  show: an entry host does not report the revision in force
)";

class SteadyClock {
 public:
  Time Now() const {
    return Time(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
  }

  void Sleep(Duration duration) const { std::this_thread::sleep_for(duration); }
};

cxxopts::Options DefineOptions() {
  cxxopts::Options options("cactusshelf");
  auto add = options.add_options();
  add("h,help", "Show this help.");
  add("version", "Show the version.");
  add("output", "Format of the result: text or json.",
      cxxopts::value<std::string>()->default_value("text"));
  add("log", "Address of the log service, IP:port.", cxxopts::value<std::string>());
  add("stream", "Stream of the log service.",
      cxxopts::value<std::string>()->default_value(std::string(LogProtocol::kDefaultStream)));
  add("timeout", "Seconds after which a command gives up.",
      cxxopts::value<unsigned>()->default_value("30"));
  add("base",
      "publish: revision that the files were written against, or 'none'. "
      "Default: the revision in force.",
      cxxopts::value<std::string>());
  add("remove", "publish: name of a file to remove; may be repeated.",
      cxxopts::value<std::vector<std::string>>());
  add("publication-id", "publish: id to repeat an earlier publish with.",
      cxxopts::value<std::string>());
  add("entry", "show: address of an entry host to ask for its revision; may be repeated.",
      cxxopts::value<std::vector<std::string>>());
  add("file", "show: print the contents of this file only.", cxxopts::value<std::string>());
  add("customer", "audit: name of the customer.", cxxopts::value<std::string>());
  add("export", "audit: file to write the evidence to.", cxxopts::value<std::string>());
  add("verify", "audit: file of evidence to check.", cxxopts::value<std::string>());
  add("chain", "audit: evidence chain, from another source, that the evidence must end with.",
      cxxopts::value<std::string>());
  add("command", "", cxxopts::value<std::string>());
  add("arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"command", "arguments"});
  return options;
}

std::string RequiredOption(const cxxopts::ParseResult& options, const std::string& name) {
  if (options.count(name) == 0) {
    throw SettingsError(fmt::format("--{} is missing", name));
  }
  return options[name].as<std::string>();
}

std::vector<std::string> OptionValues(const cxxopts::ParseResult& options,
                                      const std::string& name) {
  return options.count(name) == 0 ? std::vector<std::string>()
                                  : options[name].as<std::vector<std::string>>();
}

std::chrono::seconds TimeoutOption(const cxxopts::ParseResult& options) {
  return std::chrono::seconds(options["timeout"].as<unsigned>());
}

// The stream name becomes a part of the request path, so characters that need escaping are refused.
bool IsValidStreamName(const std::string& text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return g_ascii_isalnum(c) || c == '-' || c == '_';
  });
}

LogClient<HttpClient> MakeLogClient(const cxxopts::ParseResult& options) {
  if (!IsValidStreamName(options["stream"].as<std::string>())) {
    throw SettingsError("--stream must consist of letters, digits, '-' and '_'");
  }
  return {HttpClient(RequiredOption(options, "log"), TimeoutOption(options)),
          options["stream"].as<std::string>()};
}

Revision ParseRevision(const std::string& text) {
  if (text == "none") {
    return std::nullopt;
  }
  Offset offset = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), offset);
  if (ec != std::errc() || end != text.data() + text.size()) {
    throw SettingsError(fmt::format("--base must be a revision or 'none', not '{}'", text));
  }
  return offset;
}

std::string NewPublicationId() {
  gchar* uuid = g_uuid_string_random();
  std::string id = uuid;
  g_free(uuid);
  return id;
}

Report RunCheck(const cxxopts::ParseResult& options) {
  const std::vector<std::string> paths = OptionValues(options, "arguments");
  if (paths.empty()) {
    throw SettingsError("check needs at least one file");
  }
  Findings findings;
  Configuration::Make(FileSet(ReadFiles(paths)), findings);
  return ReportCheck(findings, paths.size());
}

FileChanges ReadChanges(const cxxopts::ParseResult& options) {
  FileChanges changes;
  for (auto& [name, text] : ReadFiles(OptionValues(options, "arguments"))) {
    changes.emplace(name, text);
  }
  for (const std::string& it : OptionValues(options, "remove")) {
    if (!changes.emplace(it, std::nullopt).second) {
      throw SettingsError(fmt::format("'{}' is both published and removed", it));
    }
  }
  if (changes.empty()) {
    throw SettingsError("publish needs a file or --remove");
  }
  return changes;
}

Report RunPublish(const cxxopts::ParseResult& options) {
  FileChanges changes = ReadChanges(options);
  std::optional<Revision> base;
  if (options.count("base") > 0) {
    base = ParseRevision(RequiredOption(options, "base"));
  }
  const std::string id = options.count("publication-id") > 0
                             ? RequiredOption(options, "publication-id")
                             : NewPublicationId();
  LogClient<HttpClient> log = MakeLogClient(options);
  SteadyClock clock;
  Publisher<HttpClient, SteadyClock> publisher(log, clock, TimeoutOption(options));
  return ReportPublish(publisher.Publish(id, base, std::move(changes)));
}

EntryStatus QueryEntryHost(const std::string& address, std::chrono::seconds timeout) {
  EntryStatus status{address, {}, {}, {}};
  HttpClient client(address, timeout);
  try {
    const HttpReply reply = client.Get("/v1/status");
    const Json json = Json::parse(reply.body, nullptr, /*allow_exceptions=*/false);
    if (reply.status != 200 || !json.is_object()) {
      status.error = fmt::format("answers with status {}", reply.status);
      return status;
    }
    const auto number = [&json](const char* key) -> std::optional<Offset> {
      const auto it = json.find(key);
      return it != json.end() && it->is_number_unsigned() ? std::optional(it->get<Offset>())
                                                          : std::nullopt;
    };
    status.revision = number("revision");
    status.offset = number("offset");
  } catch (const HttpError& error) {
    status.error = error.what();
  }
  return status;
}

Report RunShow(const cxxopts::ParseResult& options) {
  LogFollower follower;
  MakeLogClient(options).ReadToEnd(follower);
  if (options.count("file") > 0) {
    const auto file =
        follower.state().configuration()->files().Find(RequiredOption(options, "file"));
    if (file == nullptr) {
      throw SettingsError(fmt::format("no file '{}' is in force", RequiredOption(options, "file")));
    }
    return {ExitCode::kSuccess, file->text(), {{"name", file->name()}, {"text", file->text()}}};
  }
  std::vector<EntryStatus> entries;
  for (const std::string& it : OptionValues(options, "entry")) {
    entries.push_back(QueryEntryHost(it, TimeoutOption(options)));
  }
  return ReportState(follower.state(), entries);
}

Report RunAuditVerify(const cxxopts::ParseResult& options) {
  const Audit audit = Audit::Verify(ReadFile(RequiredOption(options, "verify")));
  if (options.count("chain") > 0 && (!audit.certificate || audit.certificate->evidence_chain !=
                                                               RequiredOption(options, "chain"))) {
    throw DecodeError("the evidence does not end with the given chain");
  }
  return ReportAudit(audit);
}

Report RunAudit(const cxxopts::ParseResult& options) {
  if (options.count("verify") > 0) {
    return RunAuditVerify(options);
  }
  const CustomerId customer(RequiredOption(options, "customer"));
  LogFollower follower;
  try {
    MakeLogClient(options).ReadToEnd(follower);
  } catch (const LogUnavailableError& error) {
    throw LogUnavailableError(
        fmt::format("the state of the retirement cannot be determined: {}", error.what()));
  }
  const RetirementTracker* tracker = follower.state().retirements().Find(customer);
  if (tracker == nullptr) {
    return {ExitCode::kNotCertified,
            fmt::format("customer {} is not retired\n", customer.str()),
            {{"customer", customer.str()}, {"certified", false}, {"retired", false}}};
  }
  if (options.count("export") > 0) {
    WriteFile(RequiredOption(options, "export"), Audit::Export(*tracker));
  }
  return ReportAudit(Audit::Make(*tracker));
}

Report RunCommand(const cxxopts::ParseResult& options) {
  const std::string command =
      options.count("command") > 0 ? RequiredOption(options, "command") : std::string();
  if (command == "check") {
    return RunCheck(options);
  }
  if (command == "publish") {
    return RunPublish(options);
  }
  if (command == "show" || command == "audit") {
    if (!OptionValues(options, "arguments").empty()) {
      throw SettingsError(fmt::format("{} takes no files", command));
    }
    return command == "show" ? RunShow(options) : RunAudit(options);
  }
  throw SettingsError(command.empty() ? "no command is given"
                                      : fmt::format("unknown command '{}'", command));
}

ExitCode Run(int argc, const char* const* argv, std::ostream& out) {
  cxxopts::Options definition = DefineOptions();
  const cxxopts::ParseResult options = definition.parse(argc, argv);
  if (options.count("help") > 0) {
    out << kUsage << definition.help({""}, false);
    return ExitCode::kSuccess;
  }
  if (options.count("version") > 0) {
    out << "cactusshelf " << CACTUSSHELF_VERSION << '\n';
    return ExitCode::kSuccess;
  }
  const std::string output = options["output"].as<std::string>();
  if (output != "text" && output != "json") {
    throw SettingsError(fmt::format("--output must be text or json, not '{}'", output));
  }
  const Report report = RunCommand(options);
  if (output == "json") {
    // Names of members in the log are not necessarily valid UTF-8; replace invalid bytes.
    out << report.json.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
  } else {
    out << report.text;
  }
  return report.code;
}

}  // namespace

ExitCode RunCommandLine(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  const auto fail = [&err](ExitCode code, const std::exception& error) {
    err << "cactusshelf: " << error.what() << '\n';
    return code;
  };
  try {
    return Run(argc, argv, out);
  } catch (const cxxopts::exceptions::exception& error) {
    return fail(ExitCode::kUsage, error);
  } catch (const SettingsError& error) {
    return fail(ExitCode::kUsage, error);
  } catch (const DecodeError& error) {
    return fail(ExitCode::kEvidenceInvalid, error);
  } catch (const Error& error) {
    return fail(ExitCode::kLogUnavailable, error);
  }
}

}  // namespace cactusshelf
